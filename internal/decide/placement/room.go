package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// suits reports whether a unit may ever run on a worker.
func (p *plan) suits(u *Unit, w int) bool {
	x := &p.in.Workers[w]
	return x.Schedulable && x.Service == u.Service && !u.Avoid[w] && u.Shape.Fits(x.Capacity) &&
		(u.Rack == "" || u.Rack == x.Rack) && (u.Label == "" || slices.Contains(x.Labels, u.Label))
}

// find returns a worker for each task of a unit, nil when there is no room: in
// the group that is left with the least.
func (p *plan) find(u *Unit, free []model.Shape, backfill bool) []int {
	var best []int
	least := 0.0
	for _, group := range p.groups(u) {
		ws := p.fill(u, group, free, backfill)
		if ws == nil {
			continue
		}
		if left := p.leftover(group, free); best == nil || left < least {
			best, least = ws, left
		}
	}
	return best
}

// groups returns the groups of workers in one of which all tasks of a unit must
// run: the racks that could hold it for a unit that must not leave its rack,
// else all workers.
func (p *plan) groups(u *Unit) [][]int {
	var all [][]int
	if u.SameRack && u.Tasks > 1 {
		for i := range p.racks {
			if p.holds(u, p.racks[i].workers) {
				all = append(all, p.racks[i].workers)
			}
		}
	}
	if all == nil {
		return [][]int{p.all}
	}
	return all
}

// holds reports whether a rack could hold a unit if it were empty.
func (p *plan) holds(u *Unit, workers []int) bool {
	n := 0
	for _, w := range workers {
		if p.suits(u, w) {
			n += times(u.Shape, p.in.Workers[w].Capacity, u.PerWorker)
		}
	}
	return n >= u.Tasks
}

// times returns how often a shape fits in room, at most limit times when limit
// is over 0.
func times(s, room model.Shape, limit int) int {
	n := 0
	for s.Fits(room) && (limit == 0 || n < limit) && n < maxTasks {
		room = room.Minus(s)
		n++
	}
	return n
}

// maxTasks bounds the tasks of one worker.
const maxTasks = 1024

func (p *plan) leftover(workers []int, free []model.Shape) float64 {
	sum := 0.0
	for _, w := range workers {
		sum += free[w].Cores()
	}
	return sum
}

// fill chooses the tightest worker for each task.
func (p *plan) fill(u *Unit, workers []int, free []model.Shape, backfill bool) []int {
	var suited []int
	for _, w := range workers {
		if u.Shape.Fits(free[w]) && p.suits(u, w) && (!backfill || !p.isHeld(u, w)) && u.mayTake(w, 0) {
			suited = append(suited, w)
			p.seats[w] = seat{left: free[w], score: p.score(u, w, free[w], 0)}
		}
	}
	out := make([]int, 0, u.Tasks)
	for len(out) < u.Tasks {
		at := -1
		for i, w := range suited {
			if w >= 0 && (at < 0 || p.seats[w].score < p.seats[suited[at]].score) {
				at = i
			}
		}
		if at < 0 {
			return nil
		}
		w := suited[at]
		out = append(out, w)
		x := &p.seats[w]
		x.left = x.left.Minus(u.Shape)
		x.count++
		x.score = p.score(u, w, x.left, x.count)
		if !u.Shape.Fits(x.left) || !u.mayTake(w, x.count) {
			suited[at] = -1
		}
	}
	return out
}

// mayTake reports whether one more task of the unit's step may run on a worker beside
// those that are there and more that are chosen.
func (u *Unit) mayTake(w, chosen int) bool {
	return u.PerWorker == 0 || u.StepTasks[w]+chosen < u.PerWorker
}

// score weighs the place of a task; less is better. Urgent units gather on few
// workers and in few racks, so that the room that can be reclaimed stays whole.
func (p *plan) score(u *Unit, w int, left model.Shape, count int) float64 {
	s := p.tightness(left.Minus(u.Shape), w)
	if !u.Urgent {
		return s
	}
	firm := p.firm[w].Minus(u.Shape)
	for range count {
		firm = firm.Minus(u.Shape)
	}
	return firmWeight*p.tightness(firm, w) + rackWeight*p.rackShare(w) + s
}

const (
	// firmWeight and rackWeight put what can be reclaimed on a worker and in its
	// rack before the room that is free now.
	firmWeight = 10
	rackWeight = 5
)

// rackShare returns the share of a worker's rack that can be reclaimed.
func (p *plan) rackShare(w int) float64 {
	r := &p.racks[p.rackOf[w]]
	return share(r.firm, r.all)
}

// tightness weighs the room that stays free on a worker as shares of its
// capacity; accelerators weigh most, since whole workers are scarce.
func (p *plan) tightness(left model.Shape, w int) float64 {
	c := p.in.Workers[w].Capacity
	return 2*share(left.Accelerators, c.Accelerators) + share(left.MilliCPU, c.MilliCPU) + share(left.MemoryMB, c.MemoryMB)
}

func share(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// isHeld reports whether a worker is reserved for longer than a unit can use
// it.
func (p *plan) isHeld(u *Unit, w int) bool {
	until, ok := p.held[w]
	return ok && u.Runtime > until
}
