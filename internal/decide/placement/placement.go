// Package placement decides which waiting units of work start on which workers
// and which running ones make room. It is pure: it reads no clock, does no input
// or output and keeps nothing between calls.
//
// The load it answers: a fleet that is nearly full, where two in five tasks need
// a whole worker, gangs must start whole, and urgent work within a guarantee
// must start at once.
package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// Worker is a worker with its free room.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// Capacity is the whole room; Free is what is neither in use nor of
	// unknown use.
	Capacity model.Shape
	Free     model.Shape
	// Open workers take new work.
	Open bool
}

// Unit is a gang, or one task of a step that is no gang, that waits.
type Unit struct {
	Service string
	// Tasks is the number of tasks that start together, at least 1.
	Tasks int
	// Shape is what each task takes.
	Shape    model.Shape
	SameRack bool
	// Rack is where the tasks must run; empty for anywhere.
	Rack  string
	Label string
	// PerWorker bounds the tasks of the step on a worker; 0 for no bound.
	PerWorker int
	// Taken counts the tasks of the same step on each worker by index. The
	// units of a step share it, and Plan adds what it starts; nil for units
	// without a bound.
	Taken map[int]int
	// Avoid holds the workers that the unit does not start on; nil for none.
	Avoid map[int]bool
	// Urgent units may pre-empt units of a lower rank.
	Urgent bool
	// Guaranteed units stand within their account's guarantee and may
	// pre-empt every unit that does not.
	Guaranteed bool
	// Runtime is how long the unit is expected to run, in seconds.
	Runtime float64
	// Claim holds the worker of each task whose room is being cleared for the
	// unit; nil for none.
	Claim []int
}

// Running is a unit that holds room.
type Running struct {
	Shape model.Shape
	// Workers has the worker of each task that holds room.
	Workers []int
	// Urgent and Guaranteed are those of the unit.
	Urgent     bool
	Guaranteed bool
	// Loss is the work that a stop throws away, in core-seconds.
	Loss float64
	// Stopping units give their room back soon.
	Stopping bool
	// Fixed units can't be stopped.
	Fixed bool
	// EndsIn is the expected time until the unit ends, in seconds.
	EndsIn float64
}

// Input is what Plan decides on.
type Input struct {
	Workers []Worker
	// Waiting is in the order in which units are to be served.
	Waiting []Unit
	Running []Running
	// Reservations bounds the blocked units that get a reservation.
	Reservations int
}

// Start starts a unit.
type Start struct {
	// Unit is an index of Input.Waiting.
	Unit int
	// Workers has the worker of each task.
	Workers []int
}

// Decision is what Plan decides.
type Decision struct {
	Starts []Start
	// Claims are the urgent units for which room is being cleared.
	Claims []Start
	// Stops are indices of Input.Running.
	Stops []int
}

// plan is one call of Plan.
type plan struct {
	in *Input
	// free is what is left of the free room, less claims.
	free []model.Shape
	// coming is free and what stopping units give back, less claims.
	coming []model.Shape
	// firm is the room that would be free if all that yields to urgent units were
	// stopped, and rackFirm the same of each rack in accelerators; rackAll is all
	// accelerators of the rack.
	firm              []model.Shape
	rackFirm, rackAll map[string]int64
	// byRack holds the workers of each rack.
	byRack map[string][]int
	racks  []string
	all    []int
	// stopped marks the running units that this call stops.
	stopped []bool
	// holders has the running units of each worker.
	holders [][]int
	// held are workers that are reserved, and for how many seconds a unit may
	// still use them.
	held map[int]float64
	// blocked holds the smallest shapes that found no room, by what else
	// decides about their place.
	blocked map[blockKey]model.Shape
	out     Decision
}

// blockKey is what decides about the place of a single task besides its shape.
type blockKey struct {
	service, label, rack string
}

// Plan decides about the waiting units in their order.
func Plan(in Input) Decision {
	p := newPlan(&in)
	reserved := 0
	for i := range in.Waiting {
		p.claimed(i)
	}
	for i := range in.Waiting {
		u := &in.Waiting[i]
		if u.Claim != nil || p.isBlocked(u) {
			continue
		}
		if ws := p.find(u, p.free, true); ws != nil {
			p.start(i, ws)
			continue
		}
		if u.Urgent && p.clear(i) {
			continue
		}
		p.block(u)
		if reserved < in.Reservations && u.Tasks > 1 && p.reserve(u) {
			reserved++
		}
	}
	return p.out
}

func newPlan(in *Input) *plan {
	p := &plan{
		in: in, byRack: make(map[string][]int), stopped: make([]bool, len(in.Running)),
		holders: make([][]int, len(in.Workers)), rackFirm: make(map[string]int64), rackAll: make(map[string]int64),
		held: make(map[int]float64), blocked: make(map[blockKey]model.Shape),
	}
	for i := range in.Workers {
		w := &in.Workers[i]
		p.free = append(p.free, w.Free)
		p.coming = append(p.coming, w.Free)
		p.firm = append(p.firm, w.Capacity)
		p.rackFirm[w.Rack] += w.Capacity.Accelerators
		p.rackAll[w.Rack] += w.Capacity.Accelerators
		if p.byRack[w.Rack] == nil {
			p.racks = append(p.racks, w.Rack)
		}
		p.byRack[w.Rack] = append(p.byRack[w.Rack], i)
		p.all = append(p.all, i)
	}
	for i := range in.Running {
		r := &in.Running[i]
		for _, w := range r.Workers {
			p.holders[w] = append(p.holders[w], i)
			if r.Stopping {
				p.coming[w] = p.coming[w].Plus(r.Shape)
			} else if r.Urgent || r.Guaranteed || r.Fixed {
				p.settle(w, r.Shape)
			}
		}
	}
	return p
}

// settle takes room that does not yield to urgent units.
func (p *plan) settle(w int, s model.Shape) {
	p.firm[w] = p.firm[w].Minus(s)
	p.rackFirm[p.in.Workers[w].Rack] -= s.Accelerators
}

// claimed starts a unit whose claimed room is free, and keeps the room for it
// otherwise. A claim on a worker that closed is dropped.
func (p *plan) claimed(i int) {
	u := &p.in.Waiting[i]
	if u.Claim == nil {
		return
	}
	for _, w := range u.Claim {
		if !p.in.Workers[w].Open {
			u.Claim = nil
			return
		}
	}
	ready := true
	p.take(u, u.Claim)
	for _, w := range u.Claim {
		ready = ready && model.Shape{}.Fits(p.free[w])
	}
	if ready {
		p.out.Starts = append(p.out.Starts, Start{Unit: i, Workers: u.Claim})
		return
	}
	p.out.Claims = append(p.out.Claims, Start{Unit: i, Workers: u.Claim})
}

func (p *plan) take(u *Unit, workers []int) {
	for _, w := range workers {
		p.free[w] = p.free[w].Minus(u.Shape)
		p.coming[w] = p.coming[w].Minus(u.Shape)
		if u.Urgent {
			p.settle(w, u.Shape)
		}
		if u.PerWorker > 0 && u.Taken != nil {
			u.Taken[w]++
		}
	}
}

func (p *plan) start(i int, workers []int) {
	p.take(&p.in.Waiting[i], workers)
	p.out.Starts = append(p.out.Starts, Start{Unit: i, Workers: workers})
}

// isBlocked reports whether a smaller task already found no room.
func (p *plan) isBlocked(u *Unit) bool {
	if u.Urgent || u.Tasks > 1 || u.PerWorker > 0 || u.Avoid != nil {
		return false
	}
	s, ok := p.blocked[blockKey{u.Service, u.Label, u.Rack}]
	return ok && s.Fits(u.Shape)
}

func (p *plan) block(u *Unit) {
	if u.Tasks == 1 && u.PerWorker == 0 && u.Avoid == nil {
		p.blocked[blockKey{u.Service, u.Label, u.Rack}] = u.Shape
	}
}

// suits reports whether a unit may ever run on a worker.
func (p *plan) suits(u *Unit, w int) bool {
	x := &p.in.Workers[w]
	return x.Open && x.Service == u.Service && !u.Avoid[w] && u.Shape.Fits(x.Capacity) &&
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
		for _, rack := range p.racks {
			if p.holds(u, rack) {
				all = append(all, p.byRack[rack])
			}
		}
	}
	if all == nil {
		return [][]int{p.all}
	}
	return all
}

// holds reports whether a rack could hold a unit if it were empty.
func (p *plan) holds(u *Unit, rack string) bool {
	n := 0
	for _, w := range p.byRack[rack] {
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
	left := make(map[int]model.Shape, u.Tasks)
	count := make(map[int]int, u.Tasks)
	var suited []int
	for _, w := range workers {
		if p.suits(u, w) && u.Shape.Fits(free[w]) && (!backfill || !p.isHeld(u, w)) {
			suited = append(suited, w)
			left[w] = free[w]
		}
	}
	out := make([]int, 0, u.Tasks)
	for len(out) < u.Tasks {
		best, score := -1, 0.0
		for _, w := range suited {
			if !u.Shape.Fits(left[w]) || u.PerWorker > 0 && u.Taken[w]+count[w] >= u.PerWorker {
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
	rack := p.in.Workers[w].Rack
	return share(p.rackFirm[rack], p.rackAll[rack])
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
