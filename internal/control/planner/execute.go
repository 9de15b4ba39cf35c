package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// operationKind is the kind of an operation.
type operationKind int

const (
	// startGang reserves slots for a placed gang and starts it.
	startGang operationKind = iota
	// preemptGang checkpoints a gang, stops it and queues the job again.
	preemptGang
	// stopGang stops a gang; the job is queued again unless outcome is set.
	stopGang
	// stopPart stops one part of an attempt that is not the current one.
	stopPart
)

// operation is work on a gang that is executed at its workers. A job has at
// most one start, pre-emption or stop in flight; meanwhile its phase is
// starting or stopping.
type operation struct {
	kind   operationKind
	entry  *entry
	reason string
	// outcome is the final state of the stopped job; empty when the job is
	// queued again.
	outcome job.State
	// worker and part are set only for stopPart.
	worker string
	part   worker.Part
}

// dispatch hands an operation over to executeLoop.
func (t *term) dispatch(op operation) {
	select {
	case t.operations <- op:
	case <-t.ctx.Done():
	}
}

// executeLoop executes operations concurrently, up to maxOperations at once.
func (t *term) executeLoop() {
	sem := make(chan struct{}, maxOperations)
	for {
		select {
		case <-t.ctx.Done():
			return
		case op := <-t.operations:
			select {
			case sem <- struct{}{}:
			case <-t.ctx.Done():
				return
			}
			t.background.Go(func() {
				t.execute(op)
				<-sem
			})
		}
	}
}

func (t *term) execute(op operation) {
	if op.kind == stopPart {
		_ = t.call(t.ctx, op.worker, func(ctx context.Context, c *worker.Client) error {
			return c.Stop(ctx, worker.PartRequest{Part: op.part, Epoch: t.epoch})
		})
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	t.mu.Lock()
	op.entry.abort = cancel
	t.mu.Unlock()
	switch op.kind {
	case startGang:
		t.start(ctx, op)
	case preemptGang:
		t.preempt(ctx, op)
	default:
		t.stop(op)
	}
}

// planInterval is the longest time between two scheduling passes.
const planInterval = 250 * time.Millisecond

// planLoop runs a scheduling pass whenever something has changed, and at least
// every planInterval.
func (t *term) planLoop() {
	clock := time.NewTicker(planInterval)
	defer clock.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakePlan:
		case <-clock.C:
		}
		t.configure(t.p.Config(), time.Now())
		for _, op := range t.plan() {
			t.dispatch(op)
		}
	}
}

// configureInterval is the longest time for which an expired exception stays in
// force.
const configureInterval = time.Second

// configure applies a changed configuration. It also checks the cordons every
// configureInterval, because exceptions expire.
func (t *term) configure(head config.Head, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.configuredAt.IsZero() || head.Version != t.configVersion
	if !changed && now.Sub(t.configuredAt) < configureInterval {
		return
	}
	t.refreshCordons(head.Document, now)
	t.configuredAt = now
	if !changed {
		return
	}
	t.configVersion = head.Version
	t.state.SetAccounts(accounts(head.Document))
	t.state.SetWeights(gang.Weights{
		CompletionTime: head.Document.Defaults.CompletionTimeWeight,
		Fragmentation:  head.Document.Defaults.FragmentationWeight,
	})
}

// plan runs a scheduling pass and returns the operations that follow from it.
func (t *term) plan() []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.jobs {
		if e.phase == waiting {
			t.enqueue(e)
		}
	}
	var operations []operation
	for _, o := range t.state.Plan(time.Now()) {
		if op, ok := t.acceptOrder(o); ok {
			operations = append(operations, op)
		}
	}
	return operations
}

// acceptOrder turns a scheduling order into an operation. It returns false when
// there is nothing to execute. t.mu must be held.
func (t *term) acceptOrder(o gang.Order) (operation, bool) {
	e, ok := t.jobs[o.JobID]
	if !ok {
		t.p.Meter.Inc("planner_order_without_job")
		return operation{}, false
	}
	switch {
	case o.Kind == gang.Start && e.phase == waiting:
		e.phase = starting
		e.rec.Slots = o.Slots
		t.recordDecision(e, "placed: "+o.Reason)
		return operation{kind: startGang, entry: e}, true
	case o.Kind == gang.Preempt && (e.phase == running || e.phase == starting):
		return t.acceptPreemption(e, o.Reason)
	case o.Kind == gang.Fail && e.phase == waiting:
		t.finish(e, job.Failed, o.Reason)
	case o.Kind == gang.Start || o.Kind == gang.Preempt || o.Kind == gang.Fail:
		t.p.Meter.Inc("planner_order_out_of_phase")
	default:
		t.p.Meter.Inc("planner_order_unknown")
	}
	return operation{}, false
}

// acceptPreemption begins the pre-emption of a running gang, and defers that of
// a starting gang until it runs. A non-idempotent job is never stopped to run
// again. t.mu must be held.
func (t *term) acceptPreemption(e *entry, cause string) (operation, bool) {
	switch {
	case !e.rec.Idempotent && e.phase == running:
		t.p.Meter.Inc("planner_preempt_refused")
	case !e.rec.Idempotent:
		t.p.Meter.Inc("planner_order_out_of_phase")
	case e.phase == running:
		return t.beginPreemption(e, cause), true
	default:
		e.pendingPreemption = cause
		t.p.Meter.Inc("gang_preempted_at_start")
	}
	return operation{}, false
}

// beginPreemption begins the pre-emption of a running gang. t.mu must be held.
func (t *term) beginPreemption(e *entry, cause string) operation {
	reason := "pre-empted: " + cause
	e.phase, e.pendingPreemption = stopping, ""
	t.p.Meter.Inc("gang_preempted")
	t.recordDecision(e, reason)
	return operation{kind: preemptGang, entry: e, reason: reason}
}

// deferredPreemption begins a pre-emption that was ordered during the gang's
// start, if there was one.
func (t *term) deferredPreemption(e *entry) (op operation, ordered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.phase != running || e.pendingPreemption == "" {
		return operation{}, false
	}
	return t.beginPreemption(e, e.pendingPreemption), true
}

func accounts(doc config.Document) []gang.Account {
	all := make([]gang.Account, 0, len(doc.Accounts))
	for _, a := range doc.Accounts {
		all = append(all, gang.Account{ID: a.ID, Workers: a.Guarantee.Workers, Accelerators: a.Guarantee.Accelerators})
	}
	return all
}
