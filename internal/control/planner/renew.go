package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

const (
	// renewalsPerLease is the number of renewals of a worker within one lease.
	renewalsPerLease = 3
	// renewRetries is the number of tries of a failed renewal within the time of
	// one interval.
	renewRetries = 4
	// maxRenewInterval bounds the time until a worker's report that it leaves
	// is read.
	maxRenewInterval = 2500 * time.Millisecond
)

// report is the answer of one worker to a renewal.
type report struct {
	worker string
	status worker.Status
	// asked is the time at which the renewal was sent.
	asked time.Time
}

func (p *Planner) renewInterval() time.Duration {
	return min(maxRenewInterval, p.lease()/renewalsPerLease)
}

// renewal renews the leases of every worker with one call per interval. A call
// that hangs delays that worker alone.
func (t *term) renewal() {
	clock := time.NewTicker(tick)
	defer clock.Stop()
	for {
		for _, m := range t.dueMembers(time.Now()) {
			t.duties.Go(func() { t.renew(m) })
		}
		select {
		case <-t.ctx.Done():
			return
		case <-clock.C:
		}
	}
}

// dueMembers returns the workers whose renewal is due and marks them as called.
func (t *term) dueMembers(now time.Time) []*member {
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := t.p.renewInterval()
	var due []*member
	for _, m := range t.members {
		if m.calling || now.Before(m.due) || (m.gone && len(m.leases) == 0) {
			continue
		}
		m.calling = true
		m.due = now.Add(interval)
		due = append(due, m)
	}
	return due
}

func (t *term) renew(m *member) {
	asked := time.Now()
	t.mu.Lock()
	in := worker.RenewRequest{Epoch: t.epoch, LeaseMS: t.p.lease().Milliseconds(), Forget: m.forget}
	m.forget = nil
	for part, l := range m.leases {
		if !l.released {
			l.sending = true
			in.Parts = append(in.Parts, part)
		}
	}
	id := m.vm.ID
	t.mu.Unlock()
	var status worker.Status
	err := t.call(t.ctx, id, func(ctx context.Context, c *worker.Client) error {
		var err error
		status, err = c.Renew(ctx, in)
		return err
	})
	t.mu.Lock()
	m.calling = false
	for _, part := range in.Parts {
		if l := m.leases[part]; l != nil {
			l.sending, l.touched = false, time.Now()
		}
	}
	if err != nil {
		m.forget = append(m.forget, in.Forget...)
		m.due = time.Now().Add(t.p.renewInterval() / renewRetries)
	}
	t.mu.Unlock()
	if err != nil {
		t.p.Meter.Inc("planner_renew_failed")
		return
	}
	select {
	case t.reports <- report{worker: id, status: status, asked: asked}:
	case <-t.ctx.Done():
	}
}
