// Package planner places the jobs of the whole fleet while this VM holds the
// planner lock.
//
// Each placement is in the store, under a condition on the lock, before its
// start is sent; each end is in the store before the worker is told to forget
// it. What a term believes is rebuilt by the next one from the store and from
// the workers' own lists.
package planner

import (
	"context"
	"time"
)

// TaskID names a task.
type TaskID struct {
	Job string
	// Occurrence counts from 0.
	Occurrence int
	Step       int
	Index      int
}

// StartOrder starts a run of a task.
type StartOrder struct {
	Task TaskID
	// Run numbers the task's starts; it rises.
	Run           int64
	Specification string
	// Deadline is a time on the worker's clock.
	Deadline   time.Duration
	Token      int64
	Checkpoint string
}

// LeaseRenewal prolongs the lease of all that runs on a worker, and asks what does.
type LeaseRenewal struct {
	Token int64
	// LastAcknowledged is the number of the last end that is kept in the store.
	LastAcknowledged int64
	// Deadline is a time on the worker's clock; 0 for none.
	Deadline time.Duration
	// MaxWait is how long the answer may wait for an end.
	MaxWait time.Duration
	// Incarnation is the life whose end LastSeen is. A new life numbers its ends from 1
	// again, so LastSeen is sent only on a connection on which this life has
	// answered.
	Incarnation int64
}

// RunReport is a run that a worker lists.
type RunReport struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is the progress, 0 to 100.
	Percent float64
}

// ResultKind says how a run ended.
type ResultKind string

// The ways in which a run ends.
const (
	ResultDone    ResultKind = "done"
	ResultFailed  ResultKind = "failed"
	ResultStopped ResultKind = "stopped"
	ResultExpired ResultKind = "lapsed"
	// ResultGangFailed means that another member of the gang ended.
	ResultGangFailed ResultKind = "broken"
	// ResultGangTimeout means that the other members did not come in time.
	ResultGangTimeout ResultKind = "alone"
)

// RunResult is an end that a worker lists.
type RunResult struct {
	// Number rises by one with each end in a life of the worker.
	Number     int64
	Task       TaskID
	Run        int64
	Kind       ResultKind
	Checkpoint string
}

// WorkerReport is a worker's answer to a hold.
type WorkerReport struct {
	// Clock is the worker's steady clock.
	Clock time.Duration
	// Incarnation is the worker's start in Unix milliseconds.
	Incarnation int64
	Running     []RunReport
	Results     []RunResult
}

// WorkerClient gives orders to one worker.
//
// Errors are of kind Unreachable when nothing was sent, AnswerLost when the
// order may have been, or may yet be, carried out, Fenced when the worker has
// seen a higher token, Deadline when the order came late, Overloaded for want
// of room, Conflict when the run is not higher than one that ended there,
// NoTarget when another life answered, and NotStarted when the worker is not
// healthy.
type WorkerClient interface {
	Start(ctx context.Context, o StartOrder) error
	Stop(ctx context.Context, task TaskID, run, token int64) error
	Renew(ctx context.Context, o LeaseRenewal) (WorkerReport, error)
	Close()
}
