package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/measure"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// Callers judge a job by the true run times of its tasks, while the objective on which the
// planner decides follows from their estimates, which are off by half and by seven times for
// a task in thirty. So the line "job ended" also has the objective by measured run times.

// defaultRemoteFactor is used where the settings don't give the factor.
const defaultRemoteFactor = 3

// beginMeasuring prepares the measurement of a unit's next run.
func (u *unit) beginMeasuring() {
	u.startedAt, u.savedWork = 0, 0
	if u.checkpoint != "" {
		spent := u.ledger.Spent()
		u.savedWork = spent[cause.Run]
	}
}

// measureResult records the work of a run that was done or that failed by the job's own
// fault. m is no longer among the unit's members. All members of a gang advance at the pace
// of the slowest, so the first result of a gang is measured.
func (t *term) measureResult(w *worker, m *member, r RunResult) {
	u := m.unit
	if u.done || u.job.ended() || u.step().LongRunning || r.Run != u.run {
		return
	}
	in := measure.Interval{
		Started: u.startedAt != 0, Start: w.clockAt(u.startedAt), End: w.clock, Slack: persistWait, ClockError: w.roundTrip,
		Saved: u.savedWork,
	}
	if u.savedWork > 0 {
		in.Restore = t.p.Bounds.RestoreTime
	}
	factor := t.remoteFactor(u, m)
	switch r.Kind {
	case ResultDone:
		if x, ok := m.readings.Done(in); ok {
			u.job.recordWork(u, scaled(x, factor))
		}
	case ResultFailed:
		if x, ok := m.readings.Failed(in); ok && u.failedRun != r.Run && !w.failsOtherJobs(u.job) {
			u.failedWork += scaled(x, factor).Time
		}
	default:
	}
}

// failsOtherJobs reports whether the worker is to blame for the failure of a job's run.
func (w *worker) failsOtherJobs(j *job) bool {
	n := len(w.failedJobs)
	if !w.failedJobs[j.id] {
		n++
	}
	return n >= failedJobsToClose
}

// remoteFactor returns how many times as long the unit's run took because of its place. m is
// the member that is no longer among the unit's members.
func (t *term) remoteFactor(u *unit, m *member) float64 {
	all := unit{job: u.job, key: u.key, members: append(slices.Clone(u.members), m)}
	switch {
	case t.wellPlaced(&all):
		return 1
	case t.p.Bounds.RemoteFactor > 0:
		return t.p.Bounds.RemoteFactor
	}
	return defaultRemoteFactor
}

func scaled(w measure.Work, factor float64) measure.Work {
	return measure.Work{Time: time.Duration(float64(w.Time) / factor), Error: time.Duration(float64(w.Error) / factor)}
}

// recordWork records the work of a unit, with that of its failed runs.
func (j *job) recordWork(u *unit, w measure.Work) {
	if j.work == nil {
		j.work = make([]measure.Work, len(j.spec.Job.Steps))
	}
	w.Time += u.failedWork
	if w.Time > j.work[u.key.step].Time {
		j.work[u.key.step] = w
	}
}

// encodedWork returns the measured work for the record; nil if there is none or the job has
// ended.
func (j *job) encodedWork() []int64 {
	if j.work == nil || j.ended() {
		return nil
	}
	ms := make([]int64, len(j.work))
	for s := range j.work {
		ms[s] = j.work[s].Time.Milliseconds()
	}
	return ms
}

// restoreWork sets the measured work from a record of an earlier term.
func (j *job) restoreWork(r *RunRecord) {
	if len(r.Work) == len(j.spec.Job.Steps) {
		j.work = make([]measure.Work, len(r.Work))
		for s, ms := range r.Work {
			j.work[s].Time = time.Duration(max(ms, 0)) * time.Millisecond
		}
	}
	for i := range r.Units {
		x := &r.Units[i]
		if u := j.units[unitKey{x.Occurrence, x.Step, x.Index}]; u != nil {
			u.failedWork = time.Duration(max(x.FailedWork, 0)) * time.Millisecond
		}
	}
}

// measuredAttrs returns the attributes of the line "job ended" that follow from measured
// run times: the critical path, the objective, the error of the path and the number of steps
// without a measurement, for which the caller's estimate is used. A scheduled job has none,
// since its age covers many occurrences.
func (t *term) measuredAttrs(j *job) []any {
	if j.spec.Job.Occurrences > 0 {
		return nil
	}
	capacity := t.serviceCapacity(j.queue.Service)
	steps := make([]measure.Step, len(j.spec.Job.Steps))
	unmeasured, worst := 0, time.Duration(0)
	for s := range steps {
		step := &j.spec.Job.Steps[s]
		work := measure.Work{}
		if j.work != nil {
			work = j.work[s]
		}
		if work.Time == 0 {
			unmeasured++
			work.Time = step.Estimate + j.failedWorkOf(s)
		}
		worst += work.Error
		steps[s] = measure.Step{Work: work.Time.Seconds(), After: step.After}
		if !step.Gang {
			steps[s].Share = float64(step.Tasks) * step.CountedShape().ShareOf(capacity)
		}
	}
	path := measure.CriticalPath(steps)
	objective := time.Duration(j.queue.ObjectiveFactor*path*float64(time.Second)) + j.queue.ObjectiveConstant
	return []any{
		"critical_path_ms", int64(1000 * path), "measured_objective_ms", objective.Milliseconds(), "path_error_ms", worst.Milliseconds(),
		"unmeasured_steps", unmeasured,
	}
}

// failedWorkOf returns the longest work of failed runs of a unit of a step.
func (j *job) failedWorkOf(step int) time.Duration {
	longest := time.Duration(0)
	for _, u := range j.unitList {
		if u.key.step == step {
			longest = max(longest, u.failedWork)
		}
	}
	return longest
}

// serviceCapacity returns the capacity of the listed workers of a service.
func (t *term) serviceCapacity(service string) model.Shape {
	var total model.Shape
	for _, w := range t.listed {
		if w.info.Service == service {
			total = total.Plus(w.info.Capacity)
		}
	}
	return total
}
