package record

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Holder keeps records in memory with every roster member.
type Holder interface {
	// Hold returns nil once every roster member holds the record.
	Hold(ctx context.Context, rec *peerv1.HeldRecord) error
	// Held returns the records held by this VM whose keys begin with prefix.
	Held(prefix string) []*peerv1.HeldRecord
	// Flushed forgets a record that the store holds up to a sequence.
	Flushed(key string, sequence uint64)
}

// Keeper keeps records in the store, or with every roster member while the
// store is down, and writes those to the store when it returns. Its fields are
// set before use.
type Keeper struct {
	Store  *Records
	Holder Holder
	Meter  *meter.Meter

	mu   sync.Mutex
	wake chan struct{}
}

const (
	// saveTimeout bounds a write that could be held by the members instead.
	saveTimeout  = time.Second
	flushDelay   = 500 * time.Millisecond
	maxFlush     = 10 * time.Second
	flushTimeout = 10 * time.Second
	// holderDelay is how long a VM keeps a record for the member that wrote
	// it before it writes the record itself.
	holderDelay = 30 * time.Second
)

// Save returns nil once the record, or one of a higher sequence, is kept in the
// store or by every roster member. An error of kind StoreUnavailable means that
// nothing is kept; with another error the record may be kept.
func (k *Keeper) Save(ctx context.Context, rec *peerv1.HeldRecord) error {
	storeCtx, cancel := context.WithTimeout(ctx, saveTimeout)
	err := k.Store.Save(storeCtx, rec)
	cancel()
	if err == nil {
		k.Holder.Flushed(rec.GetKey(), rec.GetSequence())
		return nil
	}
	if fault.Is(err, fault.Internal) {
		return err
	}
	if holdErr := k.Holder.Hold(ctx, rec); holdErr != nil {
		k.Meter.Inc("record_not_kept")
		return notKept(err, holdErr)
	}
	k.Meter.Inc("record_held")
	k.wakeUp()
	return nil
}

// notKept returns an error whose kind says that nothing is kept only if neither
// the store nor a member may keep the record.
func notKept(storeErr, holdErr error) error {
	err := errors.Join(storeErr, holdErr)
	if fault.Is(storeErr, fault.StoreUnavailable) && fault.Is(holdErr, fault.StoreUnavailable) {
		return fault.Wrap(fault.StoreUnavailable, err, "the record is not kept")
	}
	return fault.Wrap(fault.ClaimUnresolved, err, "the record may be kept")
}

// Load returns the kept records whose keys begin with prefix. While the store
// is down it returns those that this VM holds, with an error.
func (k *Keeper) Load(ctx context.Context, prefix string) ([]*peerv1.HeldRecord, error) {
	stored, err := k.Store.Load(ctx, prefix)
	latest := make(map[string]int)
	for i, rec := range stored {
		latest[rec.GetKey()] = i
	}
	for _, rec := range k.Holder.Held(prefix) {
		i, ok := latest[rec.GetKey()]
		switch {
		case !ok:
			stored = append(stored, rec)
		case stored[i].GetSequence() < rec.GetSequence():
			stored[i] = rec
		}
	}
	return stored, err
}

func (k *Keeper) wakes() chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wake == nil {
		k.wake = make(chan struct{}, 1)
	}
	return k.wake
}

func (k *Keeper) wakeUp() {
	select {
	case k.wakes() <- struct{}{}:
	default:
	}
}

// Run writes held records to the store in the background until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	backoff := store.Backoff{Min: flushDelay, Max: maxFlush}
	for ctx.Err() == nil {
		if k.Flush(ctx) {
			backoff.Reset()
			select {
			case <-ctx.Done():
			case <-k.wakes():
			case <-time.After(holderDelay):
			}
			continue
		}
		k.Meter.Inc("record_flush_retry")
		backoff.Wait(ctx)
	}
}

// Flush writes all held records and reports whether none is left.
func (k *Keeper) Flush(ctx context.Context) bool {
	for _, rec := range k.Holder.Held("") {
		saveCtx, cancel := context.WithTimeout(ctx, flushTimeout)
		err := k.Store.Save(saveCtx, rec)
		cancel()
		if err != nil {
			return false
		}
		k.Holder.Flushed(rec.GetKey(), rec.GetSequence())
	}
	return true
}
