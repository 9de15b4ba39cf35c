package gang

import (
	"math/bits"
	"sort"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// Measures returns the current measures of the fleet.
func (s *State) Measures() Measures {
	m := Measures{Visits: s.fleet.visits}
	workers := make([]WorkerFree, 0, len(s.fleet.nodes))
	for _, n := range s.fleet.nodes {
		if n.removed {
			continue
		}
		m.Accelerators += n.Accelerators
		if n.health.quarantined {
			m.Quarantined++
		}
		free := n.schedulable() &^ n.occupied
		m.Free += bits.OnesCount64(free)
		workers = append(workers, WorkerFree{Rack: n.rack.index, Mask: free})
	}
	for _, js := range s.jobs {
		if js.running {
			m.Running++
		} else {
			m.Waiting++
		}
	}
	m.Fragmentation = Fragmentation(workers, s.configured)
	return m
}

// WorkerFree is the set of free accelerators of one worker.
type WorkerFree struct {
	Rack int
	Mask uint64
}

// Fragmentation returns 1 - covered/free for workers in fleet order, and 0 when
// nothing is free. The free accelerators are covered with the guaranteed
// shapes, the largest first and each as often as it fits. A shape takes an
// aligned range on each of its workers, which are neighbours in one rack, or in
// neighbouring racks when the shape is larger than a rack.
func Fragmentation(workers []WorkerFree, shapes []Account) float64 {
	free, width := 0, 0
	remaining := make([]uint64, len(workers))
	perRack := make(map[int]int)
	for i, w := range workers {
		remaining[i] = w.Mask
		free += bits.OnesCount64(w.Mask)
		perRack[w.Rack]++
		width = max(width, perRack[w.Rack])
	}
	if free == 0 {
		return 0
	}
	covered := 0
	for _, sh := range distinctShapes(shapes) {
		covered += cover(workers, remaining, sh, sh.Workers > width)
	}
	return 1 - float64(covered)/float64(free)
}

// distinctShapes returns the guaranteed shapes without repetition, the largest
// first.
func distinctShapes(accounts []Account) []Account {
	var all []Account
	seen := make(map[Account]bool)
	for _, a := range accounts {
		a.ID = ""
		if a.Workers > 0 && a.Accelerators > 0 && !seen[a] {
			seen[a] = true
			all = append(all, a)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		x, y := all[i], all[j]
		if x.Workers*x.Accelerators != y.Workers*y.Accelerators {
			return x.Workers*x.Accelerators > y.Workers*y.Accelerators
		}
		return x.Accelerators > y.Accelerators
	})
	return all
}

// cover removes a shape from remaining as often as it fits, and returns the
// number of accelerators removed.
func cover(workers []WorkerFree, remaining []uint64, sh Account, cross bool) int {
	covered := 0
	for i := 0; i+sh.Workers <= len(workers); {
		if next := nextStart(workers, remaining, sh, i, cross); next > i {
			i = next
			continue
		}
		for k := i; k < i+sh.Workers; k++ {
			remaining[k] &^= guarantee.AlignedRange(remaining[k], sh.Accelerators)
		}
		covered += sh.Workers * sh.Accelerators
	}
	return covered
}

// nextStart returns i when the shape fits from worker i on, and otherwise the
// next worker to try.
func nextStart(workers []WorkerFree, remaining []uint64, sh Account, i int, cross bool) int {
	next := i
	for k := i; k < i+sh.Workers; k++ {
		if !cross && workers[k].Rack != workers[i].Rack {
			return max(next, k)
		}
		if guarantee.AlignedRange(remaining[k], sh.Accelerators) == 0 {
			next = k + 1
		}
	}
	return next
}
