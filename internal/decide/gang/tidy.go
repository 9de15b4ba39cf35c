package gang

import (
	"math/bits"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// tidyShare is the largest part of a worker that borrowers hold when they are
// moved away to make the worker whole.
const tidyShare = 0.5

// tidy moves small borrowers off workers that they alone keep from being whole,
// when there is room for them at workers in use. It looks only at racks where
// accelerators became free, and only when fragmentation is weighed more than
// completion time.
func (r *round) tidy(racks []*rack) {
	if r.weights.Fragmentation <= r.weights.CompletionTime {
		return
	}
	for _, rk := range racks {
		for _, n := range r.fleet.nodes[rk.first:rk.last] {
			r.fleet.steps++
			if r.sparse(n) && r.tidyNode(n) {
				break
			}
		}
	}
}

// sparse reports whether a node is in use by little.
func (s *State) sparse(n *node) bool {
	held := bits.OnesCount64(n.held)
	return held > 0 && n.claimed == 0 && n.all() != 0 && float64(held) <= tidyShare*float64(n.Accelerators)
}

// tidyNode pre-empts the holders of a node when all of them can move.
func (r *round) tidyNode(n *node) bool {
	holders := distinct(n.holders)
	for _, h := range holders {
		if h.Tasks > 1 || h.preempting || r.end(h).Sub(r.now) < compactionGain || !r.mayMove(h) || !r.roomBeside(h, n) {
			return false
		}
	}
	for _, h := range holders {
		r.preemptOne(h, "moves to a worker in use, to make "+n.ID+" whole")
	}
	return true
}

// roomBeside reports whether a job fits at another worker that is in use more
// than n.
func (s *State) roomBeside(js *jobState, n *node) bool {
	next := s.fleet.bestFit(orderOf(js.Accelerators), js.Accelerators)
	for range packSample {
		o := next()
		if o == nil || o.whole() {
			return false
		}
		if o != n && bits.OnesCount64(o.held) > bits.OnesCount64(n.held) && guarantee.AlignedRange(o.open(), js.Accelerators) != 0 {
			return true
		}
	}
	return false
}
