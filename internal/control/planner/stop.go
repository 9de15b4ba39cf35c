package planner

import (
	"context"
	"maps"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// Bounds on the failures of one job after which it ends failed.
const (
	// maxFailedHealthyWorkers is the number of distinct workers that started other jobs.
	maxFailedHealthyWorkers = 3
	// maxFailedStarts is the number of starts that failed in a row.
	maxFailedStarts = 50
)

// stop stops a gang at all its workers and concludes the attempt.
func (t *term) stop(op operation) {
	t.stopAll(op.entry)
	t.concludeAttempt(op)
}

// preempt keeps a gang's work, waits for the checkpoint grace, stops the gang
// and queues the job again.
func (t *term) preempt(ctx context.Context, op operation) {
	grace := time.NewTimer(t.p.Config().Document.Defaults.CheckpointGrace.Duration)
	defer grace.Stop()
	within, cancel := context.WithTimeout(ctx, t.p.Config().Document.Defaults.CheckpointGrace.Duration)
	defer cancel()
	t.checkpoint(within, op.entry)
	select {
	case <-ctx.Done():
	case <-grace.C:
	}
	t.mu.Lock()
	t.releaseLeases(op.entry)
	t.mu.Unlock()
	t.stop(op)
}

// stopRetryDelay is the time between two tries to stop a part.
const stopRetryDelay = 100 * time.Millisecond

// stopAll returns once every part of the gang's attempt is stopped, or its
// lease must have run out. A cancellation does not interrupt it.
func (t *term) stopAll(e *entry) {
	t.mu.Lock()
	left := partsByWorker(e.rec.Slots)
	part := e.part()
	t.mu.Unlock()
	began := time.Now()
	for t.ctx.Err() == nil {
		errs := t.eachPart(t.ctx, left, func(ctx context.Context, _ string, c *worker.Client) error {
			return c.Stop(ctx, worker.PartRequest{Part: part, Epoch: t.epoch})
		})
		maps.DeleteFunc(left, func(id string, _ partSlots) bool {
			err, bad := errs[id]
			return !bad || fault.Is(err, fault.NotFound) || t.leaseExpired(id, part, began)
		})
		if len(left) == 0 {
			return
		}
		t.p.Meter.Inc("gang_stop_retry")
		pause.For(t.ctx, stopRetryDelay)
	}
}

// leaseExpired reports whether the released lease of a part must have run out. since
// is the time from which it was certainly not renewed at a worker that is gone.
func (t *term) leaseExpired(id string, part worker.Part, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := since
	if m, ok := t.members[id]; ok && m.leases[part] != nil {
		l := m.leases[part]
		if l.inFlight {
			return false
		}
		touched = l.lastExtended
	}
	return time.Since(touched) > t.p.lease()
}

// concludeAttempt ends an attempt that is stopped: the job is queued again from its
// checkpoint, or ends when it was cancelled or must not start again.
func (t *term) concludeAttempt(op operation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	e := op.entry
	e.abort = nil
	t.advanceCheckpoint(e)
	t.dropLeases(e)
	switch {
	case e.rec.CancelRequested:
		t.finish(e, job.Cancelled, "cancelled by the caller")
	case op.outcome.Final():
		t.finish(e, op.outcome, op.reason)
	case len(e.failedOn) >= maxFailedHealthyWorkers:
		t.finish(e, job.Failed, "failed on several workers that run other jobs; last: "+op.reason)
	case e.failedStarts >= maxFailedStarts:
		t.finish(e, job.Failed, "failed to start too often; last: "+op.reason)
	default:
		t.requeue(e, op.reason)
	}
}

// requeue puts a whole job back. t.mu is held.
func (t *term) requeue(e *entry, reason string) {
	t.markForgettable(e)
	e.phase = waiting
	e.mayHaveStarted, e.pendingPreemption = false, ""
	e.rec.State, e.rec.Slots = job.Waiting, nil
	t.recordDecision(e, reason)
	t.markUnwritten(e)
	t.state.Requeue(e.rec.ID, e.rec.Remaining(), time.Now(), reason)
	t.p.Meter.Inc("job_requeued")
	notify(t.wakePlan)
}
