package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// eligible reports whether a unit could run on a worker if the worker were
// empty.
func (p *plan) eligible(u *Unit, w int) bool {
	x := &p.in.Workers[w]
	avoided := u.Avoid[w] || u.AvoidFailed[w] && p.relaxed < relaxFailed
	return p.isOpen(x) && x.Service == u.Service && !avoided && u.Shape.Fits(x.Capacity) &&
		(p.useKept || p.relaxed > 0 || p.mayUse(u, w)) && (u.Rack == "" || u.Rack == x.Rack) && x.HasLabel(u.Label)
}

// HasLabel reports whether a worker has a label; every worker has the empty one.
func (w *Worker) HasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// findWorkers returns a worker for each task of a unit, or nil if the free
// capacity does not suffice. Of the groups where the unit fits it chooses the
// one with the least free capacity.
func (p *plan) findWorkers(u *Unit, free []model.Shape, backfill bool) []int {
	var best []int
	least := 0.0
	for _, group := range p.workerGroups(u) {
		ws := p.fit(u, group, free, backfill)
		if ws == nil {
			continue
		}
		cores := p.freeCores(group, free) + p.rackSpeedCores(u, ws)
		if u.Urgent {
			cores += notKeptWeight * p.notKept(group)
		}
		if best == nil || cores < least {
			best, least = ws, cores
		}
	}
	return best
}

// workerGroups returns the groups of workers in one of which all tasks of a
// unit must run: for a unit that must run in one rack, the racks that are large
// enough; otherwise all workers. A unit that is too large for every rack may
// use all workers.
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

// fitsWhenEmpty reports whether a unit would fit in a rack if the rack were
// empty.
func (p *plan) fitsWhenEmpty(u *Unit, workers []int) bool {
	n := 0
	for _, w := range workers {
		if p.eligible(u, w) {
			n += CountFits(u.Shape, p.in.Workers[w].Capacity, u.PerWorker)
		}
	}
	return n >= u.Tasks
}

// CountFits returns how many times a shape fits in a capacity, at most limit
// times if limit is over 0.
func CountFits(s, capacity model.Shape, limit int) int {
	n := 0
	for s.Fits(capacity) && (limit == 0 || n < limit) && n < maxTasksPerWorker {
		capacity = capacity.Minus(s)
		n++
	}
	return n
}

// maxTasksPerWorker bounds the tasks that are counted for one worker.
const maxTasksPerWorker = 1024

func (p *plan) freeCores(workers []int, free []model.Shape) float64 {
	sum := 0.0
	for _, w := range workers {
		sum += free[w].Cores()
	}
	return sum
}

// bestFit chooses the worker with the lowest score for each task in turn, or
// returns nil if a task fits on no worker. If backfill is set, it leaves out
// workers whose reservation begins before the unit ends.
func (p *plan) bestFit(u *Unit, workers []int, free []model.Shape, backfill bool) []int {
	var eligibleWorkers []int
	for _, w := range workers {
		if u.Shape.Fits(free[w]) && p.eligible(u, w) && (!backfill || !p.isReserved(u, w)) && u.allowsTask(w, 0) {
			eligibleWorkers = append(eligibleWorkers, w)
			p.candidates[w] = candidate{remaining: free[w], score: p.score(u, w, free[w], 0)}
		}
	}
	out := make([]int, 0, u.Tasks)
	for len(out) < u.Tasks {
		best := -1
		for i, w := range eligibleWorkers {
			if w >= 0 && (best < 0 || p.candidates[w].score < p.candidates[eligibleWorkers[best]].score) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		w := eligibleWorkers[best]
		out = append(out, w)
		x := &p.candidates[w]
		x.remaining = x.remaining.Minus(u.Shape)
		x.tasks++
		x.score = p.score(u, w, x.remaining, x.tasks)
		if !u.Shape.Fits(x.remaining) || !u.allowsTask(w, x.tasks) {
			eligibleWorkers[best] = -1
		}
	}
	return out
}

// allowsTask reports whether the bound per worker allows one more task on a
// worker besides the tasks that are there and those already chosen.
func (u *Unit) allowsTask(w, chosen int) bool {
	return u.PerWorker == 0 || u.StepTasks[w]+chosen < u.PerWorker
}

// score rates the placement of a task on a worker; lower is better. Urgent
// units are packed onto few workers and racks, so that whole workers and racks
// stay reclaimable.
func (p *plan) score(u *Unit, w int, free model.Shape, tasks int) float64 {
	s := p.freeShare(free.Minus(u.Shape), w) + p.coldPenalty(w) + p.speedTerm(u, w) + p.interference(u, w, tasks)
	if !u.Urgent || p.in.Disabled[policy.GatherUrgent] {
		return s
	}
	reclaimable := p.reclaimable[w].Minus(u.Shape)
	for range tasks {
		reclaimable = reclaimable.Minus(u.Shape)
	}
	s += reclaimableWeight*p.freeShare(reclaimable, w) + rackWeight*p.reclaimableRackShare(w)
	if len(p.in.UrgentRoom) > 0 && !p.kept[w] {
		s += notKeptWeight
	}
	return s
}

const (
	// reclaimableWeight and rackWeight give the reclaimable capacity of a
	// worker and of its rack precedence over the capacity that is free now.
	reclaimableWeight = 10
	rackWeight        = 5
)

// reclaimableRackShare returns the reclaimable share of the accelerators in a
// worker's rack.
func (p *plan) reclaimableRackShare(w int) float64 {
	r := &p.racks[p.rackOf[w]]
	return ratio(r.reclaimable, r.all)
}

// freeShare returns the weighted sum of the capacity that stays free on a
// worker, as shares of its total capacity. Accelerators weigh most, since whole
// workers are scarce.
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

// isReserved reports whether the reservation of a worker begins before a unit
// is expected to end.
func (p *plan) isReserved(u *Unit, w int) bool {
	from, ok := p.reservedFrom[w]
	return ok && (u.Runtime > from || p.in.Disabled[policy.Backfill])
}
