package world

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

const (
	// progressTime is how long a job may have nothing running beside free capacity, and
	// calmTime how long before that no fault may have been active.
	progressTime = 3 * time.Second
	calmTime     = 4 * time.Second
	// restartTime is the additional time for a long-running task after its last run.
	restartTime = 6 * time.Second
)

// Progress checks that accepted work is not left waiting beside free capacity. The zero
// value is ready to use.
type Progress struct {
	// since is when each task, or the first task of a gang, began to wait beside free
	// capacity.
	since    map[planner.TaskID]time.Time
	reported map[planner.TaskID]bool
}

// Observe records which of the given jobs have nothing running at a time, although the turn
// of a task has come, workers that are up have room for it twice over and less than half of
// the capacity of its service is in use. A long-running task counts whether others of its job run or
// not. All faults must have been healed at calmSince. Observe records a violation for each
// task that has waited so for too long. Its calls must be less than a second apart.
func (p *Progress) Observe(w *World, jobs []string, calmSince, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := make(map[planner.TaskID]time.Time)
	for _, id := range jobs {
		j := w.jobs[id]
		if j == nil || !j.CancelledAt.IsZero() {
			continue
		}
		for _, task := range w.idleTasks(id, j) {
			since, ok := p.since[task]
			if !ok {
				since = now
			}
			waiting[task] = since
			limit := progressTime
			if j.Spec.Job.Steps[task.Step].LongRunning && !w.historyFor(task).firstStart.IsZero() {
				limit += restartTime
			}
			if from := maxTime(since, calmSince.Add(calmTime)); now.Sub(from) > limit && !p.reported[task] {
				if p.reported == nil {
					p.reported = make(map[planner.TaskID]bool)
				}
				p.reported[task] = true
				w.recordViolation("LOST: %v could run and nothing of its job does since %v, with %d tasks waiting so", task, now.Sub(since), len(waiting))
			}
		}
	}
	p.since = waiting
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// idleTasks returns the tasks of a job that wait beside free capacity: each long-running one, and
// the first of the others if nothing of the job runs.
func (w *World) idleTasks(id string, j *Job) []planner.TaskID {
	var idle []planner.TaskID
	running := w.runningTasks(id)
	for s := range j.Spec.Job.Steps {
		step := &j.Spec.Job.Steps[s]
		if !step.LongRunning && len(running) > 0 || !w.stepsDone(id, j, step.After) || w.stepDone(id, s, step) || !w.hasRoomTwice(j, step) {
			continue
		}
		for i := range step.Tasks {
			task := planner.TaskID{Job: id, Step: s, Index: i}
			if h := w.history[task]; running[task] || h != nil && h.done {
				continue
			}
			idle = append(idle, task)
			if !step.LongRunning || step.Gang {
				break
			}
		}
	}
	return idle
}

// runningTasks returns the tasks of a job that run on workers that are up.
func (w *World) runningTasks(id string) map[planner.TaskID]bool {
	running := make(map[planner.TaskID]bool)
	for _, x := range w.workers {
		for k := range x.runs {
			if x.up && k.task.Job == id {
				running[k.task] = true
			}
		}
	}
	return running
}

func (w *World) stepsDone(id string, j *Job, steps []int) bool {
	for _, s := range steps {
		if !w.stepDone(id, s, &j.Spec.Job.Steps[s]) {
			return false
		}
	}
	return true
}

// hasRoomTwice reports whether a task or gang of a step fits twice in the free capacity of
// the workers of its service and, unless it is long-running, less than half of their capacity
// is in use. A rack is a preference: elsewhere the task takes longer.
func (w *World) hasRoomTwice(j *Job, step *model.Step) bool {
	needed := 2
	if step.Gang {
		needed *= step.Tasks
	}
	var capacity, used model.Shape
	fits := 0
	for _, x := range w.workers {
		if !x.up || x.Info.Draining || x.Info.Service != j.Spec.Queue.Service {
			continue
		}
		capacity, used = capacity.Plus(x.Info.Capacity), used.Plus(x.used())
		if step.Label != "" && !slices.Contains(x.Info.Labels, step.Label) {
			continue
		}
		n := 0
		for free := x.Info.Capacity.Minus(x.used()); step.Shape.Fits(free) && n < needed; n++ {
			free = free.Minus(step.Shape)
		}
		fits += n
	}
	return fits >= needed && (step.LongRunning || used.ShareOf(capacity) < 0.5)
}
