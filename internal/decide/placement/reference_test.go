package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// reference decides as Plan does but evaluates every worker again for each
// task. It does not remember which units found no capacity, except for single
// tasks that are not urgent.
func reference(in Input) Decision {
	p := newPlan(&in)
	reserved := 0
	for i := range in.Waiting {
		p.processNominated(i)
	}
	for i := range in.Waiting {
		u := &in.Waiting[i]
		single := u.Tasks == 1 && !u.Urgent
		if u.Nominated != nil || single && p.isBlocked(u) {
			continue
		}
		if ws := p.referenceFindWorkers(u, p.free, true); ws != nil {
			p.start(i, ws)
			continue
		}
		if u.Urgent && p.referenceClear(i) {
			continue
		}
		if u.Tasks == 1 {
			p.recordBlocked(u)
		}
		if reserved < in.Reservations && u.Tasks > 1 && p.reserve(u) {
			reserved++
		}
	}
	return p.out
}

func (p *plan) referenceFindWorkers(u *Unit, free []model.Shape, backfill bool) []int {
	var best []int
	least := 0.0
	for _, group := range p.workerGroups(u) {
		ws := p.referenceBestFit(u, group, free, backfill)
		if ws == nil {
			continue
		}
		if cores := p.freeCores(group, free); best == nil || cores < least {
			best, least = ws, cores
		}
	}
	return best
}

func (p *plan) referenceBestFit(u *Unit, workers []int, free []model.Shape, backfill bool) []int {
	left, count := make(map[int]model.Shape), make(map[int]int)
	var out []int
	for len(out) < u.Tasks {
		best, score := -1, 0.0
		for _, w := range workers {
			if _, ok := left[w]; !ok {
				left[w] = free[w]
			}
			if !p.eligible(u, w) || backfill && p.isReserved(u, w) || !u.Shape.Fits(left[w]) || u.PerWorker > 0 && u.StepTasks[w]+count[w] >= u.PerWorker {
				continue
			}
			if s := p.score(u, w, left[w], count[w]); best < 0 || s < score {
				best, score = w, s
			}
		}
		if best < 0 {
			return nil
		}
		out = append(out, best)
		left[best] = left[best].Minus(u.Shape)
		count[best]++
	}
	return out
}

func (p *plan) referenceClear(i int) bool {
	u := &p.in.Waiting[i]
	var best *preemption
	for _, group := range p.workerGroups(u) {
		if c := p.referenceChooseVictims(u, group); c != nil && (best == nil || c.discardedWork < best.discardedWork) {
			best = c
		}
	}
	if best == nil {
		return false
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

func (p *plan) referenceChooseVictims(u *Unit, workers []int) *preemption {
	c := &preemption{isVictim: make(map[int]bool)}
	left, count := make(map[int]model.Shape), make(map[int]int)
	for _, w := range workers {
		left[w] = p.availableSoon[w]
	}
	for len(c.workers) < u.Tasks {
		best, least := -1, 0.0
		var victims []int
		for _, w := range workers {
			if !p.eligible(u, w) || u.PerWorker > 0 && u.StepTasks[w]+count[w] >= u.PerWorker {
				continue
			}
			more, discardedWork, ok := p.referenceVictimsFor(c, u, w, left[w])
			if !ok {
				continue
			}
			discardedWork += p.score(u, w, left[w], count[w])
			if best < 0 || discardedWork < least {
				best, least, victims = w, discardedWork, more
			}
		}
		if best < 0 {
			return nil
		}
		for _, r := range victims {
			c.isVictim[r] = true
			c.victims = append(c.victims, r)
			c.discardedWork += p.in.Running[r].DiscardedWork
			for _, w := range p.in.Running[r].Workers {
				left[w] = left[w].Plus(p.in.Running[r].Shape)
			}
		}
		left[best] = left[best].Minus(u.Shape)
		c.workers = append(c.workers, best)
		count[best]++
	}
	return c
}

func (p *plan) referenceVictimsFor(c *preemption, u *Unit, w int, remaining model.Shape) (victims []int, discarded float64, ok bool) {
	if u.Shape.Fits(remaining) {
		return nil, 0, true
	}
	var preemptibleUnits []int
	for _, r := range p.runningOn[w] {
		if !slices.Contains(preemptibleUnits, r) && !c.isVictim[r] && p.preemptible(r, u) {
			preemptibleUnits = append(preemptibleUnits, r)
		}
	}
	sort.SliceStable(preemptibleUnits, func(a, b int) bool {
		return p.in.Running[preemptibleUnits[a]].DiscardedWork < p.in.Running[preemptibleUnits[b]].DiscardedWork
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
	needed := make([]int, 0, len(victims))
	for k := len(victims) - 1; k >= 0; k-- {
		if reduced := remaining.Minus(p.usage(victims[k], w)); u.Shape.Fits(reduced) {
			remaining = reduced
			continue
		}
		needed = append(needed, victims[k])
		discarded += p.in.Running[victims[k]].DiscardedWork
	}
	return needed, discarded, true
}

// randomInput returns a nearly full fleet of a few racks.
func randomInput(rng *rand.Rand) Input {
	in := Input{Reservations: rng.IntN(3)}
	workers := 2 + rng.IntN(12)
	whole := model.Shape{MilliCPU: 64000, MemoryMB: 64000, Accelerators: 8}
	sizes := []int64{1, 2, 4, 8}
	shape := func() model.Shape {
		return model.Shape{MilliCPU: int64(1+rng.IntN(30)) * 1000, MemoryMB: 4000, Accelerators: sizes[rng.IntN(len(sizes))]}
	}
	for i := range workers {
		in.Workers = append(in.Workers, Worker{ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 4), Capacity: whole, Free: whole, Schedulable: rng.IntN(10) > 0})
	}
	for range workers * 3 {
		r := Running{
			Shape: shape(), Urgent: rng.IntN(3) == 0, DiscardedWork: float64(rng.IntN(1000)), EndsIn: float64(rng.IntN(100)) / 10,
			Stopping: rng.IntN(6) == 0, NotPreemptible: rng.IntN(20) == 0,
		}
		r.Guaranteed = r.Urgent && rng.IntN(2) == 0
		for range 1 + rng.IntN(3) {
			if w := rng.IntN(workers); r.Shape.Fits(in.Workers[w].Free) {
				in.Workers[w].Free = in.Workers[w].Free.Minus(r.Shape)
				r.Workers = append(r.Workers, w)
			}
		}
		if len(r.Workers) > 0 {
			in.Running = append(in.Running, r)
		}
	}
	for range 1 + rng.IntN(20) {
		u := Unit{Tasks: 1, Shape: shape(), Urgent: rng.IntN(3) == 0, Runtime: float64(rng.IntN(80)) / 10}
		if rng.IntN(2) == 0 {
			u.Tasks, u.SameRack = 1+rng.IntN(5), rng.IntN(2) == 0
		}
		u.Guaranteed = u.Urgent && rng.IntN(2) == 0
		if rng.IntN(5) == 0 {
			u.PerWorker, u.StepTasks = 1+rng.IntN(2), make(map[int]int)
		}
		if rng.IntN(8) == 0 {
			u.Avoid = map[int]bool{rng.IntN(workers): true}
		}
		if rng.IntN(10) == 0 {
			u.Rack = "0"
		}
		in.Waiting = append(in.Waiting, u)
		// Identical units wait next to each other.
		for range rng.IntN(3) {
			if u.PerWorker == 0 {
				in.Waiting = append(in.Waiting, u)
			}
		}
	}
	return in
}

// clone returns a copy that shares nothing that Plan changes.
func (in Input) clone() Input {
	in.Waiting = slices.Clone(in.Waiting)
	for i := range in.Waiting {
		if in.Waiting[i].StepTasks != nil {
			in.Waiting[i].StepTasks = make(map[int]int)
		}
	}
	return in
}

// TestPlanMatchesReference checks that the state that Plan caches during a call
// does not change its decisions.
func TestPlanMatchesReference(t *testing.T) {
	for seed := range uint64(20000) {
		in := randomInput(rand.New(rand.NewPCG(seed, 1)))
		got, want := Plan(in.clone()), reference(in.clone())
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d:\n got %+v\nwant %+v", seed, got, want)
		}
	}
}

// TestPlanWithoutSpeeds guards against placements that change where nothing is learnt: with
// the speeds disabled, and with workers that are all as fast as the median.
func TestPlanWithoutSpeeds(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		in := randomInput(rng)
		want := Plan(in.clone())
		equal, disabled := in.clone(), in.clone()
		equal.Workers, disabled.Workers = slices.Clone(in.Workers), slices.Clone(in.Workers)
		disabled.Disabled = policy.Disabled{policy.WorkerSpeed: true}
		for i := range in.Workers {
			equal.Workers[i].SpeedFactor, disabled.Workers[i].SpeedFactor = 1, 0.8+0.5*rng.Float64()
		}
		if got := Plan(equal); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d, equal workers:\n got %+v\nwant %+v", seed, got, want)
		}
		if got := Plan(disabled); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d, disabled:\n got %+v\nwant %+v", seed, got, want)
		}
	}
}
