// Package network is an in-memory network with a store, for tests of the claim
// protocol in virtual time. The seed alone determines which calls are lost or
// delayed.
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

// Rates holds the probabilities, between 0 and 1, of the faults of a call.
type Rates struct {
	// LoseRequest loses the request, so that the call is not executed.
	LoseRequest float64
	// LoseAnswer loses the response after the call was executed.
	LoseAnswer float64
	// Late delays the execution by up to 4 s, which may exceed the caller's timeout.
	Late float64
}

// Network connects VMs and the store. Its fields are set before use.
type Network struct {
	Seed  uint64
	Rates Rates
	// Latency is the latency of each direction of every call; 0 means random, up to 4 ms.
	Latency time.Duration

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

// callOutcome is the latency and the fault chosen for one call.
type callOutcome struct {
	requestLatency, responseLatency time.Duration
	loseRequest, loseResponse       bool
	extraLatency                    time.Duration
}

// drawOutcome returns the outcome of the next call from one endpoint to another. It
// depends on the seed, the endpoints and the number of earlier calls between them.
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
	if n.Latency != 0 {
		outcome.requestLatency, outcome.responseLatency = n.Latency, n.Latency
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

// SetRates sets the probabilities of the faults.
func (n *Network) SetRates(r Rates) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Rates = r
}

// Cut blocks or restores the connection between two endpoints; the store is
// "store".
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[string]bool)
	}
	n.cuts[pairKey(a, b)] = cut
}

// CutStore blocks or restores a VM's connection to the store.
func (n *Network) CutStore(vm string, cut bool) { n.Cut(vm, storeEndpoint, cut) }

// Heal restores all connections, ends all faults and continues all paused VMs.
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

// Pause pauses a VM: it neither sends nor handles calls until Continue.
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

// WaitWhilePaused waits until a VM is not paused.
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

// Errors of a call, by whether it may have been executed.
var (
	errNotExecuted    = fault.New(fault.StoreUnavailable, "the call was not executed")
	errUnknownOutcome = fault.New(fault.ClaimUnresolved, "the call may have been executed")
)

// Call delivers a call from one endpoint to another and runs effect there. Its
// error, ClaimUnresolved, leaves open whether effect ran or will run.
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

// Store is one VM's connection to the store.
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

// Get returns the entry of a key. Its error is StoreUnavailable.
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

// Put writes a key if its revision is ifRevision, else it returns Conflict.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	var rev uint64
	err := s.call(ctx, func() { rev = s.Network.put(key, value, ifRevision) })
	if err != nil {
		return 0, err
	}
	if rev == 0 {
		return 0, fault.New(fault.Conflict, "the key has another revision")
	}
	return rev, nil
}

// put writes a key and returns its new revision, or 0 if its revision is not
// ifRevision.
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

// Delete deletes a key if its revision is ifRevision, else it returns Conflict.
func (s *Store) Delete(ctx context.Context, key string, ifRevision uint64) error {
	deleted := false
	err := s.call(ctx, func() { deleted = s.Network.remove(key, ifRevision) })
	if err == nil && !deleted {
		return fault.New(fault.Conflict, "the key has another revision")
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

// ListPage returns up to limit entries whose keys begin with prefix and follow
// after, and whether there are more. Its error is StoreUnavailable.
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
