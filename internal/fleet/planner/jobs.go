package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// applySpec adds an accepted job, unless the term already has it.
func (t *term) applySpec(s *Spec, source string) {
	if t.jobs[s.Job.ID] != nil {
		return
	}
	j := &job{
		id: s.Job.ID, spec: s, queue: s.Queue, queueVersion: s.ConfigVersion, units: make(map[unitKey]*unit), memory: JobMemory(&s.Job),
	}
	if cfg := t.p.Config.Current(); cfg != nil {
		// The VM that accepted the job may have had an older configuration.
		t.refreshQueue(j, cfg)
	}
	t.recordArrival(j, source)
	if s.Job.Occurrences == 0 {
		j.createUnits(1)
	}
	t.jobs[j.id], t.live[j.id] = j, j
	t.p.Meter.Inc("planner_job_taken")
	t.p.Log.Debug("job added", "job", j.id, "queue", s.Queue.Name, "account", s.Account, "by", source)
}

// applyCancel ends a job as cancelled, unless its terminal state is already persisted.
func (t *term) applyCancel(id, source string) {
	j := t.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	if j.ended() && j.persisted {
		return
	}
	t.p.Meter.Inc("planner_job_cancelled")
	t.p.Log.Info("job cancelled", "job", id, "by", source)
	t.finish(j, model.Cancelled)
}

// createUnits creates the units of the first n occurrences.
func (j *job) createUnits(n int) {
	for ; j.createdOccurrences < n; j.createdOccurrences++ {
		for s := range j.spec.Job.Steps {
			step := &j.spec.Job.Steps[s]
			if step.Gang {
				j.addUnit(unitKey{j.createdOccurrences, s, -1})
				continue
			}
			for i := range step.Tasks {
				j.addUnit(unitKey{j.createdOccurrences, s, i})
			}
		}
	}
}

func (j *job) addUnit(k unitKey) {
	u := &unit{job: j, key: k}
	j.units[k] = u
	j.unitList = append(j.unitList, u)
}

// createDueUnits creates the units of the occurrences that are due.
func (t *term) createDueUnits(now time.Time) {
	for _, j := range t.live {
		s := &j.spec.Job
		for !j.ended() && s.Occurrences > 0 && j.createdOccurrences < s.Occurrences && !now.Before(j.dueAt(j.createdOccurrences)) {
			j.createUnits(j.createdOccurrences + 1)
		}
	}
}

// dueAt returns when an occurrence is due.
func (j *job) dueAt(occurrence int) time.Time {
	s := &j.spec.Job
	return time.UnixMilli(s.FirstDue).Add(time.Duration(occurrence) * s.Interval)
}

// dependenciesDone reports whether the steps on which a unit's step depends are done.
func (j *job) dependenciesDone(u *unit) bool {
	for _, s := range u.step().After {
		for _, x := range j.unitList {
			if x.key.occurrence == u.key.occurrence && x.key.step == s && !x.done {
				return false
			}
		}
	}
	return true
}

// finish sets a job's terminal state and stops its remaining runs.
func (t *term) finish(j *job, s model.JobState) {
	j.state, j.persisted, j.endedMS = s, false, unixMS()
	if j.finishedAt.IsZero() {
		j.finishedAt = time.Now()
	}
	t.markUnwritten(j)
	delete(t.live, j.id)
	for _, u := range j.unitList {
		u.nominated = nil
		u.ledger.Close(j.finishedAt)
		for _, m := range u.members {
			t.stop(m)
		}
	}
}

// completeIfDone completes a job if all its units are done.
func (t *term) completeIfDone(j *job) {
	if j.ended() || j.createdOccurrences < j.spec.Job.Occurrences {
		return
	}
	for _, u := range j.unitList {
		if !u.done {
			return
		}
	}
	t.finish(j, model.Completed)
}

// applyResult applies a run result that a worker lists.
func (t *term) applyResult(w *worker, r RunResult) {
	k := runKey{r.Task, r.Run}
	m := w.members[k]
	if m == nil {
		t.recordBegun(r.Task)
		if u := t.lateCompletion(r); u != nil {
			t.p.Meter.Inc("end_done_late")
			t.p.Log.Info("abandoned run completed", "job", r.Task.Job, "task", r.Task, "run", r.Run, "worker", w.id, "withdrawn", u.run-r.Run)
			t.cancelUnsentRun(u)
			t.applyDone(w, u)
			return
		}
		if t.isStale(r) {
			t.p.Log.Debug("run result ignored: job ended or unit done", "job", r.Task.Job, "task", r.Task, "run", r.Run, "worker", w.id, "how", r.Kind)
			return
		}
		t.p.Log.Info("run result ignored: run was abandoned", "job", r.Task.Job, "task", r.Task, "run", r.Run, "worker", w.id, "how", r.Kind)
		return
	}
	u := m.unit
	u.job.begun = true
	if r.Kind == ResultDone {
		t.observeEnd(w, m)
	}
	t.dropMember(w, m)
	if r.Checkpoint != "" && u.resumes(t.p.Disabled) {
		u.checkpoint = r.Checkpoint
	}
	t.p.Meter.Inc("end_" + string(r.Kind))
	t.p.Log.Debug("run result applied", "job", u.job.id, "task", r.Task, "run", r.Run, "worker", w.id, "how", r.Kind, "number", r.Number)
	u.excuseRun()
	t.measureResult(w, m, r)
	switch r.Kind {
	case ResultDone:
		t.applyDone(w, u)
	case ResultFailed:
		t.applyFailure(w, u, r)
	case ResultStopped:
		if !m.stopSentAt.IsZero() {
			t.room.recordStop(time.Since(m.stopSentAt))
		}
		t.abortRun(u, resultCause(r.Kind))
	default:
		t.abortRun(u, resultCause(r.Kind))
	}
	t.releaseIfStopped(u)
}

// isStale reports whether a run result has no effect because its job has ended or its
// unit is done.
func (t *term) isStale(r RunResult) bool {
	j := t.jobs[r.Task.Job]
	if j == nil {
		return false
	}
	u := j.unitOf(r.Task)
	return j.ended() || u != nil && u.done
}

// unitOf returns the unit of a task, or nil if there is none.
func (j *job) unitOf(task TaskID) *unit {
	if task.Step < 0 || task.Step >= len(j.spec.Job.Steps) {
		return nil
	}
	k := unitKey{task.Occurrence, task.Step, task.Index}
	if j.spec.Job.Steps[k.step].Gang {
		k.index = -1
	}
	return j.units[k]
}

// lateCompletion returns the unit that a run result shows to be done although its run was
// abandoned because the worker was unresponsive for a lease. Such a unit is not run
// again, unless a start of a later run was sent.
func (t *term) lateCompletion(r RunResult) *unit {
	j := t.jobs[r.Task.Job]
	if r.Kind != ResultDone || j == nil || j.ended() {
		return nil
	}
	u := j.unitOf(r.Task)
	if u == nil || u.done || u.step().LongRunning || u.run != r.Run && !u.noStartSent() {
		return nil
	}
	return u
}

// noStartSent reports whether the unit's run is placed and none of its starts was sent.
func (u *unit) noStartSent() bool {
	for _, m := range u.members {
		if m.startSent {
			return false
		}
	}
	return len(u.members) > 0
}

// cancelUnsentRun cancels the members of a unit whose starts were not sent.
func (t *term) cancelUnsentRun(u *unit) {
	for _, m := range slices.Clone(u.members) {
		if !m.startSent {
			t.dropMember(t.workerOf(m.worker), m)
		}
	}
	t.releaseIfStopped(u)
}

// applyDone records that a unit is done. For a gang, the result of one member is enough.
func (t *term) applyDone(w *worker, u *unit) {
	clear(w.failedJobs)
	w.closeCount = 0
	if u.done {
		return
	}
	if u.step().LongRunning {
		t.abortRun(u, cause.RunFailed)
		return
	}
	u.done, u.doneAt = true, time.Now()
	u.ledger.Close(u.doneAt)
	t.markUnwritten(u.job)
	t.completeIfDone(u.job)
}

// applyFailure handles a failed run, whether the task or the worker caused it.
func (t *term) applyFailure(w *worker, u *unit, r RunResult) {
	if u.done {
		return
	}
	// Several members of a gang may fail in one run, also after others were stopped with
	// ResultGangFailed.
	if u.failedRun != r.Run {
		u.failedRun = r.Run
		u.failures++
	}
	t.abortRun(u, cause.RunFailed)
	t.attributeFailure(w, u)
	t.p.Log.Info("run failed", "job", u.job.id, "task", r.Task, "run", r.Run, "worker", w.id, "failures", u.failures, "allowed", u.job.queue.MaxAttempts)
	if !u.job.ended() && !u.step().LongRunning && u.failures >= u.job.queue.MaxAttempts {
		t.finish(u.job, model.Failed)
	}
}

const (
	// avoidTime is how long a unit avoids a worker on which it failed.
	avoidTime = 20 * time.Second
	// failedJobsToClose is the number of distinct jobs that fail on a worker, without a
	// completed run in between, before it gets no new units.
	failedJobsToClose = 2
	// failingCloseTime is how long such a worker gets no new units; it doubles each time.
	failingCloseTime = 4 * time.Second
	// maxCloseDoublings bounds the doubling.
	maxCloseDoublings = 3
)

// attributeFailure attributes a unit's failure to a worker, and closes the worker after
// failures of several jobs.
func (t *term) attributeFailure(w *worker, u *unit) {
	if u.avoidUntil == nil {
		u.avoidUntil = make(map[string]time.Time)
	}
	u.avoidUntil[w.id] = time.Now().Add(avoidTime)
	w.failedJobs[u.job.id] = true
	if len(w.failedJobs) < failedJobsToClose {
		return
	}
	t.closeWorker(w, "fails work", failingCloseTime<<min(w.closeCount, maxCloseDoublings))
	w.closeCount++
}

func (t *term) closeWorker(w *worker, reason string, d time.Duration) {
	if t.p.Disabled[policy.Quarantine] {
		return
	}
	w.closedUntil = time.Now().Add(d)
	t.p.Meter.Inc("worker_closed")
	t.p.Log.Warn("worker closed", "worker", w.id, "reason", reason, "for_ms", d.Milliseconds())
}

// abortRun stops the remaining members of a unit's run, which is lost for a cause.
func (t *term) abortRun(u *unit, c cause.Cause) {
	if u.done {
		return
	}
	u.aborting = true
	if lost := u.ledger.LoseRun(c, u.resumes(t.p.Disabled), time.Now()); lost > 0 {
		u.job.recordLostWork(c, lost.Seconds()*u.step().Shape.Cores()*float64(u.tasks()))
	}
	if !u.job.ended() {
		t.markUnwritten(u.job)
	}
	for _, m := range u.members {
		t.stop(m)
	}
}

// applyRunLost handles a run that has stopped without a run result.
func (t *term) applyRunLost(w *worker, m *member, reason string) {
	u := m.unit
	if u.done || u.job.ended() {
		// The records of units and jobs that have ended are not updated.
		t.dropMember(w, m)
		t.releaseIfStopped(u)
		return
	}
	t.p.Meter.Inc("run_lost")
	t.p.Log.Warn("run lost", "job", u.job.id, "task", m.task(), "run", m.run, "worker", w.id, "reason", reason,
		"answered", m.startAckedAt != 0, "adopted", m.adopted, "shared", m.shared, "results_listed", w.listedResults)
	if m.mayHaveBegun(w, reason) {
		u.job.begun = true
	}
	t.dropMember(w, m)
	if m.checkpoint != "" && u.resumes(t.p.Disabled) {
		u.checkpoint = m.checkpoint
	}
	t.abortRun(u, cause.WorkerLost)
	t.releaseIfStopped(u)
	if m.isLoss(w, reason) {
		t.recordLoss(w, m)
	} else {
		u.excuseRun()
	}
}

// mayHaveBegun reports whether a run of an earlier term that ended without a result may have
// started there. The incarnation that it was placed on would list it or its result.
func (m *member) mayHaveBegun(w *worker, reason string) bool {
	return m.adopted && (reason == leaseOver || m.incarnation != w.incarnation)
}

// recordBegun records that a worker lists a run of a task, which may have been abandoned.
func (t *term) recordBegun(task TaskID) {
	j := t.jobs[task.Job]
	if j == nil || j.begun {
		return
	}
	j.begun = true
	if !j.ended() {
		t.markUnwritten(j)
	}
}

// dropMember removes a member from its worker and its unit.
func (t *term) dropMember(w *worker, m *member) {
	if m.adopted && !m.removed {
		m.unit.job.adopted--
	}
	m.removed = true
	w.remove(m)
	remaining := m.unit.members[:0]
	for _, x := range m.unit.members {
		if x != m {
			remaining = append(remaining, x)
		}
	}
	m.unit.members = remaining
}

// releaseIfStopped lets a unit wait again once its run has no members left.
func (t *term) releaseIfStopped(u *unit) {
	if len(u.members) == 0 {
		u.members, u.aborting = nil, false
		if u.isWaiting() {
			u.waitingSince = time.Now()
			u.ledger.Switch(cause.Plan, u.waitingSince)
		}
	}
}
