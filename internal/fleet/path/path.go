// Package path calls the platform's store directly, or through a peer while this
// VM can't reach the store.
package path

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// directTimeout bounds a direct call, besides the transfer of a change. A call normally
	// takes 4 ms; one that is 200 times slower still completes in time.
	directTimeout = 1200 * time.Millisecond
	// relayTimeout bounds a call through a peer, which makes a direct call itself, besides
	// the two transfers of a change.
	relayTimeout = 1300 * time.Millisecond
	// probeInterval is the time between two direct probes of the store while calls
	// go to peers first. A probe does not wait for the one before it, since a silent
	// store leaves each of them waiting for directTimeout.
	probeInterval = 100 * time.Millisecond
	// maxProbes is the number of probes in flight while none is answered.
	maxProbes = int(directTimeout/probeInterval) + 1
	// maxRefusalBackoff bounds the pause between direct calls while the store refuses them
	// for their rate. It leaves a caller, who waits for 3 s, time for another call.
	maxRefusalBackoff = time.Second
	// failingLogInterval is the interval at which a failure of the direct route is logged
	// again.
	failingLogInterval = time.Second
	// maxRelays bounds the number of peers tried for one call.
	maxRelays = 2
	// relayBackoff is how long after all peers failed they are not tried again while
	// the direct route fails too; calls are refused immediately during this time.
	relayBackoff = 250 * time.Millisecond
)

// ErrNotCalled is wrapped by the error of a call that a relaying VM has not made, since its
// direct route to the store fails.
var ErrNotCalled = errors.New("the relaying VM can't reach the store")

// Access is the part of the store's interface that serving callers needs.
type Access interface {
	Get(ctx context.Context, key string) (store.Item, bool, error)
	Range(ctx context.Context, prefix string) ([]store.Item, int64, error)
	// Changes returns the items that changed after a revision, or more, and the revision
	// of that reading. After revision 0, or one that the store's history no longer
	// contains, it returns all items.
	Changes(ctx context.Context, prefix string, after int64) ([]store.Item, int64, error)
	Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error)
}

// Relays lists peers that can relay store calls, the most likely to succeed first. The
// access through a peer is the same in each list, and comparable.
type Relays interface {
	Relays() []Access
}

// Path calls the store by the route that works. Its exported fields are set before
// use.
type Path struct {
	Direct Access
	Relays Relays
	// ProbeKey is the key that is read to detect that the store can be reached again. Its
	// value is small, since the reads overlap.
	ProbeKey string
	Log      *slog.Logger
	Meter    *meter.Meter

	mu sync.Mutex
	// lastDirect and lastRelay are the times of the last success by each route.
	lastDirect, lastRelay time.Time
	// lastDirectTook is how long the last successful direct call took.
	lastDirectTook time.Duration
	// relayFailed is the time at which all peers last failed, or as many as are tried.
	relayFailed time.Time
	// directFailing reports that the last direct call failed: calls go to peers first until
	// a direct one succeeds.
	directFailing bool
	// directSilent reports that the last direct call that failed got no response.
	directSilent bool
	// failingSince is when the direct route began to fail, and lastErr its last error.
	failingSince time.Time
	lastErr      error
	// refusals is the number of times in a row that the store refused a direct call for its
	// rate, without those that began before resumeAt, which is when the next may begin.
	refusals int
	resumeAt time.Time
	// hedges are the numbers of attempts in flight by peer that were made beside others.
	hedges map[Access]int
	// noPeerResponded reports that no peer responded to the last call that was sent to peers.
	noPeerResponded bool
}

// route sends a call to the store. A read changes nothing, so it may be repeated. transfer
// is the additional time for the values of a change.
type route func(ctx context.Context, read bool, transfer time.Duration, call func(ctx context.Context, a Access) error) error

// Get implements Access.
func (r route) Get(ctx context.Context, key string) (it store.Item, found bool, err error) {
	err = r(ctx, true, 0, func(ctx context.Context, a Access) error {
		var err error
		it, found, err = a.Get(ctx, key)
		return err
	})
	return it, found, err
}

// Range implements Access.
func (r route) Range(ctx context.Context, prefix string) (items []store.Item, at int64, err error) {
	err = r(ctx, true, 0, func(ctx context.Context, a Access) error {
		var err error
		items, at, err = a.Range(ctx, prefix)
		return err
	})
	return items, at, err
}

// Changes implements Access.
func (r route) Changes(ctx context.Context, prefix string, after int64) (items []store.Item, at int64, err error) {
	err = r(ctx, true, 0, func(ctx context.Context, a Access) error {
		var err error
		items, at, err = a.Changes(ctx, prefix, after)
		return err
	})
	return items, at, err
}

// Apply implements Access.
func (r route) Apply(ctx context.Context, t store.Txn) (revision int64, current []store.Item, err error) {
	err = r(ctx, false, t.TransferTime(), func(ctx context.Context, a Access) error {
		var err error
		revision, current, err = a.Apply(ctx, t)
		return err
	})
	return revision, current, err
}

// Changes reads the keys below a prefix that changed after a revision.
func (p *Path) Changes(ctx context.Context, prefix string, after int64) ([]store.Item, int64, error) {
	return route(p.tryRoutes).Changes(ctx, prefix, after)
}

// Apply makes a change. It returns an error of kind AnswerLost when an attempt got
// no response; the next call uses the other route.
func (p *Path) Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	// A large value would delay its own repetition on the same link.
	if t.OnlyCreates() && t.TransferTime() < hedgeDelay {
		return p.create(ctx, t)
	}
	return route(p.tryRoutes).Apply(ctx, t)
}

// storeResponded reports whether an error is a response of the store itself.
func storeResponded(err error) bool {
	return err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) || fault.Is(err, fault.RetryHorizon) || fault.Is(err, fault.BadRequest)
}

// tryRoutes tries the direct route and then peers, or peers first after a direct
// failure. It does not repeat a change that may have been made.
func (p *Path) tryRoutes(ctx context.Context, read bool, transfer time.Duration, call func(ctx context.Context, a Access) error) error {
	if p.allRoutesFailing() {
		p.Meter.Inc("store_refused_at_once")
		return fault.New(fault.StoreUnavailable, "the store is unreachable, directly and through peers")
	}
	skipDirect, silent := p.isDirectFailing(), p.isDirectSilent()
	if !skipDirect {
		began := time.Now()
		if err := p.callDirect(ctx, transfer, call); storeResponded(err) || !read && !fault.Is(err, fault.StoreUnavailable) {
			return err
		}
		silent = time.Since(began) >= hedgeDelay
	}
	callPeers := p.callPeers
	if read && silent {
		callPeers = p.callRespondingPeers
	}
	err := callPeers(ctx, read, transfer, call)
	// A read may still try the direct route. A change is refused instead, since
	// sending it by a route that is known to fail could leave it unknown whether it
	// was made.
	if skipDirect && read && fault.Is(err, fault.StoreUnavailable) && ctx.Err() == nil && !p.backsOff() {
		return p.callDirect(ctx, transfer, call)
	}
	return err
}

// DirectOnly returns access by the direct route only, for calls that this VM relays
// for its peers. It refuses calls immediately while that route is known to fail. Its Changes
// are those of one key.
func (p *Path) DirectOnly() Access { return &relayed{p.directOnly, p} }

func (p *Path) directOnly(ctx context.Context, _ bool, transfer time.Duration, call func(ctx context.Context, a Access) error) error {
	if p.isDirectFailing() {
		return fault.Wrap(fault.StoreUnavailable, ErrNotCalled, "relay")
	}
	return p.callDirect(ctx, transfer, call)
}

// allRoutesFailing reports whether the direct route fails and all peers failed
// within relayBackoff.
func (p *Path) allRoutesFailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directFailing && time.Since(p.relayFailed) < relayBackoff
}

func (p *Path) isDirectFailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directFailing
}

// isDirectSilent reports whether the direct route fails since its calls get no response.
func (p *Path) isDirectSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directFailing && p.directSilent
}

// backsOff reports whether no direct call may begin, since the store refused one for its
// rate: the fleet's probes and repeated reads could alone exceed what the store accepts.
func (p *Path) backsOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directFailing && time.Now().Before(p.resumeAt)
}

// backOff records that the store refused a call for its rate that began at a time. The
// caller must hold p.mu.
func (p *Path) backOff(began time.Time) {
	if began.Before(p.resumeAt) {
		return
	}
	delay := min(probeInterval<<p.refusals, maxRefusalBackoff)
	if delay < maxRefusalBackoff {
		p.refusals++
	}
	// The VMs of a fleet are refused at the same time, and must not all call again at once.
	delay = delay/2 + rand.N(delay/2)
	p.resumeAt = time.Now().Add(delay)
	p.Meter.Inc("store_refused_for_rate")
	p.Log.Debug("store refuses calls for their rate", "times", p.refusals, "next_ms", delay.Milliseconds())
}

func (p *Path) callDirect(ctx context.Context, transfer time.Duration, call func(ctx context.Context, a Access) error) error {
	callCtx, cancel := context.WithTimeout(ctx, directTimeout+transfer)
	defer cancel()
	began := time.Now()
	err := call(callCtx, p.Direct)
	// A peer that no longer waits for a relayed call ends it, which tells nothing of the store
	// unless a response was due.
	if storeResponded(err) || !errors.Is(ctx.Err(), context.Canceled) || time.Since(began) >= p.hedgeDelay()+transfer {
		p.record(began, err)
	}
	return err
}

// record records the result of a direct call that began at a time.
func (p *Path) record(began time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !storeResponded(err) && p.lastDirect.After(began) {
		// A call that began later succeeded, so this failure is outdated.
		return
	}
	if storeResponded(err) {
		if p.directFailing {
			p.Log.Info("store reached again", "failed_ms", time.Since(p.failingSince).Milliseconds())
		}
		p.lastDirect, p.directFailing, p.refusals = time.Now(), false, 0
		p.lastDirectTook = time.Since(began)
		return
	}
	if errors.Is(err, store.ErrTooManyCalls) {
		p.backOff(began)
	}
	if !p.directFailing {
		p.Log.Warn("store not reached", "error", err)
		p.failingSince = time.Now()
	}
	p.directFailing, p.lastErr = true, err
	p.directSilent = time.Since(began) >= hedgeDelay
}

func (p *Path) callPeers(ctx context.Context, read bool, transfer time.Duration, call func(ctx context.Context, a Access) error) error {
	return p.callInOrder(ctx, p.Relays.Relays(), read, transfer, call)
}

// callRespondingPeers makes a read of a value that may be large, while the store does not
// respond directly. Other VMs may have lost the store in silence too, so it first finds a
// peer that responds to a read of a small key.
func (p *Path) callRespondingPeers(ctx context.Context, read bool, transfer time.Duration, call func(ctx context.Context, a Access) error) error {
	s := p.newAttempts(ctx, 0, func(ctx context.Context, a Access) (r response) {
		_, _, r.err = a.Get(ctx, p.ProbeKey)
		r.by = a
		return r
	})
	s.mayTryDirect, s.silent = false, true
	r, _ := s.run(ctx)
	if !storeResponded(r.err) {
		return fault.Wrap(fault.StoreUnavailable, r.err, "relay")
	}
	return p.callInOrder(ctx, []Access{r.by}, read, transfer, call)
}

// callInOrder makes a call through one peer after the other.
func (p *Path) callInOrder(ctx context.Context, peers []Access, read bool, transfer time.Duration, call func(ctx context.Context, a Access) error) error {
	var lastErr error = fault.New(fault.StoreUnavailable, "can't reach the store or a peer")
	responded, silent := false, false
	for i, a := range peers {
		if i >= maxRelays || ctx.Err() != nil {
			break
		}
		p.Meter.Inc("store_relayed")
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout+2*transfer)
		began := time.Now()
		err := call(callCtx, a)
		cancel()
		if storeResponded(err) {
			p.recordRelayed()
			return err
		}
		if !read && !fault.Is(err, fault.StoreUnavailable) {
			return err
		}
		responded = responded || !fault.Is(err, fault.Unreachable)
		silent = silent || time.Since(began) >= hedgeDelay
		lastErr = err
	}
	p.recordPeersFailed(responded, !silent || len(peers) <= maxRelays)
	return fault.Wrap(fault.StoreUnavailable, lastErr, "relay")
}

// recordRelayed records that the store has responded to a call through a peer.
func (p *Path) recordRelayed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRelay, p.noPeerResponded = time.Now(), false
}

// recordPeersFailed records that the store has responded through none of the peers tried,
// whether one of these has responded itself, and whether further peers are not to be tried.
func (p *Path) recordPeersFailed(responded, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noPeerResponded = !responded
	if all {
		p.relayFailed = time.Now()
	}
}

// Run probes the store while the direct route fails, until ctx ends.
func (p *Path) Run(ctx context.Context) {
	slots := make(chan struct{}, maxProbes)
	var probes sync.WaitGroup
	defer probes.Wait()
	loggedAt := time.Now()
	for ctx.Err() == nil {
		if p.isDirectFailing() && !p.backsOff() {
			loggedAt = p.logFailing(loggedAt, len(slots))
			select {
			case slots <- struct{}{}:
				probes.Go(func() {
					defer func() { <-slots }()
					p.probe(ctx)
				})
			default:
			}
		}
		pause.For(ctx, probeInterval)
	}
}

// logFailing logs the failure of the direct route each failingLogInterval, and returns when
// it was last logged.
func (p *Path) logFailing(loggedAt time.Time, probes int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(loggedAt) < failingLogInterval || time.Since(p.failingSince) < failingLogInterval {
		return loggedAt
	}
	p.Log.Warn("store still not reached", "failing_ms", time.Since(p.failingSince).Milliseconds(), "probes", probes,
		"relayed", p.lastRelay.After(p.failingSince), "error", p.lastErr)
	return time.Now()
}

// probe reads a key directly, which ends the failure of the direct route if it succeeds.
func (p *Path) probe(ctx context.Context) {
	err := p.callDirect(ctx, 0, func(ctx context.Context, a Access) error {
		_, _, err := a.Get(ctx, p.ProbeKey)
		return err
	})
	if err != nil {
		p.Meter.Inc("store_probe_failed")
	}
}

// Isolated reports whether neither the store nor any peer was reached for longer
// than limit.
func (p *Path) Isolated(limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directFailing && p.noPeerResponded && time.Since(p.lastDirect) > limit && time.Since(p.lastRelay) > limit
}
