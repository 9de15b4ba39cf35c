package gang

import (
	"container/heap"
	"slices"
	"time"
)

// triesPerGroup bounds the queues of one shape that a round tries after
// accelerators became free. Queues of one shape search the same free
// accelerators.
const triesPerGroup = 2

// round is the state of one call of Plan.
type round struct {
	*State
	orders []Order
	// skipped are the queues that were tried without success in this round.
	skipped []*queue
	// tries counts the queues of each group that were tried without success.
	tries map[*group]int
	// capacityFreed reports that accelerators became free since the last round.
	capacityFreed bool
}

// Plan returns the orders of one scheduling round. A job with a Start order
// occupies its slots from then on. A job with a Preempt order occupies them
// until Requeue or Ended.
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

// startReady starts the jobs whose nominated accelerators are all free.
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

// failUnstartable gives Fail orders for the jobs whose start failed on several
// healthy workers.
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

// nextQueue returns the queue whose first job is tried next, or nil. It selects
// among the changed queues and, after accelerators became free, the first queue
// of each group.
func (r *round) nextQueue() *queue {
	var best *queue
	remaining := r.changed[:0]
	for _, q := range r.changed {
		if !q.changed || len(q.waiting) == 0 {
			q.changed = false
			continue
		}
		remaining = append(remaining, q)
		if best == nil || r.before(q, best) {
			best = q
		}
	}
	r.changed = remaining
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

// skip keeps a queue whose first job could not be placed out of the rest of the
// round.
func (r *round) skip(q *queue) {
	r.tries[q.group]++
	q.changed = false
	if q.index >= 0 {
		heap.Remove(q.group, q.index)
		q.index, q.skipped = -1, true
		r.skipped = append(r.skipped, q)
	}
}

// tryStart starts a job, or nominates accelerators for it by pre-emption, and
// reports whether it did.
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

// usesBestFit reports whether a job takes the smallest free block that is large
// enough, inside or outside its account's block, so that larger blocks stay
// whole. A job that is not idempotent runs in its account's block when it can.
func usesBestFit(js *jobState) bool { return js.Idempotent }

// findFree searches the free accelerators, inside and outside the blocks. A job
// that is not idempotent searches only outside the blocks.
func (r *round) findFree(js *jobState, mustYieldBlock bool) *place {
	v := view{s: r.State, js: js, zone: anywhere, avoidOwnBlock: mustYieldBlock}
	if !js.Idempotent && !r.off.preemptibleOnly {
		v.zone = outsideBlocks
	}
	return v.find()
}

// mustYieldBlock reports whether js leaves the account's block to an earlier
// job of the account, which it would delay.
func (s *State) mustYieldBlock(js *jobState) bool {
	blocked := js.account.blockedJob
	if blocked == nil || blocked == js || blocked.queue == nil || blocked.sortKey >= js.sortKey {
		return false
	}
	return s.now.Add(s.expectedRunTime(js)).After(js.account.blockedUntil)
}

// urgentSample is the number of workers with borrowers that are compared for
// urgent work, in addition to the number of its tasks.
const urgentSample = 16

// findForUrgent returns the place that urgent work can get with the least
// pre-emption.
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

// findBackfill returns a place on the accelerators reserved for the head, for a
// job that is expected to end before the rest of them is free. This is the
// backfill of Lifka, "The ANL/IBM SP scheduling system" (JSSPP 1995). The job
// must be idempotent, so that a wrong expectation does not delay the head.
func (s *State) findBackfill(js *jobState) *place {
	h := s.head
	if h == nil || h == js || h.nomination == nil || !js.Idempotent || s.now.Add(s.expectedRunTime(js)).After(h.nomination.expectedFree) {
		return nil
	}
	return view{s: s, js: js, zone: reservation}.cheapest(distinctNodes(h.nomination.place.nodes))
}

// distinctNodes returns the nodes without consecutive repetition.
func distinctNodes(nodes []*node) []*node {
	var all []*node
	for _, n := range nodes {
		if len(all) == 0 || all[len(all)-1] != n {
			all = append(all, n)
		}
	}
	return all
}

// start gives a Start order for js. It always returns true.
func (r *round) start(js *jobState, p *place, reason string) bool {
	r.dequeue(js)
	r.cancelNomination(js)
	slots := p.slots()
	r.occupy(js, slots, r.now)
	js.reason = reason
	r.orders = append(r.orders, Order{Kind: Start, JobID: js.ID, Slots: slots, Borrowed: r.borrows(js), Reason: reason})
	return true
}

// borrows reports whether a running job occupies accelerators outside its
// account's block.
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

// nominateAndPreempt nominates the accelerators of p for js and pre-empts their
// occupants. It always returns true.
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

// preemptFor pre-empts the victims in favour of js.
func (r *round) preemptFor(js *jobState, victims []*jobState) {
	for _, v := range victims {
		if !v.preempting {
			r.preemptJob(v, "makes room for "+js.ID+", which "+js.reason)
		}
	}
}

// preemptJob gives a Preempt order for v.
func (r *round) preemptJob(v *jobState, reason string) {
	v.preempting = true
	r.orders = append(r.orders, Order{Kind: Preempt, JobID: v.ID, Slots: v.slots, Borrowed: r.borrows(v), Reason: reason})
}

// recordBlocked records that a job found no place. When only the account's own
// jobs prevent it from running in the account's block, later jobs that would
// delay it are kept out of the block.
func (r *round) recordBlocked(js *jobState) {
	js.reason = "waits for room"
	a := js.account
	if a.blockedJob == js || a.blockedJob != nil && a.blockedJob.queue != nil && a.blockedJob.sortKey <= js.sortKey {
		return
	}
	fitting := 0
	for _, p := range a.pieces {
		fitting += countRanges(p.Mask, js.Accelerators, js.Tasks)
	}
	if fitting < js.Tasks {
		return
	}
	if a.blockedJob != nil {
		r.markAllChanged(a)
	}
	a.blockedJob, a.blockedUntil = js, r.now
	for _, p := range a.pieces {
		for i, occupant := range r.fleet.nodes[p.Worker].occupants {
			if p.Mask&(1<<i) != 0 && occupant != nil && occupant.account == a && r.expectedEnd(occupant).After(a.blockedUntil) {
				a.blockedUntil = r.expectedEnd(occupant)
			}
		}
	}
}
