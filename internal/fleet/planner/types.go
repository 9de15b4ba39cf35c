// Package planner places the jobs of the whole fleet while this VM owns the planner
// lock.
//
// A placement is persisted in the store, under a condition on the lock, before its start
// is sent. A run result is persisted before the worker may discard it. A new term
// rebuilds its state from the store and from the reports of the workers.
package planner

import (
	"context"
	"time"
)

// TaskID identifies a task.
type TaskID struct {
	Job string
	// Occurrence is the number of the occurrence, counted from 0.
	Occurrence int
	Step       int
	Index      int
}

// StartOrder is an order to start a run of a task.
type StartOrder struct {
	Task TaskID
	// Run is the number of this start of the task; it increases with each start.
	Run           int64
	Specification string
	// Deadline is the time on the worker's clock after which the worker rejects the order.
	Deadline   time.Duration
	Token      int64
	Checkpoint string
	// Incarnation is the only incarnation of the worker that may receive the order: the
	// next one has another clock, may be of another kind and knows no token. 0 permits any.
	Incarnation int64
	// MaySend reports whether the order may still be sent; nil permits it. The client calls
	// it immediately before it sends the order, also after waiting for a connection, and
	// returns an error of kind Unreachable if it reports false.
	MaySend func() bool
}

// LeaseRenewal extends the leases of all runs on a worker and requests a report of them.
type LeaseRenewal struct {
	Token int64
	// LastAcknowledged is the number of the last run result that is persisted in the
	// store.
	LastAcknowledged int64
	// Deadline is the time at which the leases expire, on the worker's clock; 0 leaves
	// them unchanged.
	Deadline time.Duration
	// MaxWait is how long the worker may delay its response until a run ends.
	MaxWait time.Duration
	// Incarnation is the worker's incarnation that LastAcknowledged refers to. A new
	// incarnation numbers its run results from 1 again, so LastAcknowledged is sent only
	// on a connection on which this incarnation has responded.
	Incarnation int64
}

// RunReport is a run that a worker lists as running.
type RunReport struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is the progress, 0 to 100.
	Percent float64
	// Load is the tail latency of a task that serves, in milliseconds, and otherwise the CPU
	// in use, in thousandths of a core. HasLoad says that the worker reported it.
	Load    float64
	HasLoad bool
}

// ResultKind is how a run ended.
type ResultKind string

// The kinds of run results.
const (
	ResultDone    ResultKind = "done"
	ResultFailed  ResultKind = "failed"
	ResultStopped ResultKind = "stopped"
	ResultExpired ResultKind = "lapsed"
	// ResultGangFailed means that the run was stopped because another member of the gang
	// ended.
	ResultGangFailed ResultKind = "broken"
	// ResultGangTimeout means that the other members of the gang did not start in time.
	ResultGangTimeout ResultKind = "alone"
)

// RunResult is how a run finished, as its worker lists it.
type RunResult struct {
	// Number increases by one with each run result of a worker's incarnation.
	Number     int64
	Task       TaskID
	Run        int64
	Kind       ResultKind
	Checkpoint string
}

// WorkerReport is a worker's response to a lease renewal.
type WorkerReport struct {
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
	// Incarnation is the start time of the worker's process in Unix milliseconds.
	Incarnation int64
	Running     []RunReport
	Results     []RunResult
	// OddLoads is the number of running tasks whose load was not a usable number.
	OddLoads int
	// MoreResults reports that the worker may have further results, which it lists once
	// these are acknowledged.
	MoreResults bool
}

// WorkerClient sends orders to one worker.
//
// Start sends an order only on a connection on which the order's incarnation has
// responded: a connection ends with its incarnation, so the order can't reach the next one.
//
// Its errors have these kinds: Unreachable when the order was not sent; AnswerLost when it
// may have been, or may yet be, carried out; Fenced when the worker has seen a
// higher token; Deadline when the order arrived too late; Overloaded when the worker
// lacks free capacity; Conflict when a run with the same or a higher number has ended
// there; NoTarget when another incarnation of the worker responded; NotStarted when the
// worker is not healthy.
type WorkerClient interface {
	Start(ctx context.Context, o StartOrder) error
	Stop(ctx context.Context, task TaskID, run, token int64) error
	Renew(ctx context.Context, o LeaseRenewal) (WorkerReport, error)
	Close()
}
