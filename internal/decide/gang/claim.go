package gang

import (
	"math/bits"
	"time"
)

// nomination is a set of accelerators nominated for a waiting job until all of
// them are free.
type nomination struct {
	place *place
	// pending is the number of its accelerators that are still occupied.
	pending int
	// evicting reports that the occupants were pre-empted; the job is then in
	// no queue. A nomination without it is the reservation of the head.
	evicting bool
	// expectedFree is when the accelerators of a reservation are expected to be
	// free.
	expectedFree time.Time
	// lastPending is pending at the last check of a reservation, -1 before the
	// first.
	lastPending int
}

// nominate nominates the accelerators of p for js. Nominations of other jobs
// that overlap p are cancelled.
func (s *State) nominate(js *jobState, p *place, evicting bool, expectedFree time.Time) {
	nom := &nomination{place: p, evicting: evicting, expectedFree: expectedFree, lastPending: -1}
	for i, n := range p.nodes {
		for m := p.masks[i]; m != 0; m &= m - 1 {
			a := bits.TrailingZeros64(m)
			if other := n.nominees[a]; other != nil {
				s.cancelAndRequeue(other)
			}
			n.nominees[a] = js
			n.nominated |= 1 << a
			if n.occupants[a] != nil {
				nom.pending++
			}
		}
		s.fleet.index(n)
	}
	js.nomination = nom
}

// cancelNomination cancels the nomination of js.
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

// cancelAndRequeue cancels the nomination of js and returns the job to its
// queue.
func (s *State) cancelAndRequeue(js *jobState) {
	s.cancelNomination(js)
	if js.queue == nil && !js.running {
		s.enqueue(js)
	}
}

// cancelAllNominations cancels the nominations of all jobs.
func (s *State) cancelAllNominations() {
	for _, js := range s.jobs {
		if js.nomination != nil {
			s.cancelAndRequeue(js)
		}
	}
}

// recordFreed records that one accelerator nominated for js became free.
func (s *State) recordFreed(js *jobState) {
	js.nomination.pending--
	if js.nomination.pending == 0 {
		s.ready = append(s.ready, js)
	}
}
