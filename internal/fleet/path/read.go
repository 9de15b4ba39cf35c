package path

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// maxHedgeDelay bounds the delay after which a read is also made by another route. A
	// caller who waits for 3 s has time for several.
	maxHedgeDelay = 600 * time.Millisecond
	// maxReadRelays bounds the number of peers tried for one read.
	maxReadRelays = 8
)

// readResult is the response to a read.
type readResult struct {
	item  store.Item
	found bool
	items []store.Item
	// at is the revision of the response.
	at  int64
	err error
}

// readCall reads the store through an access.
type readCall func(ctx context.Context, a Access) readResult

// Get reads a key.
func (p *Path) Get(ctx context.Context, key string) (store.Item, bool, error) {
	r := p.read(ctx, func(ctx context.Context, a Access) (r readResult) {
		r.item, r.found, r.err = a.Get(ctx, key)
		return r
	})
	return r.item, r.found, r.err
}

// Range reads the keys below a prefix.
func (p *Path) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	r := p.read(ctx, func(ctx context.Context, a Access) (r readResult) {
		r.items, r.at, r.err = a.Range(ctx, prefix)
		return r
	})
	return r.items, r.at, r.err
}

// read makes a read by one route after another: directly, then through peers, or through
// peers first while the direct route fails. The next attempt begins when one has failed, or
// when none has begun to respond within the hedge delay, since a route on which calls get
// no response fails only by its timeout. read returns the first response of the store.
func (p *Path) read(ctx context.Context, c readCall) readResult {
	if p.allRoutesFailing() {
		p.Meter.Inc("store_refused_at_once")
		return readResult{err: fault.New(fault.StoreUnavailable, "the store is unreachable, directly and through peers")}
	}
	r := newReading(ctx, p, c)
	r.startNext()
	hedge := time.NewTimer(p.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case a := <-r.ended:
			if storeResponded(a.result.err) {
				r.recordResponse(a)
				return a.result
			}
			if r.recordFailure(a); !r.startNext() && r.pending == 0 {
				p.recordPeersFailed(r.peerRefusals > 0)
				return readResult{err: fault.Wrap(fault.StoreUnavailable, a.result.err, "read")}
			}
			hedge.Reset(p.hedgeDelay())
		case <-r.begun:
			hedge.Stop()
		case <-hedge.C:
			if r.startNext() {
				p.Meter.Inc("store_read_hedged")
			}
			hedge.Reset(p.hedgeDelay())
		case <-ctx.Done():
			return readResult{err: fault.Wrap(fault.StoreUnavailable, ctx.Err(), "read")}
		}
	}
}

// hedgeDelay returns the time without a response after which a read is also made by another
// route. It is longer while the store is slow, so that such a store gets few further reads.
func (p *Path) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(hedgeDelay, 2*p.lastDirectTook), maxHedgeDelay)
}

// reading is a read in progress.
type reading struct {
	path *Path
	call readCall
	// ctx does not end with that of the caller, since ending an attempt would count as a
	// failure of its route.
	ctx      context.Context
	attempts []*attempt
	pending  int
	ended    chan *attempt
	// begun receives a value when the response to an attempt begins.
	begun chan struct{}
	// directFirst reports that the direct route did not fail when the read began.
	directFirst, directTried bool
	// peers are those that have not been tried; nil before they are listed.
	peers []Access
	// peerRefusals counts the peers that have responded that they can't reach the store.
	peerRefusals int
}

// attempt is the attempt of a read by one route.
type attempt struct {
	direct bool
	began  time.Time
	// cancel ends the attempt.
	cancel context.CancelFunc
	// result is valid once the attempt has ended.
	result readResult
}

func newReading(ctx context.Context, p *Path, c readCall) *reading {
	r := &reading{path: p, call: c, ended: make(chan *attempt, 1+maxReadRelays), begun: make(chan struct{}, 1), directFirst: !p.isDirectFailing()}
	r.ctx = httptrace.WithClientTrace(context.WithoutCancel(ctx), &httptrace.ClientTrace{GotFirstResponseByte: func() {
		select {
		case r.begun <- struct{}{}:
		default:
		}
	}})
	return r
}

// startNext begins an attempt by the next route, and reports whether there is one.
func (r *reading) startNext() bool {
	if !r.directTried && r.directFirst {
		r.startDirect()
		return true
	}
	if r.peers == nil {
		all := r.path.Relays.Relays()
		r.peers = append([]Access{}, all[:min(len(all), maxReadRelays)]...)
	}
	// The direct route may have recovered, but more likely a further peer responds.
	if !r.directTried && (len(r.peers) == 0 || len(r.attempts) >= maxRelays) && !r.path.backsOff() {
		r.startDirect()
		return true
	}
	// Refused reads may reach a store that refuses them for their rate.
	if len(r.peers) == 0 || r.peerRefusals >= maxRelays {
		return false
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.path.Meter.Inc("store_relayed")
	r.start(&attempt{}, relayTimeout, func(ctx context.Context) readResult { return r.call(ctx, peer) })
	return true
}

func (r *reading) startDirect() {
	r.directTried = true
	r.start(&attempt{direct: true}, directTimeout, func(ctx context.Context) (result readResult) {
		_ = r.path.callDirect(ctx, 0, func(ctx context.Context, a Access) error {
			result = r.call(ctx, a)
			return result.err
		})
		return result
	})
}

func (r *reading) start(a *attempt, timeout time.Duration, read func(ctx context.Context) readResult) {
	r.pending++
	r.attempts = append(r.attempts, a)
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	a.began, a.cancel = time.Now(), cancel
	go func() {
		defer cancel()
		a.result = read(ctx)
		r.ended <- a
	}()
}

// recordResponse records that the store has responded to an attempt. The routes of earlier
// attempts that have not ended are not to be tried first by the next calls. Later attempts
// go on: they have had less time.
func (r *reading) recordResponse(a *attempt) {
	if !a.direct {
		r.path.recordRelayed()
	}
	for _, earlier := range r.attempts {
		if earlier == a {
			return
		}
		if earlier.direct {
			r.path.record(earlier.began, fault.New(fault.StoreUnavailable, "no response for %v, while a peer responded", time.Since(earlier.began)))
		} else {
			earlier.cancel()
		}
	}
}

// recordFailure records that an attempt has failed.
func (r *reading) recordFailure(a *attempt) {
	r.pending--
	if !a.direct && !fault.Is(a.result.err, fault.Unreachable) {
		r.peerRefusals++
	}
}
