// Package placement decides which waiting units of work start on which workers
// and which running ones make room. It is pure: it reads no clock, does no input
// or output and keeps nothing between calls.
//
// The load it answers: a fleet that is nearly full, where two in five tasks need
// a whole worker, gangs must start whole, and urgent work within a guarantee
// must start at once.
package placement

import (
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
	// Schedulable workers take new work.
	Schedulable bool
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
	// StepTasks counts the tasks of the same step on each worker by index. The
	// units of a step share it, and Plan adds what it starts; nil for units
	// without a bound.
	StepTasks map[int]int
	// Avoid holds the workers that the unit does not start on; nil for none.
	Avoid map[int]bool
	// Urgent units may pre-empt units of a lower rank.
	Urgent bool
	// Guaranteed units stand within their account's guarantee and may
	// pre-empt every unit that does not.
	Guaranteed bool
	// Runtime is how long the unit is expected to run, in seconds.
	Runtime float64
	// Nominated holds the worker of each task whose room is being cleared for the
	// unit; nil for none.
	Nominated []int
}

// Running is a unit that holds room.
type Running struct {
	Shape model.Shape
	// Workers has the worker of each task that holds room.
	Workers []int
	// Urgent and Guaranteed are those of the unit.
	Urgent     bool
	Guaranteed bool
	// DiscardedWork is the work that a stop throws away, in core-seconds.
	DiscardedWork float64
	// Stopping units give their room back soon.
	Stopping bool
	// NotPreemptible units can't be stopped.
	NotPreemptible bool
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

// Assignment starts a unit.
type Assignment struct {
	// Unit is an index of Input.Waiting.
	Unit int
	// Workers has the worker of each task.
	Workers []int
}

// Decision is what Plan decides.
type Decision struct {
	Starts []Assignment
	// Nominations are the urgent units for which room is being cleared.
	Nominations []Assignment
	// Stops are indices of Input.Running.
	Stops []int
}

// plan is one call of Plan.
type plan struct {
	in *Input
	// free is what is left of the free room, less claims.
	free []model.Shape
	// availableSoon is free and what stopping units give back, less claims.
	availableSoon []model.Shape
	// reclaimable is the room that would be free if all that yields to urgent units were
	// stopped.
	reclaimable []model.Shape
	// racks are in the order of their first workers, and rackOf has each worker's.
	racks  []rack
	rackOf []int
	all    []int
	// candidates are the scratch space of a search for room, by worker.
	candidates []candidate
	// stopped marks the running units that this call stops.
	stopped []bool
	// runningOn has the running units of each worker.
	runningOn [][]int
	// reservedFrom are workers that are reserved, and for how many seconds a unit may
	// still use them.
	reservedFrom map[int]float64
	// blocked holds the last shapes that found no room, by what else decides about
	// their place.
	blocked map[placementConstraints]blockedUnit
	// preemptionFailed holds the urgent units for which no room can be cleared, until
	// something is stopped.
	preemptionFailed map[preemptionKey]bool
	out              Decision
}

// rack is a rack with its workers. firm is the room that would be free there if all
// that yields to urgent units were stopped, and all is all room, in accelerators.
type rack struct {
	workers          []int
	reclaimable, all int64
}

// candidate is what a search for room knows of a worker.
type candidate struct {
	remaining model.Shape
	tasks     int
	score     float64
	// victims are what has to be stopped for one more task; ok says that it fits then.
	victims  []int
	feasible bool
	// scored says that score, units and ok hold.
	scored bool
}

// placementConstraints is what decides about the place of a unit besides its shape.
type placementConstraints struct {
	service, label, rack string
	tasks                int
	sameRack             bool
}

// blockedUnit is a unit that found no room.
type blockedUnit struct {
	shape   model.Shape
	runtime float64
}

func constraintsOf(u *Unit) placementConstraints {
	return placementConstraints{u.Service, u.Label, u.Rack, u.Tasks, u.SameRack}
}

// preemptionKey is what decides about the room that can be cleared for a unit.
type preemptionKey struct {
	constraints placementConstraints
	shape       model.Shape
	guaranteed  bool
}

// Plan decides about the waiting units in their order.
func Plan(in Input) Decision {
	p := newPlan(&in)
	reserved := 0
	for i := range in.Waiting {
		p.processNominated(i)
	}
	for i := range in.Waiting {
		u := &in.Waiting[i]
		if u.Nominated != nil {
			continue
		}
		blocked := p.isBlocked(u)
		if blocked && !u.Urgent && (u.Tasks == 1 || reserved >= in.Reservations) {
			continue
		}
		if !blocked {
			if ws := p.findWorkers(u, p.free, true); ws != nil {
				p.start(i, ws)
				continue
			}
		}
		if u.Urgent && p.clear(i) {
			continue
		}
		p.recordBlocked(u)
		if reserved < in.Reservations && u.Tasks > 1 && p.reserve(u) {
			reserved++
		}
	}
	return p.out
}

func newPlan(in *Input) *plan {
	p := &plan{
		in: in, stopped: make([]bool, len(in.Running)), candidates: make([]candidate, len(in.Workers)),
		free: make([]model.Shape, len(in.Workers)), availableSoon: make([]model.Shape, len(in.Workers)), reclaimable: make([]model.Shape, len(in.Workers)),
		rackOf: make([]int, len(in.Workers)), all: make([]int, len(in.Workers)), runningOn: make([][]int, len(in.Workers)),
		reservedFrom: make(map[int]float64), blocked: make(map[placementConstraints]blockedUnit), preemptionFailed: make(map[preemptionKey]bool),
	}
	byName := make(map[string]int)
	for i := range in.Workers {
		w := &in.Workers[i]
		p.free[i], p.availableSoon[i], p.reclaimable[i], p.all[i] = w.Free, w.Free, w.Capacity, i
		k, ok := byName[w.Rack]
		if !ok {
			k = len(p.racks)
			byName[w.Rack] = k
			p.racks = append(p.racks, rack{})
		}
		p.rackOf[i] = k
		r := &p.racks[k]
		r.workers = append(r.workers, i)
		r.reclaimable += w.Capacity.Accelerators
		r.all += w.Capacity.Accelerators
	}
	for i := range in.Running {
		r := &in.Running[i]
		for _, w := range r.Workers {
			p.runningOn[w] = append(p.runningOn[w], i)
			if r.Stopping {
				p.availableSoon[w] = p.availableSoon[w].Plus(r.Shape)
			} else if r.Urgent || r.Guaranteed || r.NotPreemptible {
				p.subtractReclaimable(w, r.Shape)
			}
		}
	}
	return p
}

// subtractReclaimable takes room that does not yield to urgent units.
func (p *plan) subtractReclaimable(w int, s model.Shape) {
	p.reclaimable[w] = p.reclaimable[w].Minus(s)
	p.racks[p.rackOf[w]].reclaimable -= s.Accelerators
}

// processNominated starts a unit whose processNominated room is free, and keeps the room for it
// otherwise. A claim on a worker that closed is dropped.
func (p *plan) processNominated(i int) {
	u := &p.in.Waiting[i]
	if u.Nominated == nil {
		return
	}
	for _, w := range u.Nominated {
		if !p.in.Workers[w].Schedulable {
			u.Nominated = nil
			return
		}
	}
	ready := true
	p.occupy(u, u.Nominated)
	for _, w := range u.Nominated {
		ready = ready && model.Shape{}.Fits(p.free[w])
	}
	if ready {
		p.out.Starts = append(p.out.Starts, Assignment{Unit: i, Workers: u.Nominated})
		return
	}
	p.out.Nominations = append(p.out.Nominations, Assignment{Unit: i, Workers: u.Nominated})
}

func (p *plan) occupy(u *Unit, workers []int) {
	for _, w := range workers {
		p.free[w] = p.free[w].Minus(u.Shape)
		p.availableSoon[w] = p.availableSoon[w].Minus(u.Shape)
		if u.Urgent {
			p.subtractReclaimable(w, u.Shape)
		}
		if u.PerWorker > 0 && u.StepTasks != nil {
			u.StepTasks[w]++
		}
	}
}

func (p *plan) start(i int, workers []int) {
	p.occupy(&p.in.Waiting[i], workers)
	p.out.Starts = append(p.out.Starts, Assignment{Unit: i, Workers: workers})
}

// isBlocked reports whether as many tasks that are no larger already found no room.
// Free room only shrinks in one call.
func (p *plan) isBlocked(u *Unit) bool {
	if u.PerWorker > 0 || u.Avoid != nil || u.Tasks == 1 && u.Urgent {
		return false
	}
	b, ok := p.blocked[constraintsOf(u)]
	// A gang that ends sooner may use a worker that is reserved.
	return ok && b.shape.Fits(u.Shape) && (u.Tasks == 1 || u.Runtime >= b.runtime)
}

func (p *plan) recordBlocked(u *Unit) {
	if u.PerWorker == 0 && u.Avoid == nil {
		p.blocked[constraintsOf(u)] = blockedUnit{u.Shape, u.Runtime}
	}
}
