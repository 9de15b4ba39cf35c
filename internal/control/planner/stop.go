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

// Numbers of failures of one job at which it ends as failed.
const (
	// maxFailedHealthyWorkers is the number of distinct workers that failed the
	// job although the last start there had succeeded.
	maxFailedHealthyWorkers = 3
	// maxFailedStarts is the number of consecutive failed starts.
	maxFailedStarts = 50
)

// stop stops a gang at all its workers and concludes the attempt.
func (t *term) stop(op operation) {
	t.stopAll(op.entry)
	t.concludeAttempt(op)
}

// preempt checkpoints a gang, waits for the checkpoint grace, stops the gang
// and queues the job again.
func (t *term) preempt(ctx context.Context, op operation) {
	grace := time.NewTimer(t.p.Config().Document.Defaults.CheckpointGrace.Duration)
	defer grace.Stop()
	graceCtx, cancel := context.WithTimeout(ctx, t.p.Config().Document.Defaults.CheckpointGrace.Duration)
	defer cancel()
	t.checkpoint(graceCtx, op.entry)
	select {
	case <-ctx.Done():
	case <-grace.C:
	}
	t.mu.Lock()
	t.releaseLeases(op.entry)
	t.mu.Unlock()
	t.stop(op)
}

// stopRetryDelay is the time between two attempts to stop a part.
const stopRetryDelay = 100 * time.Millisecond

// stopAll stops all parts of the gang's attempt. It returns when every part is
// stopped or its lease must have expired. Cancelling the operation does not
// interrupt it.
func (t *term) stopAll(e *entry) {
	t.mu.Lock()
	remaining := partsByWorker(e.rec.Slots)
	part := e.part()
	t.mu.Unlock()
	startedAt := time.Now()
	for t.ctx.Err() == nil {
		errs := t.eachPart(t.ctx, remaining, func(ctx context.Context, _ string, c *worker.Client) error {
			return c.Stop(ctx, worker.PartRequest{Part: part, Epoch: t.epoch})
		})
		maps.DeleteFunc(remaining, func(id string, _ partSlots) bool {
			err, failed := errs[id]
			return !failed || fault.Is(err, fault.NotFound) || t.leaseExpired(id, part, startedAt)
		})
		if len(remaining) == 0 {
			return
		}
		t.p.Meter.Inc("gang_stop_retry")
		pause.For(t.ctx, stopRetryDelay)
	}
}

// leaseExpired reports whether the released lease of a part must have expired.
// For a worker that is no longer listed, since is the time from which the lease
// was certainly not renewed.
func (t *term) leaseExpired(id string, part worker.Part, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lastExtended := since
	if m, ok := t.members[id]; ok && m.leases[part] != nil {
		l := m.leases[part]
		if l.inFlight {
			return false
		}
		lastExtended = l.lastExtended
	}
	return time.Since(lastExtended) > t.p.lease()
}

// concludeAttempt concludes an attempt that is stopped. The job is queued again
// from its checkpoint, or ends when it was cancelled, must not be started again
// or has failed too often.
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

// requeue queues a stopped job again as a whole. t.mu must be held.
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
