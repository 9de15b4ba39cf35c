package gang

import (
	"container/heap"
	"slices"
	"time"
)

// groupTries bounds the queues of one shape that a round tries after accelerators
// became free: queues of one shape find the same open places.
const groupTries = 2

// round is one call of Plan.
type round struct {
	*State
	orders []Order
	// aside are the queues that were tried in this round.
	aside []*queue
	tries map[*group]int
	// open says that accelerators became free since the last round.
	open bool
}

// Plan returns the orders of one round. A job with a Start order holds its
// slots from then on. A job with a Preempt order holds them until Requeue or
// Ended.
func (s *State) Plan(now time.Time) []Order {
	s.now = now
	s.probe()
	if s.recarve {
		s.carve()
	}
	r := &round{State: s, tries: make(map[*group]int), open: len(s.fleet.touched) > 0}
	r.startReady()
	r.failBad()
	touched := slices.Clone(r.fleet.touched)
	s.fleet.untouch()
	for q := r.next(); q != nil; q = r.next() {
		if !r.try(q.waiting[0]) {
			r.setAside(q)
		}
	}
	for _, q := range r.aside {
		if !q.aside {
			continue
		}
		q.aside = false
		if len(q.waiting) > 0 {
			heap.Push(q.group, q)
		}
	}
	r.reserve()
	r.tidy(touched)
	return r.orders
}

// startReady starts the jobs whose claimed place is free.
func (r *round) startReady() {
	ready := r.ready
	r.ready = nil
	for _, js := range ready {
		if js.claim == nil || js.claim.pending > 0 {
			continue
		}
		r.start(js, js.claim.place, js.reason)
	}
}

// failBad ends the jobs that failed on several sound workers.
func (r *round) failBad() {
	for _, js := range r.failed {
		if r.jobs[js.ID] == js && !js.running {
			r.leave(js)
			r.dropClaim(js)
			js.reason = "its start failed on several sound workers"
			r.orders = append(r.orders, Order{Kind: Fail, JobID: js.ID, Reason: js.reason})
		}
	}
	r.failed = nil
}

// next returns the queue whose first job is tried next, nil for none: the
// queues that changed, and the first of each shape when accelerators became
// free.
func (r *round) next() *queue {
	var best *queue
	kept := r.fresh[:0]
	for _, q := range r.fresh {
		if !q.fresh || len(q.waiting) == 0 {
			q.fresh = false
			continue
		}
		kept = append(kept, q)
		if best == nil || r.before(q, best) {
			best = q
		}
	}
	r.fresh = kept
	if !r.open && len(r.fleet.touched) == 0 {
		return best
	}
	for _, g := range r.order {
		if len(g.queues) == 0 || r.tries[g] >= groupTries {
			continue
		}
		if q := g.queues[0]; best == nil || r.before(q, best) {
			best = q
		}
	}
	return best
}

// setAside keeps a queue whose first job found no place out of this round.
func (r *round) setAside(q *queue) {
	r.tries[q.group]++
	q.fresh = false
	if q.index >= 0 {
		heap.Remove(q.group, q.index)
		q.index, q.aside = -1, true
		r.aside = append(r.aside, q)
	}
}

// try starts a job, or claims a place by pre-emption, and reports whether it
// did.
func (r *round) try(js *jobState) bool {
	r.fleet.steps++
	yields := r.yields(js)
	own := len(js.account.pieces) > 0 && !yields
	if packs(js) {
		if p := r.findOpen(js, yields); p != nil {
			return r.start(js, p, "takes the smallest block that holds it")
		}
	}
	if own && !packs(js) {
		if p := (view{s: r.State, js: js, zone: ownFree}).findOwn(); p != nil {
			return r.start(js, p, "runs within the guarantee")
		}
	}
	if !packs(js) {
		if p := r.findOpen(js, yields); p != nil {
			return r.start(js, p, "runs above the guarantee")
		}
	}
	if own && !r.off.reclaim {
		if p := (view{s: r.State, js: js, zone: reclaim}).findOwn(); p != nil {
			return r.take(js, p, "reclaims the guarantee")
		}
	}
	if js.Rank == 0 {
		if p := r.findUrgent(js); p != nil {
			return r.take(js, p, "urgent, pre-empts borrowers")
		}
	}
	if p := r.findGuest(js); p != nil {
		guest := r.head
		r.start(js, p, "backfill on a reserved place")
		js.guest = guest
		return true
	}
	r.wait(js)
	return false
}

// packs reports whether a job takes the smallest block that holds it, in its
// account's block or not, so that whole blocks stay whole. A job that cannot be
// put back runs in its account's block when it can.
func packs(js *jobState) bool { return js.Idempotent }

// findOpen looks for room outside the guarantee. A job that cannot be put back
// does not borrow from a block.
func (r *round) findOpen(js *jobState, yields bool) *place {
	v := view{s: r.State, js: js, zone: anywhere, spareOwn: yields}
	if !js.Idempotent && !r.off.preemptibleOnly {
		v.zone = common
	}
	return v.find()
}

// yields reports whether the account's block is left to an earlier job of the
// account: js would delay it.
func (s *State) yields(js *jobState) bool {
	w := js.account.waits
	if w == nil || w == js || w.queue == nil || w.key >= js.key {
		return false
	}
	return s.now.Add(s.expected(js)).After(js.account.waitsUntil)
}

// urgentSample is the number of workers with borrowers that urgent work is
// compared on, besides those that its tasks need.
const urgentSample = 16

// findUrgent returns the cheapest place that urgent work may pre-empt.
func (s *State) findUrgent(js *jobState) *place {
	v := view{s: s, js: js, zone: urgent}
	if p := v.findOwn(); p != nil {
		return p
	}
	var nodes []*node
	last := len(s.fleet.nodes) - 1
	for at := s.fleet.lent.last(last); at >= 0 && len(nodes) < js.Tasks+urgentSample; at = s.fleet.lent.last(at - 1) {
		if n := s.fleet.nodes[at]; count(v.mask(n), js.Accelerators, 1) > 0 {
			nodes = append(nodes, n)
		}
	}
	return v.cheapest(nodes)
}

// findGuest looks for room on the head's reserved place, for a job that is
// expected to end before the rest of the place is free: the backfill of Lifka,
// "The ANL/IBM SP scheduling system" (JSSPP 1995). A guest can be put back, so
// that a wrong expectation does not delay the head.
func (s *State) findGuest(js *jobState) *place {
	h := s.head
	if h == nil || h == js || h.claim == nil || !js.Idempotent || s.now.Add(s.expected(js)).After(h.claim.until) {
		return nil
	}
	return view{s: s, js: js, zone: guest}.cheapest(distinctNodes(h.claim.place.nodes))
}

func distinctNodes(nodes []*node) []*node {
	var all []*node
	for _, n := range nodes {
		if len(all) == 0 || all[len(all)-1] != n {
			all = append(all, n)
		}
	}
	return all
}

// start gives a Start order.
func (r *round) start(js *jobState, p *place, reason string) bool {
	r.leave(js)
	r.dropClaim(js)
	slots := p.slots()
	r.run(js, slots, r.now)
	js.reason = reason
	r.orders = append(r.orders, Order{Kind: Start, JobID: js.ID, Slots: slots, Borrowed: r.borrows(js), Reason: reason})
	return true
}

// borrows reports whether a running job stands outside its account's block.
func (s *State) borrows(js *jobState) bool {
	for _, sl := range js.slots {
		n, ok := s.fleet.byID[sl.Worker]
		if !ok {
			continue
		}
		for _, a := range sl.Accelerators {
			if a < len(n.owners) && n.owners[a] != js.account {
				return true
			}
		}
	}
	return false
}

// take claims a place and pre-empts its holders.
func (r *round) take(js *jobState, p *place, reason string) bool {
	r.leave(js)
	r.dropClaim(js)
	js.reason = reason
	r.claimPlace(js, p, true, time.Time{})
	if js.claim.pending == 0 {
		return r.start(js, p, reason)
	}
	r.preempt(js, r.holdersOf(p))
	return true
}

func (r *round) preempt(js *jobState, victims []*jobState) {
	for _, v := range victims {
		if !v.preempting {
			r.preemptOne(v, "makes room for "+js.ID+", which "+js.reason)
		}
	}
}

func (r *round) preemptOne(v *jobState, reason string) {
	v.preempting = true
	r.orders = append(r.orders, Order{Kind: Preempt, JobID: v.ID, Slots: v.slots, Borrowed: r.borrows(v), Reason: reason})
}

// wait notes that a job found no place, and keeps its account's block for it
// when only the account's own jobs are in the way.
func (r *round) wait(js *jobState) {
	js.reason = "waits for room"
	a := js.account
	if a.waits == js || a.waits != nil && a.waits.queue != nil && a.waits.key <= js.key {
		return
	}
	k := 0
	for _, p := range a.pieces {
		k += count(p.Mask, js.Accelerators, js.Tasks)
	}
	if k < js.Tasks {
		return
	}
	if a.waits != nil {
		r.freshenAll(a)
	}
	a.waits, a.waitsUntil = js, r.now
	for _, p := range a.pieces {
		for i, h := range r.fleet.nodes[p.Worker].holders {
			if p.Mask&(1<<i) != 0 && h != nil && h.account == a && r.end(h).After(a.waitsUntil) {
				a.waitsUntil = r.end(h)
			}
		}
	}
}
