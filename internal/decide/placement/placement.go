// Package placement decides which waiting units start on which workers and
// which running units are pre-empted for them. It is pure: it reads no clock,
// performs no I/O and keeps no state between calls.
//
// It is designed for a fleet that is nearly full, where two in five tasks need
// a whole worker, gangs must start as a whole, and urgent work within a
// guarantee must start at once.
package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// Worker is a worker with its free capacity.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// Capacity is the total capacity. Free is the part that is neither in use
	// nor of unknown use.
	Capacity model.Shape
	Free     model.Shape
	// Reachable workers accept orders, and Schedulable ones also get new work: they are
	// not closed.
	Reachable, Schedulable bool
	// Evacuated workers are in a data centre that is evacuated: they are neither Reachable
	// nor Schedulable.
	Evacuated bool
	// Cold workers are slow for some time after their start.
	Cold bool
	// SpeedFactor is the run time of a task on the worker relative to that on the median
	// worker; 0 if it is not known.
	SpeedFactor float64
}

// Unit is a waiting gang, or one waiting task of a step that is no gang.
type Unit struct {
	Service string
	// Tasks is the number of tasks that start together, at least 1.
	Tasks int
	// Shape is what each task occupies.
	Shape    model.Shape
	SameRack bool
	// Rack is the rack in which the tasks must run unless the unit is overdue;
	// empty for any rack.
	Rack  string
	Label string
	// PerWorker bounds the tasks of the step on one worker; 0 for no bound.
	PerWorker int
	// StepTasks counts the tasks of the same step by worker index. The units of
	// a step share the map, and Plan adds the tasks that it places; nil for
	// units without a bound.
	StepTasks map[int]int
	// Avoid has the indices of the workers on which the unit must not start;
	// nil for none.
	Avoid map[int]bool
	// AvoidFailed has the indices of the workers on which the unit failed and
	// starts only if it is overdue; nil for none.
	AvoidFailed map[int]bool
	// Deferrable units are those that can best take longer.
	Deferrable bool
	// Overdue units must not wait any longer beside free capacity.
	Overdue bool
	// LongRunning units run until their job is cancelled.
	LongRunning bool
	// Kind is the unit's number in Interference; 0 for none.
	Kind int
	// Urgent units may pre-empt running units that are neither urgent nor
	// guaranteed.
	Urgent bool
	// Guaranteed units are within their account's guarantee. An urgent one may
	// pre-empt every running unit that is not guaranteed.
	Guaranteed bool
	// Runtime is the expected run time in seconds.
	Runtime float64
	// Nominated has the worker of each task on which capacity is being freed
	// for the unit; nil for none.
	Nominated []int
}

// Running is a unit that occupies capacity.
type Running struct {
	Shape model.Shape
	// Workers has the worker of each task that occupies capacity.
	Workers []int
	// Urgent and Guaranteed are as in Unit.
	Urgent     bool
	Guaranteed bool
	// DiscardedWork is the work that a stop discards, in core-seconds.
	DiscardedWork float64
	// Stops is how often the unit was stopped for an urgent one.
	Stops int
	// Stopping units release their capacity soon.
	Stopping bool
	// NotPreemptible units can't be stopped.
	NotPreemptible bool
	// EndsIn is the expected time until the unit ends, in seconds; infinite if
	// nothing bounds it.
	EndsIn float64
}

// Input is the state on which Plan decides.
type Input struct {
	Workers []Worker
	// Waiting lists units in the order in which they are served.
	Waiting []Unit
	Running []Running
	// Reservations is the maximum number of blocked gangs that get a
	// reservation.
	Reservations int
	// UrgentRoom is the number of workers of each service that are kept for
	// urgent units.
	UrgentRoom map[string]float64
	// Explain has the indices of the waiting units for which Decision.Reasons
	// says why they wait.
	Explain []int
	// Interference is nil if no units are known to slow each other.
	Interference *Interference
	// Disabled are the mechanisms that are switched off.
	Disabled policy.Disabled
}

// Assignment assigns each task of a unit to a worker.
type Assignment struct {
	// Unit is an index of Input.Waiting.
	Unit int
	// Workers has the worker of each task.
	Workers []int
}

// Decision is the result of Plan.
type Decision struct {
	Starts []Assignment
	// Nominations are the urgent units for which capacity is being freed.
	Nominations []Assignment
	// Stops are indices of Input.Running.
	Stops []int
	// Overdue has the units among Starts that started since they were overdue.
	Overdue []int
	// Stalled are the overdue units that found no workers although free capacity suffices
	// for them twice over: a bound per worker or Unit.Avoid leaves them none.
	Stalled []int
	// Apart are the units among Starts that start elsewhere because of Interference.
	Apart []Apart
	// Reasons says why units wait, by their index in Input.Waiting.
	Reasons map[int]cause.Cause
}

// plan is the state of one call of Plan.
type plan struct {
	in *Input
	// free is the free capacity of each worker, less what this call assigned or
	// nominated.
	free []model.Shape
	// availableSoon is the free capacity plus what stopping units will release,
	// less what this call assigned or nominated.
	availableSoon []model.Shape
	// reclaimable is the capacity that would be free if every unit that yields
	// to urgent units were stopped.
	reclaimable []model.Shape
	// racks are in the order of their first workers. rackOf has the rack index
	// of each worker.
	racks  []rack
	rackOf []int
	// all has the indices of all workers.
	all []int
	// candidates is the scratch space of a search for capacity, by worker.
	candidates []candidate
	// stopped marks the running units that this call stops.
	stopped []bool
	// runningOn has the running units of each worker, once for each of their
	// tasks there.
	runningOn [][]int
	// reserved is the number of units that have a reservation.
	reserved int
	// reservedFrom has the reserved workers and the time until their
	// reservation begins, in seconds. Only units that end before then may start
	// there.
	reservedFrom map[int]float64
	// blocked has the last unit that found no capacity, by its constraints.
	blocked map[placementConstraints]blockedUnit
	// preemptionFailed has the urgent units for which no pre-emption frees
	// enough capacity. It is cleared when a running unit is stopped.
	preemptionFailed map[preemptionKey]bool
	// kept marks the workers that are kept for urgent units. services has the usage of the
	// services for which some are.
	kept     []bool
	services map[string]*usage
	// useKept and useClosed make workers eligible that are kept for urgent units, and
	// those that accept no new work, to explain why a unit waits.
	useKept, useClosed bool
	// useEvacuated is the same for workers of evacuated data centres.
	useEvacuated bool
	// relaxed is what the search for capacity for an overdue unit disregards; 0 for
	// nothing.
	relaxed relaxation
	// apart adds interference to the score, and spareEmpty a penalty for empty workers.
	apart, spareEmpty bool
	// speeds are the speeds of the workers; nil if none is known.
	speeds *speeds
	out    Decision
}

// rack is a rack with its workers. reclaimable is the number of accelerators
// that would be free there if every unit that yields to urgent units were
// stopped; all is the number of all accelerators there.
type rack struct {
	workers          []int
	reclaimable, all int64
}

// candidate is the state of a worker in a search for capacity.
type candidate struct {
	remaining model.Shape
	tasks     int
	score     float64
	// victims are the running units to stop so that one more task fits;
	// feasible says whether it fits then.
	victims  []int
	feasible bool
	// scored says that score, victims and feasible are up to date.
	scored bool
}

// placementConstraints are what decides where a unit may run, apart from its
// shape.
type placementConstraints struct {
	service, label, rack string
	tasks                int
	sameRack             bool
}

// blockedUnit is a unit that found no capacity.
type blockedUnit struct {
	shape   model.Shape
	runtime float64
}

func constraintsOf(u *Unit) placementConstraints {
	return placementConstraints{u.Service, u.Label, u.Rack, u.Tasks, u.SameRack}
}

// preemptionKey has the properties of a unit that decide which capacity can be
// freed for it.
type preemptionKey struct {
	constraints placementConstraints
	shape       model.Shape
	guaranteed  bool
}

// Plan decides on the waiting units in their order.
func Plan(in Input) Decision {
	p := newPlan(&in)
	for i := range in.Waiting {
		p.processNominated(i)
	}
	for i := range in.Waiting {
		if in.Waiting[i].Nominated == nil {
			p.process(i)
		}
	}
	p.startOverdue()
	p.explain()
	return p.out
}

// process starts a unit that is not nominated, clears capacity for it or reserves workers
// for it, if it can.
func (p *plan) process(i int) {
	u := &p.in.Waiting[i]
	blocked := p.isBlocked(u)
	if blocked && !u.Urgent && (u.Tasks == 1 || p.reserved >= p.in.Reservations) {
		return
	}
	if !blocked {
		if ws := p.findApart(i); ws != nil {
			p.start(i, ws)
			return
		}
	}
	if u.Urgent && !p.in.Disabled[policy.Preemption] && p.clear(i) {
		return
	}
	p.recordBlocked(u)
	if p.reserved < p.in.Reservations && u.Tasks > 1 && p.reserve(u) {
		p.reserved++
	}
}

func newPlan(in *Input) *plan {
	p := &plan{
		in: in, stopped: make([]bool, len(in.Running)), candidates: make([]candidate, len(in.Workers)),
		free: make([]model.Shape, len(in.Workers)), availableSoon: make([]model.Shape, len(in.Workers)), reclaimable: make([]model.Shape, len(in.Workers)),
		rackOf: make([]int, len(in.Workers)), all: make([]int, len(in.Workers)), runningOn: make([][]int, len(in.Workers)),
		reservedFrom: make(map[int]float64), blocked: make(map[placementConstraints]blockedUnit), preemptionFailed: make(map[preemptionKey]bool),
	}
	if in.Disabled[policy.LeastLoss] {
		in.Running = slices.Clone(in.Running)
		for i := range in.Running {
			in.Running[i].DiscardedWork = 1
		}
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
	p.speeds = newSpeeds(in.Workers, in.Disabled)
	p.keepForUrgent()
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

// subtractReclaimable reduces the reclaimable capacity of worker w by the shape of
// a running task that does not yield to urgent units.
func (p *plan) subtractReclaimable(w int, s model.Shape) {
	p.reclaimable[w] = p.reclaimable[w].Minus(s)
	p.racks[p.rackOf[w]].reclaimable -= s.Accelerators
}

// processNominated starts a unit if the capacity on its nominated workers is
// free, and otherwise keeps that capacity from other units. It drops the
// nomination if the unit may not run on these workers any more: one that has
// restarted may be of another kind or in another rack.
func (p *plan) processNominated(i int) {
	u := &p.in.Waiting[i]
	if u.Nominated == nil {
		return
	}
	if !p.mayRunOn(u, u.Nominated) {
		u.Nominated = nil
		return
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

// mayRunOn reports whether the tasks of a unit may run on workers if there is room.
func (p *plan) mayRunOn(u *Unit, workers []int) bool {
	chosen := make(map[int]int, len(workers))
	for _, w := range workers {
		if !p.eligible(u, w) || !u.allowsTask(w, chosen[w]) {
			return false
		}
		chosen[w]++
	}
	return slices.ContainsFunc(p.workerGroups(u), func(group []int) bool {
		return !slices.ContainsFunc(workers, func(w int) bool { return !slices.Contains(group, w) })
	})
}

func (p *plan) occupy(u *Unit, workers []int) {
	p.countKind(u, workers)
	for _, w := range workers {
		p.free[w] = p.free[w].Minus(u.Shape)
		p.availableSoon[w] = p.availableSoon[w].Minus(u.Shape)
		if s := p.services[u.Service]; s != nil {
			s.add(model.Shape{}.Minus(u.Shape))
		}
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

// isBlocked reports whether a unit with the same constraints and a shape that
// is no larger already found no capacity in this call. Free capacity only
// shrinks during a call.
func (p *plan) isBlocked(u *Unit) bool {
	if u.PerWorker > 0 || u.avoidsWorkers() || u.Tasks == 1 && u.Urgent {
		return false
	}
	b, ok := p.blocked[constraintsOf(u)]
	// A gang with a shorter run time may still start on a reserved worker.
	return ok && b.shape.Fits(u.Shape) && (u.Tasks == 1 || u.Runtime >= b.runtime)
}

// avoidsWorkers reports whether a unit avoids workers on which others may start.
func (u *Unit) avoidsWorkers() bool { return u.Avoid != nil || u.AvoidFailed != nil }

func (p *plan) recordBlocked(u *Unit) {
	if u.PerWorker == 0 && !u.avoidsWorkers() {
		p.blocked[constraintsOf(u)] = blockedUnit{u.Shape, u.Runtime}
	}
}
