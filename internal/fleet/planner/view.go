package planner

import (
	"slices"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/order"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
)

// view is what one look at what waits decides on.
type view struct {
	in      placement.Input
	workers []*worker
	index   map[string]int
	waiting []*unit
	running []*unit
	// counts holds the tasks on each worker of the steps that bound them.
	counts map[stepKey]map[int]int
	// racks are those of the workers.
	racks map[string]bool
}

// stepKey names one occurrence of a step.
type stepKey struct {
	job              *job
	occurrence, step int
}

func (t *term) view(now time.Time) *view {
	v := &view{workers: t.listed, index: make(map[string]int, len(t.listed)), racks: make(map[string]bool)}
	v.in.Reservations = reservations
	v.in.Workers = make([]placement.Worker, 0, len(v.workers))
	for i, w := range v.workers {
		v.index[w.id] = i
		v.racks[w.info.Rack] = true
		v.in.Workers = append(v.in.Workers, placement.Worker{
			ID: w.id, Service: w.info.Service, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity, Free: w.info.Capacity.Minus(w.used()),
			Schedulable: w.heard && !w.failing && !w.info.Draining && !now.Before(w.closedUntil) && !now.Before(w.slowUntil),
		})
	}
	t.guarantees()
	t.viewRunning(v, now)
	t.viewWaiting(v, now)
	return v
}

// listWorkers brings the listed workers up to date, by rack.
func (t *term) listWorkers() {
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

// guarantees marks the urgent jobs that stand within their account's guarantee,
// the oldest first.
func (t *term) guarantees() {
	c := t.p.Config.Current()
	var urgent []*job
	for _, j := range t.live {
		j.guaranteed = false
		if j.queue.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	sort.Slice(urgent, func(a, b int) bool {
		if !urgent[a].accepted.Equal(urgent[b].accepted) {
			return urgent[a].accepted.Before(urgent[b].accepted)
		}
		return urgent[a].id < urgent[b].id
	})
	used := make(map[string]int64)
	for _, j := range urgent {
		a := c.Account(j.spec.Account)
		if a == nil {
			continue
		}
		used[a.Name] += j.need()
		j.guaranteed = used[a.Name] <= a.GuaranteedAccelerators
	}
}

// need returns the accelerators of all tasks of a job.
func (j *job) need() int64 {
	n := int64(0)
	for i := range j.spec.Job.Steps {
		s := &j.spec.Job.Steps[i]
		n += int64(s.Tasks) * s.Shape.Accelerators
	}
	return n
}

// viewRunning adds the units that hold room on listed workers.
func (t *term) viewRunning(v *view, now time.Time) {
	at := make(map[*unit]int)
	for i, w := range v.workers {
		for _, m := range w.sorted() {
			u := m.unit
			k, ok := at[u]
			if !ok {
				k = len(v.running)
				at[u] = k
				v.running = append(v.running, u)
				v.in.Running = append(v.in.Running, u.running(now))
			}
			r := &v.in.Running[k]
			r.Workers = append(r.Workers, i)
			r.Stopping = r.Stopping || m.stopping
		}
	}
}

// running returns what placement needs to know of a unit that holds room.
func (u *unit) running(now time.Time) placement.Running {
	s := u.step()
	r := placement.Running{
		Shape: s.CountedShape(), Urgent: u.job.queue.Priority == 0, Guaranteed: u.job.guaranteed,
		Stopping: u.done || u.breaking || u.job.ended(), NotPreemptible: s.LongRunning && s.MaxUnavailable > 0,
	}
	elapsed := now.Sub(u.placed).Seconds()
	r.EndsIn = u.endsIn(elapsed)
	lost := elapsed
	if s.Checkpoints {
		// A stop saves the work; what is lost is the time to resume.
		lost = min(lost, 1)
	}
	r.DiscardedWork = (lost + 0.3) * s.Shape.Cores() * float64(len(u.members))
	return r
}

// endsIn returns the expected time until a running unit ends, in seconds.
func (u *unit) endsIn(elapsed float64) float64 {
	percent := 100.0
	for _, m := range u.members {
		percent = min(percent, m.percent)
	}
	if percent >= 10 && percent < 100 && elapsed > 1 {
		return max(elapsed*(100-percent)/percent, minRuntime)
	}
	return max(u.step().Estimate.Seconds()-elapsed, minRuntime)
}

// waitingStep is the units of one occurrence of a step that wait; they are served one
// after the other.
type waitingStep struct {
	stepKey
	units []*unit
}

// viewWaiting adds the units that wait, in the order in which they are served.
func (t *term) viewWaiting(v *view, now time.Time) {
	var steps []waitingStep
	for _, j := range t.live {
		steps = j.waitingSteps(steps)
	}
	// The order of a map is random; equal ranks are to stay in one order.
	sort.Slice(steps, func(a, b int) bool { return steps[a].before(&steps[b]) })
	ranks, n := make([]order.Unit, len(steps)), 0
	for i := range steps {
		ranks[i] = steps[i].units[0].rank(now)
		n += len(steps[i].units)
	}
	v.waiting, v.in.Waiting = make([]*unit, 0, n), make([]placement.Unit, 0, n)
	for _, k := range order.Sort(ranks) {
		for _, u := range steps[k].units {
			if u.readyAt.IsZero() {
				u.readyAt = now
			}
			v.waiting = append(v.waiting, u)
			v.in.Waiting = append(v.in.Waiting, t.waiting(v, u, now))
		}
	}
}

// waitingSteps appends the steps of a job whose turn has come and of which units wait.
// The units of a step stand side by side in the job's order.
func (j *job) waitingSteps(steps []waitingStep) []waitingStep {
	var at *waitingStep
	turn := false
	for _, u := range j.order {
		k := stepKey{j, u.key.occurrence, u.key.step}
		if !u.waits() {
			continue
		}
		if at == nil || at.stepKey != k {
			if turn = j.turn(u); turn {
				steps = append(steps, waitingStep{stepKey: k})
				at = &steps[len(steps)-1]
			}
		}
		if turn {
			at.units = append(at.units, u)
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

// rank returns what the order of the waiting units depends on.
func (u *unit) rank(now time.Time) order.Unit {
	j := u.job
	from := j.accepted
	if j.spec.Job.Occurrences > 0 {
		from = j.due(u.key.occurrence)
	}
	age := now.Sub(from).Seconds()
	chains := j.chains()
	objective := j.queue.ObjectiveFactor*slices.Max(chains) + j.queue.ObjectiveConstant.Seconds()
	return order.Unit{
		Guaranteed: j.guaranteed, Priority: j.queue.Priority,
		DueIn: objective - age, WorthlessIn: lateFactor*objective - age, CriticalPath: chains[u.key.step],
	}
}

// chains returns, for each step, the estimated time from its start until all
// steps that need it are done, in seconds.
func (j *job) chains() []float64 {
	steps := j.spec.Job.Steps
	out := make([]float64, len(steps))
	for s := len(steps) - 1; s >= 0; s-- {
		after := 0.0
		for k := s + 1; k < len(steps); k++ {
			if slices.Contains(steps[k].After, s) {
				after = max(after, out[k])
			}
		}
		out[s] = steps[s].Estimate.Seconds() + after
	}
	return out
}

// waiting returns what placement needs to know of a unit that waits.
func (t *term) waiting(v *view, u *unit, now time.Time) placement.Unit {
	s := u.step()
	x := placement.Unit{
		Service: u.job.queue.Service, Tasks: u.tasks(), Shape: s.CountedShape(), SameRack: s.SameRack, Label: s.Label,
		PerWorker: s.PerWorker, Urgent: u.job.queue.Priority == 0, Guaranteed: u.job.guaranteed,
		Runtime: s.Estimate.Seconds(),
	}
	if j := u.job; j.guaranteed && u.run == 0 && now.Sub(j.accepted) > scatterAge {
		x.SameRack = false
	}
	if v.racks[s.Rack] {
		x.Rack = s.Rack
	}
	if s.PerWorker > 0 {
		x.StepTasks = v.taken(u)
	}
	for id, until := range u.avoid {
		if i, ok := v.index[id]; ok && now.Before(until) {
			if x.Avoid == nil {
				x.Avoid = make(map[int]bool)
			}
			x.Avoid[i] = true
		}
	}
	if u.claim != nil && now.Sub(u.claimed) < claimTime {
		x.Nominated = v.indices(u.claim)
	}
	return x
}

// taken counts the tasks of a unit's step on each worker.
func (v *view) taken(u *unit) map[int]int {
	k := stepKey{u.job, u.key.occurrence, u.key.step}
	if n, ok := v.counts[k]; ok {
		return n
	}
	n := make(map[int]int)
	if v.counts == nil {
		v.counts = make(map[stepKey]map[int]int)
	}
	v.counts[k] = n
	for _, x := range u.job.order {
		if x.key.occurrence != u.key.occurrence || x.key.step != u.key.step {
			continue
		}
		for _, m := range x.members {
			if i, ok := v.index[m.worker]; ok {
				n[i]++
			}
		}
	}
	return n
}

// indices returns the places of workers, nil when one is not there.
func (v *view) indices(ids []string) []int {
	out := make([]int, len(ids))
	for k, id := range ids {
		i, ok := v.index[id]
		if !ok {
			return nil
		}
		out[k] = i
	}
	return out
}
