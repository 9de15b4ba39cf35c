package gang

import (
	"math/bits"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// zone says which accelerators a search may use.
type zone int

const (
	// ownFree is what is open in the account's own block.
	ownBlock zone = iota
	// common is what is open outside all blocks.
	outsideBlocks
	// anywhere is all that is open.
	anywhere
	// guest is what is open on the place reserved for the head.
	reservation
	// reclaim is ownFree and what borrowers hold in the account's block.
	reclaim
	// urgent is what is open or held by work that urgent work may pre-empt.
	urgent
	// later is all that becomes free when the present jobs end.
	future
)

// view is the fleet as one job may use it.
type view struct {
	s    *State
	js   *jobState
	zone zone
	// spareOwn leaves the account's own block to an earlier job.
	avoidOwnBlock bool
}

// mask returns the accelerators of a node that the job may use.
func (v view) mask(n *node) uint64 {
	v.s.fleet.visits++
	if v.js.avoidedWorkers[n.ID] {
		return 0
	}
	switch v.zone {
	case ownBlock:
		return v.available(n) & n.owned(v.js.account)
	case outsideBlocks:
		return v.available(n) & n.owned(nil)
	case anywhere:
		m := v.available(n)
		if v.avoidOwnBlock {
			m &^= n.owned(v.js.account)
		}
		return m
	}
	return v.usableMask(n)
}

// open returns what is neither held nor claimed by another job.
func (v view) available(n *node) uint64 {
	m := n.available()
	if v.s.off.exclusiveUse {
		m = n.schedulable()
	}
	if v.js.nomination != nil {
		m |= v.nominatedMask(n, v.js) &^ n.occupied & n.schedulable()
	}
	return m
}

func (v view) nominatedMask(n *node, js *jobState) uint64 {
	m := uint64(0)
	for i, c := range n.nominees {
		if c == js {
			m |= 1 << i
		}
	}
	return m
}

// pick chooses accelerators one by one.
func (v view) usableMask(n *node) uint64 {
	m := n.schedulable()
	for i := range n.occupants {
		if !v.mayUse(n, i) {
			m &^= 1 << i
		}
	}
	return m
}

func (v view) mayUse(n *node, i int) bool {
	h, c, owner := n.occupants[i], n.nominees[i], n.owners[i]
	if !v.js.Idempotent && owner != v.js.account && owner != nil && !v.s.off.preemptibleOnly {
		return false
	}
	switch v.zone {
	case reservation:
		return h == nil && c == v.s.head
	case reclaim:
		return owner == v.js.account && v.canReclaim(h, c)
	case urgent:
		return v.overridesNominee(c, owner) && (h == nil || v.mayPreempt(h, owner))
	}
	return c == nil || c == v.js
}

// reclaims reports whether an accelerator of the account's own block can be
// had: no job of the account holds it or was promised it.
func (v view) canReclaim(h, c *jobState) bool {
	if h != nil && (!h.Idempotent || h.account == v.js.account) {
		return false
	}
	return c == nil || c == v.js || c.account != v.js.account || !c.nomination.evicting
}

// overrides reports whether urgent work may take a place that c waits for.
func (v view) overridesNominee(c *jobState, owner *account) bool {
	return c == nil || c == v.js || c.Rank > v.js.Rank && (c.account != owner || c.account == v.js.account)
}

// mayPreempt reports whether urgent work may pre-empt h: a borrower, or later
// work of its own account.
func (v view) mayPreempt(h *jobState, owner *account) bool {
	return h.Idempotent && h.Rank > v.js.Rank && (h.account != owner || h.account == v.js.account)
}

// count returns the number of aligned runs of n accelerators in a mask, at
// most limit.
func countRanges(open uint64, n, limit int) int {
	k := 0
	for ; k < limit; k++ {
		m := guarantee.AlignedRange(open, n)
		if m == 0 {
			break
		}
		open &^= m
	}
	return k
}

// place is a set of runs for the tasks of a gang.
type place struct {
	nodes []*node
	masks []uint64
}

func (p *place) add(n *node, m uint64) {
	p.nodes = append(p.nodes, n)
	p.masks = append(p.masks, m)
}

func (p *place) slots() []Slot {
	slots := make([]Slot, len(p.nodes))
	for i, n := range p.nodes {
		slots[i] = Slot{Task: i, Worker: n.ID, Accelerators: indices(p.masks[i])}
	}
	return slots
}

func indices(m uint64) []int {
	all := make([]int, 0, bits.OnesCount64(m))
	for ; m != 0; m &= m - 1 {
		all = append(all, bits.TrailingZeros64(m))
	}
	return all
}

// spread collects runs over nodes, in their order, for a gang that needs no
// neighbours; nil when there are too few.
func (v view) collectSpread(next func() *node) *place {
	p := &place{}
	for n := next(); n != nil; n = next() {
		v.collect(p, n, v.js.Tasks)
		if len(p.nodes) == v.js.Tasks || v.s.off.wholeGang && len(p.nodes) > 0 {
			return p
		}
	}
	return nil
}

// collect adds runs of a node until there are tasks of them, those that nobody
// holds first, and reports whether there was one.
func (v view) collect(p *place, n *node, tasks int) bool {
	before, m := len(p.nodes), v.mask(n)
	for _, open := range []uint64{m &^ n.occupied, m} {
		for len(p.nodes) < tasks {
			run := guarantee.AlignedRange(open&m, v.js.Accelerators)
			if run == 0 {
				break
			}
			m &^= run
			p.add(n, run)
		}
	}
	return len(p.nodes) > before
}

// window collects runs from a node on, over neighbouring workers without a
// gap. It leaves the rack only when cross is set. Without a place, gap is the
// position after the one that has no room.
func (v view) collectAdjacent(first int, cross bool) (p *place, gap int) {
	nodes := v.s.fleet.nodes
	if guarantee.AlignedRange(v.mask(nodes[first]), v.js.Accelerators) == 0 {
		return nil, first + 1
	}
	p = &place{}
	for i := first; i < len(nodes); i++ {
		if nodes[i].rack != nodes[first].rack && !cross {
			return nil, i
		}
		if !v.collect(p, nodes[i], v.js.Tasks) {
			return nil, i + 1
		}
		if len(p.nodes) == v.js.Tasks {
			return p, i + 1
		}
	}
	return nil, len(nodes)
}

// span returns the number of workers that an adjacent gang fills when they are
// wholly free, and whether no rack is that long.
func (s *State) nodesNeeded(js *jobState) (nodes int, cross bool) {
	widest := 0
	for _, r := range s.fleet.racks[:min(len(s.fleet.racks), 1)] {
		widest = s.fleet.nodes[r.first].Accelerators
	}
	per := max(1, widest/guarantee.Alignment(js.Accelerators))
	nodes = (js.Tasks + per - 1) / per
	return nodes, nodes > s.fleet.maxRackNodes
}

// find returns a place among the open accelerators: the smallest sufficient
// aligned block, in the racks that are broken most.
func (v view) find() *place {
	need := v.js.Tasks * v.js.Accelerators
	if v.js.nomination != nil {
		need = 0
	}
	if v.s.fleet.unallocated < need {
		return nil
	}
	if v.js.shape().adjacent {
		return v.findAdjacent()
	}
	next := v.s.fleet.bestFit(blockOrder(v.js.Accelerators), v.js.Accelerators)
	if v.js.Tasks == 1 {
		next = v.fullestFirst(next)
	}
	return v.collectSpread(next)
}

// packSample bounds the workers that a single task is compared on.
const singleTaskSample = 8

// fullest returns the node that has the least open, and stands in the rack
// with the shortest free run, among the first nodes of one order.
func (v view) fullestFirst(next func() *node) func() *node {
	var best *node
	first := true
	return func() *node {
		if !first {
			return next()
		}
		first = false
		for range singleTaskSample {
			n := next()
			if n == nil || best != nil && n.order != best.order {
				break
			}
			if guarantee.AlignedRange(v.mask(n), v.js.Accelerators) != 0 && (best == nil || fuller(n, best)) {
				best = n
			}
			if n.fullyFree() {
				break
			}
		}
		if best == nil {
			return next()
		}
		return best
	}
}

func fuller(a, b *node) bool {
	x, y := bits.OnesCount64(a.unallocated), bits.OnesCount64(b.unallocated)
	if a.rack.freeRun != b.rack.freeRun {
		return a.rack.freeRun < b.rack.freeRun
	}
	if x != y {
		return x < y
	}
	return a.rack.freeRun < b.rack.freeRun
}

// bestFit returns the nodes with an open block of at least an order, the
// smallest first; among wholly free nodes those in the shortest free runs.
func (f *fleet) bestFit(order, accelerators int) func() *node {
	o, at := order, len(f.nodes)-1
	fullyFree := f.fullyFreeNodes()
	return func() *node {
		for ; o <= maxOrder; o, at = o+1, len(f.nodes)-1 {
			f.visits++
			for at = f.byOrder[o].last(at); at >= 0; at = f.byOrder[o].last(at) {
				n := f.nodes[at]
				at--
				if !n.fullyFree() {
					return n
				}
			}
		}
		for n := fullyFree(); n != nil; n = fullyFree() {
			if n.Accelerators >= accelerators {
				return n
			}
		}
		return nil
	}
}

// wholes returns the wholly free nodes, those of the shortest free runs first.
func (f *fleet) fullyFreeNodes() func() *node {
	run, at, pos := 1, len(f.racks)-1, -1
	var r *rack
	return func() *node {
		for ; run < len(f.byFreeRun); run, at = run+1, len(f.racks)-1 {
			for {
				if r == nil {
					f.visits++
					if at = f.byFreeRun[run].last(at); at < 0 {
						break
					}
					r = f.racks[at]
					at--
					pos = r.last
				}
				for pos--; pos >= r.first; pos-- {
					if f.nodes[pos].fullyFree() {
						return f.nodes[pos]
					}
				}
				r = nil
			}
		}
		return nil
	}
}

// findAdjacent returns neighbouring workers: wholly free ones in the racks
// with the shortest sufficient run, aligned when possible, and else any run.
func (v view) findAdjacent() *place {
	nodes, cross := v.s.nodesNeeded(v.js)
	if cross {
		return v.findAcrossRacks()
	}
	f := &v.s.fleet
	if v.js.Accelerators*2 <= f.workerSize() {
		if p := v.findPartlyUsed(); p != nil {
			return p
		}
	}
	for run := nodes; run < len(f.byFreeRun); run++ {
		for at := f.byFreeRun[run].last(len(f.racks) - 1); at >= 0; at = f.byFreeRun[run].last(at - 1) {
			if p := v.findInRack(f.racks[at], nodes); p != nil {
				return p
			}
		}
	}
	return nil
}

// widest returns the size of the workers, taken from the first.
func (f *fleet) workerSize() int {
	if len(f.nodes) == 0 {
		return 0
	}
	return f.nodes[0].Accelerators
}

// inRack tries the aligned starts of a rack and then the others.
func (v view) findInRack(r *rack, nodes int) *place {
	v.s.fleet.visits++
	step := guarantee.Alignment(nodes)
	for _, aligned := range []bool{true, false} {
		for i := r.first; i+nodes <= r.last; i++ {
			if ((i-r.first)%step == 0) != aligned {
				continue
			}
			if p, _ := v.collectAdjacent(i, false); p != nil {
				return p
			}
		}
	}
	return nil
}

// findBroken places an adjacent gang of small tasks on workers that are in use
// already.
func (v view) findPartlyUsed() *place {
	f := &v.s.fleet
	for o := blockOrder(v.js.Accelerators); o <= maxOrder; o++ {
		for at := f.byOrder[o].last(len(f.nodes) - 1); at >= 0; at = f.byOrder[o].last(at - 1) {
			if f.nodes[at].fullyFree() {
				continue
			}
			if p, _ := v.collectAdjacent(at, false); p != nil {
				return p
			}
		}
	}
	return nil
}

// findAcross places a gang that is longer than a rack, from the first worker
// of a rack on when that is possible.
func (v view) findAcrossRacks() *place {
	nodes := v.s.fleet.nodes
	for i := 0; i < len(nodes); {
		p, gap := v.collectAdjacent(i, true)
		if p != nil {
			return p
		}
		for i = gap; i < len(nodes) && i != nodes[i].rack.first; {
			i = nodes[i].rack.last
		}
	}
	for i := 0; i < len(nodes); {
		p, gap := v.collectAdjacent(i, true)
		if p != nil {
			return p
		}
		i = gap
	}
	return nil
}

// findOwn returns the cheapest place in the account's own block.
func (v view) findInBlock() *place {
	a := v.js.account
	unused := len(a.pieces)*a.Accelerators - a.occupiedInBlock
	if v.zone != urgent && unused < v.js.Tasks*v.js.Accelerators && !v.s.off.exclusiveUse {
		return nil
	}
	var nodes []*node
	for _, p := range v.js.account.pieces {
		n := v.s.fleet.nodes[p.Worker]
		if len(nodes) == 0 || nodes[len(nodes)-1] != n {
			nodes = append(nodes, n)
		}
	}
	return v.cheapest(nodes)
}

// cheapest returns the place among nodes, which stand in fleet order, that
// pre-empts the least.
func (v view) cheapest(nodes []*node) *place {
	if !v.js.shape().adjacent {
		return v.collectSpread(v.byCost(nodes))
	}
	var best *place
	cost := 0
	_, cross := v.s.nodesNeeded(v.js)
	blocked := 0
	for _, n := range nodes {
		if n.pos < blocked {
			continue
		}
		p, gap := v.collectAdjacent(n.pos, cross)
		if p == nil {
			blocked = gap
			continue
		}
		if c := v.s.cost(p); best == nil || c < cost {
			best, cost = p, c
		}
	}
	return best
}

// byCost returns the nodes in the order of what a task would pre-empt there;
// among equals, those with the smallest sufficient open block.
func (v view) byCost(nodes []*node) func() *node {
	type priced struct {
		n           *node
		cost, order int
	}
	var all []priced
	for _, n := range nodes {
		m := v.mask(n)
		if guarantee.AlignedRange(m, v.js.Accelerators) == 0 {
			continue
		}
		// Open accelerators first; the mask is searched again by spread.
		c := 0
		if guarantee.AlignedRange(m&^n.occupied, v.js.Accelerators) == 0 {
			c = 1 + bits.OnesCount64(m&n.occupied)
		}
		all = append(all, priced{n, c, n.order})
	}
	i := 0
	return func() *node {
		if i >= len(all) {
			return nil
		}
		for k := i + 1; k < len(all); k++ {
			if all[k].cost < all[i].cost || all[k].cost == all[i].cost && all[k].order < all[i].order {
				all[i], all[k] = all[k], all[i]
			}
		}
		i++
		return all[i-1].n
	}
}

// cost returns the accelerators of the gangs that a place pre-empts.
func (s *State) cost(p *place) int {
	sum := 0
	for _, h := range s.occupantsOf(p) {
		sum += h.Tasks * h.Accelerators
	}
	return sum
}

// holdersOf returns the jobs that hold accelerators of a place.
func (s *State) occupantsOf(p *place) []*jobState {
	var all []*jobState
	for i, n := range p.nodes {
		for m := p.masks[i] & n.occupied; m != 0; m &= m - 1 {
			all = append(all, n.occupants[bits.TrailingZeros64(m)])
		}
	}
	return distinctJobs(all)
}

// distinct returns the jobs without nil and repetition, in their order.
func distinctJobs(jobs []*jobState) []*jobState {
	var all []*jobState
	seen := make(map[*jobState]bool)
	for _, js := range jobs {
		if js != nil && !seen[js] {
			seen[js] = true
			all = append(all, js)
		}
	}
	return all
}
