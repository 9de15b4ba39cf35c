// Package planner runs the gangs of one data centre: it turns the decisions of
// package gang into orders to the workers.
//
// While a VM is the data centre's planner it serves a term under one epoch. In
// a term, each duty has its own goroutine: planning, execution of orders,
// renewal of leases, settling of the workers' reports, keeping of records,
// checkpoints and reloading. They are joined by bounded channels; the state is
// owned by the term, whose lock is never held during a call.
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

// Records keeps job records.
type Records interface {
	// Save keeps a changed record.
	Save(ctx context.Context, r job.Record) error
	// Load returns the records of a data centre.
	Load(ctx context.Context, dataCentre string) ([]job.Record, error)
	// Delete forgets a record that has ended.
	Delete(ctx context.Context, r job.Record) error
}

// Claimer claims the attempts of non-idempotent jobs, so that no two planners
// start one.
type Claimer interface {
	Claim(ctx context.Context, r claim.Request) (*claim.Ticket, *claim.Recorded, error)
	Finish(ctx context.Context, t *claim.Ticket, result []byte)
	Abandon(ctx context.Context, t *claim.Ticket)
}

// DefaultCheckpointInterval bounds the work that a lost member costs.
const DefaultCheckpointInterval = time.Minute

// Planner plans for one data centre while it is the chosen planner. Its
// exported fields are set before Run.
type Planner struct {
	DataCentre string
	// VMID makes the epochs of different VMs differ.
	VMID   string
	Config func() config.Head
	// Chosen reports whether this VM is the data centre's planner now.
	Chosen  func() bool
	Records Records
	// Claims is asked before the first start of a non-idempotent job; when it is
	// nil such jobs wait.
	Claims Claimer
	Meter  *meter.Meter
	Log    *slog.Logger
	// HTTP calls the workers; http.DefaultClient when nil.
	HTTP *http.Client
	// CheckpointInterval is the time between two checkpoints of a running gang;
	// DefaultCheckpointInterval when zero.
	CheckpointInterval time.Duration

	mu sync.Mutex
	// vms are the workers on the platform's list; nil until it was read.
	vms map[string]vmlist.VM
	// emptyState is the data centre with all its workers and no job.
	emptyState gang.State
	// term is the present or last term; nil before the first.
	term *term
	// epoch is the highest epoch used or seen.
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

// currentTerm returns the term in force, or nil.
func (p *Planner) currentTerm() *term {
	t := p.lastTerm()
	if t == nil || t.ctx.Err() != nil {
		return nil
	}
	return t
}

// lastTerm returns the present or lastTerm term, or nil.
func (p *Planner) lastTerm() *term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term
}

// Submit takes a job whose record is kept. A job that is known already is
// accepted again.
func (p *Planner) Submit(_ context.Context, r job.Record) error {
	t := p.currentTerm()
	if t == nil {
		return fault.New(fault.NotReady, "this VM is not the planner of %s", p.DataCentre)
	}
	t.submit(r)
	return nil
}

// Fits reports, as an error of kind NeverFits, whether a job could ever run. It
// is of kind NotReady while the workers are not known.
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

// Jobs returns all jobs, or the one of an id.
func (p *Planner) Jobs(id string) []job.Record {
	t := p.lastTerm()
	if t == nil {
		return nil
	}
	all := t.records(id)
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Complete reports whether this planner knows all admitted jobs: it plans, and
// the kept records have been read.
func (p *Planner) Complete() bool {
	t := p.currentTerm()
	return t != nil && t.recordsLoaded()
}

// Explain says why a job stands where it does.
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

// Accounts returns the status of all accounts.
func (p *Planner) Accounts() []gang.AccountStatus {
	t := p.lastTerm()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Accounts()
}

// Measures returns the data centre's measures.
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

// Cancel cancels a job. When it returns nil the cancellation is kept; the
// gang's tasks stop at once or, where a worker is not reached, with their
// leases. An error of kind ClaimUnresolved means that the job is being
// cancelled but a planner that takes over may not know.
func (p *Planner) Cancel(ctx context.Context, id string) error {
	t := p.currentTerm()
	if t == nil {
		return fault.New(fault.NotReady, "this VM is not the planner of %s", p.DataCentre)
	}
	return t.cancelJob(ctx, id)
}
