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
	gone bool
	// held and claimed have one bit for each accelerator.
	held    uint64
	claimed uint64
	// holders, claims and owners have one entry for each accelerator.
	holders []*jobState
	claims  []*jobState
	owners  []*account
	// order, opened and borrowers are what the index says of the node.
	order     int
	opened    uint64
	borrowers bool
	health    health
}

// rack is a run of nodes.
type rack struct {
	// index is the number of the rack in fleet order.
	index int
	// first and last bound the positions of the nodes, last exclusive.
	first, last int
	// run is what the index says: the longest run of wholly free nodes.
	run int
	// touched says that accelerators became free since the last round.
	touched bool
}

// fleet holds the nodes and an index over their free accelerators.
type fleet struct {
	nodes []*node
	byID  map[string]*node
	racks []*rack
	width int
	// byOrder holds the nodes whose largest free aligned block has an order.
	byOrder [maxOrder + 1]bitset
	// byRun holds the racks by their longest run of free nodes.
	byRun []bitset
	// lent holds the nodes where borrowers run.
	lent    bitset
	touched []*rack
	// opened is the number of accelerators that are neither held nor claimed.
	opened int
	// steps counts the nodes, racks and jobs looked at.
	steps int64
}

func (w *node) all() uint64 {
	if w.Closed || w.gone || w.health.quarantined {
		return 0
	}
	return guarantee.LowMask(w.Accelerators)
}

// open returns the accelerators that are neither held nor claimed.
func (w *node) open() uint64 { return w.all() &^ w.held &^ w.claimed }

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
	f.arrange()
	return n
}

// resize gives a node as many accelerators as its worker has; it is in no block
// and no claim from then on.
func (w *node) resize() {
	holders := make([]*jobState, w.Accelerators)
	copy(holders, w.holders)
	w.holders = holders
	w.claims = make([]*jobState, w.Accelerators)
	w.owners = make([]*account, w.Accelerators)
	w.held &= guarantee.LowMask(w.Accelerators)
	w.claimed = 0
}

func (f *fleet) arrange() {
	sort.Slice(f.nodes, func(i, j int) bool {
		a, b := f.nodes[i], f.nodes[j]
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.ID < b.ID
	})
	f.racks, f.width = nil, 0
	for i, n := range f.nodes {
		if i == 0 || n.Rack != f.nodes[i-1].Rack {
			f.racks = append(f.racks, &rack{index: len(f.racks), first: i})
		}
		r := f.racks[len(f.racks)-1]
		r.last = i + 1
		n.pos, n.rack = i, r
		f.width = max(f.width, r.last-r.first)
	}
	f.reindexAll()
}

func (f *fleet) reindexAll() {
	for o := range f.byOrder {
		f.byOrder[o] = newBitset(len(f.nodes))
	}
	f.byRun = make([]bitset, f.width+1)
	for i := range f.byRun {
		f.byRun[i] = newBitset(len(f.racks))
	}
	f.lent = newBitset(len(f.nodes))
	f.touched, f.opened = nil, 0
	for _, r := range f.racks {
		r.run, r.touched = 0, false
		f.byRun[0].set(r.index)
	}
	for _, n := range f.nodes {
		n.order, n.opened, n.borrowers = -1, 0, false
		f.index(n)
		f.touch(n.rack)
	}
}

func (f *fleet) touch(r *rack) {
	if !r.touched {
		r.touched = true
		f.touched = append(f.touched, r)
	}
}

func (f *fleet) untouch() {
	for _, r := range f.touched {
		r.touched = false
	}
	f.touched = f.touched[:0]
}

// index brings the index up to date after a change at n.
func (f *fleet) index(n *node) {
	f.steps++
	f.opened += bits.OnesCount64(n.open()) - bits.OnesCount64(n.opened)
	n.opened = n.open()
	order := largest(n.opened)
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
	f.indexRun(n.rack)
}

func (f *fleet) indexBorrowers(n *node) {
	n.borrowers = false
	for i, h := range n.holders {
		if h != nil && h.account != n.owners[i] && h.Idempotent {
			n.borrowers = true
			break
		}
	}
	if n.borrowers {
		f.lent.set(n.pos)
		return
	}
	f.lent.clear(n.pos)
}

func (f *fleet) indexRun(r *rack) {
	run, longest := 0, 0
	for _, n := range f.nodes[r.first:r.last] {
		run++
		if !n.whole() {
			run = 0
		}
		longest = max(longest, run)
	}
	if longest != r.run {
		f.byRun[r.run].clear(r.index)
		f.byRun[longest].set(r.index)
		r.run = longest
	}
}

// whole reports whether all accelerators of the node are open.
func (w *node) whole() bool {
	return w.Accelerators > 0 && w.open() == guarantee.LowMask(w.Accelerators)
}

// largest returns the order of the largest aligned block in a mask, -1 for
// none.
func largest(m uint64) int {
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
func orderOf(n int) int { return bits.Len(uint(n - 1)) }

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
