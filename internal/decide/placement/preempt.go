package placement

import (
	"math"
	"slices"
	"sort"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// clear nominates workers for an urgent unit and stops the running units that
// occupy their capacity, where the least work is discarded. It reports whether
// it found such workers.
func (p *plan) clear(i int) bool {
	u := &p.in.Waiting[i]
	key := preemptionKey{constraintsOf(u), u.Shape, u.Guaranteed}
	cacheable := u.PerWorker == 0 && !u.avoidsWorkers()
	if cacheable && p.preemptionFailed[key] {
		return false
	}
	var best *preemption
	for _, group := range p.workerGroups(u) {
		if c := p.chooseVictims(u, group); c != nil && (best == nil || c.discardedWork < best.discardedWork) {
			best = c
		}
	}
	if best == nil {
		if cacheable {
			p.preemptionFailed[key] = true
		}
		return false
	}
	if len(best.victims) > 0 {
		clear(p.preemptionFailed)
	}
	for _, r := range best.victims {
		p.stopped[r] = true
		p.out.Stops = append(p.out.Stops, r)
		for _, w := range p.in.Running[r].Workers {
			p.availableSoon[w] = p.availableSoon[w].Plus(p.in.Running[r].Shape)
		}
	}
	p.occupy(u, best.workers)
	p.out.Nominations = append(p.out.Nominations, Assignment{Unit: i, Workers: best.workers})
	return true
}

// preemption is a choice of workers for a unit and of the running units to stop
// for it.
type preemption struct {
	workers       []int
	victims       []int
	discardedWork float64
	isVictim      map[int]bool
}

// preemptible reports whether a running unit yields to an urgent one.
func (p *plan) preemptible(r int, u *Unit) bool {
	x := &p.in.Running[r]
	if x.Stopping || x.NotPreemptible || p.stopped[r] || x.Guaranteed || p.exceedsStops(x, u) {
		return false
	}
	return !x.Urgent || u.Guaranteed
}

// chooseVictims chooses for each task in turn the worker where the least
// additional work is discarded. It returns nil if the unit does not fit.
func (p *plan) chooseVictims(u *Unit, workers []int) *preemption {
	c := &preemption{isVictim: make(map[int]bool)}
	var eligibleWorkers []int
	for _, w := range workers {
		if p.eligible(u, w) {
			eligibleWorkers = append(eligibleWorkers, w)
			p.candidates[w] = candidate{remaining: p.availableSoon[w]}
		}
	}
	for len(c.workers) < u.Tasks {
		best := -1
		for _, w := range eligibleWorkers {
			x := &p.candidates[w]
			if !x.scored {
				p.scoreCandidate(c, u, w)
			}
			if x.feasible && u.allowsTask(w, x.tasks) && (best < 0 || x.score < p.candidates[best].score) {
				best = w
			}
		}
		if best < 0 {
			return nil
		}
		for _, r := range p.candidates[best].victims {
			c.isVictim[r] = true
			c.victims = append(c.victims, r)
			c.discardedWork += p.stopCost(r)
			for _, w := range p.in.Running[r].Workers {
				p.candidates[w].remaining = p.candidates[w].remaining.Plus(p.in.Running[r].Shape)
				p.candidates[w].scored = false
			}
		}
		x := &p.candidates[best]
		x.remaining, x.scored = x.remaining.Minus(u.Shape), false
		x.tasks++
		c.workers = append(c.workers, best)
	}
	return c
}

// scoreCandidate computes the cost of one more task on a worker.
func (p *plan) scoreCandidate(c *preemption, u *Unit, w int) {
	x := &p.candidates[w]
	x.scored = true
	x.victims, x.score, x.feasible = p.victimsFor(c, u, w)
	if x.feasible {
		x.score += p.score(u, w, x.remaining, x.tasks)
	}
}

// victimsFor returns the units to stop so that one more task fits on a worker,
// and the work that this discards.
func (p *plan) victimsFor(c *preemption, u *Unit, w int) (victims []int, discarded float64, ok bool) {
	remaining := p.candidates[w].remaining
	if u.Shape.Fits(remaining) {
		return nil, 0, true
	}
	var preemptibleUnits []int
	maxFree := remaining
	for _, r := range p.runningOn[w] {
		if !c.isVictim[r] && p.preemptible(r, u) {
			maxFree = maxFree.Plus(p.in.Running[r].Shape)
			if !slices.Contains(preemptibleUnits, r) {
				preemptibleUnits = append(preemptibleUnits, r)
			}
		}
	}
	if !u.Shape.Fits(maxFree) {
		return nil, 0, false
	}
	sort.SliceStable(preemptibleUnits, func(a, b int) bool {
		return p.stopCost(preemptibleUnits[a]) < p.stopCost(preemptibleUnits[b])
	})
	for _, r := range preemptibleUnits {
		if u.Shape.Fits(remaining) {
			break
		}
		victims = append(victims, r)
		remaining = remaining.Plus(p.usage(r, w))
	}
	if !u.Shape.Fits(remaining) {
		return nil, 0, false
	}
	// Units that turn out not to be needed keep running.
	needed := make([]int, 0, len(victims))
	for k := len(victims) - 1; k >= 0; k-- {
		r := victims[k]
		if reduced := remaining.Minus(p.usage(r, w)); u.Shape.Fits(reduced) {
			remaining = reduced
			continue
		}
		needed = append(needed, r)
		discarded += p.stopCost(r)
	}
	return needed, discarded, true
}

// usage returns what a running unit occupies on a worker.
func (p *plan) usage(r, w int) model.Shape {
	var s model.Shape
	for _, at := range p.in.Running[r].Workers {
		if at == w {
			s = s.Plus(p.in.Running[r].Shape)
		}
	}
	return s
}

// reserve reserves the workers on which a blocked unit is expected to fit
// first: only units that end before then may still start there. It reports
// whether there are such workers. A unit that waits for units whose end nothing
// bounds gets no reservation, since others would wait with it.
func (p *plan) reserve(u *Unit) bool {
	if p.in.Disabled[policy.Reservations] {
		return false
	}
	byEnd := make([]int, 0, len(p.in.Running))
	for r := range p.in.Running {
		if !math.IsInf(p.in.Running[r].EndsIn, 1) {
			byEnd = append(byEnd, r)
		}
	}
	sort.SliceStable(byEnd, func(a, b int) bool { return p.in.Running[byEnd[a]].EndsIn < p.in.Running[byEnd[b]].EndsIn })
	futureFree := append([]model.Shape(nil), p.availableSoon...)
	for k, r := range byEnd {
		x := &p.in.Running[r]
		if !x.Stopping && !p.stopped[r] {
			for _, w := range x.Workers {
				futureFree[w] = futureFree[w].Plus(x.Shape)
			}
		}
		// Searching only after every fourth end and the last is enough, as ends
		// are close together.
		if k%4 != 3 && k != len(byEnd)-1 {
			continue
		}
		ws := p.findWorkers(u, futureFree, false)
		if ws == nil {
			continue
		}
		for _, w := range ws {
			if from, ok := p.reservedFrom[w]; !ok || x.EndsIn < from {
				p.reservedFrom[w] = x.EndsIn
			}
		}
		return true
	}
	return false
}
