package planner_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// changingConfig is a configuration that changes.
type changingConfig struct{ atomic.Pointer[model.Config] }

func (c *changingConfig) Current() *model.Config                      { return c.Load() }
func (c *changingConfig) WaitForVersion(context.Context, int64) error { return nil }

// apply puts a version in force that sends the queue "solve" to a service.
func (c *changingConfig) apply(version int64, service string) {
	c.Store(&model.Config{Version: version, Queues: []model.Queue{solveAt(service)}})
}

// solveAt returns the queue "solve" with a service.
func solveAt(service string) model.Queue {
	q := queues[slices.IndexFunc(queues, func(q model.Queue) bool { return q.Name == "solve" })]
	q.Service = service
	return q
}

// newMovedQueueFleet returns a fleet whose configuration, version 7, sends the queue "solve" to a
// service without workers.
func newMovedQueueFleet(t *testing.T, workers int) (*testFleet, *changingConfig) {
	fleet, cfg := newTestFleet(t, 1, workers), &changingConfig{}
	cfg.apply(7, "old")
	fleet.configure = func(p *planner.Planner) { p.Config = cfg }
	fleet.startVM("a")
	time.Sleep(2 * time.Second)
	return fleet, cfg
}

// submitUnder submits a job that was accepted under a version of the configuration, which sends
// its queue to a service.
func (f *testFleet) submitUnder(version int64, service, id string) {
	s := step(1, 8, false)
	s.Estimate = time.Second
	f.world.Submit(world.Job{Runtime: time.Second, Spec: planner.Spec{
		Job:   model.Job{ID: id, Specification: "spec " + id, Steps: []model.Step{s}},
		Queue: solveAt(service), Account: "acme", AcceptedMS: time.Now().UnixMilli(), ConfigVersion: version,
	}})
	f.jobIDs = append(f.jobIDs, id)
}

// TestJobAcceptedUnderOlderConfigurationRuns guards against a job that waits for good for the
// old service of its queue: a VM accepts it after the planner has read a newer configuration.
func TestJobAcceptedUnderOlderConfigurationRuns(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet, cfg := newMovedQueueFleet(t, 2)
		defer fleet.close()
		fleet.submitUnder(7, "old", jobID(1))
		time.Sleep(2 * time.Second)
		is.Equal(fleet.world.Starts(), 0) // "old" has no workers
		cfg.apply(12, "svc")
		time.Sleep(300 * time.Millisecond)
		fleet.submitUnder(7, "old", jobID(2))
		is.Equal(len(fleet.waitForEnd(10*time.Second)), 0)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}

// TestJobKeepsQueueOfNewerConfiguration guards against a job that returns to the old service of
// its queue: the planner reads an older configuration than the one that the job was accepted under.
func TestJobKeepsQueueOfNewerConfiguration(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet, cfg := newMovedQueueFleet(t, 1)
		defer fleet.close()
		fleet.submitUnder(12, "svc", jobID(1))
		time.Sleep(500 * time.Millisecond)
		is.Equal(fleet.world.Starts(), 1)
		fleet.submitUnder(12, "svc", jobID(2)) // waits for the only worker
		cfg.apply(9, "old")
		is.Equal(len(fleet.waitForEnd(10*time.Second)), 0)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}
