package gang

import (
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

const (
	// reservationSample bounds the places that are compared for a reservation.
	reservationSample = 7
	// compactionShare bounds the accelerators of the gangs that are moved to
	// clear a reservation, relative to its size, when only fragmentation is
	// weighed.
	compactionShare = 1.3
	// minCompactionWait is the least expected wait for which borrowers are
	// moved.
	minCompactionWait = 1 * time.Minute
	// minRunBeforeMove is the time that a job runs before it may be moved.
	minRunBeforeMove = 10 * time.Minute
	// takeoverLead is how much earlier than the head a job must be ordered to
	// take over the reservation. A reservation that moves with each arrival
	// accumulates no free capacity.
	takeoverLead = time.Hour
)

// reserve reserves a place for the first waiting job that can have one, and
// maintains the reservation.
func (r *round) reserve() {
	for _, js := range r.firstJobs() {
		h := r.head
		if h != nil && h != js && js.sortKey > h.sortKey-takeoverLead.Seconds() {
			r.maintainReservation(h)
			return
		}
		if js.nomination != nil || r.moveReservation(js) {
			if h != nil && h != js {
				r.cancelNomination(h)
			}
			r.maintainReservation(js)
			return
		}
	}
}

// firstJobs returns the first waiting job of each shape, ordered by priority.
func (s *State) firstJobs() []*jobState {
	var all []*queue
	for _, g := range s.groupList {
		if len(g.queues) > 0 {
			all = append(all, g.queues[0])
		}
	}
	sort.Slice(all, func(i, j int) bool { return s.before(all[i], all[j]) })
	jobs := make([]*jobState, len(all))
	for i, q := range all {
		jobs[i] = q.waiting[0]
	}
	return jobs
}

// moveReservation reserves for js the place that is expected to be free first,
// and reports whether there is one.
func (s *State) moveReservation(js *jobState) bool {
	p, expectedFree := s.findReservation(js)
	if p == nil {
		return false
	}
	s.cancelNomination(js)
	s.nominate(js, p, false, expectedFree)
	s.head = js
	return true
}

// maintainReservation starts the head when its reservation is free. Otherwise it
// checks the reservation when occupants of it have ended or its time has come. It
// pre-empts backfill jobs that run too long, chooses another place when the
// expectation was wrong, and moves small borrowers that remain.
func (r *round) maintainReservation(js *jobState) {
	if r.startReserved(js) {
		return
	}
	late := !r.now.Before(js.nomination.expectedFree)
	if js.nomination.lastPending == js.nomination.pending && !late {
		return
	}
	if late {
		r.preemptFor(js, r.backfillJobs(js))
		if len(r.otherOccupants(js)) > 0 && (!r.moveReservation(js) || r.startReserved(js)) {
			return
		}
	}
	js.nomination.lastPending = js.nomination.pending
	r.compact(js)
}

// startReserved starts js when all accelerators of its reservation are free, and
// reports whether it did. They can be free from the outset, when they became
// available after js was tried in this round or lie both inside and outside its
// account's block. No accelerator is freed later that would have js tried again.
func (r *round) startReserved(js *jobState) bool {
	if js.nomination.pending > 0 || r.mustYieldBlock(js) {
		return false
	}
	return r.start(js, js.nomination.place, "its reserved place is free")
}

// backfillJobs returns the jobs that run as backfill on the reservation of js.
func (s *State) backfillJobs(js *jobState) []*jobState {
	var all []*jobState
	for _, occupant := range s.occupantsOf(js.nomination.place) {
		if occupant.reservationOwner == js {
			all = append(all, occupant)
		}
	}
	return all
}

// otherOccupants returns the other jobs on the reservation of js.
func (s *State) otherOccupants(js *jobState) []*jobState {
	var all []*jobState
	for _, occupant := range s.occupantsOf(js.nomination.place) {
		if occupant.reservationOwner != js {
			all = append(all, occupant)
		}
	}
	return all
}

// compact pre-empts the occupants of the head's reservation when they are few
// and small and can run elsewhere at once.
func (r *round) compact(js *jobState) {
	if js.nomination.pending == 0 || js.nomination.expectedFree.Sub(r.now) < minCompactionWait {
		return
	}
	victims := r.occupantsOf(js.nomination.place)
	sum := 0
	for _, v := range victims {
		if !r.canRunElsewhere(v, js) {
			return
		}
		sum += v.Tasks * v.Accelerators
	}
	limit := compactionShare * (1 - r.completionWeight()) * float64(js.Tasks*js.Accelerators)
	if float64(sum) > limit {
		return
	}
	r.nominateAndPreempt(js, js.nomination.place, "has its place cleared of small borrowers")
}

// canRunElsewhere reports whether an occupant may be pre-empted for js and
// would fit on available accelerators elsewhere.
func (s *State) canRunElsewhere(v, js *jobState) bool {
	return v.Rank >= js.Rank && s.mayMove(v) && view{s: s, js: v, zone: anywhere}.find() != nil
}

// mayMove reports whether a running job may be moved: an idempotent borrower
// that has run for minRunBeforeMove and is not urgent.
func (s *State) mayMove(js *jobState) bool {
	return js.Idempotent && js.Rank > 0 && s.now.Sub(js.started) >= minRunBeforeMove && s.borrows(js)
}

// findReservation returns the place that is expected to be free first among a
// bounded sample, and when that is.
func (s *State) findReservation(js *jobState) (*place, time.Time) {
	v := view{s: s, js: js, zone: future}
	if !js.shape().adjacent {
		return v.findReservationSpread()
	}
	var best *place
	var expectedFree time.Time
	nodes, cross := s.nodesNeeded(js)
	for _, start := range s.candidateStarts(nodes, cross) {
		p, _ := v.collectAdjacent(start, cross)
		if p == nil {
			continue
		}
		if t := s.expectedFreeTime(p); best == nil || t.Before(expectedFree) {
			best, expectedFree = p, t
		}
	}
	return best, expectedFree
}

// candidateStarts returns positions at which an adjacent gang on a number of
// workers could begin: aligned ones in the racks with the longest free runs.
func (s *State) candidateStarts(nodes int, cross bool) []int {
	f := &s.fleet
	var all []int
	if cross {
		step := 1 + len(f.racks)/reservationSample
		for i := 0; i < len(f.racks); i += step {
			all = append(all, f.racks[i].first)
		}
		return all
	}
	racks := 0
	for run := len(f.byFreeRun) - 1; run >= 0; run-- {
		for at := f.byFreeRun[run].last(len(f.racks) - 1); at >= 0 && racks < reservationSample; at = f.byFreeRun[run].last(at - 1) {
			r := f.racks[at]
			racks++
			for i := r.first; i+nodes <= r.last; i += guarantee.Alignment(nodes) {
				all = append(all, i)
			}
		}
	}
	return all
}

// expectedFreeTime returns when all occupants of a place are expected to have
// ended.
func (s *State) expectedFreeTime(p *place) time.Time {
	t := s.now
	for _, occupant := range s.occupantsOf(p) {
		if expectedEnd := s.expectedEnd(occupant); expectedEnd.After(t) {
			t = expectedEnd
		}
	}
	return t
}

// findReservationSpread returns a place on the workers that are expected to be
// free first, for a gang that needs no neighbouring workers.
func (v view) findReservationSpread() (*place, time.Time) {
	type timed struct {
		n *node
		t time.Time
	}
	var all []timed
	f := &v.s.fleet
	for o := maxOrder; o >= -1 && len(all) < v.js.Tasks+reservationSample; o-- {
		for _, n := range f.sample(o, v.js.Tasks+reservationSample-len(all)) {
			p := &place{}
			if v.collect(p, n, 1) {
				all = append(all, timed{n, v.s.expectedFreeTime(p)})
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].t.Before(all[j].t) })
	i := 0
	p := v.collectSpread(func() *node {
		if i == len(all) {
			return nil
		}
		i++
		return all[i-1].n
	})
	if p == nil {
		return nil, time.Time{}
	}
	return p, v.s.expectedFreeTime(p)
}

// sample returns up to limit nodes whose largest available block has an order;
// order -1 selects the nodes without one.
func (f *fleet) sample(order, limit int) []*node {
	var all []*node
	if order >= 0 {
		for at := f.byOrder[order].last(len(f.nodes) - 1); at >= 0 && len(all) < limit; at = f.byOrder[order].last(at - 1) {
			all = append(all, f.nodes[at])
		}
		return all
	}
	for i := len(f.nodes) - 1; i >= 0 && len(all) < limit; i-- {
		if f.nodes[i].order < 0 {
			all = append(all, f.nodes[i])
		}
	}
	return all
}
