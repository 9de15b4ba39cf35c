package gang

import (
	"math/bits"
	"time"
)

// claim keeps a place for a waiting job until all of it is free.
type nomination struct {
	place *place
	// pending is the number of its accelerators that are still held.
	pending int
	// firm says that the holders were told to stop; the job is in no queue. A
	// claim that is not firm is the reservation of the head.
	evicting bool
	// until is when the place of a reservation is expected to be free.
	expectedFree time.Time
	// seen is pending at the last look at a reservation.
	lastPending int
}

// claimPlace keeps a place for js. Claims of others on it are given up.
func (s *State) nominate(js *jobState, p *place, evicting bool, expectedFree time.Time) {
	c := &nomination{place: p, evicting: evicting, expectedFree: expectedFree, lastPending: -1}
	for i, n := range p.nodes {
		for m := p.masks[i]; m != 0; m &= m - 1 {
			a := bits.TrailingZeros64(m)
			if o := n.nominees[a]; o != nil {
				s.cancelAndRequeue(o)
			}
			n.nominees[a] = js
			n.nominated |= 1 << a
			if n.occupants[a] != nil {
				c.pending++
			}
		}
		s.fleet.index(n)
	}
	js.nomination = c
}

// dropClaim gives up the place kept for js.
func (s *State) cancelNomination(js *jobState) {
	if js.nomination == nil {
		return
	}
	p := js.nomination.place
	js.nomination = nil
	if s.head == js {
		s.head = nil
	}
	for i, n := range p.nodes {
		for m := p.masks[i]; m != 0; m &= m - 1 {
			a := bits.TrailingZeros64(m)
			if a < len(n.nominees) && n.nominees[a] == js {
				n.nominees[a] = nil
				n.nominated &^= 1 << a
			}
		}
		s.fleet.index(n)
		s.fleet.markFreed(n.rack)
	}
	s.markAllChanged(js.account)
}

// unclaim gives up the place and puts the job back in its queue.
func (s *State) cancelAndRequeue(js *jobState) {
	s.cancelNomination(js)
	if js.queue == nil && !js.running {
		s.enqueue(js)
	}
}

// dropClaims gives up all claims.
func (s *State) cancelAllNominations() {
	for _, js := range s.jobs {
		if js.nomination != nil {
			s.cancelAndRequeue(js)
		}
	}
}

// countDown notes that one accelerator of a claimed place became free.
func (s *State) recordFreed(js *jobState) {
	js.nomination.pending--
	if js.nomination.pending == 0 {
		s.ready = append(s.ready, js)
	}
}
