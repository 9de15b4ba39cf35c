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
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// Config provides the operators' configuration.
type Config interface {
	Current() *model.Config
	WaitForVersion(ctx context.Context, version int64) error
}

// Planner places jobs while this VM owns the planner lock. The exported fields must be
// set before use.
type Planner struct {
	Store  store.Store
	Config Config
	// WorkerPrefix is the prefix of the keys under which the workers register.
	// DecodeWorker decodes such an entry.
	WorkerPrefix string
	DecodeWorker func(it store.Item) (model.Worker, error)
	// EvacuationPrefix is the prefix of the keys that evacuate data centres.
	// DecodeEvacuation decodes such a key. With an error it returns the evacuation if the
	// key names a data centre.
	EvacuationPrefix string
	DecodeEvacuation func(it store.Item) (model.Evacuation, error)
	// Dial returns a client for a worker. The client calls maySend immediately before it
	// sends an order, also after waiting for a connection, and sends nothing if it
	// returns false.
	Dial   func(id, address string, maySend func() bool) WorkerClient
	Bounds model.Bounds
	// MaxJobMemory bounds the memory in bytes of the accepted jobs; 0 for no bound. The VMs
	// that accept jobs read it from the summary.
	MaxJobMemory int64
	Log          *slog.Logger
	Meter        *meter.Meter
	// Disabled are the mechanisms that are switched off for an experiment.
	Disabled policy.Disabled
	// Decide selects the placements of the waiting units; the default is placement.Plan.
	Decide func(placement.Input) placement.Decision

	disabled guards

	mu   sync.Mutex
	term *term
	// loading reports whether this VM owns the lock and reads the records of its term.
	loading bool
	// accountQueues are the queues that have histograms of their own.
	accountQueues map[string]bool
}

// guards disables rules of the run protocol, one by one, so that tests can show that each
// of them is needed.
type guards struct {
	// lockCheck: nothing is sent to workers while the lock may be lost.
	lockCheck bool
	// lockCondition: writes are conditional on the lock and on the previous revision of
	// each record.
	lockCondition bool
	// persistPlacementFirst: a placement is persisted before its start is sent.
	persistPlacementFirst bool
	// tokenPerTerm: orders carry a fencing token that increases with each term.
	tokenPerTerm bool
	// waitForLeaseExpiry: the resources of runs on an unresponsive worker are released
	// only when its lease has expired.
	waitForLeaseExpiry bool
	// persistResultFirst: a run result is persisted before it is acknowledged to the
	// worker.
	persistResultFirst bool
	// restartCheck: a start is sent only to the incarnation of the worker on which it was
	// placed.
	restartCheck bool
	// awaitAllResults: a run that is not listed counts as lost only if the worker has listed
	// all its results.
	awaitAllResults bool
	// evacuationCheck: a start is sent, and takes effect, only while it is certain that its
	// data centre was not evacuated long before.
	evacuationCheck bool
}

// RunTerm plans for one term. It returns when ctx is cancelled or when the term cannot
// continue; the caller then releases the lock.
func (p *Planner) RunTerm(ctx context.Context, l lock.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	valid := l.Valid
	if p.disabled.lockCheck {
		valid = func() bool { return true }
	}
	if p.Decide == nil {
		p.Decide = placement.Plan
	}
	t := newTerm(ctx, cancel, p, l.Revision, valid)
	p.Log.Info("planner term begins", "term", l.Revision)
	if err := p.load(t); err != nil {
		p.Log.Warn("planner term ends", "term", l.Revision, "reason", "the store could not be read", "error", err)
		cancel()
		// Readings may still wait for a response that is not needed any more.
		t.loops.Wait()
		return
	}
	p.setTerm(t)
	defer p.setTerm(nil)
	t.run()
	p.Log.Info("planner term ends", "term", l.Revision, "reason", t.reason())
}

// load reads the records of a term.
func (p *Planner) load(t *term) (err error) {
	p.setLoading(true)
	defer p.setLoading(false)
	if panicked := duty.Run(p.Log, p.Meter, "load", func() { err = t.loadRecords() }); panicked != nil {
		return panicked
	}
	return err
}

// drainPollInterval is the interval at which Drain checks whether the starts in flight
// have finished.
const drainPollInterval = 10 * time.Millisecond

// Drain stops placing units and waits until no start is in flight and all changes are
// persisted, or until ctx is cancelled. The next term would stop a gang that is only
// partly started when the lock is released.
func (p *Planner) Drain(ctx context.Context) {
	t, err := p.currentTerm()
	if err != nil {
		return
	}
	t.locked(func() { t.draining = true })
	for !t.drained() && ctx.Err() == nil && t.ctx.Err() == nil {
		t.notify()
		pause.For(ctx, drainPollInterval)
	}
	p.Log.Info("planner drained", "term", t.revision, "settled", t.drained())
}

// drained reports whether no start is in flight and all changes are persisted.
func (t *term) drained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unwrittenJobs) > 0 || t.writesInFlight > 0 {
		return false
	}
	for _, w := range t.workers {
		for _, m := range w.members {
			if m.startInFlight || !m.startSent {
				return false
			}
		}
	}
	return true
}

func (p *Planner) setTerm(t *term) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = t
	active := int64(0)
	if t != nil {
		active = 1
	}
	p.Meter.Set("planner_active", active)
}

func (p *Planner) setLoading(loading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading = loading
}

// currentTerm returns the current term, or a NotReady error if this VM can't answer for the
// planner.
func (p *Planner) currentTerm() (*term, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.loading:
		return nil, fault.New(fault.NotReady, "this VM is to be the planner and still reads the records")
	case p.term == nil || p.term.ctx.Err() != nil:
		return nil, fault.New(fault.NotReady, "this VM is not the planner")
	case !p.term.valid():
		return nil, fault.New(fault.NotReady, "this VM is the planner, but can't renew its lock")
	}
	return p.term, nil
}

// Submit adds a job that is already persisted in the store.
func (p *Planner) Submit(ctx context.Context, _ string, record []byte) error {
	t, err := p.currentTerm()
	if err != nil {
		return err
	}
	spec, err := DecodeSpec(record)
	if err != nil {
		return err
	}
	if age := time.Since(time.UnixMilli(spec.AcceptedMS)); p.Bounds.StatusRetention > 0 && age > p.Bounds.StatusRetention {
		// The sender was suspended for so long that the job may have ended and its
		// records may have been removed. If the job is still in the store, the watch
		// reports it.
		return fault.New(fault.Conflict, "job %s was accepted %v ago, which is longer than job states are retained", spec.Job.ID, age)
	}
	if err := p.Config.WaitForVersion(ctx, spec.ConfigVersion); err != nil {
		p.Log.Warn("configuration of a job could not be read", "job", spec.Job.ID, "version", spec.ConfigVersion, "error", err)
	}
	t.locked(func() { t.applySpec(spec, "peer") })
	t.notify()
	return nil
}

// Cancel applies a cancellation that is already persisted in the store.
func (p *Planner) Cancel(_ context.Context, id string) error {
	t, err := p.currentTerm()
	if err != nil {
		return err
	}
	t.locked(func() { t.applyCancel(id, "peer") })
	t.notify()
	return nil
}

// State returns the state of a job. known is false if the term has no record of the job;
// the store may have one.
func (p *Planner) State(ctx context.Context, id string) (s model.JobState, known bool, err error) {
	t, err := p.currentTerm()
	if err != nil {
		return "", false, err
	}
	if err := t.lock(ctx); err != nil {
		return "", false, err
	}
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return "", false, nil
	}
	return j.reportedState(), true, nil
}

// reportedState returns the state that callers see. A terminal state is reported only
// once it is persisted.
func (j *job) reportedState() model.JobState {
	switch {
	case j.cancelled && j.state != model.Completed && j.state != model.Failed:
		return model.Cancelled
	case j.ended() && j.persisted:
		return j.state
	case j.hasBegun():
		return model.Running
	}
	return model.Queued
}

// Summary returns the number of pending jobs by queue, the worker classes and the memory of
// the jobs, for the VMs that accept jobs.
func (p *Planner) Summary(ctx context.Context) (model.PlannerSummary, error) {
	t, err := p.currentTerm()
	if err != nil {
		return model.PlannerSummary{}, err
	}
	if err := t.lock(ctx); err != nil {
		return model.PlannerSummary{}, err
	}
	defer t.mu.Unlock()
	summary := model.PlannerSummary{
		Pending: make(map[string]int64), MaxJobMemory: p.MaxJobMemory, AccountMemory: make(map[string]int64),
	}
	for _, j := range t.jobs {
		summary.JobMemory += j.memory
		summary.AccountMemory[j.spec.Account] += j.memory
		if !j.ended() && !j.hasBegun() {
			summary.Pending[j.spec.Queue.Name]++
		}
	}
	summary.WorkerClasses = t.sizes.classes()
	p.Meter.Set("job_memory_bytes", summary.JobMemory)
	return summary, nil
}

// unixMS returns the current Unix time in milliseconds.
func unixMS() int64 { return time.Now().UnixMilli() }
