package gang

import (
	"math/bits"
	"sort"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// maxOrder is the order of the largest aligned block of a worker: 2^6
// accelerators.
const maxOrder = 6

// node is a worker. Nodes stand in fleet order: racks by name, and workers of
// a rack by id.
type node struct {
	Worker
	// pos is the index in fleet order.
	pos  int
	rack *rack
	// gone says that the worker was removed; it keeps its place.
	removed bool
	// held and claimed have one bit for each accelerator.
	occupied  uint64
	nominated uint64
	// holders, claims and owners have one entry for each accelerator.
	occupants []*jobState
	nominees  []*jobState
	owners    []*account
	// order, opened and borrowers are what the index says of the node.
	order        int
	unallocated  uint64
	hasBorrowers bool
	health       health
}

// rack is a run of nodes.
type rack struct {
	// index is the number of the rack in fleet order.
	index int
	// first and last bound the positions of the nodes, last exclusive.
	first, last int
	// run is what the index says: the longest run of wholly free nodes.
	freeRun int
	// touched says that accelerators became free since the last round.
	freed bool
}

// fleet holds the nodes and an index over their free accelerators.
type fleet struct {
	nodes        []*node
	byID         map[string]*node
	racks        []*rack
	maxRackNodes int
	// byOrder holds the nodes whose largest free aligned block has an order.
	byOrder [maxOrder + 1]bitset
	// byRun holds the racks by their longest run of free nodes.
	byFreeRun []bitset
	// lent holds the nodes where borrowers run.
	borrowerNodes bitset
	freed         []*rack
	// opened is the number of accelerators that are neither held nor claimed.
	unallocated int
	// steps counts the nodes, racks and jobs looked at.
	visits int64
}

func (w *node) schedulable() uint64 {
	if w.Closed || w.removed || w.health.quarantined {
		return 0
	}
	return guarantee.LowMask(w.Accelerators)
}

// open returns the accelerators that are neither held nor claimed.
func (w *node) available() uint64 { return w.schedulable() &^ w.occupied &^ w.nominated }

// owned returns the accelerators of a's block; of no block when a is nil.
func (w *node) owned(a *account) uint64 {
	m := uint64(0)
	for i, o := range w.owners {
		if o == a {
			m |= 1 << i
		}
	}
	return m
}

// add puts a new worker in its place and numbers the nodes again.
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

// resize gives a node as many accelerators as its worker has; it is in no block
// and no claim from then on.
func (w *node) resize() {
	occupants := make([]*jobState, w.Accelerators)
	copy(occupants, w.occupants)
	w.occupants = occupants
	w.nominees = make([]*jobState, w.Accelerators)
	w.owners = make([]*account, w.Accelerators)
	w.occupied &= guarantee.LowMask(w.Accelerators)
	w.nominated = 0
}

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

func (f *fleet) markFreed(r *rack) {
	if !r.freed {
		r.freed = true
		f.freed = append(f.freed, r)
	}
}

func (f *fleet) clearFreed() {
	for _, r := range f.freed {
		r.freed = false
	}
	f.freed = f.freed[:0]
}

// index brings the index up to date after a change at n.
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

func (f *fleet) indexBorrowers(n *node) {
	n.hasBorrowers = false
	for i, h := range n.occupants {
		if h != nil && h.account != n.owners[i] && h.Idempotent {
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

// whole reports whether all accelerators of the node are open.
func (w *node) fullyFree() bool {
	return w.Accelerators > 0 && w.available() == guarantee.LowMask(w.Accelerators)
}

// largest returns the order of the largest aligned block in a mask, -1 for
// none.
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

// orderOf returns the order of the aligned block that holds n accelerators.
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
