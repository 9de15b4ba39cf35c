package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// memoryRetryAfter is the delay suggested to clients for whose jobs the planner has no
// memory. Memory is released as jobs end.
const memoryRetryAfter = 10 * time.Second

// reportTime is the time after which the planner's summary includes a job that was stored:
// the planner is notified, and reads the store as well.
const reportTime = time.Second

// reservation is the memory of a job that is being accepted or has just been.
type reservation struct {
	need int64
	// storedAt is when the job was stored; zero before that.
	storedAt time.Time
}

// memoryLimit counts the memory of the jobs that this VM accepts and that the last summary
// of the planner may not include. The zero value is ready to use.
type memoryLimit struct {
	mu           sync.Mutex
	reservations map[*reservation]struct{}
	reserved     int64
	// at is when the summary was queried by which reservations were last removed.
	at time.Time
}

// reserveMemory counts the memory of a new job. If the planner may run out of memory, its
// error is of kind Overloaded. The reservation is nil for a job that the planner has.
func (js *JobService) reserveMemory(ctx context.Context, t *Target, j *model.Job) (*reservation, error) {
	need := planner.JobMemory(j)
	s, at := js.plannerMemory()
	if r := js.memory.take(s, at, t.Account, need, js.vms(), unreportedShare); r != nil {
		return r, nil
	}
	// Whether the query fails or not, the latest summary decides.
	_, _ = js.freshSummary(ctx)
	s, at = js.plannerMemory()
	if r := js.memory.take(s, at, t.Account, need, js.vms(), 1); r != nil {
		return r, nil
	}
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if _, known, err := js.Planner.State(queryCtx, j.ID); err == nil && known {
		return nil, nil
	}
	js.Meter.Inc("job_memory_limited")
	js.Log.Info("no memory for a job", "job", j.ID, "account", t.Account, "need", need, "jobs", s.JobMemory, "account_jobs", s.AccountMemory[t.Account],
		"max", s.MaxJobMemory, "age_ms", time.Since(at).Milliseconds())
	return nil, &RetryLaterError{fault.New(fault.Overloaded, "the accepted jobs leave no memory for this one, which needs %d bytes", need), memoryRetryAfter}
}

// plannerMemory returns the last summary of the planner and when it was queried. Before the
// first one, the planner is taken to have the memory of this VM and no job.
func (js *JobService) plannerMemory() (model.PlannerSummary, time.Time) {
	js.mu.Lock()
	defer js.mu.Unlock()
	if js.summaryAt.IsZero() {
		return model.PlannerSummary{MaxJobMemory: js.MaxJobMemory}, time.Time{}
	}
	return js.summary, js.summaryAt
}

func (js *JobService) vms() int64 {
	if js.VMs == nil {
		return 1
	}
	return int64(max(js.VMs(), 1))
}

// unreportedShare is the part of the free memory that the VMs together accept before they
// ask the planner again.
const unreportedShare = 0.5

// take reserves the need of a job of an account, and returns nil if there is no memory for
// it. Of what is free, each VM accepts its part of a share until the planner reports it, or
// one job. An account that has jobs leaves as much free as it takes, so that others find
// some.
func (l *memoryLimit) take(s model.PlannerSummary, at time.Time, account string, need, vms int64, share float64) *reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeReported(at)
	if s.MaxJobMemory > 0 {
		unreported := int64(share*float64(s.MaxJobMemory-s.JobMemory)) / vms
		free := s.MaxJobMemory - s.JobMemory - l.reserved
		own := s.AccountMemory[account]
		switch {
		case need > free || own > 0 && own+need > free-need:
			return nil
		case l.reserved+need > unreported && (share < 1 || l.reserved > 0):
			return nil
		}
	}
	if l.reservations == nil {
		l.reservations = make(map[*reservation]struct{})
	}
	r := &reservation{need: need}
	l.reservations[r] = struct{}{}
	l.reserved += need
	return r
}

// removeReported removes the reservations of the jobs that a summary includes. l.mu is held.
func (l *memoryLimit) removeReported(at time.Time) {
	if l.at.Equal(at) {
		return
	}
	l.at = at
	for r := range l.reservations {
		if !r.storedAt.IsZero() && at.Sub(r.storedAt) > reportTime {
			l.remove(r)
		}
	}
}

func (l *memoryLimit) remove(r *reservation) {
	if _, ok := l.reservations[r]; ok {
		delete(l.reservations, r)
		l.reserved -= r.need
	}
}

// end is called when it is known whether the job of a reservation was stored, or may be.
func (l *memoryLimit) end(r *reservation, stored bool) {
	if r == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if stored {
		r.storedAt = time.Now()
		return
	}
	l.remove(r)
}
