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

// Holder stores records in the memory of all roster members.
type Holder interface {
	// Hold returns nil once every roster member has stored the record.
	Hold(ctx context.Context, rec *peerv1.HeldRecord) error
	// Held returns the records in the memory of this VM whose keys begin with
	// prefix.
	Held(prefix string) []*peerv1.HeldRecord
	// Flushed removes a record from memory, unless its sequence is higher than
	// the given one, which the store has persisted.
	Flushed(key string, sequence uint64)
}

// FallbackStore persists records in the store. While the store is unavailable, it
// stores them in the memory of all roster members and writes them to the store
// once that is available again. Its fields must be set before use.
type FallbackStore struct {
	Store  *Records
	Holder Holder
	Meter  *meter.Meter

	mu   sync.Mutex
	wake chan struct{}
}

const (
	// saveTimeout bounds a write to the store, after which the record is stored
	// in the members' memory instead.
	saveTimeout   = time.Second
	minFlushDelay = 500 * time.Millisecond
	maxFlushDelay = 10 * time.Second
	flushTimeout  = 10 * time.Second
	// flushInterval is the time between the flushes of a VM that saves no record
	// itself. The member that saved a record usually flushes it earlier.
	flushInterval = 30 * time.Second
)

// Save returns nil once the record, or one with the same key and a higher
// sequence, is stored in the store or by every roster member. An error of kind
// StoreUnavailable means that the record is not stored; after any other error it
// may be stored.
func (s *FallbackStore) Save(ctx context.Context, rec *peerv1.HeldRecord) error {
	storeCtx, cancel := context.WithTimeout(ctx, saveTimeout)
	err := s.Store.Save(storeCtx, rec)
	cancel()
	if err == nil {
		s.Holder.Flushed(rec.GetKey(), rec.GetSequence())
		return nil
	}
	if fault.Is(err, fault.Internal) {
		return err
	}
	if holdErr := s.Holder.Hold(ctx, rec); holdErr != nil {
		s.Meter.Inc("record_not_kept")
		return saveError(err, holdErr)
	}
	s.Meter.Inc("record_held")
	s.wakeFlusher()
	return nil
}

// saveError returns an error of kind StoreUnavailable only if neither the store
// nor a member can have stored the record.
func saveError(storeErr, holdErr error) error {
	err := errors.Join(storeErr, holdErr)
	if fault.Is(storeErr, fault.StoreUnavailable) && fault.Is(holdErr, fault.StoreUnavailable) {
		return fault.Wrap(fault.StoreUnavailable, err, "the record is not stored")
	}
	return fault.Wrap(fault.ClaimUnresolved, err, "the record may have been stored")
}

// Load returns the records whose keys begin with prefix. While the store is
// unavailable, it returns those in the memory of this VM together with an error.
func (s *FallbackStore) Load(ctx context.Context, prefix string) ([]*peerv1.HeldRecord, error) {
	stored, err := s.Store.Load(ctx, prefix)
	latest := make(map[string]int)
	for i, rec := range stored {
		latest[rec.GetKey()] = i
	}
	for _, rec := range s.Holder.Held(prefix) {
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

func (s *FallbackStore) wakeChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

func (s *FallbackStore) wakeFlusher() {
	select {
	case s.wakeChannel() <- struct{}{}:
	default:
	}
}

// Run flushes the records in memory to the store until ctx is done.
func (s *FallbackStore) Run(ctx context.Context) {
	backoff := store.Backoff{Min: minFlushDelay, Max: maxFlushDelay}
	for ctx.Err() == nil {
		if s.Flush(ctx) {
			backoff.Reset()
			select {
			case <-ctx.Done():
			case <-s.wakeChannel():
			case <-time.After(flushInterval):
			}
			continue
		}
		s.Meter.Inc("record_flush_retry")
		backoff.Wait(ctx)
	}
}

// Flush writes the records in the memory of this VM to the store and reports
// whether all were written.
func (s *FallbackStore) Flush(ctx context.Context) bool {
	for _, rec := range s.Holder.Held("") {
		saveCtx, cancel := context.WithTimeout(ctx, flushTimeout)
		err := s.Store.Save(saveCtx, rec)
		cancel()
		if err != nil {
			return false
		}
		s.Holder.Flushed(rec.GetKey(), rec.GetSequence())
	}
	return true
}
