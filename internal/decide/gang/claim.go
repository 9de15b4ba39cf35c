package gang

import (
	"math/bits"
	"time"
)

// claim keeps a place for a waiting job until all of it is free.
type claim struct {
	place *place
	// pending is the number of its accelerators that are still held.
	pending int
	// firm says that the holders were told to stop; the job is in no queue. A
	// claim that is not firm is the reservation of the head.
	firm bool
	// until is when the place of a reservation is expected to be free.
	until time.Time
	// seen is pending at the last look at a reservation.
	seen int
}

// claimPlace keeps a place for js. Claims of others on it are given up.
func (s *State) claimPlace(js *jobState, p *place, firm bool, until time.Time) {
	c := &claim{place: p, firm: firm, until: until, seen: -1}
	for i, n := range p.nodes {
		for m := p.masks[i]; m != 0; m &= m - 1 {
			a := bits.TrailingZeros64(m)
			if o := n.claims[a]; o != nil {
				s.unclaim(o)
			}
			n.claims[a] = js
			n.claimed |= 1 << a
			if n.holders[a] != nil {
				c.pending++
			}
		}
		s.fleet.index(n)
	}
	js.claim = c
}

// dropClaim gives up the place kept for js.
func (s *State) dropClaim(js *jobState) {
	if js.claim == nil {
		return
	}
	p := js.claim.place
	js.claim = nil
	if s.head == js {
		s.head = nil
	}
	for i, n := range p.nodes {
		for m := p.masks[i]; m != 0; m &= m - 1 {
			a := bits.TrailingZeros64(m)
			if a < len(n.claims) && n.claims[a] == js {
				n.claims[a] = nil
				n.claimed &^= 1 << a
			}
		}
		s.fleet.index(n)
		s.fleet.touch(n.rack)
	}
	s.freshenAll(js.account)
}

// unclaim gives up the place and puts the job back in its queue.
func (s *State) unclaim(js *jobState) {
	s.dropClaim(js)
	if js.queue == nil && !js.running {
		s.enqueue(js)
	}
}

// dropClaims gives up all claims.
func (s *State) dropClaims() {
	for _, js := range s.jobs {
		if js.claim != nil {
			s.unclaim(js)
		}
	}
}

// countDown notes that one accelerator of a claimed place became free.
func (s *State) countDown(js *jobState) {
	js.claim.pending--
	if js.claim.pending == 0 {
		s.ready = append(s.ready, js)
	}
}
