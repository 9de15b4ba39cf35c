package world

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// taskHistory is what happened to a task, whether it was taken note of or not.
type taskHistory struct {
	// began is when the first run began.
	firstStart time.Time
	done       bool
	// failed holds the runs that ended as failed.
	failedRuns map[int64]bool
}

// historyOf returns the history of a task. w.mu is held.
func (w *World) historyFor(t planner.TaskID) *taskHistory {
	h := w.history[t]
	if h == nil {
		h = &taskHistory{failedRuns: make(map[int64]bool)}
		w.history[t] = h
	}
	return h
}

// noteEnd notes how a run ended. w.mu is held.
func (w *World) recordResult(r *run, kind planner.ResultKind) {
	switch kind {
	case planner.ResultDone:
		w.historyFor(r.task).done = true
	case planner.ResultFailed:
		w.historyFor(w.attemptKey(r)).failedRuns[r.run] = true
	case planner.ResultGangTimeout:
		w.gangTimeouts++
	case planner.ResultStopped, planner.ResultExpired, planner.ResultGangFailed:
	}
}

// Alone counts the members of gangs that waited for the others in vain.
func (w *World) Alone() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangTimeouts
}

// Begun returns how many tasks of a job have begun, and when the last of them
// did for the first time.
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

// Finished reports whether all steps of a job have ended as done; one such end
// represents a gang.
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

// FailedRuns returns the most runs of a task, or of a gang, that ended as failed
// in a job.
func (w *World) FailedRuns(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for t, h := range w.history {
		if t.Job == id {
			most = max(most, len(h.failedRuns))
		}
	}
	return most
}

// Places returns the workers on which tasks of a job run, with their racks.
func (w *World) Places(id string) map[string]string {
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
