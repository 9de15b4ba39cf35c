// Package gang decides where gangs run. It is pure: it does no input or output,
// reads no clock and starts no goroutine, and the same events give the same
// orders.
package gang

import "time"

// Worker is one worker of the data centre.
type Worker struct {
	ID string
	// Rack groups workers that stand next to each other.
	Rack string
	// Accelerators is the number of accelerators, at most 64.
	Accelerators int
	// Closed workers get no new work: they leave, are lost or are quarantined.
	Closed bool
}

// Account is a client account with its guaranteed shape.
type Account struct {
	ID string
	// Workers and Accelerators are the guaranteed shape: Workers workers with
	// Accelerators adjacent accelerators each.
	Workers      int
	Accelerators int
}

// Job is an admitted job. A gang is all tasks of a job; they run together or
// not at all.
type Job struct {
	ID      string
	Account string
	Kind    string
	// Rank is the class's order; 0 is urgent.
	Rank int
	// Tasks is at least 1.
	Tasks int
	// Accelerators is the number of adjacent accelerators of one worker that
	// each task needs; at least 1.
	Accelerators int
	// Adjacent asks for tasks on neighbouring workers.
	Adjacent   bool
	Idempotent bool
	// DeclaredRunTime is the run time that the caller named.
	DeclaredRunTime time.Duration
	Submitted       time.Time
}

// Slot is the place of one task.
type Slot struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	// Accelerators are indices at the worker, ascending and adjacent.
	Accelerators []int `json:"accelerators"`
}

// OrderKind says what an order does.
type OrderKind string

// The kinds of orders.
const (
	// Start reserves the slots and starts the gang.
	Start OrderKind = "start"
	// Preempt checkpoints a running gang and stops it after the grace; the
	// job is queued again.
	Preempt OrderKind = "preempt"
	// Fail ends a waiting job as failed: it failed on several sound workers.
	Fail OrderKind = "fail"
)

// Order is one decision of Plan.
type Order struct {
	Kind  OrderKind
	JobID string
	Slots []Slot
	// Borrowed says that the gang runs above its account's guarantee and may
	// be pre-empted.
	Borrowed bool
	// Reason is kept for explanations.
	Reason string
}

// Weights set what placement prefers.
type Weights struct {
	CompletionTime float64
	Fragmentation  float64
}

// Explanation says why a job stands where it does.
type Explanation struct {
	JobID  string `json:"job_id"`
	State  string `json:"state"`
	Reason string `json:"reason"`
	// Workers lists the workers where the job runs, or would fit.
	Workers []string `json:"place"`
	// Occupants are the jobs that hold the place where the job would fit.
	Occupants []string `json:"holders"`
}

// AccountStatus is what an account holds and can get back.
type AccountStatus struct {
	ID string `json:"id"`
	// Guaranteed is the number of accelerators of the guaranteed shape.
	Guaranteed int `json:"guaranteed"`
	// InUse is the number of accelerators in use within the guarantee.
	InUse int `json:"in_use"`
	// Borrowed is the number of accelerators in use above the guarantee.
	Borrowed int `json:"borrowed"`
	// Reclaimable is the number of accelerators of the account's own block
	// that are free or held by borrowers.
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
	// Fragmentation is 1 - covered/free, between 0 and 1: covered is the number
	// of free accelerators in guaranteed shapes that can be placed together.
	Fragmentation float64 `json:"fragmentation"`
	// Steps counts the workers, racks and jobs that the decisions looked at
	// since the state was made.
	Steps int64 `json:"steps"`
	// Quarantined is the number of workers that get no work because starts
	// failed on them.
	Quarantined int `json:"quarantined"`
}
