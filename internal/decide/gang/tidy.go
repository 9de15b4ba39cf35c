package gang

import (
	"math/bits"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// maxSparseShare is the largest share of a worker's accelerators that borrowers
// occupy when they are moved away to free the whole worker.
const maxSparseShare = 0.5

// consolidate moves small borrowers off workers that are fully free but for
// them, when they fit on other workers in use. It visits only racks in which
// accelerators became free, and only when fragmentation has more weight than
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

// sparse reports whether a node is in use by at most maxSparseShare.
func (s *State) sparse(n *node) bool {
	occupied := bits.OnesCount64(n.occupied)
	return occupied > 0 && n.nominated == 0 && n.schedulable() != 0 && float64(occupied) <= maxSparseShare*float64(n.Accelerators)
}

// vacate pre-empts the occupants of a node if all of them can move, and reports
// whether it did.
func (r *round) vacate(n *node) bool {
	occupants := distinctJobs(n.occupants)
	for _, occupant := range occupants {
		if occupant.Tasks > 1 || occupant.preempting || r.expectedEnd(occupant).Sub(r.now) < minCompactionWait || !r.mayMove(occupant) || !r.fitsElsewhere(occupant, n) {
			return false
		}
	}
	for _, occupant := range occupants {
		r.preemptJob(occupant, "moves to a worker in use, to make "+n.ID+" whole")
	}
	return true
}

// fitsElsewhere reports whether a job fits on another worker on which more
// accelerators are occupied than on n.
func (s *State) fitsElsewhere(js *jobState, n *node) bool {
	next := s.fleet.bestFit(blockOrder(js.Accelerators), js.Accelerators)
	for range singleTaskSample {
		other := next()
		if other == nil || other.fullyFree() {
			return false
		}
		if other != n && bits.OnesCount64(other.occupied) > bits.OnesCount64(n.occupied) && guarantee.AlignedRange(other.available(), js.Accelerators) != 0 {
			return true
		}
	}
	return false
}
