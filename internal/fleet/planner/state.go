package planner

import (
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/progress"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// unitKey names a unit within its job.
type unitKey struct {
	occurrence, step int
	// index is the task's; -1 for a gang.
	index int
}

// job is an accepted job as a term knows it.
type job struct {
	id   string
	spec *Spec
	// queue is that of the configuration; the last one known when the
	// configuration drops it.
	queue     model.Queue
	cancelled bool
	// state is set once the end is decided; kept says that it is in the store.
	state   model.JobState
	kept    bool
	endedMS int64
	begun   bool
	units   map[unitKey]*unit
	order   []*unit
	// made is the number of occurrences whose units exist.
	made int
	// dirty says that the record in the store is behind; the job is in
	// term.behind then.
	dirty bool
	// writing says that a write of the record is under way.
	writing bool
	// change counts the changes of the record, and keptChange those that the store
	// holds.
	change, keptChange int64
	// revision is that of the run record; 0 when there is none.
	revision int64
	accepted time.Time
	// guaranteed says that the job stands within its account's guarantee.
	guaranteed bool
	// rates has the highest rate of progress of each step's tasks, in percent a
	// second.
	rates map[int]float64
}

// ended reports whether nothing of the job may start any more.
func (j *job) ended() bool { return j.state != "" }

// unit is what starts together: a gang, or one task of a step that is no gang.
type unit struct {
	job *job
	key unitKey
	// run is the highest run that was placed.
	run      int64
	failures int
	// failedRun is the last run that was counted as a failure.
	failedRun int64
	saved     string
	done      bool
	// members are the tasks that hold room or may; none while the unit waits.
	members []*member
	// breaking says that the run has failed as a whole: what is left of it is
	// stopped before the unit waits again.
	breaking bool
	// claim names the worker of each task whose room is being cleared.
	claim   []string
	claimed time.Time
	// readyAt is when the unit could first start; zero before.
	readyAt time.Time
	placed  time.Time
	// avoid holds workers on which the unit failed, until a time.
	avoid map[string]time.Time
	// moves counts how often the unit was moved off a slow worker.
	moves int
}

func (u *unit) step() *model.Step { return &u.job.spec.Job.Steps[u.key.step] }

// tasks returns the number of tasks of the unit.
func (u *unit) tasks() int {
	if u.key.index < 0 {
		return u.step().Tasks
	}
	return 1
}

// waits reports whether the unit can be placed, given that its step's turn has
// come.
func (u *unit) waits() bool { return !u.done && len(u.members) == 0 && !u.job.ended() }

// member is one task of a unit's present run.
type member struct {
	unit  *unit
	index int
	run   int64
	token int64
	// worker and born name the life that the task was placed on.
	worker string
	born   int64
	// sent says that a start was sent by this term.
	sent bool
	// adopted members were placed by an earlier term.
	adopted bool
	// answered and voided are when a start or a stop was answered; zero before.
	answered, voided boottime.Time
	// starting says that an order to start is on its way.
	starting bool
	listed   bool
	// stopping says that the task is to stop; stopSent is when it was last told.
	stopping bool
	stopSent time.Time
	saved    string
	percent  float64
	gauge    progress.Tracker
	gone     bool
}

func (m *member) task() TaskID {
	k := m.unit.key
	return TaskID{Job: m.unit.job.id, Occurrence: k.occurrence, Step: k.step, Index: m.index}
}

// runKey names a run on a worker.
type runKey struct {
	task TaskID
	run  int64
}

// worker is one worker as a term knows it.
type worker struct {
	id     string
	info   model.Worker
	client WorkerClient
	// listed says that the platform lists the worker.
	listed bool
	// unlistedAt is when the platform stopped listing it.
	unlistedAt time.Time
	// token is the fencing token of orders to the worker.
	token int64
	// born is the life that answered last; 0 before.
	born int64
	// heard says that a hold of this term with the present token was answered
	// by this life.
	heard bool
	// failing says that the last hold was not answered, and unansweredSince is when
	// that was sent.
	failing         bool
	unansweredSince boottime.Time
	// clock was read at recv; heldUntil is the latest deadline sent, on the
	// worker's clock.
	clock     time.Duration
	recv      boottime.Time
	heldUntil time.Duration
	// roundTrip is the least time that an answer took which the worker did not keep back.
	roundTrip time.Duration
	// bornSeen is when this term saw the present life begin; zero for a life
	// that was there before.
	bornSeen boottime.Time
	// seen is the last end that was taken in, and kept the last that is in the
	// store as well; pending are those between them.
	seen, kept int64
	pending    []pendingEnd
	members    map[runKey]*member
	// inOrder are the members in a fixed order; nil when they have changed since.
	inOrder []*member
	// strangers are runs that the worker lists and this term did not place.
	strangers map[runKey]model.Shape
	// closedUntil keeps new work away from a worker that failed work.
	closedUntil time.Time
	// slowUntil keeps new work away from a worker whose tasks do not advance.
	slowUntil time.Time
	// slowTimes counts how often the worker was found slow since its tasks
	// advanced as usual.
	slowTimes int
	// failures counts ends that failed since the last one that was done, by
	// job.
	failures map[string]bool
	punished int
	// wake ends the pause before the next hold.
	wake chan struct{}
}

// add notes that a member holds room on the worker.
func (w *worker) add(m *member) {
	w.members[runKey{m.task(), m.run}] = m
	w.inOrder = nil
}

// remove notes that a member holds no room there any more.
func (w *worker) remove(m *member) {
	delete(w.members, runKey{m.task(), m.run})
	w.inOrder = nil
}

// used returns the room that is in use or may be.
func (w *worker) used() model.Shape {
	var s model.Shape
	for _, m := range w.members {
		s = s.Plus(m.unit.step().CountedShape())
	}
	for _, x := range w.strangers {
		s = s.Plus(x)
	}
	return s
}

// now returns the worker's clock as it is at least.
func (w *worker) now(at boottime.Time) time.Duration { return w.clock + at.Sub(w.recv) }

// sorted returns the members of a worker in a fixed order. The slice is not changed
// when members come and go.
func (w *worker) sorted() []*member {
	if w.inOrder != nil || len(w.members) == 0 {
		return w.inOrder
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
	w.inOrder = all
	return all
}
