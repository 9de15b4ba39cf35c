package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// Sizes of the channels between the duties.
const (
	operationRing = 256
	reportRing    = 256
	// maxOperations bounds the operations that are in flight at once.
	maxOperations = 256
	// maxDecisions bounds the decisions that are kept of each job.
	maxDecisions = 20
)

// term is the time during which this VM plans under one epoch. It owns the
// state; a new term starts with a state of its own, so that what is left over
// of an earlier one can change nothing.
type term struct {
	p      *Planner
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup

	// operations leads from the duties that decide to the one that executes.
	operations chan operation
	// reports leads from the renewal of leases to the settling.
	reports chan report
	// wake tells the planning duty that something has changed.
	wake chan struct{}
	// unsaved tells the record duty that a record has changed.
	unsaved chan struct{}
	// reload tells the reloading duty to read the kept records now.
	reload chan struct{}

	// mu guards all below. It is never held during a call.
	mu      sync.Mutex
	state   gang.State
	jobs    map[string]*entry
	members map[string]*member
	// configured is the time of the last look at the configuration, of which
	// configVersion is in force.
	configured    time.Time
	configVersion uint64
	// loaded says that the kept records have been read in this term.
	loaded bool
}

// phase says what the planner is doing with a job.
type phase int

const (
	// waiting jobs are queued in the state or, unplaced, wait for capacity.
	waiting phase = iota
	// starting jobs have a start operation in flight.
	starting
	// running jobs have been started at all their workers.
	running
	// stopping jobs have a stop or pre-empt operation in flight.
	stopping
	// ended jobs are in a final state.
	ended
)

// entry is one job.
type entry struct {
	rec   job.Record
	phase phase
	// placed says that the state knows the job.
	placed bool
	// parts are the last reports of the current attempt by worker.
	parts map[string]worker.PartStatus
	// confirmed is the time from which a report must show all parts.
	confirmed time.Time
	// checkpointed is the time of the last common checkpoint order.
	checkpointed time.Time
	// abort ends the operation in flight; nil when there is none.
	abort context.CancelFunc
	// begun says that a start of the current attempt may have taken effect.
	begun bool
	// preemption is the reason of a pre-emption that was ordered during the
	// start; empty for none.
	preemption string
	// ticket is the claim of a non-idempotent job.
	ticket *claim.Ticket
	// failures counts the attempts in a row that did not get to run.
	failures int
	// failedStarts counts those of them that failed at a worker's start.
	failedStarts int
	// claimRefused is the time since which another planner holds the claim.
	claimRefused time.Time
	// failedOn are the sound workers on which the job failed.
	failedOn map[string]bool
	history  []job.Decision
	// dirty says that the record has changed since it was last kept.
	dirty bool
	// spent are ended parts that the workers may forget once the record is kept.
	spent []spentPart
}

type spentPart struct {
	worker string
	part   worker.Part
}

// part names the current attempt.
func (e *entry) part() worker.Part { return worker.Part{JobID: e.rec.ID, Attempt: e.rec.Attempt} }

func newTerm(ctx context.Context, p *Planner) *term {
	ctx, cancel := context.WithCancel(ctx)
	return &term{
		p: p, ctx: ctx, cancel: cancel,
		operations: make(chan operation, operationRing),
		reports:    make(chan report, reportRing),
		wake:       make(chan struct{}, 1),
		unsaved:    make(chan struct{}, 1),
		reload:     make(chan struct{}, 1),
		jobs:       make(map[string]*entry),
		members:    make(map[string]*member),
	}
}

// run starts the duties; loaded says that the kept records have been read.
func (t *term) run(loaded bool) {
	t.loaded = loaded
	for _, duty := range []func(){t.planning, t.execution, t.renewal, t.settling, t.recordKeeping, t.checkpoints, t.reloading} {
		t.duties.Go(duty)
	}
}

// end ends the term and waits for its duties. Claims of attempts that never
// began are given back.
func (t *term) end() {
	t.cancel()
	t.duties.Wait()
	t.mu.Lock()
	var unused []*claim.Ticket
	for _, e := range t.jobs {
		if e.ticket != nil && !e.begun {
			unused = append(unused, e.ticket)
			e.ticket = nil
		}
	}
	t.mu.Unlock()
	if len(unused) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	for _, ticket := range unused {
		t.p.Claims.Abandon(ctx, ticket)
	}
}

// fenced ends the term because a worker has seen a higher epoch.
func (t *term) fenced() {
	t.p.Meter.Inc("planner_epoch_refused")
	t.cancel()
}

func (t *term) hasLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// unknownJob returns the error for a job that is not known. It may exist while
// the kept records have not been read.
func unknownJob(id string, loaded bool) error {
	if loaded {
		return fault.WithField(fault.NotFound, "job_id", "%q is not known", id)
	}
	return fault.New(fault.NotReady, "job %q is not known until the records can be read", id)
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// note keeps a decision about a job. t.mu is held.
func (t *term) note(e *entry, reason string) {
	e.rec.Reason = reason
	if n := len(e.history); n > 0 && e.history[n-1].Reason == reason {
		return
	}
	e.history = append(e.history, job.Decision{UnixMS: time.Now().UnixMilli(), Reason: reason})
	if len(e.history) > maxDecisions {
		e.history = e.history[1:]
	}
}

// changed marks a record as changed. t.mu is held.
func (t *term) changed(e *entry) {
	e.rec.Sequence++
	e.dirty = true
	notify(t.unsaved)
}

// submit takes a job that is kept.
func (t *term) submit(r job.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.jobs[r.ID]; ok {
		return
	}
	e := &entry{rec: r}
	t.jobs[r.ID] = e
	t.p.Meter.Inc("job_submitted")
	t.note(e, "waits for its turn")
	t.place(e)
}

// place queues a waiting job. A job that fits only when more workers are back
// stays unplaced and is tried again with every plan. t.mu is held.
func (t *term) place(e *entry) {
	if e.placed {
		return
	}
	if err := t.state.Submit(e.rec.Gang()); err != nil {
		t.note(e, "waits for capacity: "+err.Error())
		return
	}
	e.placed = true
	notify(t.wake)
}

func (t *term) records(id string) []job.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != "" {
		e, ok := t.jobs[id]
		if !ok {
			return nil
		}
		return []job.Record{e.rec}
	}
	all := make([]job.Record, 0, len(t.jobs))
	for _, e := range t.jobs {
		all = append(all, e.rec)
	}
	return all
}

func (t *term) explain(id string) (gang.Explanation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.state.Explain(id); ok {
		return x, true
	}
	e, ok := t.jobs[id]
	if !ok {
		return gang.Explanation{}, false
	}
	return gang.Explanation{JobID: id, State: string(e.rec.State), Reason: e.rec.Reason}, true
}

func (t *term) decisions(id string) []job.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.jobs[id]
	if !ok {
		return nil
	}
	return append([]job.Decision(nil), e.history...)
}

// cancelJob cancels a job at any stage.
func (t *term) cancelJob(ctx context.Context, id string) error {
	t.mu.Lock()
	e, ok := t.jobs[id]
	if !ok {
		loaded := t.loaded
		t.mu.Unlock()
		return unknownJob(id, loaded)
	}
	if e.phase == ended {
		t.mu.Unlock()
		return nil
	}
	if !e.rec.CancelRequested {
		t.p.Meter.Inc("job_cancel_requested")
		e.rec.CancelRequested = true
		t.note(e, "cancelled by the caller")
		t.changed(e)
	}
	rec := e.rec
	stop := t.cancelNow(e)
	t.mu.Unlock()
	if stop {
		t.order(operation{kind: stopGang, entry: e, outcome: job.Cancelled, reason: "cancelled by the caller"})
	}
	if err := t.p.Records.Save(ctx, rec); err != nil {
		return fault.Wrap(fault.ClaimUnresolved, err, "job %s is being cancelled, but that is not kept yet", id)
	}
	return nil
}

// cancelNow begins the cancellation and reports whether a stop must be ordered.
// t.mu is held.
func (t *term) cancelNow(e *entry) (stop bool) {
	switch e.phase {
	case waiting:
		t.finish(e, job.Cancelled, "cancelled by the caller")
	case running:
		e.phase = stopping
		t.release(e)
		return true
	case starting, stopping:
		if e.abort != nil {
			e.abort()
		}
	case ended:
	}
	return false
}

// finish ends a job. t.mu is held.
func (t *term) finish(e *entry, s job.State, reason string) {
	t.state.Ended(e.rec.ID, time.Now())
	t.drop(e)
	t.spend(e)
	e.phase = ended
	e.rec.State = s
	e.rec.EndedUnixMS = time.Now().UnixMilli()
	t.note(e, reason)
	t.changed(e)
	t.p.Meter.Inc("job_" + string(s))
	notify(t.wake)
}

// lease lets the current attempt's leases be renewed. A lease may have been
// prolonged up to now. t.mu is held.
func (t *term) lease(e *entry) {
	for id := range partsOf(e.rec.Slots) {
		m, ok := t.members[id]
		if !ok {
			continue
		}
		if m.leases[e.part()] == nil {
			m.leases[e.part()] = &lease{entry: e}
		}
		m.leases[e.part()].touched = time.Now()
	}
}

// release stops the renewal of the current attempt's leases. t.mu is held.
func (t *term) release(e *entry) {
	for id := range partsOf(e.rec.Slots) {
		if m, ok := t.members[id]; ok && m.leases[e.part()] != nil {
			m.leases[e.part()].released = true
		}
	}
}

// drop forgets the current attempt's leases. t.mu is held.
func (t *term) drop(e *entry) {
	for id := range partsOf(e.rec.Slots) {
		if m, ok := t.members[id]; ok {
			delete(m.leases, e.part())
		}
	}
}

// spend lets the workers forget the current attempt once the record is kept.
// t.mu is held.
func (t *term) spend(e *entry) {
	if e.rec.Attempt == "" {
		return
	}
	for id := range partsOf(e.rec.Slots) {
		e.spent = append(e.spent, spentPart{worker: id, part: e.part()})
	}
}

// partSlots are the slots of a gang at one worker.
type partSlots struct {
	tasks        []int
	accelerators []int
}

func partsOf(slots []gang.Slot) map[string]partSlots {
	m := make(map[string]partSlots)
	for _, sl := range slots {
		g := m[sl.Worker]
		g.tasks = append(g.tasks, sl.Task)
		g.accelerators = append(g.accelerators, sl.Accelerators...)
		m[sl.Worker] = g
	}
	return m
}
