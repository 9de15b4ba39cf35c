package world

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// tickInterval is the interval at which the workers' runs are advanced.
const tickInterval = 20 * time.Millisecond

// WorkerPrefix is the store prefix under which the workers register.
const WorkerPrefix = "workers/"

// Job is a submitted job.
type Job struct {
	Spec planner.Spec
	// Runtime is the duration of each task.
	Runtime time.Duration
	// Fails says that each run of the job fails.
	Fails bool
	// CancelledAt is when the cancellation was persisted; zero for none.
	CancelledAt time.Time
}

// FollowTestTime makes the lease clock follow time.Now, and so the virtual time of
// a test. TestMain must call it before anything reads the clock.
func FollowTestTime() {
	epoch := time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)
	boottime.SetSource(func() boottime.Time { return boottime.Time(time.Since(epoch)) })
}

// World is the in-memory platform.
type World struct {
	Store  *Store
	Bounds Bounds
	// AcknowledgeOnAnyConnection is passed to the worker clients that Dial creates.
	AcknowledgeOnAnyConnection bool
	// CancelGracePeriod is how long after a cancellation a start is still allowed.
	CancelGracePeriod time.Duration

	rng       *rand.Rand
	lateCalls sync.WaitGroup
	mu        sync.Mutex
	workers   []*Worker
	jobs      map[string]*Job
	links     map[string]*Link
	// interference has the factors of SetInterference.
	interference map[[2]string]float64
	// acknowledgedDone holds the tasks whose result ResultDone the planner
	// acknowledged.
	acknowledgedDone map[planner.TaskID]bool
	// failedRuns counts the failed runs that the planner acknowledged, by
	// attemptKey.
	failedRuns map[planner.TaskID]int
	// countedFailures holds the runs that are counted in failedRuns.
	countedFailures map[runKey]bool
	// history holds what happened to each task, acknowledged or not.
	history      map[planner.TaskID]*taskHistory
	crashes      crashes
	evacuations  evacuations
	gangTimeouts int
	violations   []string
	// starts counts the started runs.
	starts int
	// Stopped counts the runs that ended neither done nor failed. Wasted is the work
	// discarded with them, in core-seconds.
	Stopped int
	Wasted  float64
}

// New returns a world with the given number of workers, each with 8 accelerators.
func New(seed uint64, workers int, b Bounds) *World {
	w := &World{
		Store: NewStore(), Bounds: b, CancelGracePeriod: 3 * time.Second, rng: rand.New(rand.NewPCG(seed, seed)),
		jobs: make(map[string]*Job), links: make(map[string]*Link),
		acknowledgedDone: make(map[planner.TaskID]bool), failedRuns: make(map[planner.TaskID]int), countedFailures: make(map[runKey]bool),
		history: make(map[planner.TaskID]*taskHistory), crashes: newCrashes(),
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		x := &Worker{world: w, rate: 1 - 0.02*w.rng.Float64(), slowFactor: 1, Info: model.Worker{
			ID: id, Service: "svc", Address: id, Rack: b.rack(i), DataCentre: b.dataCentre(i), Labels: []string{"a", b.rack(i)},
			Capacity: model.Shape{MilliCPU: 64000, MemoryMB: 262144, Accelerators: 8},
		}}
		x.start()
		x.changes.heartbeatAt = time.Now().Add(HeartbeatInterval * time.Duration(i+1) / time.Duration(workers))
		w.workers = append(w.workers, x)
		w.register(x)
	}
	return w
}

func (w *World) register(x *Worker) {
	info := x.Info
	info.RegisteredAt = x.changes.clock.reading(x.clock())
	b, err := json.Marshal(info)
	if err != nil {
		panic(err)
	}
	if x.changes.clock.OnlyChanges && w.Store.holds(WorkerPrefix+x.Info.ID, b) {
		return
	}
	x.removed = false
	w.Store.Put(WorkerPrefix+x.Info.ID, b)
}

// DecodeWorker decodes a worker's registration. The error is that of the JSON
// decoder.
func DecodeWorker(it store.Item) (model.Worker, error) {
	var info model.Worker
	err := json.Unmarshal(it.Value, &info)
	return info, err
}

// Run advances the workers until ctx ends, then waits for late calls.
func (w *World) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(tickInterval)
		w.mu.Lock()
		for _, x := range w.workers {
			x.advance(time.Now())
			w.crashIfDue(x, time.Now())
			w.returnIfDue(x, time.Now())
			w.heartbeat(x, time.Now())
		}
		w.mu.Unlock()
	}
	w.lateCalls.Wait()
}

// Link returns the link from a VM to the store or to the address of a worker, and creates
// it at first use.
func (w *World) Link(vm, to string) *Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := vm + ">" + to
	if w.links[k] == nil {
		w.links[k] = &Link{rng: rand.New(rand.NewPCG(w.rng.Uint64(), 1)), lateCalls: &w.lateCalls}
	}
	return w.links[k]
}

// Dial returns a function that creates a VM's worker clients.
func (w *World) Dial(vm string) func(id, address string, maySend func() bool) planner.WorkerClient {
	return func(id, address string, _ func() bool) planner.WorkerClient {
		return &Client{Worker: w.Worker(id), Link: w.Link(vm, address), AcknowledgeOnAnyConnection: w.AcknowledgeOnAnyConnection}
	}
}

// Worker returns the worker with an ID, or nil.
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

// Crash ends a worker's process; its runs are lost without a run result. Restart
// starts the next process. Both take an ID or an address, as all that change a worker.
func (w *World) Crash(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash(w.latest(name))
}

// Restart starts a new incarnation of a worker, under the same ID unless SetNewIDs says
// otherwise.
func (w *World) Restart(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart(w.latest(name))
}

// SetFailing sets whether all runs on a worker fail.
func (w *World) SetFailing(id string, failing bool) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.failing = failing
}

// SetStalled sets whether all runs on a worker are stalled.
func (w *World) SetStalled(id string, still bool) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.stalled = still
}

// Drain registers a worker as draining.
func (w *World) Drain(id string) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.Info.Draining = true
	w.register(x)
}

// ExpectJob records a job that is submitted without Submit.
func (w *World) ExpectJob(j Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.Spec.Job.ID] = &j
}

// Submit submits a job by writing its specification to the store.
func (w *World) Submit(j Job) {
	b, err := j.Spec.Encode()
	if err != nil {
		panic(err)
	}
	w.ExpectJob(j)
	w.Store.Create(store.SpecKey(j.Spec.Job.ID), b)
}

// Cancel cancels a job.
func (w *World) Cancel(id string) {
	if w.Store.Create(store.CancelKey(id), []byte("{}")) {
		w.ExpectCancel(id)
	}
}

// ExpectCancel records the accepted cancellation of a job that was cancelled
// without Cancel.
func (w *World) ExpectCancel(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j.CancelledAt.IsZero() {
		j.CancelledAt = time.Now()
	}
}

// State returns the state of a job as recorded in the store; "" if the record
// cannot be read.
func (w *World) State(id string) model.JobState {
	items, _, err := w.Store.list(store.RunKey(id))
	var r *planner.RunRecord
	if err == nil && len(items) > 0 {
		r, err = planner.DecodeRunRecord(items[0].Value)
	}
	if err != nil {
		return ""
	}
	state := planner.RecordedState(w.Store.Has(store.CancelKey(id)), r)
	if state == model.Failed {
		w.checkFailed(id)
	}
	return state
}

// Starts returns the number of started runs.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Violations returns the recorded violations of the scheduler's guarantees.
func (w *World) Violations() []string {
	w.checkFailedJobs()
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

// otherMembers returns the other runs of a run's gang.
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

// startRun starts a run and records the guarantees that it violates.
func (w *World) startRun(x *Worker, o planner.StartOrder) {
	j := w.jobs[o.Task.Job]
	if j == nil || o.Specification != j.Spec.Job.Specification {
		w.recordViolation("UNASKED: %v started, but no job was submitted with this specification", o.Task)
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
			w.recordViolation("UNASKED: %v started from invalid checkpoint %q", o.Task, o.Checkpoint)
		}
	}
	w.starts++
	w.checkDuplicate(x, r)
	if step.Label != "" && !slices.Contains(x.Info.Labels, step.Label) {
		w.recordViolation("ROUTE: %v started on %s, which has the labels %v", o.Task, x.Info.ID, x.Info.Labels)
	}
	if x.exceedsCapacity(step.Shape.Plus(x.used()), time.Now()) {
		w.recordViolation("LIMIT: %v exceeds the capacity of %s", o.Task, x.Info.ID)
	}
	if !j.CancelledAt.IsZero() && time.Since(j.CancelledAt) > w.CancelGracePeriod {
		w.recordViolation("UNASKED: %v started %v after the cancellation", o.Task, time.Since(j.CancelledAt))
	}
	if w.failedRuns[w.attemptKey(r)] >= j.Spec.Queue.MaxAttempts && !step.LongRunning {
		w.recordViolation("BUDGET: %v started after %d failed runs", o.Task, w.failedRuns[w.attemptKey(r)])
	}
	w.checkCrashBudget(o.Task)
	w.checkEvacuation(x, o.Task)
	x.runs[runKey{r.task, r.run}] = r
	w.startWork(x, r, j.Runtime)
}

// startWork starts the work of a run, or of its gang once all members have
// started.
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
	runtime = time.Duration(float64(runtime) * slowest(members))
	for _, m := range members {
		m.run.setDoneAt(time.Now(), runtime)
	}
}

// spansRacks reports whether members are placed on more than one rack.
func spansRacks(members []member) bool {
	for _, m := range members {
		if m.worker.Info.Rack != members[0].worker.Info.Rack {
			return true
		}
	}
	return false
}

// checkDuplicate records a violation if the task is done or already running.
func (w *World) checkDuplicate(x *Worker, r *run) {
	if w.acknowledgedDone[r.task] {
		w.recordViolation("TWICE: %v run %d started on %s after the task was acknowledged as done", r.task, r.run, x.Info.ID)
	}
	for _, o := range w.workers {
		for _, other := range o.runs {
			if o.up && other.task == r.task {
				w.recordViolation("TWICE: %v run %d started on %s while run %d is on %s", r.task, r.run, x.Info.ID, other.run, o.Info.ID)
			}
		}
	}
}

// attemptKey returns the key by which attempts are counted: that of the task, or
// one for a whole gang.
func (w *World) attemptKey(r *run) planner.TaskID {
	t := r.task
	if r.step.Gang {
		t.Index = -1
	}
	return t
}

// recordStop counts a run that ended neither done nor failed, and the work
// discarded with it.
func (w *World) recordStop(r *run, kind planner.ResultKind) {
	if kind == planner.ResultDone || kind == planner.ResultFailed {
		return
	}
	w.Stopped++
	if !r.step.Checkpoints {
		w.Wasted += time.Since(r.startedAt).Seconds() * r.step.Shape.Cores()
	}
}

// UnacknowledgedResults returns the number of run results that the planner has not acknowledged.
func (w *World) UnacknowledgedResults() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, x := range w.workers {
		n += len(x.results)
	}
	return n
}

// acknowledgeResults drops a worker's run results up to lastAcknowledged and records
// which tasks the planner has acknowledged as done or failed.
func (w *World) acknowledgeResults(x *Worker, lastAcknowledged int64) {
	remaining := x.results[:0]
	for _, e := range x.results {
		if e.Number > lastAcknowledged {
			remaining = append(remaining, e)
			continue
		}
		if e.Number <= x.ignoredUpTo {
			// The lease expired before the result was acknowledged.
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
