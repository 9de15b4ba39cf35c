package planner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/duty"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// Config gives the operators' configuration.
type Config interface {
	Current() *model.Config
	WaitForVersion(ctx context.Context, version int64) error
}

// Planner plans while this VM holds the lock. Its exported fields are set
// before use.
type Planner struct {
	Store  store.Store
	Config Config
	// WorkerPrefix is where the workers register, and DecodeWorker reads what
	// one says there.
	WorkerPrefix string
	DecodeWorker func(it store.Item) (model.Worker, error)
	// Dial returns the client of a worker. It asks maySend right before it sends an
	// order, also when it had to wait for a connection, and sends none when that
	// reports false.
	Dial   func(id, address string, maySend func() bool) WorkerClient
	Bounds model.Bounds
	Log    *slog.Logger
	Meter  *meter.Meter
	// Decide decides about the waiting units; nil for placement.Plan.
	Decide func(placement.Input) placement.Decision

	off guards

	mu   sync.Mutex
	term *term
}

// guards are the rules of the run protocol that tests turn off, one by one, to
// show their worth.
type guards struct {
	// lockCheck: nothing is sent while the lock may be lost.
	lockCheck bool
	// lockCondition: writes have a condition on the lock and on the records.
	lockCondition bool
	// placementFirst: a placement is kept before its start is sent.
	placementFirst bool
	// token: orders carry a token that rises with each term.
	token bool
	// leaseWait: what stood on a silent worker is free when its lease is over.
	leaseWait bool
	// endFirst: an end is kept before the worker forgets it.
	endFirst bool
}

// RunTerm plans for one term. It returns when ctx ends or when the term can't go
// on, to give the lock up.
func (p *Planner) RunTerm(ctx context.Context, l lock.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	valid := l.Valid
	if p.off.lockCheck {
		valid = func() bool { return true }
	}
	if p.Decide == nil {
		p.Decide = placement.Plan
	}
	t := newTerm(ctx, cancel, p, l.Revision, valid)
	p.Log.Info("planner term begins", "term", l.Revision)
	var err error
	if panicked := duty.Run(p.Log, p.Meter, "load", func() { err = t.load() }); panicked != nil {
		err = panicked
	}
	if err != nil {
		p.Log.Warn("planner term ends", "term", l.Revision, "reason", "the store could not be read", "error", err)
		return
	}
	p.set(t)
	defer p.set(nil)
	t.run()
	p.Log.Info("planner term ends", "term", l.Revision, "reason", t.reason())
}

// drainPoll is the time between two looks at the starts on their way.
const drainPoll = 10 * time.Millisecond

// Drain places nothing more and waits until the starts on their way are settled
// and all changes are kept, or until ctx ends: a gang that is half started when
// the lock is given up would be stopped by the next term.
func (p *Planner) Drain(ctx context.Context) {
	t, err := p.current()
	if err != nil {
		return
	}
	t.locked(func() { t.draining = true })
	for !t.settled() && ctx.Err() == nil && t.ctx.Err() == nil {
		t.poke()
		pause.For(ctx, drainPoll)
	}
	p.Log.Info("planner drained", "term", t.revision, "settled", t.settled())
}

// settled reports whether no start is on its way and all changes are kept.
func (t *term) settled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.behind) > 0 || t.writes > 0 {
		return false
	}
	for _, w := range t.workers {
		for _, m := range w.members {
			if m.starting || !m.sent {
				return false
			}
		}
	}
	return true
}

func (p *Planner) set(t *term) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = t
	active := int64(0)
	if t != nil {
		active = 1
	}
	p.Meter.Set("planner_active", active)
}

// current returns the present term.
func (p *Planner) current() (*term, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == nil || p.term.ctx.Err() != nil || !p.term.valid() {
		return nil, fault.New(fault.NotReady, "this VM is not the planner")
	}
	return p.term, nil
}

// Submit takes a job that the store holds.
func (p *Planner) Submit(ctx context.Context, _ string, record []byte) error {
	t, err := p.current()
	if err != nil {
		return err
	}
	s, err := DecodeSpec(record)
	if err != nil {
		return err
	}
	if age := time.Since(time.UnixMilli(s.AcceptedMS)); p.Bounds.StatusRetention > 0 && age > p.Bounds.StatusRetention {
		// Its sender stood still meanwhile, and the job may have ended and its
		// records be removed. The store tells of it if it is there.
		return fault.New(fault.Conflict, "job %s was accepted %v ago", s.Job.ID, age)
	}
	if err := p.Config.WaitForVersion(ctx, s.ConfigVersion); err != nil {
		p.Log.Warn("a job's configuration could not be read", "job", s.Job.ID, "version", s.ConfigVersion, "error", err)
	}
	t.locked(func() { t.takeSpec(s, "peer") })
	t.poke()
	return nil
}

// Cancel takes a cancellation that the store holds.
func (p *Planner) Cancel(_ context.Context, id string) error {
	t, err := p.current()
	if err != nil {
		return err
	}
	t.locked(func() { t.takeCancel(id, "peer") })
	t.poke()
	return nil
}

// State returns the state of a job. known is false when the term does not know
// the job; the store may.
func (p *Planner) State(_ context.Context, id string) (s model.JobState, known bool, err error) {
	t, err := p.current()
	if err != nil {
		return "", false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return "", false, nil
	}
	return j.shown(), true, nil
}

// shown returns the state that callers are told: an end only once it is kept.
func (j *job) shown() model.JobState {
	switch {
	case j.cancelled && j.state != model.Completed && j.state != model.Failed:
		return model.Cancelled
	case j.ended() && j.kept:
		return j.state
	case j.begun:
		return model.Running
	}
	return model.Queued
}

// Summary returns the figures for the entries.
func (p *Planner) Summary(context.Context) (model.PlannerSummary, error) {
	t, err := p.current()
	if err != nil {
		return model.PlannerSummary{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d := model.PlannerSummary{Pending: make(map[string]int64)}
	for _, j := range t.jobs {
		if !j.ended() && !j.begun {
			d.Pending[j.spec.Queue.Name]++
		}
	}
	d.WorkerClasses = t.rooms()
	return d, nil
}

// rooms returns the kinds of workers that the platform lists.
func (t *term) rooms() []model.WorkerClass {
	seen := make(map[model.WorkerClass]bool)
	var rooms []model.WorkerClass
	for _, w := range t.workers {
		r := model.WorkerClass{Service: w.info.Service, Capacity: w.info.Capacity}
		if w.listed && !seen[r] {
			seen[r] = true
			rooms = append(rooms, r)
		}
	}
	return rooms
}

// unixMS returns the time of day in milliseconds.
func unixMS() int64 { return time.Now().UnixMilli() }
