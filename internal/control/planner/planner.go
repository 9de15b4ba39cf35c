// Package planner runs the gangs of one data centre: it turns the decisions of
// package gang into orders to the workers.
package planner

import (
	"context"
	"log/slog"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// Records keeps job records.
type Records interface {
	// Save keeps a changed record.
	Save(ctx context.Context, r job.Record) error
	// Load returns the records of a data centre.
	Load(ctx context.Context, dataCentre string) ([]job.Record, error)
}

// Planner plans for one data centre while it is the chosen planner. Its
// exported fields are set before Run.
type Planner struct {
	DataCentre string
	Config     func() config.Head
	// Chosen reports whether this VM is the data centre's planner now.
	Chosen  func() bool
	Records Records
	Meter   *meter.Meter
	Log     *slog.Logger
	// HTTP calls the workers; http.DefaultClient when nil.
	HTTP *http.Client

	mu      sync.Mutex
	active  bool
	epoch   uint64
	state   gang.State
	jobs    map[string]*job.Record
	workers map[string]*worker.Client
	vms     map[string]vmlist.VM
	forget  map[string][]worker.Part
}

const tick = 100 * time.Millisecond

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.step(ctx)
		}
	}
}

func (p *Planner) step(ctx context.Context) {
	chosen := p.Chosen()
	p.mu.Lock()
	active := p.active
	p.mu.Unlock()
	switch {
	case chosen && !active:
		p.takeOver(ctx)
	case !chosen && active:
		p.resign()
	case active:
		p.renew(ctx)
		p.plan(ctx)
	}
}

func (p *Planner) resign() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = false
	p.Meter.Set("planner_active", 0)
	p.Log.Info("planner resigned", "data_centre", p.DataCentre, "epoch", p.epoch)
}

// SetWorkers replaces the list of workers.
func (p *Planner) SetWorkers(vms []vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.workers
	p.workers = make(map[string]*worker.Client)
	p.vms = make(map[string]vmlist.VM)
	for _, vm := range vms {
		c, ok := old[vm.ID]
		if !ok || c.Address != vm.Address {
			c = &worker.Client{Address: vm.Address, Meter: p.Meter, HTTP: p.HTTP}
		}
		p.workers[vm.ID] = c
		p.vms[vm.ID] = vm
		p.state.SetWorker(gang.Worker{ID: vm.ID, Rack: vm.Rack, Accelerators: vm.Accelerators, Closed: vm.Leaving})
	}
}

const callTimeout = 2 * time.Second

// takeOver rebuilds the state from the workers' lists and the job records.
func (p *Planner) takeOver(ctx context.Context) {
	records, err := p.Records.Load(ctx, p.DataCentre)
	if err != nil {
		p.Meter.Inc("planner_takeover_without_records")
	}
	statuses := p.listAll(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = gang.State{}
	p.jobs = make(map[string]*job.Record)
	p.forget = make(map[string][]worker.Part)
	for _, vm := range p.vms {
		p.state.SetWorker(gang.Worker{ID: vm.ID, Rack: vm.Rack, Accelerators: vm.Accelerators, Closed: vm.Leaving})
	}
	for _, s := range statuses {
		p.epoch = max(p.epoch, s.Epoch)
	}
	p.epoch++
	for _, r := range records {
		p.jobs[r.ID] = &r
		if r.State.Final() {
			continue
		}
		if r.State == job.Waiting {
			_ = p.state.Submit(r.Gang())
		} else {
			// A start that the former planner had begun is settled by the
			// workers' reports.
			p.jobs[r.ID].State = job.Running
			p.state.Adopt(r.Gang(), r.Slots, time.Now())
		}
	}
	p.active = true
	p.Meter.Set("planner_active", 1)
	p.Log.Info("planner active", "data_centre", p.DataCentre, "epoch", p.epoch, "jobs", len(p.jobs))
}

func (p *Planner) listAll(ctx context.Context) []worker.Status {
	var mu sync.Mutex
	var all []worker.Status
	p.each(ctx, func(ctx context.Context, _ string, c *worker.Client) {
		s, err := c.List(ctx)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
	})
	return all
}

// each calls f for all workers at once and waits.
func (p *Planner) each(ctx context.Context, f func(ctx context.Context, id string, c *worker.Client)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.mu.Lock()
	clients := make(map[string]*worker.Client, len(p.workers))
	for id, c := range p.workers {
		clients[id] = c
	}
	p.mu.Unlock()
	var wg sync.WaitGroup
	for id, c := range clients {
		wg.Go(func() { f(ctx, id, c) })
	}
	wg.Wait()
}

// Submit takes a job whose record is kept. A job that is known already is
// accepted again.
func (p *Planner) Submit(_ context.Context, r job.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return fault.New(fault.NotReady, "this VM is not the planner of %s", p.DataCentre)
	}
	if _, ok := p.jobs[r.ID]; ok {
		return nil
	}
	if err := p.state.Submit(r.Gang()); err != nil {
		return err
	}
	p.jobs[r.ID] = &r
	p.Meter.Inc("job_submitted")
	return nil
}

// Fits reports, as an error of kind NeverFits, whether a job could ever run.
func (p *Planner) Fits(r job.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s gang.State
	for _, vm := range p.vms {
		s.SetWorker(gang.Worker{ID: vm.ID, Rack: vm.Rack, Accelerators: vm.Accelerators})
	}
	return s.Submit(r.Gang())
}

// Jobs returns all jobs, or the one of an id.
func (p *Planner) Jobs(id string) []job.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []job.Record
	for _, r := range p.jobs {
		if id == "" || r.ID == id {
			all = append(all, *r)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Explain says why a job stands where it does.
func (p *Planner) Explain(id string) (gang.Explanation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := p.state.Explain(id)
	if ok {
		return x, true
	}
	r, ok := p.jobs[id]
	if !ok {
		return gang.Explanation{}, false
	}
	return gang.Explanation{JobID: id, State: string(r.State), Reason: r.Reason}, true
}

// Accounts returns the status of all accounts.
func (p *Planner) Accounts() []gang.AccountStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Accounts()
}

// Measures returns the data centre's measures.
func (p *Planner) Measures() gang.Measures {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Measures()
}

// Cancel cancels a job.
func (p *Planner) Cancel(ctx context.Context, id string) error {
	p.mu.Lock()
	r, ok := p.jobs[id]
	if !ok {
		p.mu.Unlock()
		return fault.WithField(fault.NotFound, "job_id", "%q is not known", id)
	}
	if r.State.Final() {
		p.mu.Unlock()
		return nil
	}
	slots, part := r.Slots, worker.Part{JobID: id, Attempt: r.Attempt}
	p.finish(r, job.Cancelled, "cancelled by the caller")
	rec, epoch := *r, p.epoch
	p.mu.Unlock()
	p.stopAll(ctx, slots, part, epoch)
	return p.Records.Save(ctx, rec)
}

// finish ends a job. p.mu is held.
func (p *Planner) finish(r *job.Record, s job.State, reason string) {
	p.state.Ended(r.ID, time.Now())
	for _, sl := range r.Slots {
		p.forget[sl.Worker] = append(p.forget[sl.Worker], worker.Part{JobID: r.ID, Attempt: r.Attempt})
	}
	r.State, r.Reason = s, reason
	r.Sequence++
	p.Meter.Inc("job_" + string(s))
}

func (p *Planner) plan(ctx context.Context) {
	p.mu.Lock()
	doc := p.Config().Document
	p.state.SetAccounts(accounts(doc))
	p.state.SetWeights(gang.Weights{
		CompletionTime: doc.Defaults.CompletionTimeWeight,
		Fragmentation:  doc.Defaults.FragmentationWeight,
	})
	orders := p.state.Plan(time.Now())
	p.mu.Unlock()
	for _, o := range orders {
		if o.Kind == gang.Start {
			p.start(ctx, o, doc)
		}
	}
}

func accounts(doc config.Document) []gang.Account {
	all := make([]gang.Account, 0, len(doc.Accounts))
	for _, a := range doc.Accounts {
		all = append(all, gang.Account{ID: a.ID, Workers: a.Guarantee.Workers, Accelerators: a.Guarantee.Accelerators})
	}
	return all
}

// start reserves all slots, records the attempt and starts all tasks; on any
// failure it stops all and puts the whole job back.
func (p *Planner) start(ctx context.Context, o gang.Order, doc config.Document) {
	p.mu.Lock()
	r, ok := p.jobs[o.JobID]
	if !ok {
		p.mu.Unlock()
		return
	}
	r.Attempt, r.Slots, r.State = uuid.NewString(), o.Slots, job.Starting
	r.Attempts++
	r.Sequence++
	rec, epoch := *r, p.epoch
	p.mu.Unlock()
	part := worker.Part{JobID: rec.ID, Attempt: rec.Attempt}
	ctx, cancel := context.WithTimeout(ctx, doc.Defaults.StartWindow.Duration)
	defer cancel()
	err := p.reserveAndStart(ctx, rec, part, epoch, doc.Defaults.Lease.Milliseconds())
	if err == nil {
		p.setRunning(rec.ID)
		return
	}
	p.stopAll(context.WithoutCancel(ctx), rec.Slots, part, epoch)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Meter.Inc("gang_start_failed")
	r.State, r.Reason = job.Waiting, err.Error()
	p.state.Requeue(r.ID, r.Gang().Declared, time.Now(), "a start failed: "+err.Error())
}

func (p *Planner) setRunning(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.jobs[id]; ok && r.State == job.Starting {
		r.State = job.Running
		p.Meter.Inc("gang_started")
	}
}

func (p *Planner) reserveAndStart(ctx context.Context, rec job.Record, part worker.Part, epoch uint64, leaseMS int64) error {
	byWorker := groupSlots(rec.Slots)
	err := p.eachPart(byWorker, func(c *worker.Client, g partSlots) error {
		return c.Reserve(ctx, worker.ReserveRequest{Part: part, Epoch: epoch, Accelerators: g.accelerators, LeaseMS: leaseMS})
	})
	if err != nil {
		return err
	}
	if err := p.Records.Save(ctx, rec); err != nil {
		p.Meter.Inc("job_record_late")
	}
	return p.eachPart(byWorker, func(c *worker.Client, g partSlots) error {
		return c.Start(ctx, worker.StartRequest{Part: part, Epoch: epoch, Tasks: g.tasks, RunMS: rec.RunMS - rec.CheckpointMS})
	})
}

// partSlots are the slots of a gang at one worker.
type partSlots struct {
	tasks        []int
	accelerators []int
}

func groupSlots(slots []gang.Slot) map[string]partSlots {
	m := make(map[string]partSlots)
	for _, sl := range slots {
		g := m[sl.Worker]
		g.tasks = append(g.tasks, sl.Task)
		g.accelerators = append(g.accelerators, sl.Accelerators...)
		m[sl.Worker] = g
	}
	return m
}

// eachPart calls f for all workers of a gang at once and returns one error.
func (p *Planner) eachPart(parts map[string]partSlots, f func(c *worker.Client, g partSlots) error) error {
	errs := make(chan error, len(parts))
	for id, g := range parts {
		p.mu.Lock()
		c, ok := p.workers[id]
		p.mu.Unlock()
		if !ok {
			errs <- fault.New(fault.NoTarget, "worker %s is gone", id)
			continue
		}
		go func() { errs <- f(c, g) }()
	}
	var first error
	for range parts {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (p *Planner) stopAll(ctx context.Context, slots []gang.Slot, part worker.Part, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = p.eachPart(groupSlots(slots), func(c *worker.Client, _ partSlots) error {
		return c.Stop(ctx, worker.PartRequest{Part: part, Epoch: epoch})
	})
}

// renew renews all leases and takes the workers' reports.
func (p *Planner) renew(ctx context.Context) {
	p.mu.Lock()
	leases := make(map[string][]worker.Part)
	for _, r := range p.jobs {
		if r.State != job.Running && r.State != job.Starting {
			continue
		}
		for id := range groupSlots(r.Slots) {
			leases[id] = append(leases[id], worker.Part{JobID: r.ID, Attempt: r.Attempt})
		}
	}
	forget := p.forget
	p.forget = make(map[string][]worker.Part)
	epoch, lease := p.epoch, p.Config().Document.Defaults.Lease.Milliseconds()
	p.mu.Unlock()
	var mu sync.Mutex
	reports := make(map[string]worker.Status)
	p.each(ctx, func(ctx context.Context, id string, c *worker.Client) {
		s, err := c.Renew(ctx, worker.RenewRequest{Epoch: epoch, LeaseMS: lease, Parts: leases[id], Forget: forget[id]})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		reports[id] = s
	})
	p.settle(ctx, reports)
}

// settle ends the jobs whose parts have all ended.
func (p *Planner) settle(ctx context.Context, reports map[string]worker.Status) {
	p.mu.Lock()
	var ended []job.Record
	for _, r := range p.jobs {
		if r.State != job.Running {
			continue
		}
		if done(r, reports) {
			p.finish(r, job.Done, "all tasks finished")
			ended = append(ended, *r)
		}
	}
	p.mu.Unlock()
	for _, r := range ended {
		if err := p.Records.Save(ctx, r); err != nil {
			p.Meter.Inc("job_record_late")
		}
	}
}

func done(r *job.Record, reports map[string]worker.Status) bool {
	for id := range groupSlots(r.Slots) {
		if stateOf(reports[id], r) != worker.Done {
			return false
		}
	}
	return true
}

func stateOf(s worker.Status, r *job.Record) worker.State {
	for _, ps := range s.Parts {
		if ps.JobID == r.ID && ps.Attempt == r.Attempt {
			return ps.State
		}
	}
	return ""
}
