package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// operationKind says what an operation does.
type operationKind int

const (
	// startGang reserves and starts a placed job.
	startGang operationKind = iota
	// preemptGang keeps a gang's work, stops it and queues the job again.
	preemptGang
	// stopGang stops a gang; the job is queued again unless outcome is set.
	stopGang
	// stopPart stops one part of an attempt that is not in force.
	stopPart
)

// operation is one order in execution. At most one start, pre-emption or stop
// of a job is in flight; its entry's phase is starting or stopping meanwhile.
type operation struct {
	kind   operationKind
	entry  *entry
	reason string
	// outcome is the final state that a stopped job ends in; empty queues it
	// again.
	outcome job.State
	// worker and part are set for stopPart.
	worker string
	part   worker.Part
}

// dispatch hands an operation to the execution duty.
func (t *term) dispatch(op operation) {
	select {
	case t.operations <- op:
	case <-t.ctx.Done():
	}
}

// executeLoop runs the operations, a bounded number at once.
func (t *term) executeLoop() {
	places := make(chan struct{}, maxOperations)
	for {
		select {
		case <-t.ctx.Done():
			return
		case op := <-t.operations:
			select {
			case places <- struct{}{}:
			case <-t.ctx.Done():
				return
			}
			t.background.Go(func() {
				t.execute(op)
				<-places
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

// planInterval is the longest time between two rounds of planning.
const planInterval = 250 * time.Millisecond

// planLoop asks the decisions for orders whenever something has changed.
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

// configureInterval is the longest time until an exception that has expired is
// out of force.
const configureInterval = time.Second

// configure takes over a changed configuration.
func (t *term) configure(head config.Head, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh := t.configuredAt.IsZero() || head.Version != t.configVersion
	if !fresh && now.Sub(t.configuredAt) < configureInterval {
		return
	}
	t.refreshCordons(head.Document, now)
	t.configuredAt = now
	if !fresh {
		return
	}
	t.configVersion = head.Version
	t.state.SetAccounts(accounts(head.Document))
	t.state.SetWeights(gang.Weights{
		CompletionTime: head.Document.Defaults.CompletionTimeWeight,
		Fragmentation:  head.Document.Defaults.FragmentationWeight,
	})
}

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

// acceptOrder turns an order of the decisions into an operation. t.mu is held.
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

// acceptPreemption begins the pre-emption of a running gang, and marks a
// starting one for it. A non-idempotent job is never stopped to run again.
// t.mu is held.
func (t *term) acceptPreemption(e *entry, why string) (operation, bool) {
	switch {
	case !e.rec.Idempotent && e.phase == running:
		t.p.Meter.Inc("planner_preempt_refused")
	case !e.rec.Idempotent:
		t.p.Meter.Inc("planner_order_out_of_phase")
	case e.phase == running:
		return t.beginPreemption(e, why), true
	default:
		e.pendingPreemption = why
		t.p.Meter.Inc("gang_preempted_at_start")
	}
	return operation{}, false
}

// beginPreemption begins the pre-emption of a running gang. t.mu is held.
func (t *term) beginPreemption(e *entry, why string) operation {
	reason := "pre-empted: " + why
	e.phase, e.pendingPreemption = stopping, ""
	t.p.Meter.Inc("gang_preempted")
	t.recordDecision(e, reason)
	return operation{kind: preemptGang, entry: e, reason: reason}
}

// deferredPreemption begins the pre-emption that was ordered during a gang's start.
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
