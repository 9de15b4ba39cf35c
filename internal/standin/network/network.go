// Package network is an in-memory network with a store, for tests of the claim
// protocol in virtual time. Calls are lost, delayed and cut by rules that follow
// from a seed alone.
package network

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Rates are the shares of calls that meet a fault, between 0 and 1.
type Rates struct {
	// LoseRequest loses the request before its effect.
	LoseRequest float64
	// LoseAnswer loses the answer after the effect.
	LoseAnswer float64
	// Late delays the effect until after the caller has given up.
	Late float64
}

// Network connects VMs and the store. Its fields are set before use.
type Network struct {
	Seed  uint64
	Rates Rates
	// Hop is the time of one way of every call; random when 0.
	Hop time.Duration

	mu       sync.Mutex
	counts   map[string]uint64
	cuts     map[string]bool
	paused   map[string]chan struct{}
	entries  map[string]store.Entry
	revision uint64
}

const (
	maxLatency    = 4 * time.Millisecond
	maxLateDelay  = 4 * time.Second
	storeEndpoint = "store"
)

// fate is what happens to one call.
type callOutcome struct {
	requestLatency, responseLatency time.Duration
	loseRequest, loseResponse       bool
	extraLatency                    time.Duration
}

// draw decides the fate of the next call from one end to another.
func (n *Network) drawOutcome(from, to string) callOutcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts == nil {
		n.counts = make(map[string]uint64)
	}
	link := from + ">" + to
	n.counts[link]++
	h := fnv.New64a()
	_, _ = h.Write([]byte(link))
	r := rand.New(rand.NewPCG(n.Seed^h.Sum64(), n.counts[link]))
	outcome := callOutcome{requestLatency: 1 + time.Duration(r.Int64N(int64(maxLatency))), responseLatency: 1 + time.Duration(r.Int64N(int64(maxLatency)))}
	if n.Hop != 0 {
		outcome.requestLatency, outcome.responseLatency = n.Hop, n.Hop
	}
	p := r.Float64()
	switch {
	case p < n.Rates.LoseRequest:
		outcome.loseRequest = true
	case p < n.Rates.LoseRequest+n.Rates.LoseAnswer:
		outcome.loseResponse = true
	case p < n.Rates.LoseRequest+n.Rates.LoseAnswer+n.Rates.Late:
		outcome.extraLatency = time.Duration(r.Int64N(int64(maxLateDelay)))
	}
	return outcome
}

// SetRates changes the rates of faults.
func (n *Network) SetRates(r Rates) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Rates = r
}

// Cut cuts or heals the way between two ends; the store's end is "store".
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[string]bool)
	}
	n.cuts[pairKey(a, b)] = cut
}

// CutStore cuts or heals the way of a VM to the store.
func (n *Network) CutStore(vm string, cut bool) { n.Cut(vm, storeEndpoint, cut) }

// Heal heals all ways and continues all VMs.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = nil
	n.Rates = Rates{}
	for _, c := range n.paused {
		close(c)
	}
	n.paused = nil
}

func pairKey(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pairKey(a, b)]
}

// Pause stops a VM: it neither sends nor handles until Continue.
func (n *Network) Pause(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(map[string]chan struct{})
	}
	if n.paused[vm] == nil {
		n.paused[vm] = make(chan struct{})
	}
}

// Continue continues a paused VM.
func (n *Network) Continue(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.paused[vm]; c != nil {
		close(c)
		delete(n.paused, vm)
	}
}

// Gate waits while a VM is paused.
func (n *Network) WaitWhilePaused(vm string) {
	for {
		n.mu.Lock()
		c := n.paused[vm]
		n.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// errors of a call, by whether it may have had an effect.
var (
	errNotExecuted    = fault.New(fault.StoreUnavailable, "no effect")
	errUnknownOutcome = fault.New(fault.ClaimUnresolved, "may have had an effect")
)

// Call carries a call from one end to another and runs effect there.
func (n *Network) Call(ctx context.Context, from, to string, effect func()) error {
	n.WaitWhilePaused(from)
	if ctx.Err() != nil {
		return errUnknownOutcome
	}
	outcome := n.drawOutcome(from, to)
	err := n.deliver(ctx, outcome, from, to, effect)
	n.WaitWhilePaused(from)
	return err
}

func (n *Network) deliver(ctx context.Context, outcome callOutcome, from, to string, effect func()) error {
	if n.isCut(from, to) || outcome.loseRequest {
		<-ctx.Done()
		return errUnknownOutcome
	}
	done := make(chan struct{})
	go func() {
		time.Sleep(outcome.requestLatency + outcome.extraLatency)
		n.WaitWhilePaused(to)
		effect()
		time.Sleep(outcome.responseLatency)
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return errUnknownOutcome
	}
	if outcome.loseResponse || n.isCut(from, to) {
		<-ctx.Done()
		return errUnknownOutcome
	}
	return nil
}

// Store is the store as one VM reaches it.
type Store struct {
	Network *Network
	VM      string
	// Timeout bounds one call.
	Timeout time.Duration
}

func (s *Store) call(ctx context.Context, effect func()) error {
	if s.Network.isCut(s.VM, storeEndpoint) {
		time.Sleep(maxLatency)
		return errNotExecuted
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	return s.Network.Call(ctx, s.VM, storeEndpoint, effect)
}

// Get returns the entry of a key.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	var e store.Entry
	var found bool
	err := s.call(ctx, func() {
		s.Network.mu.Lock()
		defer s.Network.mu.Unlock()
		e, found = s.Network.entries[key]
	})
	if err != nil {
		return store.Entry{}, false, errNotExecuted
	}
	return e, found, nil
}

// Put writes a key whose revision is ifRevision.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	var rev uint64
	err := s.call(ctx, func() { rev = s.Network.put(key, value, ifRevision) })
	if err != nil {
		return 0, err
	}
	if rev == 0 {
		return 0, fault.New(fault.Conflict, "another revision")
	}
	return rev, nil
}

// put returns 0 when the revision differs.
func (n *Network) put(key string, value []byte, ifRevision uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.entries[key].Revision != ifRevision {
		return 0
	}
	if n.entries == nil {
		n.entries = make(map[string]store.Entry)
	}
	n.revision++
	n.entries[key] = store.Entry{Key: key, Value: value, Revision: n.revision}
	return n.revision
}

// Delete deletes a key whose revision is ifRevision.
func (s *Store) Delete(ctx context.Context, key string, ifRevision uint64) error {
	deleted := false
	err := s.call(ctx, func() { deleted = s.Network.remove(key, ifRevision) })
	if err == nil && !deleted {
		return fault.New(fault.Conflict, "another revision")
	}
	return err
}

func (n *Network) remove(key string, ifRevision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.entries[key].Revision != ifRevision {
		return false
	}
	delete(n.entries, key)
	return true
}

// ListPage returns a page of the entries whose keys begin with prefix.
func (s *Store) ListPage(ctx context.Context, prefix, after string, limit int) ([]store.Entry, bool, error) {
	var all []store.Entry
	err := s.call(ctx, func() { all = s.Network.list(prefix, after) })
	if err != nil {
		return nil, false, errNotExecuted
	}
	if len(all) > limit {
		return all[:limit], true, nil
	}
	return all, false, nil
}

// Entries returns the entries whose keys begin with prefix.
func (n *Network) Entries(prefix string) []store.Entry { return n.list(prefix, "") }

func (n *Network) list(prefix, after string) []store.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []store.Entry
	for key, e := range n.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, e)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}
