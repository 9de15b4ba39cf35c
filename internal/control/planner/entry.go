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
	// queued says that the state knows the job.
	queued bool
	// parts are the last reports of the current attempt by worker.
	parts map[string]worker.PartStatus
	// confirmedAt is the time from which a report must show all parts.
	confirmedAt time.Time
	// checkpointedAt is the time of the last common checkpoint order.
	checkpointedAt time.Time
	// abort ends the operation in flight; nil when there is none.
	abort context.CancelFunc
	// mayHaveStarted says that a start of the current attempt may have taken effect.
	mayHaveStarted bool
	// pendingPreemption is the reason of a pre-emption that was ordered during the
	// start; empty for none.
	pendingPreemption string
	// ticket is the claim of a non-idempotent job.
	ticket *claim.Ticket
	// failedAttempts counts the attempts in a row that did not get to run.
	failedAttempts int
	// failedStarts counts those of them that failed at a worker's start.
	failedStarts int
	// claimRefusedAt is the time since which another planner holds the claim.
	claimRefusedAt time.Time
	// failedOn are the sound workers on which the job failed.
	failedOn map[string]bool
	history  []job.Decision
	// unwritten says that the record has changed since it was last kept.
	unwritten bool
	// forgettable are ended parts that the workers may forget once the record is kept.
	forgettable []workerPart
}

type workerPart struct {
	worker string
	part   worker.Part
}

// part names the current attempt.
func (e *entry) part() worker.Part {
	return worker.Part{JobID: e.rec.ID, Attempt: e.rec.Attempt}
}

// recordDecision keeps a decision about a job. t.mu is held.
func (t *term) recordDecision(e *entry, reason string) {
	e.rec.Reason = reason
	if n := len(e.history); n > 0 && e.history[n-1].Reason == reason {
		return
	}
	e.history = append(e.history, job.Decision{UnixMS: time.Now().UnixMilli(), Reason: reason})
	if len(e.history) > maxDecisions {
		e.history = e.history[1:]
	}
}

// markUnwritten marks a record as markUnwritten. t.mu is held.
func (t *term) markUnwritten(e *entry) {
	e.rec.Sequence++
	e.unwritten = true
	notify(t.wakePersist)
}
