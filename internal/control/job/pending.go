package job

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// maxPending bounds the submissions that wait for a planner at one VM.
const maxPending = 4096

// resendInterval is the time between two tries to hand submissions over.
const resendInterval = 500 * time.Millisecond

// pending holds the submissions that no planner has acknowledged. The zero
// value is empty and safe for concurrent use.
type pending struct {
	mu   sync.Mutex
	jobs map[string]submission
}

type submission struct {
	record Record
	// kept says that the record is kept; until then the submission's outcome
	// is unknown.
	kept bool
}

// add holds a submission; it is refused when too many wait.
func (p *pending) add(r Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.jobs) >= maxPending {
		return fault.New(fault.Overloaded, "%d submissions wait for a planner", maxPending)
	}
	if p.jobs == nil {
		p.jobs = make(map[string]submission)
	}
	if _, ok := p.jobs[r.ID]; !ok {
		p.jobs[r.ID] = submission{record: r}
	}
	return nil
}

func (p *pending) keep(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.jobs[id]; ok {
		s.kept = true
		p.jobs[id] = s
	}
}

func (p *pending) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.jobs, id)
}

func (p *pending) get(id string) (submission, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.jobs[id]
	return s, ok
}

// all returns the submissions in the order of their ids.
func (p *pending) all() []submission {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]submission, 0, len(p.jobs))
	for _, s := range p.jobs {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].record.ID < all[j].record.ID })
	return all
}

// Run hands over the submissions that no planner has acknowledged, until ctx
// ends.
func (d *Service) Run(ctx context.Context) {
	t := time.NewTicker(resendInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, s := range d.pending.all() {
				d.resend(ctx, s)
			}
		}
	}
}

func (d *Service) resend(ctx context.Context, s submission) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	d.Meter.Inc("job_resend")
	if !s.kept {
		if err := d.Records.Save(ctx, s.record); err != nil {
			d.Meter.Inc("job_record_retry")
			return
		}
		d.pending.keep(s.record.ID)
		d.Meter.Inc("job_admitted")
	}
	d.handOver(ctx, s.record)
}
