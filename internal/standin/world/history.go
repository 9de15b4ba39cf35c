package world

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// taskHistory is what happened to a task, acknowledged by the planner or not.
type taskHistory struct {
	// firstStart is when the first run of the task started.
	firstStart time.Time
	done       bool
	// failedRuns holds the runs that failed.
	failedRuns map[int64]bool
	// stoppedRuns holds the runs that were stopped.
	stoppedRuns map[int64]bool
}

// historyFor returns the history of a task. The caller must hold w.mu.
func (w *World) historyFor(t planner.TaskID) *taskHistory {
	h := w.history[t]
	if h == nil {
		h = &taskHistory{failedRuns: make(map[int64]bool), stoppedRuns: make(map[int64]bool)}
		w.history[t] = h
	}
	return h
}

// recordResult records the result of a run. The caller must hold w.mu.
func (w *World) recordResult(r *run, kind planner.ResultKind) {
	switch kind {
	case planner.ResultDone:
		w.historyFor(r.task).done = true
	case planner.ResultFailed:
		w.historyFor(w.attemptKey(r)).failedRuns[r.run] = true
	case planner.ResultGangTimeout:
		w.gangTimeouts++
	case planner.ResultStopped:
		w.historyFor(w.attemptKey(r)).stoppedRuns[r.run] = true
	case planner.ResultExpired, planner.ResultGangFailed:
	}
}

// GangTimeouts returns the number of gang members that timed out waiting for the others.
func (w *World) GangTimeouts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangTimeouts
}

// Begun returns the number of tasks of a job that have been started, and the
// latest of their first start times.
func (w *World) Begun(id string) (tasks int, last time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, h := range w.history {
		if t.Job != id || h.firstStart.IsZero() {
			continue
		}
		tasks++
		if h.firstStart.After(last) {
			last = h.firstStart
		}
	}
	return tasks, last
}

// Finished reports whether all steps of a job are done. A gang is done when one
// of its members is.
func (w *World) Finished(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil {
		return false
	}
	for s := range j.Spec.Job.Steps {
		if !w.stepDone(id, s, &j.Spec.Job.Steps[s]) {
			return false
		}
	}
	return true
}

func (w *World) stepDone(id string, s int, step *model.Step) bool {
	done := 0
	for i := range step.Tasks {
		if h := w.history[planner.TaskID{Job: id, Step: s, Index: i}]; h != nil && h.done {
			done++
		}
	}
	return done == step.Tasks || step.Gang && done > 0
}

// FailedRuns returns the highest number of failed runs of any task or gang of a
// job.
func (w *World) FailedRuns(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mostFailedRuns(id)
}

func (w *World) mostFailedRuns(id string) int {
	most := 0
	for t, h := range w.history {
		if t.Job == id {
			most = max(most, len(h.failedRuns))
		}
	}
	return most
}

// WorkerRacks returns the racks of the workers on which tasks of a job run, by worker
// ID.
func (w *World) WorkerRacks(id string) map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	places := make(map[string]string)
	for _, x := range w.workers {
		for k := range x.runs {
			if x.up && k.task.Job == id {
				places[x.Info.ID] = x.Info.Rack
			}
		}
	}
	return places
}

// SetFails sets whether each run of a job fails.
func (w *World) SetFails(id string, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id].Fails = fails
}

// StoppedRuns returns the highest number of stopped runs of any task or gang of a job.
func (w *World) StoppedRuns(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for t, h := range w.history {
		if t.Job == id {
			most = max(most, len(h.stoppedRuns))
		}
	}
	return most
}
