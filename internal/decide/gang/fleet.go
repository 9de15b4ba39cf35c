package gang

import (
	"math/bits"
	"sort"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// maxOrder is the order of the largest aligned block of a worker: 2^6
// accelerators.
const maxOrder = 6

// node is a worker. Nodes are kept in fleet order: racks by name, and workers
// of a rack by id.
type node struct {
	Worker
	// pos is the index in fleet order.
	pos  int
	rack *rack
	// removed reports that the worker was removed; the node keeps its position.
	removed bool
	// occupied and nominated have one bit set for each accelerator that a job
	// occupies or that is nominated for a job.
	occupied  uint64
	nominated uint64
	// occupants, nominees and owners have one entry for each accelerator: the
	// job that occupies it, the job for which it is nominated, and the account
	// whose block contains it.
	occupants []*jobState
	nominees  []*jobState
	owners    []*account
	// order, unallocated and hasBorrowers are the values with which the node is
	// indexed.
	order        int
	unallocated  uint64
	hasBorrowers bool
	health       health
}

// rack is a sequence of nodes.
type rack struct {
	// index is the position of the rack in fleet order.
	index int
	// first and last bound the positions of the nodes; last is exclusive.
	first, last int
	// freeRun is the length with which the rack is indexed: the longest
	// sequence of fully free nodes.
	freeRun int
	// freed reports that accelerators became free since the last round.
	freed bool
}

// fleet holds the nodes and an index of their available accelerators.
type fleet struct {
	nodes []*node
	byID  map[string]*node
	racks []*rack
	// maxRackNodes is the number of nodes of the longest rack.
	maxRackNodes int
	// byOrder holds the nodes by the order of their largest available aligned
	// block.
	byOrder [maxOrder + 1]bitset
	// byFreeRun holds the racks by their longest sequence of fully free nodes.
	byFreeRun []bitset
	// borrowerNodes holds the nodes on which borrowers run.
	borrowerNodes bitset
	// freed are the racks in which accelerators became free since the last
	// round.
	freed []*rack
	// unallocated is the number of accelerators that are neither occupied nor
	// nominated.
	unallocated int
	// visits counts the nodes, racks and jobs that were visited.
	visits int64
}

// schedulable returns the accelerators that may get work at all: none of a
// worker that is closed, removed or quarantined.
func (n *node) schedulable() uint64 {
	if n.Unschedulable || n.removed || n.health.quarantined {
		return 0
	}
	return guarantee.LowMask(n.Accelerators)
}

// available returns the accelerators that are neither occupied nor nominated.
func (n *node) available() uint64 { return n.schedulable() &^ n.occupied &^ n.nominated }

// owned returns the accelerators of the node in a's block, or outside all
// blocks when a is nil.
func (n *node) owned(a *account) uint64 {
	m := uint64(0)
	for i, o := range n.owners {
		if o == a {
			m |= 1 << i
		}
	}
	return m
}

// add adds a worker and sorts the nodes again.
func (f *fleet) add(w Worker) *node {
	if f.byID == nil {
		f.byID = make(map[string]*node)
	}
	n := &node{Worker: w}
	n.resize()
	f.byID[w.ID] = n
	f.nodes = append(f.nodes, n)
	f.sortNodes()
	return n
}

// resize adapts a node to the number of accelerators of its worker. It removes
// the node from all blocks and nominations.
func (n *node) resize() {
	occupants := make([]*jobState, n.Accelerators)
	copy(occupants, n.occupants)
	n.occupants = occupants
	n.nominees = make([]*jobState, n.Accelerators)
	n.owners = make([]*account, n.Accelerators)
	n.occupied &= guarantee.LowMask(n.Accelerators)
	n.nominated = 0
}

// sortNodes sorts the nodes into fleet order, groups them into racks and
// rebuilds the index.
func (f *fleet) sortNodes() {
	sort.Slice(f.nodes, func(i, j int) bool {
		a, b := f.nodes[i], f.nodes[j]
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.ID < b.ID
	})
	f.racks, f.maxRackNodes = nil, 0
	for i, n := range f.nodes {
		if i == 0 || n.Rack != f.nodes[i-1].Rack {
			f.racks = append(f.racks, &rack{index: len(f.racks), first: i})
		}
		r := f.racks[len(f.racks)-1]
		r.last = i + 1
		n.pos, n.rack = i, r
		f.maxRackNodes = max(f.maxRackNodes, r.last-r.first)
	}
	f.reindexAll()
}

// reindexAll rebuilds the index.
func (f *fleet) reindexAll() {
	for o := range f.byOrder {
		f.byOrder[o] = newBitset(len(f.nodes))
	}
	f.byFreeRun = make([]bitset, f.maxRackNodes+1)
	for i := range f.byFreeRun {
		f.byFreeRun[i] = newBitset(len(f.racks))
	}
	f.borrowerNodes = newBitset(len(f.nodes))
	f.freed, f.unallocated = nil, 0
	for _, r := range f.racks {
		r.freeRun, r.freed = 0, false
		f.byFreeRun[0].set(r.index)
	}
	for _, n := range f.nodes {
		n.order, n.unallocated, n.hasBorrowers = -1, 0, false
		f.index(n)
		f.markFreed(n.rack)
	}
}

// markFreed records that accelerators of a rack became free.
func (f *fleet) markFreed(r *rack) {
	if !r.freed {
		r.freed = true
		f.freed = append(f.freed, r)
	}
}

// clearFreed forgets which racks had accelerators that became free.
func (f *fleet) clearFreed() {
	for _, r := range f.freed {
		r.freed = false
	}
	f.freed = f.freed[:0]
}

// index updates the index after a change of n.
func (f *fleet) index(n *node) {
	f.visits++
	f.unallocated += bits.OnesCount64(n.available()) - bits.OnesCount64(n.unallocated)
	n.unallocated = n.available()
	order := largestOrder(n.unallocated)
	if order != n.order {
		if n.order >= 0 {
			f.byOrder[n.order].clear(n.pos)
		}
		if order >= 0 {
			f.byOrder[order].set(n.pos)
		}
		n.order = order
	}
	f.indexBorrowers(n)
	f.indexFreeRun(n.rack)
}

// indexBorrowers updates the index of the nodes with borrowers.
func (f *fleet) indexBorrowers(n *node) {
	n.hasBorrowers = false
	for i, occupant := range n.occupants {
		if occupant != nil && occupant.account != n.owners[i] && occupant.Idempotent {
			n.hasBorrowers = true
			break
		}
	}
	if n.hasBorrowers {
		f.borrowerNodes.set(n.pos)
		return
	}
	f.borrowerNodes.clear(n.pos)
}

// indexFreeRun updates the index of the free runs of racks.
func (f *fleet) indexFreeRun(r *rack) {
	freeRun, longest := 0, 0
	for _, n := range f.nodes[r.first:r.last] {
		freeRun++
		if !n.fullyFree() {
			freeRun = 0
		}
		longest = max(longest, freeRun)
	}
	if longest != r.freeRun {
		f.byFreeRun[r.freeRun].clear(r.index)
		f.byFreeRun[longest].set(r.index)
		r.freeRun = longest
	}
}

// fullyFree reports whether all accelerators of the node are available.
func (n *node) fullyFree() bool {
	return n.Accelerators > 0 && n.available() == guarantee.LowMask(n.Accelerators)
}

// largestOrder returns the order of the largest aligned block in a mask, or -1
// for an empty mask.
func largestOrder(m uint64) int {
	order := -1
	for o := 0; o <= maxOrder; o++ {
		if guarantee.AlignedRange(m, 1<<o) == 0 {
			break
		}
		order = o
	}
	return order
}

// blockOrder returns the order of the smallest aligned block with at least n
// accelerators.
func blockOrder(n int) int { return bits.Len(uint(n - 1)) }

// bitset is a set of small integers.
type bitset []uint64

func newBitset(n int) bitset { return make(bitset, (n+63)/64) }

func (b bitset) set(i int)      { b[i/64] |= 1 << (i % 64) }
func (b bitset) clear(i int)    { b[i/64] &^= 1 << (i % 64) }
func (b bitset) has(i int) bool { return b[i/64]&(1<<(i%64)) != 0 }

// last returns the largest member that is at most i, or -1.
func (b bitset) last(i int) int {
	for ; i >= 0; i = i/64*64 - 1 {
		m := b[i/64] & guarantee.LowMask(i%64+1)
		if m != 0 {
			return i/64*64 + bits.Len64(m) - 1
		}
	}
	return -1
}
