package planner_test

import (
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// TestGangThatWaitsForLastingTasksLeavesWorkersToOthers guards against a gang that keeps
// all free workers for itself since tasks that last are taken to end soon.
func TestGangThatWaitsForLastingTasksLeavesWorkersToOthers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const workers, lasting, others = 12, 6, 4
		fleet := newTestFleet(t, 1, workers)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		s := step(lasting, 8, false)
		s.LongRunning, s.Estimate = true, time.Second
		fleet.world.Submit(world.Job{Runtime: time.Hour, Spec: planner.Spec{
			Job: model.Job{ID: jobID(1), Specification: "spec " + jobID(1), Steps: []model.Step{s}}, Queue: queues[1], Account: "acme", AcceptedMS: time.Now().UnixMilli(),
		}})
		time.Sleep(5 * time.Second)
		fleet.submit(jobID(2), "solve", 5*time.Second, step(workers-lasting+1, 8, true))
		time.Sleep(100 * time.Millisecond)
		for i := range others {
			fleet.submit(jobID(3+i), "render", 5*time.Second, step(1, 8, false))
		}
		for i := range others {
			fleet.checkStartsWithin(t, jobID(3+i), maxStartWait)
		}
	})
}
