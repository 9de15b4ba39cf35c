package world

import (
	"fmt"
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

const (
	// defaultDowntime is the time from a crash that a task causes to the next process.
	defaultDowntime = 3 * time.Second
	// registrationIntervals is the number of silent heartbeat intervals after which the
	// platform removes a registration.
	registrationIntervals = 3
	// budgetCrashes is the number of workers that may crash under a task before its
	// starts are bounded, and budgetStarts the number of later starts that is too high.
	budgetCrashes, budgetStarts = 3, 3
	// hopelessCrashes is the number of workers that must have crashed under a task before
	// it may be given up.
	hopelessCrashes = 2
)

// Crashing says which tasks of a job end the process of each worker that runs them.
type Crashing struct {
	// Indices are the indices of the tasks; empty for all.
	Indices []int
	// After is the time from the start of a run to the crash, whether a gang is complete or
	// not. With 0 the process ends before it answers the start.
	After time.Duration
	// Downtime is the time from the crash to the next process; 0 means 3 s.
	Downtime time.Duration
}

func (c *Crashing) has(index int) bool {
	return len(c.Indices) == 0 || slices.Contains(c.Indices, index)
}

// Crash is a crash of a worker that a task caused.
type Crash struct {
	Task    planner.TaskID
	Address string
	At      time.Time
}

// crashes holds the crashing tasks and what they caused.
type crashes struct {
	newIDs, refuse bool
	jobs           map[string]*Crashing
	all            []Crash
	// caused counts the crashes that a task caused, and startsAfter its starts after
	// budgetCrashes of them.
	caused, startsAfter map[planner.TaskID]int
	// under counts the workers that crashed, by whatever cause, under a task or a gang, by
	// attemptKey.
	under map[planner.TaskID]int
	// reportedFailed holds the jobs that were reported as failed without cause.
	reportedFailed map[string]bool
}

func newCrashes() crashes {
	return crashes{
		jobs: make(map[string]*Crashing), caused: make(map[planner.TaskID]int), startsAfter: make(map[planner.TaskID]int),
		under: make(map[planner.TaskID]int), reportedFailed: make(map[string]bool),
	}
}

// SetCrashing makes tasks of a job crash their workers.
func (w *World) SetCrashing(job string, c Crashing) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes.jobs[job] = &c
}

// SetNewIDs sets whether the next process of a worker that crashed registers under a new
// ID at the same address.
func (w *World) SetNewIDs(newIDs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes.newIDs = newIDs
}

// SetRefuseWhileDown sets whether a machine whose process has ended refuses connections, as
// one that keeps its power does. Otherwise it does not respond.
func (w *World) SetRefuseWhileDown(refuse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes.refuse = refuse
}

// SetLabels sets the labels of a worker that is down: a new incarnation may be of another
// kind.
func (w *World) SetLabels(id string, labels ...string) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.Info.Labels = labels
}

// Crashes returns the crashes that the tasks of a job caused, in their order.
func (w *World) Crashes(job string) []Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Crash
	for _, c := range w.crashes.all {
		if c.Task.Job == job {
			all = append(all, c)
		}
	}
	return all
}

// TaskAddress returns the address of the worker on which a task runs, or "".
func (w *World) TaskAddress(t planner.TaskID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		for k := range x.runs {
			if x.up && k.task == t {
				return x.Info.Address
			}
		}
	}
	return ""
}

// current returns the latest worker with an ID or an address, or nil.
func (w *World) current(name string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest(name)
}

// latest is current for callers that hold w.mu.
func (w *World) latest(name string) *Worker {
	for _, x := range slices.Backward(w.workers) {
		if x.Info.ID == name || x.Info.Address == name {
			return x
		}
	}
	return nil
}

// crash ends the process of a worker. The caller must hold w.mu.
func (w *World) crash(x *Worker) {
	x.up, x.returnAt = false, time.Time{}
	counted := make(map[planner.TaskID]bool)
	for _, r := range x.sorted() {
		if k := w.attemptKey(r); !counted[k] {
			counted[k] = true
			w.crashes.under[k]++
		}
		delete(x.runs, runKey{r.task, r.run})
		if r.step.Gang {
			for _, o := range w.otherMembers(r) {
				if o.worker != x {
					o.worker.finish(o.run, planner.ResultGangFailed)
				}
			}
		}
	}
}

// crashIfDue crashes a worker on which a crashing task has run for long enough. The
// caller must hold w.mu.
func (w *World) crashIfDue(x *Worker, now time.Time) {
	if !x.up {
		return
	}
	for _, r := range x.sorted() {
		c := w.crashes.jobs[r.task.Job]
		if c == nil || !c.has(r.task.Index) || now.Sub(r.startedAt) < c.After {
			continue
		}
		w.crashes.caused[r.task]++
		w.crashes.all = append(w.crashes.all, Crash{r.task, x.Info.Address, now})
		w.crash(x)
		downtime := c.Downtime
		if downtime == 0 {
			downtime = defaultDowntime
		}
		x.returnAt = now.Add(downtime)
		return
	}
}

// returnIfDue starts the next process of a worker that a task crashed, and removes the
// registration of a worker that has been silent. The caller must hold w.mu.
func (w *World) returnIfDue(x *Worker, now time.Time) {
	if x.up {
		return
	}
	lastHeartbeat := x.changes.heartbeatAt.Add(-HeartbeatInterval)
	if !x.removed && now.Sub(lastHeartbeat) >= registrationIntervals*HeartbeatInterval {
		x.removed = true
		w.Store.Remove(WorkerPrefix + x.Info.ID)
	}
	if !x.returnAt.IsZero() && !now.Before(x.returnAt) {
		w.restart(x)
	}
}

// restart starts the next process of a worker, under a new ID if SetNewIDs was called
// with true. The caller must hold w.mu.
func (w *World) restart(x *Worker) {
	if x.up {
		w.crash(x)
	}
	x.returnAt = time.Time{}
	if w.crashes.newIDs {
		x = x.successor()
		w.workers = append(w.workers, x)
	}
	x.start()
	w.register(x)
}

// successor returns a worker with a new ID on the same machine.
func (x *Worker) successor() *Worker {
	s := &Worker{world: x.world, Info: x.Info, rate: x.rate, slowFactor: x.slowFactor, failing: x.failing, stalled: x.stalled, lives: x.lives + 1}
	s.Info.ID = fmt.Sprintf("%s-%d", x.Info.Address, s.lives)
	return s
}

// downError returns the error of a call to a worker that is down: the next process at its
// address refuses the calls that are meant for it.
func (x *Worker) downError() error {
	if l := x.world.latest(x.Info.Address); l != x && l.up {
		return fault.New(fault.NoTarget, "another incarnation")
	}
	return fault.New(fault.Unreachable, "down")
}

// checkCrashBudget records a violation if a task is started too often after workers have
// crashed under it. The caller must hold w.mu.
func (w *World) checkCrashBudget(t planner.TaskID) {
	if w.crashes.caused[t] < budgetCrashes {
		return
	}
	if w.crashes.startsAfter[t]++; w.crashes.startsAfter[t] == budgetStarts {
		w.recordViolation("BUDGET: %v started %d times more after %d workers crashed under it", t, budgetStarts, budgetCrashes)
	}
}

// checkFailed records a violation if a job is failed and neither failed runs nor crashes
// are the cause.
func (w *World) checkFailed(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || w.crashes.reportedFailed[id] || w.mostFailedRuns(id) >= j.Spec.Queue.MaxAttempts {
		return
	}
	most := 0
	for t, n := range w.crashes.under {
		if t.Job == id {
			most = max(most, n)
		}
	}
	if w.crashes.jobs[id] != nil && most >= hopelessCrashes {
		return
	}
	w.crashes.reportedFailed[id] = true
	w.recordViolation("LOST: %s failed without cause, after %d failed runs and %d crashed workers; crashing: %t", id, w.mostFailedRuns(id), most, w.crashes.jobs[id] != nil)
}

// checkFailedJobs checks all jobs that are recorded as failed.
func (w *World) checkFailedJobs() {
	w.mu.Lock()
	ids := make([]string, 0, len(w.jobs))
	for id := range w.jobs {
		ids = append(ids, id)
	}
	w.mu.Unlock()
	slices.Sort(ids)
	for _, id := range ids {
		if w.State(id) == model.Failed {
			w.checkFailed(id)
		}
	}
}

// IsIdle reports whether the latest process at each address is up and none runs anything.
func (w *World) IsIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		latest := w.latest(x.Info.Address)
		if !latest.up || len(latest.runs) > 0 || x.up && len(x.runs) > 0 {
			return false
		}
	}
	return true
}
