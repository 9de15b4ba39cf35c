package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// eligible reports whether a unit may ever run on a worker.
func (p *plan) eligible(u *Unit, w int) bool {
	x := &p.in.Workers[w]
	return x.Schedulable && x.Service == u.Service && !u.Avoid[w] && u.Shape.Fits(x.Capacity) &&
		(u.Rack == "" || u.Rack == x.Rack) && (u.Label == "" || slices.Contains(x.Labels, u.Label))
}

// findWorkers returns a worker for each task of a unit, nil when there is no room: in
// the group that is left with the least.
func (p *plan) findWorkers(u *Unit, free []model.Shape, backfill bool) []int {
	var best []int
	least := 0.0
	for _, group := range p.workerGroups(u) {
		ws := p.bestFit(u, group, free, backfill)
		if ws == nil {
			continue
		}
		if cores := p.freeCores(group, free); best == nil || cores < least {
			best, least = ws, cores
		}
	}
	return best
}

// workerGroups returns the workerGroups of workers in one of which all tasks of a unit must
// run: the racks that could hold it for a unit that must not leave its rack,
// else all workers.
func (p *plan) workerGroups(u *Unit) [][]int {
	var all [][]int
	if u.SameRack && u.Tasks > 1 {
		for i := range p.racks {
			if p.fitsWhenEmpty(u, p.racks[i].workers) {
				all = append(all, p.racks[i].workers)
			}
		}
	}
	if all == nil {
		return [][]int{p.all}
	}
	return all
}

// fitsWhenEmpty reports whether a rack could hold a unit if it were empty.
func (p *plan) fitsWhenEmpty(u *Unit, workers []int) bool {
	n := 0
	for _, w := range workers {
		if p.eligible(u, w) {
			n += countFits(u.Shape, p.in.Workers[w].Capacity, u.PerWorker)
		}
	}
	return n >= u.Tasks
}

// countFits returns how often a shape fits in room, at most limit countFits when limit
// is over 0.
func countFits(s, capacity model.Shape, limit int) int {
	n := 0
	for s.Fits(capacity) && (limit == 0 || n < limit) && n < maxTasksPerWorker {
		capacity = capacity.Minus(s)
		n++
	}
	return n
}

// maxTasksPerWorker bounds the tasks of one worker.
const maxTasksPerWorker = 1024

func (p *plan) freeCores(workers []int, free []model.Shape) float64 {
	sum := 0.0
	for _, w := range workers {
		sum += free[w].Cores()
	}
	return sum
}

// bestFit chooses the tightest worker for each task.
func (p *plan) bestFit(u *Unit, workers []int, free []model.Shape, backfill bool) []int {
	var usable []int
	for _, w := range workers {
		if u.Shape.Fits(free[w]) && p.eligible(u, w) && (!backfill || !p.isReserved(u, w)) && u.allowsTask(w, 0) {
			usable = append(usable, w)
			p.candidates[w] = candidate{remaining: free[w], score: p.score(u, w, free[w], 0)}
		}
	}
	out := make([]int, 0, u.Tasks)
	for len(out) < u.Tasks {
		best := -1
		for i, w := range usable {
			if w >= 0 && (best < 0 || p.candidates[w].score < p.candidates[usable[best]].score) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		w := usable[best]
		out = append(out, w)
		x := &p.candidates[w]
		x.remaining = x.remaining.Minus(u.Shape)
		x.tasks++
		x.score = p.score(u, w, x.remaining, x.tasks)
		if !u.Shape.Fits(x.remaining) || !u.allowsTask(w, x.tasks) {
			usable[best] = -1
		}
	}
	return out
}

// allowsTask reports whether one more task of the unit's step may run on a worker beside
// those that are there and more that are chosen.
func (u *Unit) allowsTask(w, chosen int) bool {
	return u.PerWorker == 0 || u.StepTasks[w]+chosen < u.PerWorker
}

// score weighs the place of a task; less is better. Urgent units gather on few
// workers and in few racks, so that the room that can be reclaimed stays whole.
func (p *plan) score(u *Unit, w int, free model.Shape, tasks int) float64 {
	s := p.freeShare(free.Minus(u.Shape), w)
	if !u.Urgent {
		return s
	}
	reclaimable := p.reclaimable[w].Minus(u.Shape)
	for range tasks {
		reclaimable = reclaimable.Minus(u.Shape)
	}
	return reclaimableWeight*p.freeShare(reclaimable, w) + rackWeight*p.reclaimableRackShare(w) + s
}

const (
	// reclaimableWeight and rackWeight put what can be reclaimed on a worker and in its
	// rack before the room that is free now.
	reclaimableWeight = 10
	rackWeight        = 5
)

// reclaimableRackShare returns the share of a worker's rack that can be reclaimed.
func (p *plan) reclaimableRackShare(w int) float64 {
	r := &p.racks[p.rackOf[w]]
	return ratio(r.reclaimable, r.all)
}

// freeShare weighs the room that stays free on a worker as shares of its
// capacity; accelerators weigh most, since whole workers are scarce.
func (p *plan) freeShare(free model.Shape, w int) float64 {
	c := p.in.Workers[w].Capacity
	return 2*ratio(free.Accelerators, c.Accelerators) + ratio(free.MilliCPU, c.MilliCPU) + ratio(free.MemoryMB, c.MemoryMB)
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// isReserved reports whether a worker is reserved for longer than a unit can use
// it.
func (p *plan) isReserved(u *Unit, w int) bool {
	from, ok := p.reservedFrom[w]
	return ok && u.Runtime > from
}
