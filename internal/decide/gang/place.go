package gang

import (
	"math/bits"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// zone selects the accelerators that a search may use.
type zone int

const (
	// ownBlock selects the available accelerators of the account's own block.
	ownBlock zone = iota
	// outsideBlocks selects the available accelerators outside all blocks.
	outsideBlocks
	// anywhere selects all available accelerators.
	anywhere
	// reservation selects the free accelerators that are reserved for the head.
	reservation
	// reclaim selects the accelerators of the account's own block that are free
	// or occupied by borrowers that can be pre-empted.
	reclaim
	// urgent selects the accelerators that are free or occupied by jobs that
	// urgent work may pre-empt.
	urgent
	// future selects all accelerators that are not nominated for another job,
	// for a search for the place that becomes free first.
	future
)

// view is the fleet as seen by the search for a place for one job.
type view struct {
	s    *State
	js   *jobState
	zone zone
	// avoidOwnBlock leaves the account's own block to an earlier job.
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

// available returns the accelerators that are neither occupied nor nominated
// for another job.
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

// nominatedMask returns the accelerators of a node that are nominated for js.
func (v view) nominatedMask(n *node, js *jobState) uint64 {
	m := uint64(0)
	for i, nominee := range n.nominees {
		if nominee == js {
			m |= 1 << i
		}
	}
	return m
}

// usableMask checks the accelerators of a node one by one and returns those
// that the job may use.
func (v view) usableMask(n *node) uint64 {
	m := n.schedulable()
	for i := range n.occupants {
		if !v.mayUse(n, i) {
			m &^= 1 << i
		}
	}
	return m
}

// mayUse reports whether the job may use accelerator i of a node in the zones
// reservation, reclaim, urgent and future.
func (v view) mayUse(n *node, i int) bool {
	occupant, nominee, owner := n.occupants[i], n.nominees[i], n.owners[i]
	if !v.js.Idempotent && owner != v.js.account && owner != nil && !v.s.off.preemptibleOnly {
		return false
	}
	switch v.zone {
	case reservation:
		return occupant == nil && nominee == v.s.head
	case reclaim:
		return owner == v.js.account && v.canReclaim(occupant, nominee)
	case urgent:
		return v.overridesNominee(nominee, owner) && (occupant == nil || v.mayPreempt(occupant, owner))
	}
	return nominee == nil || nominee == v.js
}

// canReclaim reports whether an accelerator of the account's own block can be
// reclaimed: no job of the account occupies it, or had others pre-empted to get
// it.
func (v view) canReclaim(occupant, nominee *jobState) bool {
	if occupant != nil && (!occupant.Idempotent || occupant.account == v.js.account) {
		return false
	}
	return nominee == nil || nominee == v.js || nominee.account != v.js.account || !nominee.nomination.evicting
}

// overridesNominee reports whether urgent work may use accelerators that are
// nominated for nominee: a later class that borrows, or that is of the same
// account.
func (v view) overridesNominee(nominee *jobState, owner *account) bool {
	return nominee == nil || nominee == v.js || nominee.Rank > v.js.Rank && (nominee.account != owner || nominee.account == v.js.account)
}

// mayPreempt reports whether urgent work may pre-empt occupant: idempotent work
// of a later class that borrows, or that is of the same account.
func (v view) mayPreempt(occupant *jobState, owner *account) bool {
	return occupant.Idempotent && occupant.Rank > v.js.Rank && (occupant.account != owner || occupant.account == v.js.account)
}

// countRanges returns the number of aligned ranges of n accelerators in a mask,
// at most limit.
func countRanges(mask uint64, n, limit int) int {
	k := 0
	for ; k < limit; k++ {
		m := guarantee.AlignedRange(mask, n)
		if m == 0 {
			break
		}
		mask &^= m
	}
	return k
}

// place is a list of accelerator ranges for the tasks of a gang, one for each
// task.
type place struct {
	nodes []*node
	// masks holds the range of each task on its node.
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

// indices returns the indices of the accelerators in a mask, in ascending
// order.
func indices(m uint64) []int {
	all := make([]int, 0, bits.OnesCount64(m))
	for ; m != 0; m &= m - 1 {
		all = append(all, bits.TrailingZeros64(m))
	}
	return all
}

// collectSpread collects ranges on nodes, in their order, for a gang that needs
// no neighbouring workers. It returns nil when there are too few.
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

// collect adds ranges of a node to p until p has as many ranges as tasks, free
// ones first, and reports whether it added one.
func (v view) collect(p *place, n *node, tasks int) bool {
	before, m := len(p.nodes), v.mask(n)
	for _, candidates := range []uint64{m &^ n.occupied, m} {
		for len(p.nodes) < tasks {
			aligned := guarantee.AlignedRange(candidates&m, v.js.Accelerators)
			if aligned == 0 {
				break
			}
			m &^= aligned
			p.add(n, aligned)
		}
	}
	return len(p.nodes) > before
}

// collectAdjacent collects ranges on consecutive nodes from first on. It leaves
// the rack only when cross is set. Without a place, gap is the position after
// the node that has no range, or where the rack ends.
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

// nodesNeeded returns the number of fully free workers that an adjacent gang
// fills, and whether no rack has that many.
func (s *State) nodesNeeded(js *jobState) (nodes int, cross bool) {
	workerSize := 0
	for _, r := range s.fleet.racks[:min(len(s.fleet.racks), 1)] {
		workerSize = s.fleet.nodes[r.first].Accelerators
	}
	perWorker := max(1, workerSize/guarantee.Alignment(js.Accelerators))
	nodes = (js.Tasks + perWorker - 1) / perWorker
	return nodes, nodes > s.fleet.maxRackNodes
}

// find returns a place on available accelerators: the smallest aligned block
// that is large enough, in the most fragmented racks.
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

// singleTaskSample bounds the workers that are compared for a single task.
const singleTaskSample = 8

// fullestFirst returns an iterator that begins with the fullest of the first
// nodes of one order, and then continues with next. A node in the rack with the
// shortest free run is preferred, and then the one with the fewest accelerators
// available.
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

// fuller reports whether a is preferred to b for a single task.
func fuller(a, b *node) bool {
	availableA, availableB := bits.OnesCount64(a.unallocated), bits.OnesCount64(b.unallocated)
	if a.rack.freeRun != b.rack.freeRun {
		return a.rack.freeRun < b.rack.freeRun
	}
	if availableA != availableB {
		return availableA < availableB
	}
	return a.rack.freeRun < b.rack.freeRun
}

// bestFit returns an iterator over the nodes with an available block of at
// least an order, the smallest blocks first. Fully free nodes come last, those
// in the shortest free runs first.
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

// fullyFreeNodes returns an iterator over the fully free nodes, those in the
// racks with the shortest free runs first.
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

// findAdjacent returns a place on neighbouring workers. It prefers partly used
// workers for small tasks, and then the racks with the shortest free run that
// is long enough, from an aligned position if possible.
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

// workerSize returns the number of accelerators of the first worker, which
// stands for all.
func (f *fleet) workerSize() int {
	if len(f.nodes) == 0 {
		return 0
	}
	return f.nodes[0].Accelerators
}

// findInRack returns a place in a rack. It tries the aligned positions first.
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

// findPartlyUsed returns a place for an adjacent gang of small tasks that
// begins on a worker that is in use.
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

// findAcrossRacks returns a place for a gang that is longer than a rack. It
// prefers places that begin at the first worker of a rack.
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

// findInBlock returns the place in the account's own block that pre-empts the
// least.
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

// cheapest returns the place on nodes, given in fleet order, that pre-empts the
// least.
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

// byCost returns an iterator over the nodes, ordered by the accelerators that a
// task would pre-empt there and then by the smallest available block that is
// large enough.
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
		// Accelerators that are not occupied cost nothing; collect prefers
		// them.
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

// cost returns the number of accelerators of all gangs that are pre-empted for
// a place.
func (s *State) cost(p *place) int {
	sum := 0
	for _, occupant := range s.occupantsOf(p) {
		sum += occupant.Tasks * occupant.Accelerators
	}
	return sum
}

// occupantsOf returns the jobs that occupy accelerators of a place.
func (s *State) occupantsOf(p *place) []*jobState {
	var all []*jobState
	for i, n := range p.nodes {
		for m := p.masks[i] & n.occupied; m != 0; m &= m - 1 {
			all = append(all, n.occupants[bits.TrailingZeros64(m)])
		}
	}
	return distinctJobs(all)
}

// distinctJobs returns the jobs in their order, without nil and repetition.
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
