package planner

import (
	"errors"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// failedStartOutcome returns the final state in which a failed start leaves a job, or
// none when it is queued again. t.mu is held.
func (t *term) failedStartOutcome(e *entry, cause error) job.State {
	var other *endedElsewhereError
	switch {
	case errors.As(cause, &other):
		return other.state
	case e.rec.Idempotent:
		return ""
	case e.mayHaveStarted && worker.TookNoEffect(cause):
		return job.Failed
	case e.mayHaveStarted:
		return job.Unknown
	case e.claimRefusedAt.IsZero() || time.Since(e.claimRefusedAt) < claimGraceLeases*t.p.lease():
		return ""
	}
	return job.Unknown
}

// unansweredParts returns the parts whose workers did not answer. It adds those whose
// start may have taken effect to unsure.
func unansweredParts(parts map[string]partSlots, errs map[string]error, unsure map[string]bool) map[string]partSlots {
	left := make(map[string]partSlots)
	for id, err := range errs {
		if !worker.TookNoEffect(err) {
			unsure[id] = true
			left[id] = parts[id]
		}
		if fault.Is(err, fault.Unreachable) {
			left[id] = parts[id]
		}
	}
	return left
}

// evaluateStarts returns one error for the starts that failed and attributes the
// failures to workers. unsure names the workers at which a start may have taken
// effect; the error is then of kind AnswerLost.
func (t *term) evaluateStarts(e *entry, a *attempt, errs map[string]error, unsure map[string]bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	started := len(a.parts) - len(errs)
	e.mayHaveStarted = started > 0 || len(unsure) > 0
	var first error
	for id := range a.parts {
		m, known := t.members[id]
		err, bad := errs[id]
		switch {
		case bad && known:
			t.attributeFailure(e, m)
		case known:
			m.lastStartSucceeded = true
		}
		if bad && first == nil {
			first = fault.Wrap(fault.KindOf(err), err, "start at worker %s", id)
		}
	}
	if first == nil {
		return nil
	}
	e.failedStarts++
	if len(unsure) > 0 {
		return fault.Wrap(fault.AnswerLost, first, "start")
	}
	return first
}

// attributeFailure attributes a failure to a worker and, when the last start of another
// job worked there, to the job. t.mu is held.
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
