package planner

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// FullTerm is a term without a store or workers, for measuring a look.
type FullTerm struct{ t *term }

// fixedConfig is a configuration that stays.
type fixedConfig struct{ c *model.Config }

func (c fixedConfig) Current() *model.Config                      { return c.c }
func (c fixedConfig) WaitForVersion(context.Context, int64) error { return nil }

// noClient is a worker that takes no orders.
type noClient struct{ WorkerClient }

// The mix of jobs of the users' deployments: urgent ones, solves and renders, of which
// each worker of 8 accelerators has its share, and as much again waits.
var fullMix = []struct {
	queue        model.Queue
	tasks        int
	cpu          int64
	accelerators []int64
	gang         bool
	estimate     time.Duration
}{
	{model.Queue{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 3, ObjectiveFactor: 1.5, ObjectiveConstant: 500 * time.Millisecond}, 5, 7500, []int64{1, 2, 4, 8}, false, 2500 * time.Millisecond},
	{model.Queue{Name: "solve", Service: "svc", Priority: 1, MaxAttempts: 3, ObjectiveFactor: 3, ObjectiveConstant: time.Second}, 13, 26000, []int64{1, 2, 4, 8}, true, 6800 * time.Millisecond},
	{model.Queue{Name: "render", Service: "svc", Priority: 2, MaxAttempts: 2, ObjectiveFactor: 3, ObjectiveConstant: 3 * time.Second}, 38, 5600, []int64{1}, false, 7600 * time.Millisecond},
}

// NewFullTerm returns a term whose workers are full and beside which as much work
// waits again.
func NewFullTerm(workers int) *FullTerm {
	c := &model.Config{Version: 1, Accounts: []model.Account{{Name: "acme", GuaranteedAccelerators: int64(2 * workers)}}}
	for _, m := range fullMix {
		c.Queues = append(c.Queues, m.queue)
	}
	p := &Planner{Config: fixedConfig{c}, Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{}, Decide: placement.Plan}
	ctx, cancel := context.WithCancel(context.Background())
	t := newTerm(ctx, cancel, p, 1, func() bool { return true })
	for i := range workers {
		w := t.workerOf(fmt.Sprintf("w%05d", i))
		w.listed, w.heard, w.recv, w.client = true, true, boottime.Now(), noClient{}
		w.info = model.Worker{
			ID: w.id, Service: "svc", Rack: fmt.Sprintf("rack-%d", i/20), Labels: []string{"kind"},
			Capacity: model.Shape{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8},
		}
	}
	t.listWorkers()
	for n := range workers {
		m := fullMix[n%len(fullMix)]
		shape := model.Shape{MilliCPU: m.cpu, MemoryMB: 4096, Accelerators: m.accelerators[n/len(fullMix)%len(m.accelerators)]}
		t.takeSpec(&Spec{
			Job:   model.Job{ID: fmt.Sprintf("%016x", n), Steps: []model.Step{{Tasks: m.tasks, Gang: m.gang, Shape: shape, Estimate: m.estimate, SameRack: m.gang && n%2 == 0}}},
			Queue: m.queue, Account: "acme", AcceptedMS: time.Now().UnixMilli() + int64(n),
		}, "test")
	}
	f := &FullTerm{t}
	f.Look()
	return f
}

// Look places what waits; what is placed counts as started, and what is to stop stands
// on.
func (f *FullTerm) Look() {
	t := f.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	t.plan(time.Now())
	for _, j := range t.behind {
		j.dirty = false
	}
	t.behind = nil
}
