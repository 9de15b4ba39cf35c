package planner

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// tickInterval is the interval at which the background tasks check whether
// anything is due.
const tickInterval = 50 * time.Millisecond

// maxBackOffLeases bounds the time, in leases, for which a planner whose epoch
// was refused waits before it takes over again. The back-off starts anew after
// a term that was longer than this bound.
const maxBackOffLeases = 4

// Run starts a term when this VM becomes the data centre's planner, and ends it
// when another VM does or when a worker has seen a higher epoch. It returns
// when ctx is done.
func (p *Planner) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var l leadership
	for {
		select {
		case <-ctx.Done():
			l.resign(p, "stopped")
			return
		case <-t.C:
			l.step(ctx, p)
		}
	}
}

// leadership is the state of Run: the current term and the back-off before the
// next one.
type leadership struct {
	term *term
	// refusals counts the terms that ended with a refused epoch since the last
	// term that was longer than maxBackOffLeases.
	refusals int
	// notBefore is the earliest time at which the next term may begin.
	notBefore time.Time
	// startedAt is the time at which the last term began.
	startedAt time.Time
}

// step begins or ends a term if that is necessary.
func (l *leadership) step(ctx context.Context, p *Planner) {
	chosen := p.IsPlanner()
	switch {
	case l.term == nil && chosen && p.workerListLoaded() && !time.Now().Before(l.notBefore):
		l.begin(ctx, p)
	case l.term != nil && l.term.ctx.Err() != nil:
		l.backOff(p)
		l.resign(p, "a worker has seen a higher epoch")
	case l.term != nil && !chosen:
		l.resign(p, "another VM was chosen")
	}
}

// workerListLoaded reports whether the platform's list of workers has been
// read.
func (p *Planner) workerListLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms != nil
}

// backOff delays the next term by a random part of an eighth of a lease, and by
// up to twice as long after each further refusal, so that two VMs that both act
// as planner do not disturb each other for long.
func (l *leadership) backOff(p *Planner) {
	lease := p.lease()
	if time.Since(l.startedAt) > maxBackOffLeases*lease {
		l.refusals = 0
	}
	wait := min(lease/8<<min(l.refusals, 8), maxBackOffLeases*lease)
	l.refusals++
	l.notBefore = time.Now().Add(wait/2 + rand.N(wait/2+1))
}

func (l *leadership) begin(ctx context.Context, p *Planner) {
	l.term = p.takeOver(ctx)
	l.startedAt = time.Now()
}

func (l *leadership) resign(p *Planner, reason string) {
	if l.term == nil {
		return
	}
	l.term.shutdown()
	l.term = nil
	p.Meter.Set("planner_active", 0)
	p.Meter.Inc("planner_resigned")
	p.Log.Info("planner resigned", "data_centre", p.DataCentre, "epoch", p.Epoch(), "reason", reason)
}

func (p *Planner) lease() time.Duration { return p.Config().Document.Defaults.Lease.Duration }

// takeOverTimeout bounds the reading of the worker reports and of the job
// records at the start of a term.
func (p *Planner) takeOverTimeout() time.Duration { return min(time.Second, p.lease()/4) }

// takeOver begins a term. It reads the workers' reports and the persisted
// records concurrently, and continues the jobs that it finds.
func (p *Planner) takeOver(ctx context.Context) *term {
	listed := time.Now()
	p.mu.Lock()
	vms := make([]vmlist.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	p.mu.Unlock()
	t := newTerm(ctx, p)
	t.setWorkers(vms)
	readCtx, cancel := context.WithTimeout(ctx, p.takeOverTimeout())
	defer cancel()
	var wg sync.WaitGroup
	var records []job.Record
	var err error
	wg.Go(func() { records, err = p.Records.Load(readCtx, p.DataCentre) })
	lists := t.listAll(readCtx)
	wg.Wait()
	if err != nil {
		p.Meter.Inc("planner_takeover_without_records")
	}
	p.mu.Lock()
	for _, s := range lists {
		p.epoch = max(p.epoch, s.Epoch)
	}
	p.epoch = nextEpoch(p.epoch, p.VMID)
	t.epoch = p.epoch
	p.mu.Unlock()
	t.configure(p.Config(), time.Now())
	t.rebuild(records, lists, listed)
	t.run(err == nil)
	p.mu.Lock()
	p.term = t
	p.mu.Unlock()
	p.Meter.Set("planner_active", 1)
	p.Meter.Inc("planner_takeover")
	p.Log.Info("planner active", "data_centre", p.DataCentre, "epoch", t.epoch, "jobs", len(t.records("")))
	return t
}

// epochIDBits is the number of low-order bits of an epoch that are derived from
// the VM's id.
const epochIDBits = 16

// nextEpoch returns an epoch higher than seen. Two VMs that have seen the same
// epoch get different ones, so that the workers accept only one of them.
func nextEpoch(seen uint64, vmID string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vmID))
	return (seen>>epochIDBits+1)<<epochIDBits | uint64(h.Sum32())&(1<<epochIDBits-1)
}

// listAll requests the reports of all workers. It leaves out those of workers
// that do not answer.
func (t *term) listAll(ctx context.Context) map[string]worker.Status {
	var mu sync.Mutex
	all := make(map[string]worker.Status)
	var wg sync.WaitGroup
	for _, m := range t.allMembers() {
		wg.Go(func() {
			s, err := m.client.List(ctx)
			if err != nil {
				t.p.Meter.Inc("planner_list_failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all[m.vm.ID] = s
		})
	}
	wg.Wait()
	return all
}
