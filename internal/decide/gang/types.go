// Package gang decides where gangs run. It does no input or output, reads no
// clock and starts no goroutine: the same sequence of calls gives the same
// orders.
package gang

import "time"

// Worker is one worker of the data centre.
type Worker struct {
	ID string
	// Rack names the rack of the worker. Workers of a rack, ordered by id, are
	// neighbours.
	Rack string
	// Accelerators is the number of accelerators, at most 64.
	Accelerators int
	// Unschedulable reports that the worker gets no new work, since it leaves, is lost
	// or is quarantined.
	Unschedulable bool
}

// Account is a client account with its guaranteed shape.
type Account struct {
	ID string
	// Workers and Accelerators are the guaranteed shape: Workers workers with
	// Accelerators adjacent accelerators each.
	Workers      int
	Accelerators int
}

// Job is an admitted job. Its tasks form a gang: they run together or not at
// all.
type Job struct {
	ID      string
	Account string
	Kind    string
	// Rank is the order of the class; 0 is urgent.
	Rank int
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// Accelerators is the number of adjacent accelerators of one worker that
	// each task needs; at least 1.
	Accelerators int
	// Adjacent requests neighbouring workers for the tasks.
	Adjacent bool
	// Idempotent reports that the job can be pre-empted and run again.
	Idempotent bool
	// DeclaredRunTime is the run time that the caller declared, less the part
	// that is already done after a Requeue.
	DeclaredRunTime time.Duration
	Submitted       time.Time
}

// Slot is the set of accelerators of one task.
type Slot struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	// Accelerators are adjacent indices on the worker, in ascending order.
	Accelerators []int `json:"accelerators"`
}

// OrderKind says what an order does.
type OrderKind string

// The kinds of orders.
const (
	// Start assigns the slots to the gang and starts it.
	Start OrderKind = "start"
	// Preempt checkpoints a running gang and stops it after the grace period;
	// the job is queued again.
	Preempt OrderKind = "preempt"
	// Fail ends a waiting job as failed, after its start failed on several
	// healthy workers.
	Fail OrderKind = "fail"
)

// Order is one decision of Plan.
type Order struct {
	Kind  OrderKind
	JobID string
	Slots []Slot
	// Borrowed reports that the gang occupies accelerators outside its
	// account's block; it may then be pre-empted if it is idempotent.
	Borrowed bool
	// Reason explains the order to operators.
	Reason string
}

// Weights are the relative weights of the objectives of placement.
type Weights struct {
	CompletionTime float64
	Fragmentation  float64
}

// Explanation describes the state of a job and the reason for it.
type Explanation struct {
	JobID  string `json:"job_id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
	// Workers lists the workers on which the job runs, or on which it would
	// fit.
	Workers []string `json:"place"`
	// Occupants are the jobs that occupy the accelerators where the job would
	// fit.
	Occupants []string `json:"holders"`
}

// AccountStatus is the use of an account's guarantee.
type AccountStatus struct {
	ID string `json:"id"`
	// Guaranteed is the number of accelerators of the guaranteed shape.
	Guaranteed int `json:"guaranteed"`
	// InUse is the number of accelerators that the account's jobs occupy in its
	// own block.
	InUse int `json:"in_use"`
	// Borrowed is the number of accelerators that the account's jobs occupy
	// outside its block.
	Borrowed int `json:"borrowed"`
	// Reclaimable is the number of accelerators of the account's block that are
	// free or occupied by borrowers that can be pre-empted.
	Reclaimable int `json:"reclaimable"`
	// Shortfall is the number of guaranteed accelerators that no block backs.
	Shortfall int `json:"shortfall"`
}

// Measures describe the fleet at one moment.
type Measures struct {
	Accelerators int `json:"accelerators"`
	Free         int `json:"free"`
	Waiting      int `json:"waiting"`
	Running      int `json:"running"`
	// Fragmentation is 1 - covered/free, between 0 and 1. Covered is the number
	// of free accelerators that can be assigned in whole guaranteed shapes.
	Fragmentation float64 `json:"fragmentation"`
	// Visits counts the workers, racks and jobs that the decisions have visited
	// since the state was created.
	Visits int64 `json:"steps"`
	// Quarantined is the number of workers that get no work because starts
	// failed on them.
	Quarantined int `json:"quarantined"`
}
