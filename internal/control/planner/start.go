package planner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// attempt is one attempt to run a gang.
type attempt struct {
	rec   job.Record
	parts map[string]partSlots
}

func (a *attempt) part() worker.Part {
	return worker.Part{JobID: a.rec.ID, Attempt: a.rec.Attempt}
}

// start reserves all slots, claims the job if it must not start twice, persists
// the attempt and starts all parts. If any step fails, it stops all parts and
// queues the job again or, when it must not be started again, ends it.
func (t *term) start(ctx context.Context, op operation) {
	a := t.beginAttempt(op.entry)
	err := t.prepare(ctx, op.entry, a)
	if err == nil {
		err = t.startAll(ctx, op.entry, a)
	}
	if err == nil && t.confirmRunning(op.entry) {
		if preemption, ordered := t.deferredPreemption(op.entry); ordered {
			t.execute(preemption)
		}
		return
	}
	if t.ctx.Err() != nil {
		return
	}
	if err != nil {
		t.p.Meter.Inc("gang_start_failed")
		op.reason = "a start failed: " + err.Error()
	}
	t.abandonStart(ctx, op, err)
}

// abandonStart stops an attempt that could not be started completely. It
// concludes the attempt after a delay that grows with the number of failed
// attempts.
func (t *term) abandonStart(ctx context.Context, op operation, cause error) {
	t.mu.Lock()
	e := op.entry
	e.phase = stopping
	t.releaseLeases(e)
	op.outcome = t.failedStartOutcome(e, cause)
	e.failedAttempts++
	delay := retryDelay(e.failedAttempts)
	t.mu.Unlock()
	t.stopAll(e)
	pause.For(ctx, delay)
	t.concludeAttempt(op)
}

const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = time.Second
)

// retryDelay returns the delay after the given number of consecutive failed
// attempts. It doubles with each failure, up to maxRetryDelay.
func retryDelay(failures int) time.Duration {
	return min(maxRetryDelay, firstRetryDelay<<min(failures-1, 8))
}

// beginAttempt gives the job a new attempt that starts from the job's
// checkpoint.
func (t *term) beginAttempt(e *entry) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.rec.Attempt = uuid.NewString()
	e.rec.Attempts++
	e.rec.Sequence++
	e.rec.State = job.Starting
	e.rec.BaseMS = e.rec.CheckpointMS
	e.parts = make(map[string]worker.PartStatus)
	e.mayHaveStarted = false
	return &attempt{rec: e.rec, parts: partsByWorker(e.rec.Slots)}
}

// prepare does all that precedes the first start: it reserves the slots, makes
// the claim and persists the attempt.
func (t *term) prepare(ctx context.Context, e *entry, a *attempt) error {
	if t.cancelled(e) {
		return fault.New(fault.Cancelled, "cancelled by the caller")
	}
	if err := t.reserve(ctx, e, a); err != nil {
		return err
	}
	if err := t.claim(ctx, e, a); err != nil {
		return err
	}
	if err := t.persistAttempt(ctx, a); err != nil {
		return err
	}
	return ctx.Err()
}

func (t *term) cancelled(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.rec.CancelRequested
}

func (t *term) startWindow() time.Duration {
	return t.p.Config().Document.Defaults.StartWindow.Duration
}

// reserve reserves the accelerators at all workers.
func (t *term) reserve(ctx context.Context, e *entry, a *attempt) error {
	ctx, cancel := context.WithTimeout(ctx, t.startWindow())
	defer cancel()
	t.mu.Lock()
	t.lease(e)
	t.mu.Unlock()
	lease := t.p.lease().Milliseconds()
	errs := t.eachPart(ctx, a.parts, func(ctx context.Context, id string, c *worker.Client) error {
		return c.Reserve(ctx, worker.ReserveRequest{
			Part: a.part(), Epoch: t.epoch, Accelerators: a.parts[id].accelerators, LeaseMS: lease,
		})
	})
	t.mu.Lock()
	t.lease(e)
	t.mu.Unlock()
	for id, err := range errs {
		t.p.Meter.Inc("gang_reserve_failed")
		return fault.Wrap(fault.KindOf(err), err, "reserve at worker %s", id)
	}
	return nil
}

// persistAttempt persists the attempt before its first start. The workers store
// the record of an idempotent job as well, so that such a job starts even while
// the record cannot be persisted.
func (t *term) persistAttempt(ctx context.Context, a *attempt) error {
	ctx, cancel := context.WithTimeout(ctx, t.startWindow())
	defer cancel()
	err := t.p.Records.Save(ctx, a.rec)
	if err == nil {
		return nil
	}
	t.p.Meter.Inc("job_record_late")
	if a.rec.Idempotent {
		return nil
	}
	return fault.Wrap(fault.KindOf(err), err, "persist the attempt")
}

// startAll starts the gang at all workers within the start window. A start
// whose response is lost is sent again; this is safe because a worker starts an
// attempt only once.
func (t *term) startAll(ctx context.Context, e *entry, a *attempt) error {
	value, err := json.Marshal(a.rec)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode job")
	}
	t.mu.Lock()
	e.mayHaveStarted = true
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, t.startWindow())
	defer cancel()
	remaining := a.parts
	var errs map[string]error
	ambiguous := make(map[string]bool)
	for {
		errs = t.eachPart(ctx, remaining, func(ctx context.Context, id string, c *worker.Client) error {
			return c.Start(ctx, worker.StartRequest{
				Part: a.part(), Epoch: t.epoch, Tasks: a.parts[id].tasks,
				RunMS: a.rec.RunMS - a.rec.CheckpointMS, Job: value,
			})
		})
		remaining = unansweredParts(a.parts, errs, ambiguous)
		if len(remaining) == 0 || len(remaining) < len(errs) {
			break
		}
		select {
		case <-ctx.Done():
			return t.evaluateStarts(e, a, errs, ambiguous)
		case <-time.After(startRetryDelay):
		}
		t.p.Meter.Inc("gang_start_resent")
	}
	return t.evaluateStarts(e, a, errs, ambiguous)
}

// startRetryDelay is the delay before an unanswered start is sent again.
const startRetryDelay = 20 * time.Millisecond

// confirmRunning marks a gang as running after all its starts were
// acknowledged. It returns false when the job was cancelled in the meantime.
func (t *term) confirmRunning(e *entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.abort = nil
	if e.rec.CancelRequested {
		return false
	}
	now := time.Now()
	e.phase, e.confirmedAt, e.checkpointedAt = running, now, now
	e.rec.State = job.Running
	e.failedAttempts, e.failedStarts = 0, 0
	t.recordDecision(e, "runs")
	t.p.Meter.Inc("gang_started")
	return true
}
