package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/duty"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// planInterval is the longest interval between two scheduling passes.
	planInterval = 100 * time.Millisecond
	// tokenShift is the number of low bits of a token that count its increments for one
	// worker; the lock's revision is in the bits above.
	tokenShift = 16
)

// term is the period of one ownership of the planner lock. mu guards all fields below it.
type term struct {
	p        *Planner
	ctx      context.Context
	cancel   context.CancelFunc
	revision int64
	// valid reports whether this VM certainly owns the lock.
	valid     func() bool
	startedAt boottime.Time
	// beganAt is startedAt on the clock of the ledgers.
	beganAt time.Time
	// wake requests a scheduling pass.
	wake  chan struct{}
	loops sync.WaitGroup
	// firstRenewals and retryRenewals bound the concurrent renewals of workers that have
	// not responded yet, and of workers whose last renewal got no response.
	firstRenewals, retryRenewals semaphore

	mu   sync.Mutex
	jobs map[string]*job
	// live are the jobs that have not ended.
	live    map[string]*job
	workers map[string]*worker
	// listed are the workers that the platform lists, sorted by rack.
	listed    []*worker
	endReason string
	// unwrittenJobs are the jobs whose records must be written, in the order of their
	// changes.
	unwrittenJobs []*job
	// configVersion is the version of the configuration that the queues of the live jobs
	// are from.
	configVersion int64
	// draining reports whether the term has stopped placing units.
	draining bool
	// writesInFlight is the number of writes in flight, and largeWrites that of the ones with
	// a large record, which are largeBytes together.
	writesInFlight, largeWrites, largeBytes int
	// unacked are the workers that have reported run results which are not persisted yet.
	unacked map[*worker]bool
	// lossy are the units with losses that are not done.
	lossy map[*unit]bool
	// crashes are the last crashes of workers under units.
	crashes []crash
	// recentLosses are the losses of the last moments.
	recentLosses []recentLoss
	// explainedAt is when the long-waiting units were last logged.
	explainedAt time.Time
	// causesAt is when the causes of waiting units were last determined again, and
	// causesTurn counts the steps for which that was done.
	causesAt   time.Time
	causesTurn int
	// listReadings are the readings of the list of workers that are in progress.
	listReadings []*listReading
	// sizes are the largest capacities of workers.
	sizes sizes
	// listedAt is when the last successful reading of the registrations was sent, and
	// listableSince the first of those that followed each other without a gap.
	listedAt, listableSince boottime.Time
	// suspended reports whether the last scheduling pass found that the lock may be lost.
	suspended bool
	// writeAfter is the time before which no write begins, set after a failed write.
	writeAfter time.Time
	// jobsRevision is the store revision up to which changes of jobs have been read.
	jobsRevision int64
	// removed are the jobs whose records are removed and that are still known.
	removed []*job
	// room decides how much room is kept for urgent units.
	room urgentRoom
	// interference is what was learnt about kinds of tasks that slow each other.
	interference interferenceState
	// recentLoad is the load since it was last logged.
	recentLoad loadStats
	// evacuations are the evacuations of data centres.
	evacuations evacuations
	// speeds and kinds, by queue, are what is learnt of workers and of callers' estimates.
	speeds speeds
	kinds  map[string]*kind
}

func newTerm(ctx context.Context, cancel context.CancelFunc, p *Planner, revision int64, valid func() bool) *term {
	return &term{
		p: p, ctx: ctx, cancel: cancel, revision: revision, valid: valid, startedAt: boottime.Now(), beganAt: time.Now(),
		wake: make(chan struct{}, 1), jobs: make(map[string]*job), live: make(map[string]*job), workers: make(map[string]*worker),
		unacked: make(map[*worker]bool), lossy: make(map[*unit]bool), firstRenewals: make(semaphore, maxLimitedRenewals), retryRenewals: make(semaphore, maxLimitedRenewals),
	}
}

// fail ends the term and records the first reason.
func (t *term) fail(reason string) {
	if t.endReason == "" {
		t.endReason = reason
	}
	t.cancel()
}

func (t *term) reason() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endReason == "" {
		return "the lock was lost or given up"
	}
	return t.endReason
}

// notify requests a scheduling pass.
func (t *term) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// loadRecords reads the jobs and the run records from the store and attaches the placed
// tasks to their workers.
func (t *term) loadRecords() error {
	specs, revision, runs, sizes, err := t.readRecords()
	t.p.Log.Info("job and run records read", "term", t.revision, "jobs", len(specs), "runs", len(runs), "took_ms", boottime.Since(t.startedAt).Milliseconds())
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, it := range sizes {
		t.restoreSizes(it)
	}
	t.jobsRevision = revision
	// A cancellation does not change a job whose terminal state is already persisted, so
	// the run records are applied before the cancellations.
	cancelled := t.applySpecs(specs, sourceLoad)
	for _, it := range runs {
		t.restoreRun(it)
	}
	for _, id := range cancelled {
		t.applyCancel(id, sourceLoad)
	}
	// The platform may no longer list a worker on which tasks are placed.
	for _, j := range t.jobs {
		t.attachMembers(j)
	}
	return nil
}

// restoreRun restores a job's state from the run record that earlier terms wrote.
func (t *term) restoreRun(it store.Item) {
	id := it.Key[len(store.RunPrefix):]
	j := t.jobs[id]
	if j == nil {
		return
	}
	r, err := DecodeRunRecord(it.Value)
	if err != nil {
		t.p.Meter.Inc("record_decode_error")
		t.p.Log.Error("run record could not be decoded; the job is left alone", "job", id, "error", err)
		delete(t.live, id)
		return
	}
	j.revision, j.begun = it.Revision, r.Begun
	if r.State != "" {
		// The term in which the job ended has logged its end.
		j.state, j.persisted, j.endedMS, j.logged = r.State, true, r.EndedMS, true
		delete(t.live, id)
	}
	for _, x := range r.Units {
		t.restoreUnit(j, x)
	}
	j.restoreHistory(r)
	if j.isFinal() {
		j.compact()
	}
}

func (t *term) restoreUnit(j *job, rec UnitRecord) {
	k := unitKey{rec.Occurrence, rec.Step, rec.Index}
	if rec.Step >= len(j.spec.Job.Steps) || rec.Occurrence >= max(j.spec.Job.Occurrences, 1) {
		return
	}
	j.createUnits(rec.Occurrence + 1)
	u := j.units[k]
	if u == nil {
		return
	}
	u.stops = max(rec.Stops, 0)
	u.run, u.failures, u.failedRun, u.checkpoint, u.done = rec.Run, rec.Failures, rec.FailedRun, rec.Checkpoint, rec.Done
	for _, place := range rec.Placements {
		u.members = append(u.members, &member{
			unit: u, index: place.Index, run: rec.Run, token: place.Token, worker: place.Worker, incarnation: place.Incarnation,
			address: place.Address, adopted: true, startSent: true,
		})
	}
	j.adopted += len(u.members)
	if !u.done {
		for i := range rec.Losses {
			rec.Losses[i].seenAt = t.startedAt
		}
		u.isolated = rec.Isolated
		u.unstarted, u.reportedRun = rec.Unstarted, rec.ReportedRun
		t.setLosses(u, rec.Losses)
	}
	u.placedAt = time.Now()
	if len(u.members) > 0 {
		u.ledger.Begin(cause.Run, j.takenAt)
		u.ledger.BeginRun(j.takenAt)
		u.ledger.Switch(cause.Run, j.takenAt)
		u.readyAt = t.beganAt
	}
}

// attachMembers adds the members of a job to their workers.
func (t *term) attachMembers(j *job) {
	for _, u := range j.unitList {
		for _, m := range u.members {
			t.workerOf(m.worker).add(m)
		}
	}
}

// workerOf returns the worker with an id, and creates it if necessary. A worker that the
// platform has never listed has no client.
func (t *term) workerOf(id string) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{
			id: id, token: t.firstToken(), members: make(map[runKey]*member),
			unknownRuns: make(map[runKey]model.Shape), failedJobs: make(map[string]bool), wake: make(chan struct{}, 1),
			unlistedAt: time.Now(),
		}
		t.workers[id] = w
	}
	return w
}

// firstToken returns the token of the term's first orders to a worker.
func (t *term) firstToken() int64 {
	if t.p.disabled.tokenPerTerm {
		return 1
	}
	return t.revision << tokenShift
}

// locked runs f while holding t.mu and unlocks it even if f panics.
func (t *term) locked(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// lock locks t.mu, or returns an error of kind NotReady if ctx ends first: a scheduling
// pass may hold it for longer than a caller waits.
func (t *term) lock(ctx context.Context) error {
	if t.mu.TryLock() {
		return nil
	}
	locked := make(chan struct{})
	go func() {
		t.mu.Lock()
		select {
		case locked <- struct{}{}:
		case <-ctx.Done():
			t.mu.Unlock()
		}
	}()
	select {
	case <-locked:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.NotReady, ctx.Err(), "the planner is busy")
	}
}

// goTask runs f as a background task in a goroutine of the term.
func (t *term) goTask(name string, f func()) {
	t.loops.Go(func() { t.runTask(name, f) })
}

// runTask runs f as a background task. A panic ends the term, and the next term rebuilds
// its state from the store and the workers.
func (t *term) runTask(name string, f func()) {
	if err := duty.Run(t.p.Log, t.p.Meter, name, f); err != nil {
		t.locked(func() { t.fail(err.Error()) })
	}
}

// run plans until the term ends.
func (t *term) run() {
	defer t.loops.Wait()
	defer t.cancel()
	t.goTask("follow workers", t.pollWorkers)
	t.goTask("follow jobs", t.watchJobs)
	t.goTask("follow evacuations", t.followEvacuations)
	t.goTask("follow load", t.logLoadPeriodically)
	t.goTask("remove records", t.removeExpiredPeriodically)
	t.goTask("remove withdrawals", t.removeWithdrawalsPeriodically)
	t.runTask("plan", t.planLoop)
}

// planLoop runs scheduling passes until the term ends.
func (t *term) planLoop() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for t.ctx.Err() == nil {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wake:
		case <-ticker.C:
		}
		start := time.Now()
		t.schedule()
		took := time.Since(start)
		t.p.Meter.Time("look_time", took)
		t.locked(func() { t.recentLoad.addPass(took) })
		// Handling responses also needs the CPU and the term's lock.
		pause.For(t.ctx, max(took, minPassPause))
	}
}

// minPassPause is the shortest pause between two scheduling passes, so that responses
// that arrive together are handled in one pass.
const minPassPause = 3 * time.Millisecond

// schedule runs one scheduling pass and starts to write the changes. It does not wait for
// the writes: with a slow store, changes arrive as fast as they are written, and waiting
// units would be delayed until the last of them.
func (t *term) schedule() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.valid() {
		t.recordSuspended(now)
		return
	}
	if t.suspended {
		t.suspended = false
		t.relistWorkers()
		t.readEvacuations()
	}
	t.expireLeases()
	t.createDueUnits(now)
	if !t.draining {
		t.plan(now)
	}
	t.flush()
}
