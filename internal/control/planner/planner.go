// Package planner runs the gangs of one data centre: it turns the decisions of
// package gang into calls to the workers.
//
// While a VM is the data centre's planner, it serves a term under one epoch. In
// a term each background task has its own goroutine: scheduling, execution of
// operations, renewal of leases, processing of the workers' reports, persisting
// of job records, checkpoints and reloading of records. They communicate
// through bounded channels. The term owns the state, and never holds its lock
// during a call to another process.
package planner

import (
	"context"
	"log/slog"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// Records persists job records.
type Records interface {
	// Save persists a changed record.
	Save(ctx context.Context, r job.Record) error
	// Load returns the persisted records of a data centre. Records that are
	// returned with an error may be incomplete.
	Load(ctx context.Context, dataCentre string) ([]job.Record, error)
	// Delete deletes the record of a job in a final state.
	Delete(ctx context.Context, r job.Record) error
}

// Claimer makes at-most-once claims for the attempts of non-idempotent jobs, so
// that no two planners start the same job.
type Claimer interface {
	Claim(ctx context.Context, r claim.Request) (*claim.Ticket, *claim.RecordedResult, error)
	Finish(ctx context.Context, t *claim.Ticket, result []byte)
	Abandon(ctx context.Context, t *claim.Ticket)
}

// DefaultCheckpointInterval is the default time between two checkpoints of a
// running gang. It bounds the work that is discarded when a member is lost.
const DefaultCheckpointInterval = time.Minute

// Planner plans the jobs of one data centre while this VM is the data centre's
// planner. Its exported fields are set before Run is called.
type Planner struct {
	DataCentre string
	// VMID is the id of this VM. It makes the epochs of different VMs differ.
	VMID   string
	Config func() config.Head
	// IsPlanner reports whether this VM is currently the data centre's planner.
	IsPlanner func() bool
	Records   Records
	// Claims is used before the first start of a non-idempotent job. Such jobs
	// wait while it is nil.
	Claims Claimer
	Meter  *meter.Meter
	Log    *slog.Logger
	// HTTP is the client for calls to the workers; http.DefaultClient when nil.
	HTTP *http.Client
	// CheckpointInterval is the time between two checkpoints of a running gang;
	// DefaultCheckpointInterval when zero.
	CheckpointInterval time.Duration

	mu sync.Mutex
	// vms are the workers on the platform's list by id; nil until the list has
	// been read.
	vms map[string]vmlist.VM
	// emptyState is the scheduling state of the data centre with all its
	// workers and no jobs.
	emptyState gang.State
	// term is the current or last term; nil before the first.
	term *term
	// epoch is the highest epoch that this VM has used or seen.
	epoch uint64
}

// SetWorkers replaces the list of workers.
func (p *Planner) SetWorkers(vms []vmlist.VM) {
	p.mu.Lock()
	p.vms = make(map[string]vmlist.VM, len(vms))
	p.emptyState = gang.State{}
	for _, vm := range vms {
		p.vms[vm.ID] = vm
		p.emptyState.SetWorker(gang.Worker{ID: vm.ID, Rack: vm.Rack, Accelerators: vm.Accelerators})
	}
	t := p.term
	p.mu.Unlock()
	if t != nil {
		t.setWorkers(vms)
	}
}

// currentTerm returns the term that is in force, or nil.
func (p *Planner) currentTerm() *term {
	t := p.lastTerm()
	if t == nil || t.ctx.Err() != nil {
		return nil
	}
	return t
}

// lastTerm returns the current or last term, or nil before the first.
func (p *Planner) lastTerm() *term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term
}

// Submit accepts a job whose record is persisted. Submitting a job again has no
// effect. The error is of kind NotReady while this VM is not the planner.
func (p *Planner) Submit(_ context.Context, r job.Record) error {
	t := p.currentTerm()
	if t == nil {
		return fault.New(fault.NotReady, "this VM is not the planner of %s", p.DataCentre)
	}
	t.submit(r)
	return nil
}

// Fits returns an error of kind NeverFits when the job could not run even if no
// other job ran in the data centre, and of kind NotReady while the workers are
// not known.
func (p *Planner) Fits(r job.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.vms) == 0 {
		return fault.New(fault.NotReady, "the workers of %s are not known yet", p.DataCentre)
	}
	if err := p.emptyState.Submit(r.Gang()); err != nil {
		return err
	}
	p.emptyState.Ended(r.ID, time.Now())
	return nil
}

// Jobs returns the records of all jobs, sorted by id. When id is not empty, it
// returns only the job with that id.
func (p *Planner) Jobs(id string) []job.Record {
	t := p.lastTerm()
	if t == nil {
		return nil
	}
	all := t.records(id)
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// AllJobsLoaded reports whether this VM is the planner and has loaded the records of
// all admitted jobs.
func (p *Planner) AllJobsLoaded() bool {
	t := p.currentTerm()
	return t != nil && t.recordsLoaded()
}

// Explain returns why a job is in its current state. It returns false for an
// unknown job.
func (p *Planner) Explain(id string) (gang.Explanation, bool) {
	t := p.lastTerm()
	if t == nil {
		return gang.Explanation{}, false
	}
	return t.explain(id)
}

// Decisions returns the last decisions about a job, oldest first.
func (p *Planner) Decisions(id string) []job.Decision {
	t := p.lastTerm()
	if t == nil {
		return nil
	}
	return t.decisions(id)
}

// Accounts returns the status of all client accounts.
func (p *Planner) Accounts() []gang.AccountStatus {
	t := p.lastTerm()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Accounts()
}

// Measures returns the data centre's scheduling measures.
func (p *Planner) Measures() gang.Measures {
	t := p.lastTerm()
	if t == nil {
		return gang.Measures{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Measures()
}

// Epoch returns the highest epoch that this planner has used or seen.
func (p *Planner) Epoch() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// Cancel cancels a job. When it returns nil the cancellation is persisted. The
// gang's tasks stop at once or, at a worker that cannot be reached, when their
// leases expire. An error of kind ClaimUnresolved means that the job is being
// cancelled, but a planner that takes over may not have the cancellation. The
// error is of kind NotReady while this VM is not the planner.
func (p *Planner) Cancel(ctx context.Context, id string) error {
	t := p.currentTerm()
	if t == nil {
		return fault.New(fault.NotReady, "this VM is not the planner of %s", p.DataCentre)
	}
	return t.cancelJob(ctx, id)
}
