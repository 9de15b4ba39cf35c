// Package store declares the interface of the daemons to the key-value store of
// the platform, and the keys under which they persist data there.
package store

import (
	"context"
	"errors"
	"strings"
	"time"
)

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the store at the last change.
	Revision int64
	// Created is the revision of the store at the creation.
	Created int64
	// Deleted is set only in the response to a watch.
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
	// Lease is the id of the lease whose end removes the key; 0 for none.
	Lease int64
}

// MaxTxnEntries is the number of conditions, puts and removals that the store
// accepts in one transaction.
const MaxTxnEntries = 32

// Txn is a change that is applied as a whole or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// ErrTooManyCalls is wrapped by the error of a call that the store refused for its rate.
var ErrTooManyCalls = errors.New("the store accepts no more calls at present")

// minBandwidth is the slowest rate, in bytes per second, at which the values of a change are
// expected to reach the store: in base64 less than half of a link of 10 Mbit/s.
const minBandwidth = 400_000

// TransferTime returns the longest time that sending the values is expected to take, to be
// added to the time that the store may take.
func (t Txn) TransferTime() time.Duration {
	n := 0
	for _, p := range t.Puts {
		n += len(p.Value)
	}
	return time.Duration(n) * time.Second / minBandwidth
}

// OnlyCreates reports whether all that the change does is to write keys that must not exist
// before, under no lease. While the keys exist, such a change takes effect once however often it
// is made.
func (t Txn) OnlyCreates() bool {
	created := make(map[string]bool, len(t.Conditions))
	for _, c := range t.Conditions {
		created[c.Key] = c.Revision == 0
	}
	for _, p := range t.Puts {
		if !created[p.Key] || p.Lease != 0 {
			return false
		}
	}
	return len(t.Puts) > 0 && len(t.Removes) == 0
}

// Page is a part of the items below a prefix.
type Page struct {
	Items []Item
	// More reports that there are items after the last one.
	More bool
	// At is the revision of the reading.
	At int64
}

// Store is the platform's store.
//
// Errors have the kind Conflict if a condition did not hold, NotFound if a
// lease has ended, StoreUnavailable if nothing was changed, AnswerLost if the
// change may have been made or may still be made, RetryHorizon if the
// history for a watch is no longer available, and BadRequest if the store will
// never accept the call, as a value is too large.
type Store interface {
	// Get returns an item; found is false when there is none.
	Get(ctx context.Context, key string) (it Item, found bool, err error)
	// Range returns all items whose keys begin with prefix, and the revision of
	// the first page.
	Range(ctx context.Context, prefix string) (items []Item, at int64, err error)
	// Page returns the first items of Range whose keys come after a key, as many as the
	// store sends in one response.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes after a revision, at most for the given time.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Item, at int64, err error)
	// Apply applies a change. With a Conflict error it returns the current
	// items of the conditions.
	Apply(ctx context.Context, t Txn) (revision int64, current []Item, err error)
	// Grant creates a lease. It returns the id of the lease and its actual duration.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease int64) error
}

// ReadPages reads all items below a prefix, page by page. It returns them with the revision
// of the first page.
func ReadPages(ctx context.Context, prefix string, page func(ctx context.Context, prefix, after string) (Page, error)) ([]Item, int64, error) {
	var all []Item
	var at int64
	for after, more := "", true; more; {
		p, err := page(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if at == 0 {
			at = p.At
		}
		all = append(all, p.Items...)
		if more = p.More; more {
			after = p.Items[len(p.Items)-1].Key
		}
	}
	return all, at, nil
}

// The keys of the daemons.
const (
	// LockKey is the lock of the active planner, under a lease.
	LockKey = "dogwoodworks/planner"
	// SizesKey is the record of the largest capacities that workers have had.
	SizesKey = "dogwoodworks/sizes"
	// JobPrefix is followed by the id of a job and one of the parts below.
	JobPrefix = "dogwoodworks/job/"
	// RunPrefix is followed by the id of a job. Only the planner writes these
	// keys.
	RunPrefix = "dogwoodworks/run/"
	// WithdrawnPrefix is followed by the id of a job that was cancelled before it was
	// accepted.
	WithdrawnPrefix = "dogwoodworks/withdrawn/"
	// VMPrefix is followed by the id of a VM. These keys are under leases.
	VMPrefix = "dogwoodworks/vm/"
)

const (
	specPart   = "/spec"
	cancelPart = "/cancel"
)

// SpecKey returns the key of an accepted job.
func SpecKey(id string) string { return JobPrefix + id + specPart }

// CancelKey returns the key that exists once a job is cancelled.
func CancelKey(id string) string { return JobPrefix + id + cancelPart }

// WithdrawnKey returns the key that excludes that a job is accepted. It is created only while
// the job's SpecKey does not exist, and that one only while this key does not.
func WithdrawnKey(id string) string { return WithdrawnPrefix + id }

// RunKey returns the key of the planner's record of a job.
func RunKey(id string) string { return RunPrefix + id }

// SplitJobKey returns the job id of a key below JobPrefix, and whether the key
// is that of a cancellation.
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
