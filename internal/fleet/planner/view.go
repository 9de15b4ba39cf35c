package planner

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/order"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
)

// view is the input of one scheduling pass and the workers and units that its indices
// refer to.
type view struct {
	in          placement.Input
	workers     []*worker
	workerIndex map[string]int
	waiting     []*unit
	running     []*unit
	// stepCounts holds the tasks on each worker, for the steps that limit them.
	stepCounts map[stepKey]map[int]int
	// racks has the indices of the workers of each rack.
	racks map[string][]int
	// isolated are the waiting units that are to run on workers of their own, and
	// isolatedWorkers those of such units that run; apart are the waiting units that must
	// not start beside some others. placedOn has the units that were placed on each worker
	// in this pass.
	isolated, apart map[*unit]bool
	isolatedWorkers []int
	placedOn        map[int][]*unit
	// overdue are the steps of which a unit has been considered as overdue.
	overdue map[stepKey]bool
	// states counts the workers by their state.
	states [workerOpen + 1]int
	// probation counts the suspected units by job.
	probation map[*job]probation
}

// stepKey identifies one occurrence of a step.
type stepKey struct {
	job              *job
	occurrence, step int
}

func (u *unit) stepKey() stepKey { return stepKey{u.job, u.key.occurrence, u.key.step} }

func (t *term) view(now time.Time) *view {
	v := &view{
		workers: t.listed, workerIndex: make(map[string]int, len(t.listed)), racks: make(map[string][]int), isolated: make(map[*unit]bool),
		apart: make(map[*unit]bool), placedOn: make(map[int][]*unit), overdue: make(map[stepKey]bool), probation: t.countProbation(),
	}
	v.in.Reservations, v.in.Disabled = maxReservations, t.p.Disabled
	v.in.Workers = make([]placement.Worker, 0, len(v.workers))
	for i, w := range v.workers {
		v.workerIndex[w.id] = i
		v.racks[w.info.Rack] = append(v.racks[w.info.Rack], i)
		if w.isIsolated() {
			v.isolatedWorkers = append(v.isolatedWorkers, i)
		}
		state := t.workerState(w, now)
		v.states[state]++
		v.in.Workers = append(v.in.Workers, placement.Worker{
			Evacuated: state == workerEvacuated, Cold: boottime.Now() < w.coldUntil,
			ID: w.id, Service: w.info.Service, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity, Free: w.info.Capacity.Minus(w.occupied()),
			Reachable: state >= workerClosed, Schedulable: state == workerOpen, SpeedFactor: w.speed,
		})
	}
	t.markGuaranteed()
	t.addRunning(v, now)
	t.limitStops(v)
	t.addWaiting(v, now)
	t.addInterference(v)
	return v
}

// workerState says whether a listed worker gets new work. From workerClosed on it accepts orders.
type workerState int

const (
	workerDraining workerState = iota
	workerEvacuated
	workerUnreached
	workerCapacityUnknown
	workerClosed
	workerSlow
	workerOpen
)

func (t *term) workerState(w *worker, now time.Time) workerState {
	switch {
	case w.info.Draining:
		return workerDraining
	case t.isEvacuated(w):
		return workerEvacuated
	case !w.responded || w.unresponsive:
		return workerUnreached
	case !t.knowsCapacity(w, 2*orderTimeout):
		return workerCapacityUnknown
	case now.Before(w.closedUntil):
		return workerClosed
	case now.Before(w.slowUntil):
		return workerSlow
	}
	return workerOpen
}

// refreshListed rebuilds the list of listed workers, sorted by rack.
func (t *term) refreshListed() {
	t.listed = t.listed[:0:0]
	for _, w := range t.workers {
		if w.listed {
			t.listed = append(t.listed, w)
		}
	}
	sort.Slice(t.listed, func(i, j int) bool {
		a, b := t.listed[i], t.listed[j]
		if a.info.Rack != b.info.Rack {
			return a.info.Rack < b.info.Rack
		}
		return a.id < b.id
	})
}

// markGuaranteed marks the urgent jobs that are covered by their account's guarantee, the
// oldest first.
func (t *term) markGuaranteed() {
	cfg := t.p.Config.Current()
	var urgent []*job
	for _, j := range t.live {
		j.guaranteed = false
		if j.queue.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	sort.Slice(urgent, func(account, b int) bool {
		if !urgent[account].accepted.Equal(urgent[b].accepted) {
			return urgent[account].accepted.Before(urgent[b].accepted)
		}
		return urgent[account].id < urgent[b].id
	})
	used := make(map[string]int64)
	for _, j := range urgent {
		account := cfg.Account(j.spec.Account)
		if account == nil {
			continue
		}
		used[account.Name] += j.acceleratorDemand()
		j.guaranteed = used[account.Name] <= account.GuaranteedAccelerators
	}
}

// acceleratorDemand returns the number of accelerators that all tasks of a job need.
func (j *job) acceleratorDemand() int64 {
	n := int64(0)
	for i := range j.spec.Job.Steps {
		s := &j.spec.Job.Steps[i]
		n += int64(s.Tasks) * s.Shape.Accelerators
	}
	return n
}

// addRunning adds the units that occupy resources on listed workers.
func (t *term) addRunning(v *view, now time.Time) {
	index := make(map[*unit]int)
	for i, w := range v.workers {
		for _, m := range w.sorted() {
			u := m.unit
			k, ok := index[u]
			if !ok {
				k = len(v.running)
				index[u] = k
				v.running = append(v.running, u)
				v.in.Running = append(v.in.Running, t.runningInput(u, now))
			}
			r := &v.in.Running[k]
			r.Workers = append(r.Workers, i)
			r.Stopping = r.Stopping || m.stopping
		}
	}
}

// runningInput returns the placement input of a unit that occupies resources.
func (t *term) runningInput(u *unit, now time.Time) placement.Running {
	s := u.step()
	r := placement.Running{
		Shape: s.CountedShape(), Urgent: u.job.queue.Priority == 0, Guaranteed: u.job.guaranteed,
		Stopping:       u.done || u.aborting || u.job.ended(),
		NotPreemptible: u.reportedRun > 0, Stops: u.stops,
	}
	elapsed := now.Sub(u.placedAt).Seconds()
	r.EndsIn = t.expectedRemaining(u, elapsed)
	discarded := elapsed
	if s.Checkpoints && !t.p.Disabled[policy.Checkpoints] {
		// A stop saves a checkpoint, so at most about a second of work is discarded: the
		// time to resume.
		discarded = min(discarded, 1)
	}
	r.DiscardedWork = (discarded + 0.3) * s.Shape.Cores() * float64(len(u.members))
	return r
}

// expectedRemaining returns the expected time until a running unit ends, in seconds;
// infinite for a long-running one. One that has overrun its estimate is expected to take as
// long again as it has overrun it.
func (t *term) expectedRemaining(u *unit, elapsed float64) float64 {
	if u.step().LongRunning {
		return math.Inf(1)
	}
	percent := 100.0
	for _, m := range u.members {
		percent = min(percent, m.percent)
	}
	if percent >= 10 && percent < 100 && elapsed > 1 && !t.p.Disabled[policy.ProgressEstimates] {
		return max(elapsed*(100-percent)/percent, minRemaining)
	}
	estimate, doubt := t.expectedRuntime(u)
	overrun := elapsed - estimate
	return max(-overrun, overrun, doubt, minRemaining)
}

// waitingStep holds the waiting units of one occurrence of a step, in the order in which
// they are placed.
type waitingStep struct {
	stepKey
	units []*unit
}

// addWaiting adds the waiting units in the order in which they are served.
func (t *term) addWaiting(v *view, now time.Time) {
	var steps []waitingStep
	for _, j := range t.live {
		steps = j.appendWaitingSteps(steps)
	}
	// Map iteration order is random; this sort keeps units of equal rank in a fixed
	// order.
	sort.Slice(steps, func(a, b int) bool { return steps[a].before(&steps[b]) })
	ranks, n := make([]order.Unit, len(steps)), 0
	for i := range steps {
		ranks[i] = t.orderInput(steps[i].units[0], now)
		n += len(steps[i].units)
	}
	v.setAccounts(ranks, steps)
	v.waiting, v.in.Waiting = make([]*unit, 0, n), make([]placement.Unit, 0, n)
	for _, k := range order.Sort(ranks, t.p.Disabled) {
		for _, u := range steps[k].units {
			if v.heldBack(u) {
				continue
			}
			t.markReady(u, now)
			v.waiting = append(v.waiting, u)
			in := t.waitingInput(v, u, now)
			in.Overdue = v.markOverdue(u, now)
			v.in.Waiting = append(v.in.Waiting, in)
		}
	}
}

// appendWaitingSteps appends the steps of a job that have waiting units and whose
// dependencies are done. The units of a step are adjacent in unitList.
func (j *job) appendWaitingSteps(steps []waitingStep) []waitingStep {
	var current *waitingStep
	dependenciesDone := false
	for _, u := range j.unitList {
		k := u.stepKey()
		if !u.isWaiting() {
			continue
		}
		if current == nil || current.stepKey != k {
			if dependenciesDone = j.dependenciesDone(u); dependenciesDone {
				steps = append(steps, waitingStep{stepKey: k})
				current = &steps[len(steps)-1]
			}
		}
		if dependenciesDone {
			current.units = append(current.units, u)
		}
	}
	return steps
}

func (s *waitingStep) before(o *waitingStep) bool { return s.units[0].before(o.units[0]) }

func (u *unit) before(o *unit) bool {
	if u.job != o.job {
		if !u.job.accepted.Equal(o.job.accepted) {
			return u.job.accepted.Before(o.job.accepted)
		}
		return u.job.id < o.job.id
	}
	if u.key.occurrence != o.key.occurrence {
		return u.key.occurrence < o.key.occurrence
	}
	if u.key.step != o.key.step {
		return u.key.step < o.key.step
	}
	return u.key.index < o.key.index
}

// orderInput returns the attributes that determine a unit's position in the queue.
func (t *term) orderInput(u *unit, now time.Time) order.Unit {
	j := u.job
	since := j.accepted
	if j.spec.Job.Occurrences > 0 {
		since = j.dueAt(u.key.occurrence)
	}
	age := now.Sub(since).Seconds()
	criticalPaths := t.expectedPaths(j, u.key.occurrence)
	objective := j.objectiveFor(slices.Max(criticalPaths))
	return order.Unit{
		Guaranteed: j.guaranteed, Priority: j.queue.Priority,
		DueIn: objective - age, WorthlessIn: worthlessFactor*objective - age, CriticalPath: t.expectedPath(u, criticalPaths),
	}
}

// objective returns the job's completion-time objective according to its estimates.
func (j *job) objective() time.Duration {
	return time.Duration(j.queue.ObjectiveFactor*slices.Max(j.criticalPaths())*float64(time.Second)) + j.queue.ObjectiveConstant
}

// criticalPaths returns, for each step, the estimated time in seconds from its start
// until all steps that depend on it are done.
func (j *job) criticalPaths() []float64 {
	return j.pathsOf(func(step int) float64 { return j.spec.Job.Steps[step].Estimate.Seconds() })
}

// waitingInput returns the placement input of a waiting unit.
func (t *term) waitingInput(v *view, u *unit, now time.Time) placement.Unit {
	s := u.step()
	in := placement.Unit{
		Service: u.job.queue.Service, Tasks: u.tasks(), Shape: s.CountedShape(), SameRack: s.SameRack, Label: s.Label,
		PerWorker: s.PerWorker, Urgent: u.job.queue.Priority == 0, Guaranteed: u.job.guaranteed,
		Runtime: t.estimateOf(u), LongRunning: s.LongRunning, Deferrable: u.job.queue.Priority > 1,
	}
	if j := u.job; j.guaranteed && u.run == 0 && now.Sub(j.accepted) > anyRackAge && !t.p.Disabled[policy.LeaveRack] {
		in.SameRack = false
	}
	if v.rackFits(u) {
		in.Rack = s.Rack
	}
	if s.PerWorker > 0 {
		in.StepTasks = v.tasksPerWorker(u)
	}
	in.AvoidFailed = t.failedOn(v, u, now)
	if u.nominated != nil && now.Sub(u.nominatedAt) < nominationTime && !t.p.Disabled[policy.Nomination] {
		in.Nominated = v.workerIndices(u.nominated)
	}
	v.avoidIsolated(u, &in, now)
	if u.suspect {
		v.isolate(u, &in, now)
	}
	return in
}

// rackFits reports whether a unit would fit in the rack of its data if nothing else ran
// there. One that does not would wait for that rack for ever. Workers that get no new work
// until they leave, or until an evacuation ends, do not count.
func (v *view) rackFits(u *unit) bool {
	s, fits := u.step(), 0
	for _, i := range v.racks[s.Rack] {
		w := &v.in.Workers[i]
		if w.Service == u.job.queue.Service && w.HasLabel(s.Label) && !w.Evacuated && !v.workers[i].info.Draining {
			fits += placement.CountFits(s.CountedShape(), w.Capacity, s.PerWorker)
		}
		if fits >= u.tasks() {
			return true
		}
	}
	return false
}

// failedOn returns the workers that a unit avoids since it failed there, or nil for none.
func (t *term) failedOn(v *view, u *unit, now time.Time) map[int]bool {
	if t.p.Disabled[policy.AvoidFailed] {
		return nil
	}
	var avoid map[int]bool
	for id, until := range u.avoidUntil {
		if i, ok := v.workerIndex[id]; ok && now.Before(until) {
			if avoid == nil {
				avoid = make(map[int]bool)
			}
			avoid[i] = true
		}
	}
	return avoid
}

// tasksPerWorker counts the tasks of a unit's step on each worker.
func (v *view) tasksPerWorker(u *unit) map[int]int {
	k := u.stepKey()
	if n, ok := v.stepCounts[k]; ok {
		return n
	}
	n := make(map[int]int)
	if v.stepCounts == nil {
		v.stepCounts = make(map[stepKey]map[int]int)
	}
	v.stepCounts[k] = n
	for _, x := range u.job.unitList {
		if x.stepKey() != k {
			continue
		}
		for _, m := range x.members {
			if i, ok := v.workerIndex[m.worker]; ok {
				n[i]++
			}
		}
	}
	return n
}

// workerIndices returns the indices of workers, or nil if one of them is not in the view.
func (v *view) workerIndices(ids []string) []int {
	out := make([]int, len(ids))
	for k, id := range ids {
		i, ok := v.workerIndex[id]
		if !ok {
			return nil
		}
		out[k] = i
	}
	return out
}
