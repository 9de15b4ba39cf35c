// Package memory is an in-memory store and network of VMs, for tests and benchmarks
// of several VMs.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Store is an in-memory store. The zero value is empty.
type Store struct {
	// LoseAnswer reports whether the response to an executed write of a key is lost;
	// nil means never.
	LoseAnswer func(key string) bool
	// DownAfterPut is the key after whose next write the store becomes unavailable; empty
	// for none.
	DownAfterPut string
	// MaxListBytes bounds the total size of the values of one list; 0 means no bound.
	MaxListBytes int

	mu       sync.Mutex
	entries  map[string]store.Entry
	revision uint64
	changed  chan struct{}
	down     bool
	calls    map[string]int
}

// Get returns the entry of a key. The error is StoreUnavailable while the store is
// down.
func (s *Store) Get(_ context.Context, key string) (store.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall("get")
	if s.down {
		return store.Entry{}, false, fault.New(fault.StoreUnavailable, "down")
	}
	e, ok := s.entries[key]
	return e, ok, nil
}

// List returns the entries whose keys begin with prefix, and the store's revision. The
// error is StoreUnavailable if the store is down or the values exceed MaxListBytes.
func (s *Store) List(_ context.Context, prefix string) ([]store.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall("list")
	if s.down {
		return nil, 0, fault.New(fault.StoreUnavailable, "down")
	}
	var all []store.Entry
	size := 0
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e)
			size += len(e.Value)
		}
	}
	if s.MaxListBytes > 0 && size > s.MaxListBytes {
		return nil, 0, fault.New(fault.StoreUnavailable, "a list of %d bytes exceeds the limit", size)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all, s.revision, nil
}

// Put writes a key if its revision is ifRevision, else it returns Conflict. The error
// is ClaimUnresolved if the response is lost.
func (s *Store) Put(_ context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall("put")
	if s.down {
		return 0, fault.New(fault.StoreUnavailable, "down")
	}
	if s.entries[key].Revision != ifRevision {
		return 0, fault.New(fault.Conflict, "revision")
	}
	if s.entries == nil {
		s.entries = make(map[string]store.Entry)
	}
	s.revision++
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.revision}
	s.notifyWatches()
	if key == s.DownAfterPut {
		s.down = true
	}
	if s.LoseAnswer != nil && s.LoseAnswer(key) {
		return 0, fault.New(fault.ClaimUnresolved, "the response was lost")
	}
	return s.revision, nil
}

// Delete deletes a key whatever its revision, also while the store is down.
func (s *Store) Delete(_ context.Context, key string, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall("delete")
	delete(s.entries, key)
	return nil
}

// countCall counts a call. The caller must hold s.mu.
func (s *Store) countCall(call string) {
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[call]++
}

// Calls returns the number of calls of all kinds.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.calls {
		n += c
	}
	return n
}

// notifyWatches notifies the watches of a change. The caller must hold s.mu.
func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Watch waits until the key prefix has a revision higher than after. Only this key is
// watched, not those that begin with it.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error) {
	s.mu.Lock()
	s.countCall("watch")
	s.mu.Unlock()
	for {
		s.mu.Lock()
		e, ok := s.entries[prefix]
		rev, down := s.revision, s.down
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if down {
			return nil, 0, fault.New(fault.StoreUnavailable, "down")
		}
		if ok && e.Revision > after {
			return []store.Entry{e}, rev, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Copy returns a copy of the store's entries and revision.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Store{entries: make(map[string]store.Entry), revision: s.revision}
	for k, e := range s.entries {
		c.entries[k] = e
	}
	return c
}

// Restore replaces the store's entries and revision with those of a copy.
func (s *Store) Restore(c *Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.revision = c.Copy().entries, c.revision
	s.notifyWatches()
}

// SetDown makes the store unavailable or available.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// HookedStore is a store whose lists and writes can be delayed or observed.
type HookedStore struct {
	*Store
	// Before is called with the call and its key.
	Before func(call, key string)
}

// List calls Before, then Store.List.
func (h *HookedStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	h.Before("list", prefix)
	return h.Store.List(ctx, prefix)
}

// Put calls Before, then Store.Put.
func (h *HookedStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	h.Before("put", key)
	return h.Store.Put(ctx, key, value, ifRevision)
}
