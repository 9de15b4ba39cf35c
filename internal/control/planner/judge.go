package planner

import (
	"errors"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// failedStartOutcome returns the final state of a job whose start failed; empty
// when the job is queued again. t.mu must be held.
func (t *term) failedStartOutcome(e *entry, cause error) job.State {
	var other *endedElsewhereError
	switch {
	case errors.As(cause, &other):
		return other.state
	case e.rec.Idempotent:
		return ""
	case e.mayHaveStarted && worker.HadNoEffect(cause):
		return job.Failed
	case e.mayHaveStarted:
		return job.Unknown
	case e.claimRefusedAt.IsZero() || time.Since(e.claimRefusedAt) < claimGraceLeases*t.p.lease():
		return ""
	}
	return job.Unknown
}

// unansweredParts returns the parts whose workers did not answer. It adds the
// workers at which the start may have taken effect to ambiguous.
func unansweredParts(parts map[string]partSlots, errs map[string]error, ambiguous map[string]bool) map[string]partSlots {
	remaining := make(map[string]partSlots)
	for id, err := range errs {
		if !worker.HadNoEffect(err) {
			ambiguous[id] = true
			remaining[id] = parts[id]
		}
		if fault.Is(err, fault.Unreachable) {
			remaining[id] = parts[id]
		}
	}
	return remaining
}

// evaluateStarts returns one error for all starts that failed, and attributes
// the failures to workers. ambiguous names the workers at which a start may
// have taken effect; if there are any, the error is of kind AnswerLost.
func (t *term) evaluateStarts(e *entry, a *attempt, errs map[string]error, ambiguous map[string]bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	started := len(a.parts) - len(errs)
	e.mayHaveStarted = started > 0 || len(ambiguous) > 0
	var firstErr error
	for id := range a.parts {
		m, known := t.members[id]
		err, failed := errs[id]
		switch {
		case failed && known:
			t.attributeFailure(e, m)
		case known:
			m.lastStartSucceeded = true
		}
		if failed && firstErr == nil {
			firstErr = fault.Wrap(fault.KindOf(err), err, "start at worker %s", id)
		}
	}
	if firstErr == nil {
		return nil
	}
	e.failedStarts++
	if len(ambiguous) > 0 {
		return fault.Wrap(fault.AnswerLost, firstErr, "start")
	}
	return firstErr
}

// attributeFailure attributes a failure to a worker. When the last start at
// that worker succeeded, it also attributes the failure to the job. t.mu must
// be held.
func (t *term) attributeFailure(e *entry, m *member) {
	t.p.Meter.Inc("gang_failure_attributed")
	t.state.StartFailed(e.rec.ID, m.vm.ID, time.Now())
	if m.lastStartSucceeded {
		if e.failedOn == nil {
			e.failedOn = make(map[string]bool)
		}
		e.failedOn[m.vm.ID] = true
	}
	m.lastStartSucceeded = false
}
