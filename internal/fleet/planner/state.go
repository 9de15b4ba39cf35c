package planner

import (
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/interference"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/measure"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/progress"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// unitKey identifies a unit within its job.
type unitKey struct {
	occurrence, step int
	// index is the index of the task; -1 for a gang.
	index int
}

// job is the state of an accepted job in a term.
type job struct {
	id   string
	spec *Spec
	// memory is the result of JobMemory, less once the job is compacted.
	memory    int64
	compacted bool
	// queue is the job's queue in the newest known configuration that has it, and queueVersion
	// the version of that configuration. It is not older than the one that the job was
	// accepted under.
	queue        model.Queue
	queueVersion int64
	cancelled    bool
	// state is set to a terminal state once the job has ended; persisted reports whether
	// the store has it.
	state     model.JobState
	persisted bool
	endedMS   int64
	// begun reports whether a task of the job is known to have started, or may have started in
	// an earlier term.
	begun bool
	// adopted is the number of members that an earlier term placed and whose fate is not
	// known yet.
	adopted int
	units   map[unitKey]*unit
	// unitList are the units in the order of occurrence, step and index.
	unitList []*unit
	// createdOccurrences is the number of occurrences whose units exist.
	createdOccurrences int
	// unwritten reports whether the job has changes that are not yet part of a write; the
	// job is then in term.unwrittenJobs.
	unwritten bool
	// writeAfter is the time before which the record is not written, since the store has
	// rejected it.
	writeAfter time.Time
	// writing reports whether a write of the record is in flight.
	writing bool
	// changes counts the changes of the record, and persistedChanges those that the store
	// has.
	changes, persistedChanges int64
	// revision is the store revision of the run record; 0 if there is none.
	revision int64
	// removedAt is a store revision at which the records of the job no longer exist; 0 while
	// they are retained. The job is known until the term has read the jobs of that revision,
	// so that a record that was read before the removal is not taken for a new job.
	removedAt int64
	accepted  time.Time
	// takenAt is when this term added the job, and before the time until then by cause.
	takenAt time.Time
	before  cause.Spent
	// finishedAt is when the job reached its terminal state; logged reports whether its
	// end was logged.
	finishedAt time.Time
	logged     bool
	// lostWork is the work of lost runs by cause, in core-seconds.
	lostWork map[cause.Cause]float64
	// work is the longest measured work of a unit of each step; see lateness.go.
	work []measure.Work
	// guaranteed reports whether the job is covered by its account's guarantee.
	guaranteed bool
	// bestRates is the highest rate of progress of the tasks of each step, in percent per
	// second.
	bestRates map[int]float64
	// kinds caches the kind of the tasks of each step.
	kinds []string
	// times has the known run times of the steps.
	times map[stepKey]stepTimes
}

// ended reports whether the job is in a terminal state, so that none of its units may
// start.
func (j *job) ended() bool { return j.state != "" }

// hasBegun reports whether a task of the job has started, as far as that is known. What an
// earlier term placed counts until the worker shows otherwise. A start without a response does not
// count: the next report of its worker lists what it started.
func (j *job) hasBegun() bool { return j.begun || j.adopted > 0 }

// unit is a schedulable unit: a gang, or one task of a step that is no gang.
type unit struct {
	job *job
	key unitKey
	// run is the number of the last run that was placed.
	run      int64
	failures int
	// failedRun is the number of the last run that was counted as a failure.
	failedRun  int64
	checkpoint string
	done       bool
	// members are the tasks that occupy resources or may do so; empty while the unit
	// waits.
	members []*member
	// aborting reports whether the run has failed as a whole: the remaining members are
	// stopped before the unit waits again.
	aborting bool
	// nominated is the worker of each task, if resources are being cleared there for this
	// unit.
	nominated   []string
	nominatedAt time.Time
	// readyAt is when the unit could first start; zero before that.
	readyAt time.Time
	// waitingSince is when the unit began to wait for its next run.
	waitingSince time.Time
	// stalledSince is the waitingSince for which it was logged that the unit waits beside
	// free capacity.
	stalledSince time.Time
	placedAt     time.Time
	// ledger accounts for the time from readyAt until doneAt.
	ledger cause.Ledger
	doneAt time.Time
	// spentBefore is the time by cause until the ledger began, if an earlier term recorded it for
	// this unit; otherwise nil.
	spentBefore *cause.Spent
	// startedAt is when the last member of the run has started; 0 if it is not known.
	// savedWork is the work that the run resumed from, and failedWork that of the runs that
	// failed by the job's own fault.
	startedAt             boottime.Time
	savedWork, failedWork time.Duration
	// avoidUntil is the time until which the unit avoids a worker on which it failed.
	avoidUntil map[string]time.Time
	// stops counts how often the unit was stopped for an urgent one.
	stops int
	// moves counts how often the unit was moved off a slow worker.
	moves int
	// losses are the losses of the unit's tasks. suspect reports whether one of the tasks is
	// suspected of crashing its workers, and hasLastStarts whether its next starts may be the
	// last.
	losses                 []LossRecord
	suspect, hasLastStarts bool
	// unstarted is the number of the last starts that do not count, since they began nothing or
	// ended in a crash with a common cause. reportedRun is a run of them that ended without a
	// crash; 0 for none.
	unstarted, reportedRun int64
	// isolated reports whether the current run has its workers to itself; isolateUntil is
	// the time until which the unit waits for such workers, zero before it first waits.
	isolated     bool
	isolateUntil time.Time
	// startDelay is how much later than it could the unit starts next, so that it starts apart
	// from others, and startAfter the time before which it does not start then.
	startDelay time.Duration
	startAfter boottime.Time
	// commonCause says why the last loss that was dropped has a common cause with another.
	commonCause commonCause
	// shareAfter is the time from which the unit may start beside isolated units, zero before
	// it first waits for other workers.
	shareAfter time.Time
}

func (u *unit) step() *model.Step { return &u.job.spec.Job.Steps[u.key.step] }

// tasks returns the number of tasks of the unit.
func (u *unit) tasks() int {
	if u.key.index < 0 {
		return u.step().Tasks
	}
	return 1
}

// isWaiting reports whether the unit waits to be placed, provided that the steps on which
// its step depends are done.
func (u *unit) isWaiting() bool { return !u.done && len(u.members) == 0 && !u.job.ended() }

// member is one task of a unit's current run.
type member struct {
	unit  *unit
	index int
	run   int64
	token int64
	// worker and incarnation identify the worker process on which the task was placed.
	worker      string
	incarnation int64
	// address is the worker's address at the placement.
	address string
	// shared reports whether another unit was on the worker at any time of the run.
	shared bool
	// startSent reports whether a start was sent, by this term or an earlier one, or was
	// abandoned without being sent.
	startSent bool
	// adopted reports whether the member was placed by an earlier term.
	adopted bool
	// startAckedAt and stopAckedAt are when the worker acknowledged a start or a stop;
	// zero before that.
	startAckedAt, stopAckedAt boottime.Time
	// startInFlight reports whether a start is being sent.
	startInFlight bool
	// reported reports whether the worker has listed the run as running.
	reported bool
	// stopping reports whether the task must stop; stopSentAt is when a stop was last
	// sent.
	stopping   bool
	stopSentAt time.Time
	checkpoint string
	percent    float64
	tracker    progress.Tracker
	readings   measure.Run
	// load is the load that the worker last reported; 0 if it is not known. slowDown finds
	// what slows the run.
	load     float64
	slowDown interference.Run
	pace     pace
	removed  bool
}

func (m *member) task() TaskID {
	k := m.unit.key
	return TaskID{Job: m.unit.job.id, Occurrence: k.occurrence, Step: k.step, Index: m.index}
}

// runKey identifies a run of a task.
type runKey struct {
	task TaskID
	run  int64
}

// worker is the state of a worker in a term.
type worker struct {
	id   string
	info model.Worker
	// changedAfter is when the reading was sent before the one that first showed the
	// registration; zero if there was none.
	changedAfter boottime.Time
	// coldUntil is until when the worker is slow after its start, as it registered.
	coldUntil boottime.Time
	client    WorkerClient
	// listed reports whether the platform lists the worker.
	listed bool
	// unlistedAt is when the platform stopped listing it.
	unlistedAt time.Time
	// token is the fencing token of orders to the worker.
	token int64
	// incarnation is the worker's incarnation that responded last; 0 before the first
	// response.
	incarnation int64
	// responded reports whether this incarnation has responded to a renewal of this term
	// with the current token.
	responded bool
	// unresponsive reports whether the last renewal got no response; lastUnansweredAt is
	// when that renewal was sent.
	unresponsive     bool
	lastUnansweredAt boottime.Time
	// clock is the worker's clock as it was reported at respondedAt. leaseUntil is the
	// latest deadline that was sent, on the worker's clock.
	clock       time.Duration
	respondedAt boottime.Time
	leaseUntil  time.Duration
	// roundTrip is the shortest time of a call that the worker answered without delay.
	roundTrip time.Duration
	// restartedAt is when this term detected the start of the current incarnation; zero
	// if the worker has not restarted in this term.
	restartedAt boottime.Time
	// lastResult is the number of the last run result that was applied, and
	// lastPersistedResult that of the last one that is also in the store. pendingResults
	// are those in between.
	lastResult, lastPersistedResult int64
	pendingResults                  []pendingResult
	// listedResults is the number of run results in the last report.
	listedResults int
	members       map[runKey]*member
	// sortedMembers caches the result of sorted; nil after a change of members.
	sortedMembers []*member
	// unknownRuns are the runs that the worker lists and that are not placed on it in
	// this term, with the resources that they occupy; none if the job is not known, so that
	// the run may occupy all that the worker has.
	unknownRuns map[runKey]model.Shape
	// closedUntil is the time until which the worker gets no new units because units
	// failed on it or it refused a start.
	closedUntil time.Time
	// slowUntil is the time until which the worker gets no new units because its tasks do
	// not progress.
	slowUntil time.Time
	// slowCount counts how often the worker was found slow since its tasks last
	// progressed normally.
	slowCount int
	// failedJobs is the set of jobs that failed on the worker since the last run that was
	// done.
	failedJobs map[string]bool
	// closeCount counts how often the worker was closed since the last run that was done.
	closeCount int
	// speed is the factor of the current incarnation; 0 if it is not known. speedLogged
	// reports whether it was logged.
	speed       float64
	speedLogged bool
	// wake interrupts the pause before the next renewal.
	wake chan struct{}
}

// add records that a member occupies resources on the worker.
func (w *worker) add(m *member) {
	m.shared = len(w.unknownRuns) > 0
	for _, o := range w.members {
		if o.unit != m.unit {
			m.shared, o.shared = true, true
		}
	}
	w.members[runKey{m.task(), m.run}] = m
	w.sortedMembers = nil
}

// remove records that a member no longer occupies resources on the worker.
func (w *worker) remove(m *member) {
	delete(w.members, runKey{m.task(), m.run})
	w.sortedMembers = nil
}

// occupied returns the resources that runs occupy or may occupy.
func (w *worker) occupied() model.Shape {
	var s model.Shape
	for _, m := range w.members {
		s = s.Plus(m.unit.step().CountedShape())
	}
	for _, x := range w.unknownRuns {
		if x == (model.Shape{}) {
			x = w.info.Capacity
		}
		s = s.Plus(x)
	}
	return s
}

// clockAt returns the earliest reading that the worker's clock can have at a time.
func (w *worker) clockAt(at boottime.Time) time.Duration { return w.clock + at.Sub(w.respondedAt) }

// sorted returns the members of a worker, sorted by task. The returned slice is not
// modified when members are added or removed.
func (w *worker) sorted() []*member {
	if w.sortedMembers != nil || len(w.members) == 0 {
		return w.sortedMembers
	}
	all := make([]*member, 0, len(w.members))
	for _, m := range w.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].task(), all[j].task()
		switch {
		case a.Job != b.Job:
			return a.Job < b.Job
		case a.Occurrence != b.Occurrence:
			return a.Occurrence < b.Occurrence
		case a.Step != b.Step:
			return a.Step < b.Step
		}
		return a.Index < b.Index
	})
	w.sortedMembers = all
	return all
}
