// Package store declares what the daemons use of the platform's key-value
// store, and the keys under which they keep things there.
package store

import (
	"context"
	"strings"
	"time"
)

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last change.
	Revision int64
	// Created is the store's revision of the creation.
	Created int64
	// Deleted is set only in the answer to a watch.
	Deleted bool
}

// Condition requires a key to have a revision; 0 means that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	// Lease removes the key when it ends; 0 for none.
	Lease int64
}

// MaxTxnEntries is the number of conditions, puts and removals that the store
// takes in one transaction.
const MaxTxnEntries = 32

// Txn is a change that happens as a whole or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Store is the platform's store.
//
// Errors are of kind Conflict when a condition did not hold, NotFound when a
// lease has ended, StoreUnavailable when nothing was done, AnswerLost when a
// change may have been made or may yet be made, and RetryHorizon when the
// history of a watch is gone.
type Store interface {
	// Get returns an item; found is false when there is none.
	Get(ctx context.Context, key string) (it Item, found bool, err error)
	// Range returns all items whose keys begin with prefix, and the revision of
	// the first page.
	Range(ctx context.Context, prefix string) (items []Item, at int64, err error)
	// Watch waits for changes after a revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Item, at int64, err error)
	// Apply makes a change. After a Conflict it returns the items of the
	// conditions as they are.
	Apply(ctx context.Context, t Txn) (revision int64, current []Item, err error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	KeepAlive(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// The keys of the daemons.
const (
	// LockKey is held by the planner under a lease.
	LockKey = "dogwoodworks/planner"
	// JobPrefix is followed by the job's id and a part.
	JobPrefix = "dogwoodworks/job/"
	// RunPrefix is followed by the job's id; only the planner writes there.
	RunPrefix = "dogwoodworks/run/"
	// VMPrefix is followed by a VM's id; its keys are under leases.
	VMPrefix = "dogwoodworks/vm/"
)

const (
	specPart   = "/spec"
	cancelPart = "/cancel"
)

// SpecKey holds an accepted job.
func SpecKey(id string) string { return JobPrefix + id + specPart }

// CancelKey exists once a job is cancelled.
func CancelKey(id string) string { return JobPrefix + id + cancelPart }

// RunKey holds the planner's record of a job.
func RunKey(id string) string { return RunPrefix + id }

// SplitJobKey returns the job's id of a key below JobPrefix, and whether the
// key is that of its cancellation.
func SplitJobKey(key string) (id string, cancel, ok bool) {
	rest, found := strings.CutPrefix(key, JobPrefix)
	if !found {
		return "", false, false
	}
	if id, ok := strings.CutSuffix(rest, specPart); ok {
		return id, false, true
	}
	if id, ok := strings.CutSuffix(rest, cancelPart); ok {
		return id, true, true
	}
	return "", false, false
}
