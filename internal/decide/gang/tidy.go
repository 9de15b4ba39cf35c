package gang

import (
	"math/bits"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// tidyShare is the largest part of a worker that borrowers hold when they are
// moved away to make the worker whole.
const maxSparseShare = 0.5

// tidy moves small borrowers off workers that they alone keep from being whole,
// when there is room for them at workers in use. It looks only at racks where
// accelerators became free, and only when fragmentation is weighed more than
// completion time.
func (r *round) consolidate(racks []*rack) {
	if r.weights.Fragmentation <= r.weights.CompletionTime {
		return
	}
	for _, rk := range racks {
		for _, n := range r.fleet.nodes[rk.first:rk.last] {
			r.fleet.visits++
			if r.sparse(n) && r.vacate(n) {
				break
			}
		}
	}
}

// sparse reports whether a node is in use by little.
func (s *State) sparse(n *node) bool {
	occupied := bits.OnesCount64(n.occupied)
	return occupied > 0 && n.nominated == 0 && n.schedulable() != 0 && float64(occupied) <= maxSparseShare*float64(n.Accelerators)
}

// tidyNode pre-empts the holders of a node when all of them can move.
func (r *round) vacate(n *node) bool {
	occupants := distinctJobs(n.occupants)
	for _, h := range occupants {
		if h.Tasks > 1 || h.preempting || r.expectedEnd(h).Sub(r.now) < minCompactionWait || !r.mayMove(h) || !r.fitsElsewhere(h, n) {
			return false
		}
	}
	for _, h := range occupants {
		r.preemptJob(h, "moves to a worker in use, to make "+n.ID+" whole")
	}
	return true
}

// roomBeside reports whether a job fits at another worker that is in use more
// than n.
func (s *State) fitsElsewhere(js *jobState, n *node) bool {
	next := s.fleet.bestFit(blockOrder(js.Accelerators), js.Accelerators)
	for range singleTaskSample {
		o := next()
		if o == nil || o.fullyFree() {
			return false
		}
		if o != n && bits.OnesCount64(o.occupied) > bits.OnesCount64(n.occupied) && guarantee.AlignedRange(o.available(), js.Accelerators) != 0 {
			return true
		}
	}
	return false
}
