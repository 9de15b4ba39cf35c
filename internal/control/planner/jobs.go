package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
)

// unknownJobError returns the error for a job that is not loaded. It is of kind
// NotFound, or of kind NotReady while the persisted records have not been
// loaded, because the job may exist.
func unknownJobError(id string, loaded bool) error {
	if loaded {
		return fault.WithField(fault.NotFound, "job_id", "%q is not known", id)
	}
	return fault.New(fault.NotReady, "job %q is not known, but the job records have not been loaded yet", id)
}

// submit adds a job whose record is persisted.
func (t *term) submit(r job.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.jobs[r.ID]; ok {
		return
	}
	e := &entry{rec: r}
	t.jobs[r.ID] = e
	t.p.Meter.Inc("job_submitted")
	t.recordDecision(e, "waits for its turn")
	t.enqueue(e)
}

// enqueue queues a waiting job in the scheduling state. A job that needs more
// workers than there are now is not queued; each scheduling pass tries it
// again. t.mu must be held.
func (t *term) enqueue(e *entry) {
	if e.queued {
		return
	}
	if err := t.state.Submit(e.rec.Gang()); err != nil {
		t.recordDecision(e, "waits for capacity: "+err.Error())
		return
	}
	e.queued = true
	notify(t.wakePlan)
}

func (t *term) records(id string) []job.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != "" {
		e, ok := t.jobs[id]
		if !ok {
			return nil
		}
		return []job.Record{e.rec}
	}
	all := make([]job.Record, 0, len(t.jobs))
	for _, e := range t.jobs {
		all = append(all, e.rec)
	}
	return all
}

func (t *term) explain(id string) (gang.Explanation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.state.Explain(id); ok {
		return x, true
	}
	e, ok := t.jobs[id]
	if !ok {
		return gang.Explanation{}, false
	}
	return gang.Explanation{JobID: id, State: string(e.rec.State), Reason: e.rec.Reason}, true
}

func (t *term) decisions(id string) []job.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.jobs[id]
	if !ok {
		return nil
	}
	return append([]job.Decision(nil), e.history...)
}

// cancelJob cancels a job in any phase.
func (t *term) cancelJob(ctx context.Context, id string) error {
	t.mu.Lock()
	e, ok := t.jobs[id]
	if !ok {
		loaded := t.loaded
		t.mu.Unlock()
		return unknownJobError(id, loaded)
	}
	if e.phase == ended {
		t.mu.Unlock()
		return nil
	}
	if !e.rec.CancelRequested {
		t.p.Meter.Inc("job_cancel_requested")
		e.rec.CancelRequested = true
		t.recordDecision(e, "cancelled by the caller")
		t.markUnwritten(e)
	}
	rec := e.rec
	stop := t.beginCancel(e)
	t.mu.Unlock()
	if stop {
		t.dispatch(operation{kind: stopGang, entry: e, outcome: job.Cancelled, reason: "cancelled by the caller"})
	}
	if err := t.p.Records.Save(ctx, rec); err != nil {
		return fault.Wrap(fault.ClaimUnresolved, err, "job %s is being cancelled, but the cancellation is not persisted yet", id)
	}
	return nil
}

// beginCancel begins the cancellation and reports whether the caller must
// dispatch a stop. t.mu must be held.
func (t *term) beginCancel(e *entry) (stop bool) {
	switch e.phase {
	case waiting:
		t.finish(e, job.Cancelled, "cancelled by the caller")
	case running:
		e.phase = stopping
		t.releaseLeases(e)
		return true
	case starting, stopping:
		if e.abort != nil {
			e.abort()
		}
	case ended:
	}
	return false
}

// removeFromState removes an ended job from the scheduling state, which learns
// run times only from jobs that are done. t.mu must be held.
func (t *term) removeFromState(id string, s job.State) {
	if s == job.Done {
		t.state.Ended(id, time.Now())
		return
	}
	t.state.Cancelled(id, time.Now())
}

// finish ends a job in the given final state. t.mu must be held.
func (t *term) finish(e *entry, s job.State, reason string) {
	t.removeFromState(e.rec.ID, s)
	t.dropLeases(e)
	t.markForgettable(e)
	e.phase = ended
	e.rec.State = s
	e.rec.EndedUnixMS = time.Now().UnixMilli()
	t.recordDecision(e, reason)
	t.markUnwritten(e)
	t.p.Meter.Inc("job_" + string(s))
	notify(t.wakePlan)
}
