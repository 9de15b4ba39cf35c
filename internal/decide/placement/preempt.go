package placement

import (
	"slices"
	"sort"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// clear claims room for an urgent unit and stops what stands there, where the
// least work is lost.
func (p *plan) clear(i int) bool {
	u := &p.in.Waiting[i]
	key := clearKey{keyOf(u), u.Shape, u.Guaranteed}
	plain := u.PerWorker == 0 && u.Avoid == nil
	if plain && p.uncleared[key] {
		return false
	}
	var best *clearing
	for _, group := range p.groups(u) {
		if c := p.victims(u, group); c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	if best == nil {
		if plain {
			p.uncleared[key] = true
		}
		return false
	}
	if len(best.units) > 0 {
		clear(p.uncleared)
	}
	for _, r := range best.units {
		p.stopped[r] = true
		p.out.Stops = append(p.out.Stops, r)
		for _, w := range p.in.Running[r].Workers {
			p.coming[w] = p.coming[w].Plus(p.in.Running[r].Shape)
		}
	}
	p.take(u, best.workers)
	p.out.Nominations = append(p.out.Nominations, Assignment{Unit: i, Workers: best.workers})
	return true
}

// clearing is a way to make room for a unit.
type clearing struct {
	workers []int
	units   []int
	loss    float64
	chosen  map[int]bool
}

// yields reports whether a running unit makes room for an urgent one.
func (p *plan) yields(r int, u *Unit) bool {
	x := &p.in.Running[r]
	if x.Stopping || x.NotPreemptible || p.stopped[r] || x.Guaranteed {
		return false
	}
	return !x.Urgent || u.Guaranteed
}

// victims chooses, task by task, the worker where the least further work is
// lost.
func (p *plan) victims(u *Unit, workers []int) *clearing {
	c := &clearing{chosen: make(map[int]bool)}
	var suited []int
	for _, w := range workers {
		if p.suits(u, w) {
			suited = append(suited, w)
			p.seats[w] = seat{left: p.coming[w]}
		}
	}
	for len(c.workers) < u.Tasks {
		best := -1
		for _, w := range suited {
			x := &p.seats[w]
			if !x.known {
				p.weigh(c, u, w)
			}
			if x.ok && u.mayTake(w, x.count) && (best < 0 || x.score < p.seats[best].score) {
				best = w
			}
		}
		if best < 0 {
			return nil
		}
		for _, r := range p.seats[best].units {
			c.chosen[r] = true
			c.units = append(c.units, r)
			c.loss += p.in.Running[r].DiscardedWork
			for _, w := range p.in.Running[r].Workers {
				p.seats[w].left = p.seats[w].left.Plus(p.in.Running[r].Shape)
				p.seats[w].known = false
			}
		}
		x := &p.seats[best]
		x.left, x.known = x.left.Minus(u.Shape), false
		x.count++
		c.workers = append(c.workers, best)
	}
	return c
}

// weigh finds out what one more task on a worker costs.
func (p *plan) weigh(c *clearing, u *Unit, w int) {
	x := &p.seats[w]
	x.known = true
	x.units, x.score, x.ok = p.evict(c, u, w)
	if x.ok {
		x.score += p.score(u, w, x.left, x.count)
	}
}

// evict returns the units to stop so that one more task fits on a worker, and
// the work that is lost.
func (p *plan) evict(c *clearing, u *Unit, w int) (units []int, loss float64, ok bool) {
	left := p.seats[w].left
	if u.Shape.Fits(left) {
		return nil, 0, true
	}
	var able []int
	most := left
	for _, r := range p.holders[w] {
		if !c.chosen[r] && p.yields(r, u) {
			most = most.Plus(p.in.Running[r].Shape)
			if !slices.Contains(able, r) {
				able = append(able, r)
			}
		}
	}
	if !u.Shape.Fits(most) {
		return nil, 0, false
	}
	sort.SliceStable(able, func(a, b int) bool { return p.in.Running[able[a]].DiscardedWork < p.in.Running[able[b]].DiscardedWork })
	for _, r := range able {
		if u.Shape.Fits(left) {
			break
		}
		units = append(units, r)
		left = left.Plus(p.on(r, w))
	}
	if !u.Shape.Fits(left) {
		return nil, 0, false
	}
	// Those that turned out not to be needed stay.
	kept := make([]int, 0, len(units))
	for k := len(units) - 1; k >= 0; k-- {
		r := units[k]
		if less := left.Minus(p.on(r, w)); u.Shape.Fits(less) {
			left = less
			continue
		}
		kept = append(kept, r)
		loss += p.in.Running[r].DiscardedWork
	}
	return kept, loss, true
}

// on returns what a running unit holds on a worker.
func (p *plan) on(r, w int) model.Shape {
	var s model.Shape
	for _, at := range p.in.Running[r].Workers {
		if at == w {
			s = s.Plus(p.in.Running[r].Shape)
		}
	}
	return s
}

// reserve keeps the workers where a blocked unit is expected to fit first: only
// units that end before then may still start there.
func (p *plan) reserve(u *Unit) bool {
	order := make([]int, 0, len(p.in.Running))
	for r := range p.in.Running {
		order = append(order, r)
	}
	sort.SliceStable(order, func(a, b int) bool { return p.in.Running[order[a]].EndsIn < p.in.Running[order[b]].EndsIn })
	later := append([]model.Shape(nil), p.coming...)
	for k, r := range order {
		x := &p.in.Running[r]
		if !x.Stopping && !p.stopped[r] {
			for _, w := range x.Workers {
				later[w] = later[w].Plus(x.Shape)
			}
		}
		// Trying after each end is not needed while ends are close together.
		if k%4 != 3 && k != len(order)-1 {
			continue
		}
		ws := p.find(u, later, false)
		if ws == nil {
			continue
		}
		for _, w := range ws {
			if until, ok := p.held[w]; !ok || x.EndsIn < until {
				p.held[w] = x.EndsIn
			}
		}
		return true
	}
	return false
}
