package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/duty"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// tick is the longest pause between two looks at what waits.
	tick = 100 * time.Millisecond
	// loadTimeout bounds the reading of the store at the start of a term. A term
	// whose lock is lost meanwhile ends sooner.
	loadTimeout = 8 * time.Second
	// relistTimeout bounds a new reading of the jobs after dropped history.
	relistTimeout = 4 * time.Second
	// tokenShift leaves room below the lock's revision for the tokens that a
	// term raises for one worker.
	tokenShift = 16
)

// term is one holding of the planner lock. All fields below mu are guarded by
// it.
type term struct {
	p        *Planner
	ctx      context.Context
	cancel   context.CancelFunc
	revision int64
	// valid reports whether the lock is held for certain.
	valid func() bool
	began boottime.Time
	// wake asks for a look at what waits.
	wake  chan struct{}
	loops sync.WaitGroup
	// first and again bound the holds of workers that were not heard of yet, and of
	// those that did not answer the last.
	first, again semaphore

	mu   sync.Mutex
	jobs map[string]*job
	// live are the jobs that have not ended.
	live    map[string]*job
	workers map[string]*worker
	// listed are the workers that the platform lists, by rack.
	listed []*worker
	ended  string
	// behind are the jobs whose records are to be written, in the order in
	// which they changed.
	behind []*job
	// configVersion is that of the queues of the live jobs.
	configVersion int64
	// draining says that nothing more is placed.
	draining bool
	// writes is the number of writes that are under way.
	writes int
	// unacked are the workers that have listed ends which are not kept yet.
	unacked map[*worker]bool
	// explainedAt is when the units that wait long were last explained.
	explainedAt time.Time
	// retiredAt is when records of ended jobs were last removed.
	retiredAt time.Time
	// keepAfter delays the next write after the store refused one.
	keepAfter time.Time
	// jobsAt is the store's revision up to which jobs are known.
	jobsAt int64
	// recent is what was done since the last line about the load.
	recent load
}

func newTerm(ctx context.Context, cancel context.CancelFunc, p *Planner, revision int64, valid func() bool) *term {
	return &term{
		p: p, ctx: ctx, cancel: cancel, revision: revision, valid: valid, began: boottime.Now(),
		wake: make(chan struct{}, 1), jobs: make(map[string]*job), live: make(map[string]*job), workers: make(map[string]*worker),
		unacked: make(map[*worker]bool), first: make(semaphore, unheardCalls), again: make(semaphore, unheardCalls),
	}
}

// fail ends the term.
func (t *term) fail(reason string) {
	if t.ended == "" {
		t.ended = reason
	}
	t.cancel()
}

func (t *term) reason() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended == "" {
		return "the lock was lost or given up"
	}
	return t.ended
}

// poke asks for a look at what waits.
func (t *term) poke() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// load reads the jobs, the run records and the workers.
func (t *term) load() error {
	ctx, cancel := context.WithTimeout(t.ctx, loadTimeout)
	defer cancel()
	specs, at, runs, err := t.readRecords(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobsAt = at
	// A cancellation ends only a job whose end is not kept already, so the run
	// records go before it.
	cancelled := t.takeSpecs(specs, "load")
	for _, it := range runs {
		t.takeRun(it)
	}
	for _, id := range cancelled {
		t.takeCancel(id, "load")
	}
	// A worker that holds tasks may be on no list any more.
	for _, j := range t.jobs {
		t.adopt(j)
	}
	return nil
}

// readRecords reads the jobs and the run records side by side: only this term
// writes the latter.
func (t *term) readRecords(ctx context.Context) (specs []store.Item, at int64, runs []store.Item, err error) {
	var runsErr error
	var both sync.WaitGroup
	both.Go(func() { specs, at, err = t.p.Store.Range(ctx, store.JobPrefix) })
	both.Go(func() { runs, _, runsErr = t.p.Store.Range(ctx, store.RunPrefix) })
	both.Wait()
	if err == nil {
		err = runsErr
	}
	t.p.Log.Info("records read", "term", t.revision, "jobs", len(specs), "runs", len(runs), "took_ms", boottime.Since(t.began).Milliseconds())
	return specs, at, runs, err
}

// takeRun takes the record of a job over from the earlier terms.
func (t *term) takeRun(it store.Item) {
	id := it.Key[len(store.RunPrefix):]
	j := t.jobs[id]
	if j == nil {
		return
	}
	r, err := DecodeRunRecord(it.Value)
	if err != nil {
		t.p.Meter.Inc("record_decode_error")
		t.p.Log.Error("a run record can't be read", "job", id, "error", err)
		return
	}
	j.revision, j.begun = it.Revision, r.Begun
	if r.State != "" {
		j.state, j.kept, j.endedMS = r.State, true, r.EndedMS
		delete(t.live, id)
	}
	for _, x := range r.Units {
		t.takeUnit(j, x)
	}
}

func (t *term) takeUnit(j *job, x UnitRecord) {
	k := unitKey{x.Occurrence, x.Step, x.Index}
	if x.Step >= len(j.spec.Job.Steps) {
		return
	}
	j.makeUnits(x.Occurrence + 1)
	u := j.units[k]
	if u == nil {
		return
	}
	u.run, u.failures, u.saved, u.done = x.Run, x.Failures, x.Saved, x.Done
	for _, p := range x.Places {
		u.members = append(u.members, &member{
			unit: u, index: p.Index, run: x.Run, token: p.Token, worker: p.Worker, born: p.Born,
			adopted: true, sent: true,
		})
	}
	u.placed = time.Now()
}

// adopt attaches the members of a job to their workers.
func (t *term) adopt(j *job) {
	for _, u := range j.order {
		for _, m := range u.members {
			t.workerOf(m.worker).add(m)
		}
	}
}

// workerOf returns a worker by its id; one that no list names has no client.
func (t *term) workerOf(id string) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{
			id: id, token: t.firstToken(), members: make(map[runKey]*member),
			strangers: make(map[runKey]model.Shape), failures: make(map[string]bool), wake: make(chan struct{}, 1),
			unlistedAt: time.Now(),
		}
		t.workers[id] = w
	}
	return w
}

// firstToken returns the token of the first orders of the term.
func (t *term) firstToken() int64 {
	if t.p.off.token {
		return 1
	}
	return t.revision << tokenShift
}

// locked runs f with the term's lock, which a panic in f gives back.
func (t *term) locked(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// begin runs a duty beside the others until it returns.
func (t *term) begin(name string, f func()) {
	t.loops.Go(func() { t.try(name, f) })
}

// try runs a duty. A panic ends the term: the next one reads anew what stands.
func (t *term) try(name string, f func()) {
	if err := duty.Run(t.p.Log, t.p.Meter, name, f); err != nil {
		t.locked(func() { t.fail(err.Error()) })
	}
}

// run plans until the term ends.
func (t *term) run() {
	defer t.loops.Wait()
	defer t.cancel()
	t.begin("follow workers", t.followWorkers)
	t.begin("follow jobs", t.followJobs)
	t.begin("follow load", t.followLoad)
	t.try("plan", t.lookOn)
}

// lookOn looks at what waits until the term ends.
func (t *term) lookOn() {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for t.ctx.Err() == nil {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		}
		began := time.Now()
		t.look()
		took := time.Since(began)
		t.retire()
		t.p.Meter.Time("look_time", took)
		t.locked(func() { t.recent.look(took) })
		// What takes in answers needs the processor and the term's lock too.
		pause.For(t.ctx, max(took, lookPause))
	}
}

// lookPause is the least time between two looks: answers that come together are
// looked at together.
const lookPause = 3 * time.Millisecond

// look plans once and begins to write what changed. With a slow store, changes come
// as fast as they are written, and what waits is not to wait for the last of them.
func (t *term) look() {
	if !t.valid() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire()
	t.makeDue(now)
	if !t.draining {
		t.plan(now)
	}
	t.flush()
}

const (
	// followWait bounds one watch of the jobs; a silent one is noticed then.
	followWait = 3 * time.Second
	// followSlack is added to the time of a watch for its answer.
	followSlack = 800 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 200 * time.Millisecond
)

// followJobs takes new jobs and cancellations from the store.
func (t *term) followJobs() {
	for t.ctx.Err() == nil {
		var at int64
		t.locked(func() { at = t.jobsAt })
		ctx, cancel := context.WithTimeout(t.ctx, followWait+followSlack)
		events, next, err := t.p.Store.Watch(ctx, store.JobPrefix, at, followWait)
		cancel()
		if fault.Is(err, fault.RetryHorizon) {
			t.p.Meter.Inc("planner_watch_restart")
			events, next, err = t.listJobs()
		}
		if err != nil {
			t.p.Meter.Inc("planner_watch_retry")
			pause.For(t.ctx, retryPause)
			continue
		}
		t.locked(func() {
			t.jobsAt = next
			t.takeJobItems(events, "watch")
		})
		if len(events) > 0 {
			t.poke()
		}
	}
}

func (t *term) listJobs() ([]store.Item, int64, error) {
	ctx, cancel := context.WithTimeout(t.ctx, relistTimeout)
	defer cancel()
	return t.p.Store.Range(ctx, store.JobPrefix)
}

// takeJobItems takes records of jobs and cancellations; cancellations last,
// since a page may list one before its job.
func (t *term) takeJobItems(items []store.Item, by string) {
	for _, id := range t.takeSpecs(items, by) {
		t.takeCancel(id, by)
	}
}

// takeSpecs takes records of jobs and returns the jobs that are cancelled.
func (t *term) takeSpecs(items []store.Item, by string) (cancelled []string) {
	for _, it := range items {
		id, cancel, ok := store.SplitJobKey(it.Key)
		if !ok || it.Deleted {
			continue
		}
		if cancel {
			cancelled = append(cancelled, id)
			continue
		}
		s, err := DecodeSpec(it.Value)
		if err != nil {
			t.p.Meter.Inc("record_decode_error")
			t.p.Log.Error("a job's record can't be read", "job", id, "error", err)
			continue
		}
		t.takeSpec(s, by)
	}
	return cancelled
}
