package path

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// maxHedgeDelay bounds the delay after which a call is also made by another route. A
	// caller who waits for 3 s has time for a further attempt.
	maxHedgeDelay = 900 * time.Millisecond
	// maxPeers bounds the number of peers tried for one call.
	maxPeers = 8
	// maxPeerRefusals bounds the number of refused calls through peers: many attempts could
	// alone exceed the rate of calls that the store accepts.
	maxPeerRefusals = 2
	// directAfterPeers is the number of peers after which the direct route is tried although
	// it fails: it may have recovered.
	directAfterPeers = 2
	// maxHedgesPerPeer bounds the attempts in flight through one peer that were made beside
	// others. While this VM's own link is full, all of its calls are silent.
	maxHedgesPerPeer = 4
)

// response is the response of the store to a call.
type response struct {
	item  store.Item
	found bool
	items []store.Item
	// revision is that of the store.
	revision int64
	// by is the peer that was called, if the call sets it.
	by  Access
	err error
}

// repeatableCall is a call that may be made by several routes at the same time: a read, or
// a change that takes effect at most once.
type repeatableCall func(ctx context.Context, a Access) response

// Get reads a key.
func (p *Path) Get(ctx context.Context, key string) (store.Item, bool, error) {
	r := p.read(ctx, func(ctx context.Context, a Access) (r response) {
		r.item, r.found, r.err = a.Get(ctx, key)
		return r
	})
	return r.item, r.found, r.err
}

// Range reads the keys below a prefix.
func (p *Path) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	r := p.read(ctx, func(ctx context.Context, a Access) (r response) {
		r.items, r.revision, r.err = a.Range(ctx, prefix)
		return r
	})
	return r.items, r.revision, r.err
}

func (p *Path) read(ctx context.Context, c repeatableCall) response {
	r, _ := p.newAttempts(ctx, 0, c).run(ctx)
	if !storeResponded(r.err) {
		r.err = fault.Wrap(fault.StoreUnavailable, r.err, "read")
	}
	return r
}

// createTimeout bounds the creation of keys by all routes, besides the transfers of the
// values. Its caller decides whether there is time for more.
const createTimeout = relayTimeout

// create makes a change that creates keys. Since each key must not exist before, the change
// may be made by several routes and takes effect once. An error of kind Conflict means that
// others created a key.
func (p *Path) create(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, createTimeout+2*t.TransferTime())
	defer cancel()
	a := p.newAttempts(ctx, t.TransferTime(), func(ctx context.Context, a Access) (r response) {
		r.revision, r.items, r.err = a.Apply(ctx, t)
		return r
	})
	// By a route that is known to fail it could become unknown whether the change was made.
	a.mayTryDirect = a.directFirst
	r, unanswered := a.run(ctx)
	switch {
	case fault.Is(r.err, fault.Conflict) && len(a.all) > 1 && created(t, r.items):
		return r.items[0].Revision, nil, nil
	case storeResponded(r.err):
		return r.revision, r.items, r.err
	case unanswered:
		return 0, nil, fault.Wrap(fault.AnswerLost, r.err, "create")
	}
	return 0, nil, fault.Wrap(fault.StoreUnavailable, r.err, "create")
}

// created reports whether current items are those that a change creates.
func created(t store.Txn, current []store.Item) bool {
	values := make(map[string][]byte, len(current))
	for _, it := range current {
		values[it.Key] = it.Value
	}
	for _, put := range t.Puts {
		if value, found := values[put.Key]; !found || !bytes.Equal(value, put.Value) {
			return false
		}
	}
	return len(t.Puts) > 0
}

// hedgeDelay returns the time without a response after which a call is also made by another
// route. It is longer while the store is slow, so that such a store gets few further calls.
func (p *Path) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(hedgeDelay, 2*p.lastDirectTook), maxHedgeDelay)
}

// mayHedge reports whether a further hedge may be made through a peer.
func (p *Path) mayHedge(peer Access) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedges[peer] < maxHedgesPerPeer
}

// countHedge adds n to the number of hedges in flight through a peer.
func (p *Path) countHedge(peer Access, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hedges == nil {
		p.hedges = make(map[Access]int)
	}
	if p.hedges[peer] += n; p.hedges[peer] == 0 {
		delete(p.hedges, peer)
	}
}

// attempt is the attempt of a call by one route.
type attempt struct {
	// peer is nil for the direct route.
	peer Access
	// hedge reports that the attempt was made beside another one.
	hedge bool
	began time.Time
	// cancel ends the attempt.
	cancel context.CancelFunc
	// responding and done report that the response has begun and that the attempt has ended.
	responding, done bool
	// response is valid once the attempt has ended.
	response response
}

// attempts are the attempts of one call. The call is made by one route after another:
// directly, then through peers, or through peers first while the direct route fails. The next
// attempt begins when one has failed, or beside the earlier ones when none of them has begun to
// respond within the hedge delay, since a route on which calls get no response fails only by
// its timeout. The first response of the store ends the call; the other attempts may outlast
// it.
type attempts struct {
	path     *Path
	call     repeatableCall
	transfer time.Duration
	// ctx does not end with that of the caller, since ending an attempt would count as a
	// failure of its route.
	ctx context.Context
	// all are the attempts in the order in which they began, and pending the number of those
	// that have not ended.
	all     []*attempt
	pending int
	// responding receives an attempt when its response begins, and done when it has ended.
	responding, done chan *attempt
	// directFirst reports that the direct route did not fail when the call began. It may be
	// tried once if mayTryDirect is set.
	directFirst, mayTryDirect bool
	// refusals counts the calls through peers that the store has refused. If silent is set,
	// peers that can't reach the store do not count: they have lost it in silence too.
	refusals int
	// silent reports that a route does not respond, rather than refuses.
	silent bool
	// peerResponded reports that a peer has responded.
	peerResponded bool
}

func (p *Path) newAttempts(ctx context.Context, transfer time.Duration, c repeatableCall) *attempts {
	return &attempts{
		path: p, call: c, transfer: transfer, ctx: context.WithoutCancel(ctx), directFirst: !p.isDirectFailing(), mayTryDirect: true, silent: p.isDirectSilent(),
		responding: make(chan *attempt, 1+maxPeers), done: make(chan *attempt, 1+maxPeers),
	}
}

// run makes the call. It returns the first response of the store, or the last error and
// whether an attempt may yet take effect.
func (s *attempts) run(ctx context.Context) (r response, unanswered bool) {
	p := s.path
	if p.allRoutesFailing() {
		p.Meter.Inc("store_refused_at_once")
		return response{err: fault.New(fault.StoreUnavailable, "the store is unreachable, directly and through peers")}, false
	}
	if ctx.Err() != nil {
		return response{err: fault.Wrap(fault.StoreUnavailable, ctx.Err(), "no time is left")}, false
	}
	if !s.startNext() {
		return response{err: fault.New(fault.StoreUnavailable, "no route to the store")}, false
	}
	hedge := time.NewTimer(p.hedgeDelay() + s.transfer)
	defer hedge.Stop()
	for {
		select {
		case a := <-s.done:
			s.pending--
			a.done = true
			if storeResponded(a.response.err) {
				s.recordResponse(a)
				return a.response, false
			}
			unanswered = unanswered || !fault.Is(a.response.err, fault.StoreUnavailable)
			s.recordFailure(a)
			if !s.startNext() && s.pending == 0 {
				p.recordPeersFailed(s.peerResponded, true)
				return a.response, unanswered
			}
			hedge.Reset(p.hedgeDelay() + s.transfer)
		case a := <-s.responding:
			if a.responding = true; !a.done {
				hedge.Stop()
			}
		case <-hedge.C:
			s.silent = true
			if s.startNext() {
				p.Meter.Inc("store_call_hedged")
			}
			hedge.Reset(p.hedgeDelay() + s.transfer)
		case <-ctx.Done():
			return response{err: fault.Wrap(fault.Unreachable, ctx.Err(), "no response by any route")}, true
		}
	}
}

// startNext begins an attempt by the next route, and reports whether there is one.
func (s *attempts) startNext() bool {
	if s.mayTryDirect && s.directFirst {
		s.startDirect()
		return true
	}
	peer := s.nextPeer()
	if s.mayTryDirect && (peer == nil || s.peersTried() >= directAfterPeers) && !s.path.backsOff() {
		s.startDirect()
		return true
	}
	if peer == nil || s.refusals >= maxPeerRefusals || s.peersTried() >= maxPeers {
		return false
	}
	a := &attempt{peer: peer, hedge: s.pending > 0}
	if a.hedge {
		s.path.countHedge(peer, 1)
	}
	s.path.Meter.Inc("store_relayed")
	s.start(a, relayTimeout+2*s.transfer, func(ctx context.Context) response { return s.call(ctx, peer) })
	return true
}

// nextPeer returns the peer that is the most likely to respond, as other calls have shown
// since, of those that have not been tried. Beside another attempt it leaves out those with
// many hedges in flight. It returns nil for none.
func (s *attempts) nextPeer() Access {
	for _, peer := range s.path.Relays.Relays() {
		tried := slices.ContainsFunc(s.all, func(a *attempt) bool { return a.peer == peer })
		if !tried && (s.pending == 0 || s.path.mayHedge(peer)) {
			return peer
		}
	}
	return nil
}

// peersTried returns the number of peers tried.
func (s *attempts) peersTried() int {
	n := len(s.all)
	if slices.ContainsFunc(s.all, func(a *attempt) bool { return a.peer == nil }) {
		n--
	}
	return n
}

func (s *attempts) startDirect() {
	s.mayTryDirect = false
	s.start(&attempt{}, directTimeout+s.transfer, func(ctx context.Context) (r response) {
		_ = s.path.callDirect(ctx, s.transfer, func(ctx context.Context, a Access) error {
			r = s.call(ctx, a)
			return r.err
		})
		return r
	})
}

func (s *attempts) start(a *attempt, timeout time.Duration, do func(ctx context.Context) response) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		select {
		case s.responding <- a:
		default:
		}
	}})
	a.began, a.cancel = time.Now(), cancel
	s.all = append(s.all, a)
	s.pending++
	go func() {
		defer cancel()
		a.response = do(ctx)
		if a.hedge {
			s.path.countHedge(a.peer, -1)
		}
		s.done <- a
	}()
}

// recordResponse records that the store has responded to an attempt. The routes of earlier
// attempts that have not begun to respond are not to be tried first by the next calls. Later
// attempts go on: they have had less time.
func (s *attempts) recordResponse(a *attempt) {
	if a.peer != nil {
		s.path.recordRelayed()
	}
	for _, earlier := range s.all {
		if earlier == a {
			return
		}
		if earlier.done || earlier.responding {
			continue
		}
		if earlier.peer == nil {
			s.path.record(earlier.began, fault.New(fault.StoreUnavailable, "no response for %v, while a peer responded", time.Since(earlier.began)))
		} else {
			earlier.cancel()
		}
	}
}

// recordFailure records that an attempt has failed.
func (s *attempts) recordFailure(a *attempt) {
	if a.peer == nil || !fault.Is(a.response.err, fault.StoreUnavailable) {
		return
	}
	s.peerResponded = true
	inSilence := time.Since(a.began) >= hedgeDelay || s.silent && errors.Is(a.response.err, ErrNotCalled)
	if !inSilence {
		s.refusals++
	}
}
