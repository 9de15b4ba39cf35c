package world

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// Store is the platform's store in memory.
type Store struct {
	mu        sync.Mutex
	items     map[string]store.Item
	leases    map[int64]*lease
	keyLeases map[string]int64
	revision  int64
	history   []store.Item
	// compactedRevision is the revision up to which the history is discarded.
	compactedRevision int64
	changed           chan struct{}
	down              bool
	// maxValue is the largest value that the store accepts, in bytes; 0 for no limit.
	maxValue int
	// paused is when the lease timers were stopped; zero when they run.
	paused time.Time
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: make(map[string]store.Item), leases: make(map[int64]*lease), keyLeases: make(map[string]int64),
		revision: 1, changed: make(chan struct{}),
	}
}

// SetMaxValue sets the largest value that the store accepts from daemons, in bytes.
func (s *Store) SetMaxValue(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValue = n
}

// SetDown makes the store unavailable or available. Leases expire meanwhile.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Pause makes the store unavailable and stops its lease timers until Unpause.
func (s *Store) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.paused = true, time.Now()
}

// Unpause makes a paused store available and extends its leases by the length of
// the pause.
func (s *Store) Unpause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expiresAt = l.expiresAt.Add(time.Since(s.paused))
	}
	s.down, s.paused = false, time.Time{}
}

// Compact discards the history. A watch from an earlier revision fails with
// RetryHorizon and must be restarted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// Put writes a key unconditionally, as operators and workers do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
	s.notify()
}

// Remove deletes a key unconditionally, as the platform does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Create writes a key if it does not exist, and reports whether it was written.
func (s *Store) Create(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		return false
	}
	s.revision++
	s.put(store.Put{Key: key, Value: value})
	s.notify()
	return true
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// holds reports whether a key has a value.
func (s *Store) holds(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return ok && bytes.Equal(it.Value, value)
}

// Size returns the length of a key's value in bytes.
func (s *Store) Size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

func (s *Store) put(p store.Put) {
	it := store.Item{Key: p.Key, Value: bytes.Clone(p.Value), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[p.Key]; ok {
		it.Created = old.Created
	}
	s.items[p.Key] = it
	delete(s.keyLeases, p.Key)
	if p.Lease != 0 {
		s.keyLeases[p.Key] = p.Lease
	}
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	delete(s.keyLeases, key)
	s.history = append(s.history, store.Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire revokes the leases that have expired.
func (s *Store) expire() {
	if !s.paused.IsZero() {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		s.revokeLease(id)
	}
}

func (s *Store) revokeLease(id int64) {
	delete(s.leases, id)
	for key, lease := range s.keyLeases {
		if lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *Store) apply(t store.Txn) (int64, []store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down {
		return 0, nil, fault.New(fault.StoreUnavailable, "down")
	}
	if len(t.Conditions)+len(t.Puts)+len(t.Removes) > store.MaxTxnEntries {
		return 0, nil, fault.New(fault.StoreUnavailable, "transaction has too many entries")
	}
	for _, p := range t.Puts {
		if s.maxValue > 0 && len(p.Value) > s.maxValue {
			return 0, nil, fault.New(fault.BadRequest, "a value is too large")
		}
	}
	satisfied := true
	var current []store.Item
	for _, c := range t.Conditions {
		it, ok := s.items[c.Key]
		satisfied = satisfied && it.Revision == c.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !satisfied {
		return 0, current, fault.New(fault.Conflict, "a condition of the transaction is not met")
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, nil, fault.New(fault.NotFound, "no such lease")
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p)
	}
	for _, key := range t.Removes {
		s.remove(key)
	}
	s.notify()
	return s.revision, nil, nil
}

func (s *Store) list(prefix string) ([]store.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down {
		return nil, 0, fault.New(fault.StoreUnavailable, "down")
	}
	var all []store.Item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			all = append(all, it)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all, s.revision, nil
}

// changesAfter returns the changes after a revision, the current revision, and a
// channel that is closed at the next change.
func (s *Store) changesAfter(prefix string, after int64) ([]store.Item, int64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down {
		return nil, 0, nil, fault.New(fault.StoreUnavailable, "down")
	}
	if after < s.compactedRevision {
		return nil, 0, nil, fault.New(fault.RetryHorizon, "the history of this revision is compacted")
	}
	var events []store.Item
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed, nil
}

// noIncarnation is the constant incarnation of the store, which never restarts.
func noIncarnation() int64 { return 0 }

// View is one VM's connection to the store.
type View struct {
	Store *Store
	Link  *Link
}

// Get implements store.Store.
func (v *View) Get(ctx context.Context, key string) (it store.Item, found bool, err error) {
	all, _, err := v.Range(ctx, key)
	for _, x := range all {
		if x.Key == key {
			return x, true, nil
		}
	}
	return store.Item{}, false, err
}

// readResult is the result of a read. A late result goes to a channel that is no
// longer read.
type readResult struct {
	items    []store.Item
	revision int64
	err      error
}

// read executes a read over the link. Every failure of the link is reported as
// StoreUnavailable, because a read has no effect.
func (v *View) read(ctx context.Context, f func(ctx context.Context) readResult) readResult {
	answers := make(chan readResult, 1)
	if err := v.Link.call(ctx, fault.StoreUnavailable, noIncarnation, func(ctx context.Context) { answers <- f(ctx) }); err != nil {
		return readResult{err: fault.Wrap(fault.StoreUnavailable, err, "read")}
	}
	return <-answers
}

// Range implements store.Store.
func (v *View) Range(ctx context.Context, prefix string) (items []store.Item, at int64, err error) {
	l := v.read(ctx, func(context.Context) (l readResult) {
		l.items, l.revision, l.err = v.Store.list(prefix)
		return l
	})
	return l.items, l.revision, l.err
}

// Page implements store.Store; a page contains all items.
func (v *View) Page(ctx context.Context, prefix, after string) (store.Page, error) {
	if v.Link.losesPage() {
		<-ctx.Done()
		return store.Page{}, fault.Wrap(fault.StoreUnavailable, ctx.Err(), "no response")
	}
	all, at, err := v.Range(ctx, prefix)
	for len(all) > 0 && all[0].Key <= after {
		all = all[1:]
	}
	return store.Page{Items: all, At: at}, err
}

// leaseCheckInterval is the interval at which a watch checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

// Watch implements store.Store.
func (v *View) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []store.Item, at int64, err error) {
	deadline := time.Now().Add(wait)
	l := v.read(ctx, func(ctx context.Context) (l readResult) {
		for {
			var changed chan struct{}
			l.items, l.revision, changed, l.err = v.Store.changesAfter(prefix, after)
			if l.err != nil || len(l.items) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
				return l
			}
			select {
			case <-changed:
			case <-time.After(leaseCheckInterval):
			case <-ctx.Done():
			}
		}
	})
	return l.items, max(l.revision, after), l.err
}

// Apply implements store.Store.
func (v *View) Apply(ctx context.Context, t store.Txn) (revision int64, current []store.Item, err error) {
	type answer struct {
		revision int64
		current  []store.Item
		err      error
	}
	answers := make(chan answer, 1)
	err = v.Link.call(ctx, fault.StoreUnavailable, noIncarnation, func(context.Context) {
		var a answer
		a.revision, a.current, a.err = v.Store.apply(t)
		answers <- a
	})
	if err != nil {
		return 0, nil, err
	}
	a := <-answers
	return a.revision, a.current, a.err
}

// Grant implements store.Store.
func (v *View) Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	ids := make(chan int64, 1)
	err := v.Link.call(ctx, fault.StoreUnavailable, noIncarnation, func(context.Context) {
		s := v.Store
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			ids <- 0
			return
		}
		s.revision++
		s.leases[s.revision] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
		ids <- s.revision
	})
	if err != nil {
		return 0, 0, err
	}
	id := <-ids
	if id == 0 {
		return 0, 0, fault.New(fault.StoreUnavailable, "down")
	}
	return id, ttl, nil
}

// KeepAlive implements store.Store.
func (v *View) KeepAlive(ctx context.Context, id int64) error {
	errs := make(chan error, 1)
	err := v.Link.call(ctx, fault.StoreUnavailable, noIncarnation, func(context.Context) {
		s := v.Store
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		switch {
		case s.down:
			errs <- fault.New(fault.StoreUnavailable, "down")
		case l == nil:
			errs <- fault.New(fault.NotFound, "no such lease")
		default:
			l.expiresAt = time.Now().Add(l.ttl)
			errs <- nil
		}
	})
	if err != nil {
		return err
	}
	return <-errs
}

// Revoke implements store.Store.
func (v *View) Revoke(ctx context.Context, id int64) error {
	return v.Link.call(ctx, fault.StoreUnavailable, noIncarnation, func(context.Context) {
		v.Store.mu.Lock()
		defer v.Store.mu.Unlock()
		if v.Store.leases[id] != nil {
			v.Store.revokeLease(id)
		}
	})
}
