package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// phase says what the planner is doing with a job.
type phase int

const (
	// waiting jobs are queued in the state or, unplaced, wait for capacity.
	waiting phase = iota
	// starting jobs have a start operation in flight.
	starting
	// running jobs have been started at all their workers.
	running
	// stopping jobs have a stop or pre-empt operation in flight.
	stopping
	// ended jobs are in a final state.
	ended
)

// entry is one job.
type entry struct {
	rec   job.Record
	phase phase
	// placed says that the state knows the job.
	placed bool
	// parts are the last reports of the current attempt by worker.
	parts map[string]worker.PartStatus
	// confirmed is the time from which a report must show all parts.
	confirmed time.Time
	// checkpointed is the time of the last common checkpoint order.
	checkpointed time.Time
	// abort ends the operation in flight; nil when there is none.
	abort context.CancelFunc
	// begun says that a start of the current attempt may have taken effect.
	begun bool
	// preemption is the reason of a pre-emption that was ordered during the
	// start; empty for none.
	preemption string
	// ticket is the claim of a non-idempotent job.
	ticket *claim.Ticket
	// failures counts the attempts in a row that did not get to run.
	failures int
	// failedStarts counts those of them that failed at a worker's start.
	failedStarts int
	// claimRefused is the time since which another planner holds the claim.
	claimRefused time.Time
	// failedOn are the sound workers on which the job failed.
	failedOn map[string]bool
	history  []job.Decision
	// dirty says that the record has changed since it was last kept.
	dirty bool
	// spent are ended parts that the workers may forget once the record is kept.
	spent []spentPart
}

type spentPart struct {
	worker string
	part   worker.Part
}

// part names the current attempt.
func (e *entry) part() worker.Part { return worker.Part{JobID: e.rec.ID, Attempt: e.rec.Attempt} }

// note keeps a decision about a job. t.mu is held.
func (t *term) note(e *entry, reason string) {
	e.rec.Reason = reason
	if n := len(e.history); n > 0 && e.history[n-1].Reason == reason {
		return
	}
	e.history = append(e.history, job.Decision{UnixMS: time.Now().UnixMilli(), Reason: reason})
	if len(e.history) > maxDecisions {
		e.history = e.history[1:]
	}
}

// changed marks a record as changed. t.mu is held.
func (t *term) changed(e *entry) {
	e.rec.Sequence++
	e.dirty = true
	notify(t.unsaved)
}
