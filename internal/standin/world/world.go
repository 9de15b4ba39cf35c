package world

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// tick is the time between two moves of the workers.
const tickInterval = 20 * time.Millisecond

// WorkerPrefix is where the workers register.
const WorkerPrefix = "workers/"

// Job is a job that was handed in.
type Job struct {
	Spec planner.Spec
	// Runtime is how long a task takes.
	Runtime time.Duration
	// CancelledAt is when its cancellation was kept; zero for none.
	CancelledAt time.Time
}

// FollowTestTime lets the clock of leases follow the time of the test; TestMain
// calls it before anything reads the clock.
func FollowTestTime() {
	epoch := time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)
	boottime.SetSource(func() boottime.Time { return boottime.Time(time.Since(epoch)) })
}

// World is the platform.
type World struct {
	Store  *Store
	Bounds Bounds
	// AnyConnection is that of the clients.
	AnyConnection bool
	// CancelTime is how long after a cancellation a start is still allowed.
	CancelGracePeriod time.Duration

	rng       *rand.Rand
	lateCalls sync.WaitGroup
	mu        sync.Mutex
	workers   []*Worker
	jobs      map[string]*Job
	links     map[string]*Link
	// done holds the tasks whose end as done was taken note of.
	acknowledgedDone map[planner.TaskID]bool
	// failures counts the runs that ended as failed and were taken note of, by
	// task, and by gang.
	failedRuns map[planner.TaskID]int
	// failed holds the runs that were counted there.
	countedFailures map[runKey]bool
	// history holds what happened to each task, noted or not.
	history      map[planner.TaskID]*taskHistory
	gangTimeouts int
	violations   []string
	// Starts counts the runs that began, Stopped those that were stopped before their
	// end, and Wasted the core-seconds of work that was thrown away.
	Starts, Stopped int
	Wasted          float64
}

// New returns a world with workers of 8 accelerators.
func New(seed uint64, workers int, b Bounds) *World {
	w := &World{
		Store: NewStore(), Bounds: b, CancelGracePeriod: 3 * time.Second, rng: rand.New(rand.NewPCG(seed, seed)),
		jobs: make(map[string]*Job), links: make(map[string]*Link),
		acknowledgedDone: make(map[planner.TaskID]bool), failedRuns: make(map[planner.TaskID]int), countedFailures: make(map[runKey]bool),
		history: make(map[planner.TaskID]*taskHistory),
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		x := &Worker{world: w, rate: 1 - 0.02*w.rng.Float64(), slowFactor: 1, Info: model.Worker{
			ID: id, Service: "svc", Address: id, Rack: b.rack(i), Labels: []string{"a", b.rack(i)},
			Capacity: model.Shape{MilliCPU: 64000, MemoryMB: 262144, Accelerators: 8},
		}}
		x.start()
		w.workers = append(w.workers, x)
		w.register(x)
	}
	return w
}

func (w *World) register(x *Worker) {
	b, err := json.Marshal(x.Info)
	if err != nil {
		panic(err)
	}
	w.Store.Put(WorkerPrefix+x.Info.ID, b)
}

// DecodeWorker reads what register wrote.
func DecodeWorker(it store.Item) (model.Worker, error) {
	var info model.Worker
	err := json.Unmarshal(it.Value, &info)
	return info, err
}

// Run moves the workers until ctx ends, and waits for late calls.
func (w *World) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(tickInterval)
		w.mu.Lock()
		for _, x := range w.workers {
			x.advance(time.Now())
		}
		w.mu.Unlock()
	}
	w.lateCalls.Wait()
}

// Link returns the link from a VM to the store or to a worker.
func (w *World) Link(vm, to string) *Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := vm + ">" + to
	if w.links[k] == nil {
		w.links[k] = &Link{rng: rand.New(rand.NewPCG(w.rng.Uint64(), 1)), lateCalls: &w.lateCalls}
	}
	return w.links[k]
}

// Dial returns a VM's clients of the workers.
func (w *World) Dial(vm string) func(id, address string, maySend func() bool) planner.WorkerClient {
	return func(id, _ string, _ func() bool) planner.WorkerClient {
		return &Client{Worker: w.Worker(id), Link: w.Link(vm, id), AnyConnection: w.AnyConnection}
	}
}

// Worker returns a worker.
func (w *World) Worker(id string) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.workers {
		if x.Info.ID == id {
			return x
		}
	}
	return nil
}

// Crash ends the life of a worker; Restart begins the next.
func (w *World) Crash(id string) {
	x := w.Worker(id)
	w.mu.Lock()
	x.up = false
	for _, r := range x.sorted() {
		delete(x.runs, runKey{r.task, r.run})
		if r.step.Gang {
			for _, o := range w.otherMembers(r) {
				o.worker.finish(o.run, planner.ResultGangFailed)
			}
		}
	}
	w.mu.Unlock()
}

// Restart begins a new life of a worker under its id.
func (w *World) Restart(id string) {
	x := w.Worker(id)
	w.mu.Lock()
	x.start()
	w.mu.Unlock()
	w.register(x)
}

// SetFailing makes a worker fail everything, or no more.
func (w *World) SetFailing(id string, failing bool) {
	x := w.Worker(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.failing = failing
}

// SetStill makes all tasks of a worker stand still, or go on.
func (w *World) SetStill(id string, still bool) {
	x := w.Worker(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.stalled = still
}

// Drain lets a worker register as draining.
func (w *World) Drain(id string) {
	x := w.Worker(id)
	w.mu.Lock()
	x.Info.Draining = true
	w.mu.Unlock()
	w.register(x)
}

// Expect makes a job known that somebody else hands in.
func (w *World) Expect(j Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.Spec.Job.ID] = &j
}

// Submit hands a job in: the store holds it.
func (w *World) Submit(j Job) {
	b, err := j.Spec.Encode()
	if err != nil {
		panic(err)
	}
	w.Expect(j)
	w.Store.Create(store.SpecKey(j.Spec.Job.ID), b)
}

// Cancel cancels a job.
func (w *World) Cancel(id string) {
	if w.Store.Create(store.CancelKey(id), []byte("{}")) {
		w.ExpectCancel(id)
	}
}

// ExpectCancel notes that somebody else's cancellation of a job was accepted.
func (w *World) ExpectCancel(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j.CancelledAt.IsZero() {
		j.CancelledAt = time.Now()
	}
}

// State returns the state of a job by the store alone.
func (w *World) State(id string) model.JobState {
	items, _, err := w.Store.list(store.RunKey(id))
	var r *planner.RunRecord
	if err == nil && len(items) > 0 {
		r, err = planner.DecodeRunRecord(items[0].Value)
	}
	if err != nil {
		return ""
	}
	return planner.RecordedState(w.Store.Has(store.CancelKey(id)), r)
}

// Violations returns what was broken.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

func (w *World) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// member is a run with its worker.
type member struct {
	worker *Worker
	run    *run
}

// members returns the other runs of a gang.
func (w *World) otherMembers(r *run) []member {
	var all []member
	for _, x := range w.workers {
		for _, o := range x.sorted() {
			if o != r && o.run == r.run && o.task.Job == r.task.Job && o.task.Step == r.task.Step && o.task.Occurrence == r.task.Occurrence {
				all = append(all, member{x, o})
			}
		}
	}
	return all
}

// begin begins a run, and notes what it breaks.
func (w *World) startRun(x *Worker, o planner.StartOrder) {
	j := w.jobs[o.Task.Job]
	if j == nil || o.Specification != j.Spec.Job.Specification {
		w.recordViolation("UNASKED: %v started, which nobody handed in", o.Task)
		return
	}
	if h := w.historyFor(o.Task); h.firstStart.IsZero() {
		h.firstStart = time.Now()
	}
	step := j.Spec.Job.Steps[o.Task.Step]
	r := &run{task: o.Task, run: o.Run, step: step, startedAt: time.Now(), savedCheckpoint: o.Checkpoint}
	if o.Checkpoint != "" {
		var err error
		if r.resumedShare, err = strconv.ParseFloat(o.Checkpoint, 64); err != nil || !step.Checkpoints {
			w.recordViolation("UNASKED: %v started from %q", o.Task, o.Checkpoint)
		}
	}
	w.Starts++
	w.checkDuplicate(x, r)
	if !step.Shape.Plus(x.used()).Fits(x.Info.Capacity) {
		w.recordViolation("LIMIT: %v over the room of %s", o.Task, x.Info.ID)
	}
	if !j.CancelledAt.IsZero() && time.Since(j.CancelledAt) > w.CancelGracePeriod {
		w.recordViolation("UNASKED: %v started %v after the cancellation", o.Task, time.Since(j.CancelledAt))
	}
	if w.failedRuns[w.attemptKey(r)] >= j.Spec.Queue.MaxAttempts {
		w.recordViolation("BUDGET: %v started after %d failed runs", o.Task, w.failedRuns[w.attemptKey(r)])
	}
	x.runs[runKey{r.task, r.run}] = r
	w.startWork(x, r, time.Duration(float64(j.Runtime)*x.slowFactor))
}

// work lets a run work once all members of its gang are there.
func (w *World) startWork(x *Worker, r *run, runtime time.Duration) {
	members := []member{{x, r}}
	if r.step.Gang {
		members = append(members, w.otherMembers(r)...)
		if len(members) < r.step.Tasks {
			return
		}
		if r.step.SameRack && w.Bounds.RemoteFactor > 0 && spansRacks(members) {
			runtime = time.Duration(float64(runtime) * w.Bounds.RemoteFactor)
		}
	}
	for _, m := range members {
		m.run.setDoneAt(time.Now(), runtime)
	}
}

// scattered reports whether members stand on more than one rack.
func spansRacks(members []member) bool {
	for _, m := range members {
		if m.worker.Info.Rack != members[0].worker.Info.Rack {
			return true
		}
	}
	return false
}

func (w *World) checkDuplicate(x *Worker, r *run) {
	if w.acknowledgedDone[r.task] {
		w.recordViolation("TWICE: %v run %d started on %s after its end was taken note of", r.task, r.run, x.Info.ID)
	}
	for _, o := range w.workers {
		for _, other := range o.runs {
			if o.up && other.task == r.task {
				w.recordViolation("TWICE: %v run %d on %s beside run %d on %s", r.task, r.run, x.Info.ID, other.run, o.Info.ID)
			}
		}
	}
}

// attempt returns what attempts are counted by: a gang as a whole.
func (w *World) attemptKey(r *run) planner.TaskID {
	t := r.task
	if r.step.Gang {
		t.Index = -1
	}
	return t
}

// waste counts what the end of a run throws away.
func (w *World) recordStop(r *run, kind planner.ResultKind) {
	if kind == planner.ResultDone || kind == planner.ResultFailed {
		return
	}
	w.Stopped++
	if !r.step.Checkpoints {
		w.Wasted += time.Since(r.startedAt).Seconds() * r.step.Shape.Cores()
	}
}

// Unnoted returns the number of ends that workers list and nobody took note of.
func (w *World) Unnoted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, x := range w.workers {
		n += len(x.results)
	}
	return n
}

// note takes in which ends the planner has taken note of.
func (w *World) acknowledgeResults(x *Worker, lastAcknowledged int64) {
	remaining := x.results[:0]
	for _, e := range x.results {
		if e.Number > lastAcknowledged {
			remaining = append(remaining, e)
			continue
		}
		if e.Number <= x.ignoredUpTo {
			// The lease ran out before the end was taken note of.
			continue
		}
		j := w.jobs[e.Task.Job]
		r := &run{task: e.Task, run: e.Run, step: j.Spec.Job.Steps[e.Task.Step]}
		switch e.Kind {
		case planner.ResultDone:
			w.acknowledgedDone[e.Task] = true
		case planner.ResultFailed:
			if k := (runKey{w.attemptKey(r), e.Run}); !w.countedFailures[k] {
				w.countedFailures[k] = true
				w.failedRuns[k.task]++
			}
		default:
		}
	}
	x.results = remaining
}
