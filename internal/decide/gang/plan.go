package gang

import (
	"container/heap"
	"slices"
	"time"
)

// groupTries bounds the queues of one shape that a round tries after accelerators
// became free: queues of one shape find the same open places.
const triesPerGroup = 2

// round is one call of Plan.
type round struct {
	*State
	orders []Order
	// aside are the queues that were tried in this round.
	skipped []*queue
	tries   map[*group]int
	// open says that accelerators became free since the last round.
	capacityFreed bool
}

// Plan returns the orders of one round. A job with a Start order holds its
// slots from then on. A job with a Preempt order holds them until Requeue or
// Ended.
func (s *State) Plan(now time.Time) []Order {
	s.now = now
	s.releaseForProbe()
	s.expireAvoidances()
	if s.reallocate {
		s.allocateBlocks()
	}
	r := &round{State: s, tries: make(map[*group]int), capacityFreed: len(s.fleet.freed) > 0}
	r.startReady()
	r.failUnstartable()
	freed := slices.Clone(r.fleet.freed)
	s.fleet.clearFreed()
	for q := r.nextQueue(); q != nil; q = r.nextQueue() {
		if !r.tryStart(q.waiting[0]) {
			r.skip(q)
		}
	}
	for _, q := range r.skipped {
		if !q.skipped {
			continue
		}
		q.skipped = false
		if len(q.waiting) > 0 {
			heap.Push(q.group, q)
		}
	}
	r.reserve()
	r.consolidate(freed)
	return r.orders
}

// startReady starts the jobs whose claimed place is free.
func (r *round) startReady() {
	ready := r.ready
	r.ready = nil
	for _, js := range ready {
		if js.nomination == nil || js.nomination.pending > 0 {
			continue
		}
		r.start(js, js.nomination.place, js.reason)
	}
}

// failBad ends the jobs that failed on several sound workers.
func (r *round) failUnstartable() {
	for _, js := range r.toFail {
		if r.jobs[js.ID] == js && !js.running {
			r.dequeue(js)
			r.cancelNomination(js)
			js.reason = "its start failed on several sound workers"
			r.orders = append(r.orders, Order{Kind: Fail, JobID: js.ID, Reason: js.reason})
		}
	}
	r.toFail = nil
}

// next returns the queue whose first job is tried next, nil for none: the
// queues that changed, and the first of each shape when accelerators became
// free.
func (r *round) nextQueue() *queue {
	var best *queue
	kept := r.changed[:0]
	for _, q := range r.changed {
		if !q.changed || len(q.waiting) == 0 {
			q.changed = false
			continue
		}
		kept = append(kept, q)
		if best == nil || r.before(q, best) {
			best = q
		}
	}
	r.changed = kept
	if !r.capacityFreed && len(r.fleet.freed) == 0 {
		return best
	}
	for _, g := range r.groupList {
		if len(g.queues) == 0 || r.tries[g] >= triesPerGroup {
			continue
		}
		if q := g.queues[0]; best == nil || r.before(q, best) {
			best = q
		}
	}
	return best
}

// setAside keeps a queue whose first job found no place out of this round.
func (r *round) skip(q *queue) {
	r.tries[q.group]++
	q.changed = false
	if q.index >= 0 {
		heap.Remove(q.group, q.index)
		q.index, q.skipped = -1, true
		r.skipped = append(r.skipped, q)
	}
}

// try starts a job, or claims a place by pre-emption, and reports whether it
// did.
func (r *round) tryStart(js *jobState) bool {
	r.fleet.visits++
	mustYieldBlock := r.mustYieldBlock(js)
	own := len(js.account.pieces) > 0 && !mustYieldBlock
	if usesBestFit(js) {
		if p := r.findFree(js, mustYieldBlock); p != nil {
			return r.start(js, p, "takes the smallest block that holds it")
		}
	}
	if own && !usesBestFit(js) {
		if p := (view{s: r.State, js: js, zone: ownBlock}).findInBlock(); p != nil {
			return r.start(js, p, "runs within the guarantee")
		}
	}
	if !usesBestFit(js) {
		if p := r.findFree(js, mustYieldBlock); p != nil {
			return r.start(js, p, "runs above the guarantee")
		}
	}
	if own && !r.off.reclaim {
		if p := (view{s: r.State, js: js, zone: reclaim}).findInBlock(); p != nil {
			return r.nominateAndPreempt(js, p, "reclaims the guarantee")
		}
	}
	if js.Rank == 0 {
		if p := r.findForUrgent(js); p != nil {
			return r.nominateAndPreempt(js, p, "urgent, pre-empts borrowers")
		}
	}
	if p := r.findBackfill(js); p != nil {
		reservationOwner := r.head
		r.start(js, p, "backfill on a reserved place")
		js.reservationOwner = reservationOwner
		return true
	}
	r.recordBlocked(js)
	return false
}

// packs reports whether a job takes the smallest block that holds it, in its
// account's block or not, so that whole blocks stay whole. A job that cannot be
// put back runs in its account's block when it can.
func usesBestFit(js *jobState) bool { return js.Idempotent }

// findOpen looks for room outside the guarantee. A job that cannot be put back
// does not borrow from a block.
func (r *round) findFree(js *jobState, mustYieldBlock bool) *place {
	v := view{s: r.State, js: js, zone: anywhere, avoidOwnBlock: mustYieldBlock}
	if !js.Idempotent && !r.off.preemptibleOnly {
		v.zone = outsideBlocks
	}
	return v.find()
}

// yields reports whether the account's block is left to an earlier job of the
// account: js would delay it.
func (s *State) mustYieldBlock(js *jobState) bool {
	w := js.account.blockedJob
	if w == nil || w == js || w.queue == nil || w.sortKey >= js.sortKey {
		return false
	}
	return s.now.Add(s.expectedRunTime(js)).After(js.account.blockedUntil)
}

// urgentSample is the number of workers with borrowers that urgent work is
// compared on, besides those that its tasks need.
const urgentSample = 16

// findUrgent returns the cheapest place that urgent work may pre-empt.
func (s *State) findForUrgent(js *jobState) *place {
	v := view{s: s, js: js, zone: urgent}
	if p := v.findInBlock(); p != nil {
		return p
	}
	var nodes []*node
	last := len(s.fleet.nodes) - 1
	for at := s.fleet.borrowerNodes.last(last); at >= 0 && len(nodes) < js.Tasks+urgentSample; at = s.fleet.borrowerNodes.last(at - 1) {
		if n := s.fleet.nodes[at]; countRanges(v.mask(n), js.Accelerators, 1) > 0 {
			nodes = append(nodes, n)
		}
	}
	return v.cheapest(nodes)
}

// findGuest looks for room on the head's reserved place, for a job that is
// expected to end before the rest of the place is free: the backfill of Lifka,
// "The ANL/IBM SP scheduling system" (JSSPP 1995). A guest can be put back, so
// that a wrong expectation does not delay the head.
func (s *State) findBackfill(js *jobState) *place {
	h := s.head
	if h == nil || h == js || h.nomination == nil || !js.Idempotent || s.now.Add(s.expectedRunTime(js)).After(h.nomination.expectedFree) {
		return nil
	}
	return view{s: s, js: js, zone: reservation}.cheapest(distinctNodes(h.nomination.place.nodes))
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
	r.dequeue(js)
	r.cancelNomination(js)
	slots := p.slots()
	r.occupy(js, slots, r.now)
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
func (r *round) nominateAndPreempt(js *jobState, p *place, reason string) bool {
	r.dequeue(js)
	r.cancelNomination(js)
	js.reason = reason
	r.nominate(js, p, true, time.Time{})
	if js.nomination.pending == 0 {
		return r.start(js, p, reason)
	}
	r.preemptFor(js, r.occupantsOf(p))
	return true
}

func (r *round) preemptFor(js *jobState, victims []*jobState) {
	for _, v := range victims {
		if !v.preempting {
			r.preemptJob(v, "makes room for "+js.ID+", which "+js.reason)
		}
	}
}

func (r *round) preemptJob(v *jobState, reason string) {
	v.preempting = true
	r.orders = append(r.orders, Order{Kind: Preempt, JobID: v.ID, Slots: v.slots, Borrowed: r.borrows(v), Reason: reason})
}

// wait notes that a job found no place, and keeps its account's block for it
// when only the account's own jobs are in the way.
func (r *round) recordBlocked(js *jobState) {
	js.reason = "waits for room"
	a := js.account
	if a.blockedJob == js || a.blockedJob != nil && a.blockedJob.queue != nil && a.blockedJob.sortKey <= js.sortKey {
		return
	}
	k := 0
	for _, p := range a.pieces {
		k += countRanges(p.Mask, js.Accelerators, js.Tasks)
	}
	if k < js.Tasks {
		return
	}
	if a.blockedJob != nil {
		r.markAllChanged(a)
	}
	a.blockedJob, a.blockedUntil = js, r.now
	for _, p := range a.pieces {
		for i, h := range r.fleet.nodes[p.Worker].occupants {
			if p.Mask&(1<<i) != 0 && h != nil && h.account == a && r.expectedEnd(h).After(a.blockedUntil) {
				a.blockedUntil = r.expectedEnd(h)
			}
		}
	}
}
