package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// phase is what the planner is doing with a job.
type phase int

const (
	// waiting jobs are queued in the scheduling state or, before that, wait
	// until enough workers are available.
	waiting phase = iota
	// starting jobs have a start in flight.
	starting
	// running jobs have been started at all their workers.
	running
	// stopping jobs have a stop or pre-emption in flight.
	stopping
	// ended jobs are in a final state.
	ended
)

// entry is a job in a term.
type entry struct {
	rec   job.Record
	phase phase
	// queued reports whether the scheduling state contains the job.
	queued bool
	// parts are the last reports on the parts of the current attempt, by
	// worker.
	parts map[string]worker.PartStatus
	// confirmedAt is the time at which the gang was confirmed to run. Reports
	// that are requested later must list all its parts.
	confirmedAt time.Time
	// checkpointedAt is the time at which the last checkpoint of all parts was
	// ordered.
	checkpointedAt time.Time
	// abort cancels the operation in flight; nil when there is none.
	abort context.CancelFunc
	// mayHaveStarted reports whether a start of the current attempt may have
	// taken effect.
	mayHaveStarted bool
	// pendingPreemption is the reason of a pre-emption that was ordered while
	// the gang was starting; empty when there is none.
	pendingPreemption string
	// ticket is the at-most-once claim of a non-idempotent job.
	ticket *claim.Ticket
	// failedAttempts counts the consecutive attempts that failed before the
	// gang ran.
	failedAttempts int
	// failedStarts counts those of failedAttempts in which a start at a worker
	// failed.
	failedStarts int
	// claimRefusedAt is the time since which another planner may own the claim;
	// zero when none does.
	claimRefusedAt time.Time
	// failedOn are the workers at which the job failed although the last start
	// there had succeeded.
	failedOn map[string]bool
	// history are the last decisions about the job, oldest first.
	history []job.Decision
	// unwritten reports whether the record has changes that are not persisted.
	unwritten bool
	// forgettable are ended parts that the workers may forget once the record
	// is persisted.
	forgettable []workerPart
}

// workerPart is a part at one worker.
type workerPart struct {
	worker string
	part   worker.Part
}

// part identifies the parts of the current attempt; the value is the same for
// all workers.
func (e *entry) part() worker.Part {
	return worker.Part{JobID: e.rec.ID, Attempt: e.rec.Attempt}
}

// recordDecision sets the reason of a job's state and adds it to the job's
// decisions unless it repeats the last one. t.mu must be held.
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

// markUnwritten marks a record as changed and notifies persistLoop. t.mu must
// be held.
func (t *term) markUnwritten(e *entry) {
	e.rec.Sequence++
	e.unwritten = true
	notify(t.wakePersist)
}
