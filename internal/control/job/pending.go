package job

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// maxPending bounds the submissions at one VM that no planner has acknowledged.
const maxPending = 4096

// resendInterval is the time between two attempts to hand over the pending
// submissions.
const resendInterval = 500 * time.Millisecond

// pendingJobs holds the submissions that no planner has acknowledged. The
// zero value is empty. It is safe for concurrent use.
type pendingJobs struct {
	mu   sync.Mutex
	jobs map[string]submission
}

type submission struct {
	record Record
	// persisted reports whether the record is persisted. Until then the outcome
	// of the submission is unknown.
	persisted bool
}

// add adds a submission unless one with its id is pending already. The error is of
// kind Overloaded when maxPending submissions are pending.
func (p *pendingJobs) add(r Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.jobs) >= maxPending {
		return fault.New(fault.Overloaded, "%d submissions are waiting for a planner", maxPending)
	}
	if p.jobs == nil {
		p.jobs = make(map[string]submission)
	}
	if _, ok := p.jobs[r.ID]; !ok {
		p.jobs[r.ID] = submission{record: r}
	}
	return nil
}

func (p *pendingJobs) markPersisted(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sub, ok := p.jobs[id]; ok {
		sub.persisted = true
		p.jobs[id] = sub
	}
}

func (p *pendingJobs) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.jobs, id)
}

func (p *pendingJobs) get(id string) (submission, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sub, ok := p.jobs[id]
	return sub, ok
}

// all returns the submissions sorted by id.
func (p *pendingJobs) all() []submission {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]submission, 0, len(p.jobs))
	for _, sub := range p.jobs {
		all = append(all, sub)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].record.ID < all[j].record.ID })
	return all
}

// Run hands the pending submissions over to the planner again, at an interval,
// until ctx is done.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTicker(resendInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, sub := range s.pendingJobs.all() {
				s.resend(ctx, sub)
			}
		}
	}
}

// resend persists the record of a submission if that is still to be done, and hands
// the job over to the planner.
func (s *Service) resend(ctx context.Context, sub submission) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	s.Meter.Inc("job_resend")
	if !sub.persisted {
		if err := s.Records.Save(ctx, sub.record); err != nil {
			s.Meter.Inc("job_record_retry")
			return
		}
		s.pendingJobs.markPersisted(sub.record.ID)
		s.Meter.Inc("job_admitted")
	}
	s.handOver(ctx, sub.record)
}
