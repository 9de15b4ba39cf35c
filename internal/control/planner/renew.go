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
	// renewSpacing is the least mean time between two renewals of a planner: in a
	// large data centre each worker is renewed less often, within its lease.
	renewSpacing = 60 * time.Millisecond
)

// report is the answer of one worker to a renewal.
type report struct {
	worker string
	status worker.Status
	// sentAt is the time at which the renewal was sent.
	sentAt time.Time
}

// renewInterval returns the time between two renewals of one of n workers.
func (p *Planner) renewInterval(n int) time.Duration {
	return min(max(maxRenewInterval, time.Duration(n)*renewSpacing), p.lease()/renewalsPerLease)
}

// renewLoop renews the leases of every worker with one call per interval. A call
// that hangs delays that worker alone.
func (t *term) renewLoop() {
	clock := time.NewTicker(tickInterval)
	defer clock.Stop()
	for {
		for _, m := range t.dueMembers(time.Now()) {
			t.background.Go(func() { t.renew(m) })
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
	interval := t.p.renewInterval(len(t.members))
	var due []*member
	for _, m := range t.members {
		if m.renewing || now.Before(m.due) || (m.delisted && len(m.leases) == 0) {
			continue
		}
		m.renewing = true
		m.due = now.Add(interval)
		due = append(due, m)
	}
	return due
}

func (t *term) renew(m *member) {
	asked := time.Now()
	t.mu.Lock()
	parts := m.partsToRenew()
	in := m.renewRequest(parts)
	in.Epoch, in.LeaseMS = t.epoch, t.p.lease().Milliseconds()
	id := m.vm.ID
	t.mu.Unlock()
	var status worker.Status
	err := t.call(t.ctx, id, func(ctx context.Context, c *worker.Client) error {
		var err error
		status, err = c.Renew(ctx, in)
		return err
	})
	t.mu.Lock()
	m.renewing = false
	for _, part := range parts {
		if l := m.leases[part]; l != nil {
			l.inFlight, l.lastExtended = false, time.Now()
		}
	}
	if err != nil {
		m.forgetParts = append(m.forgetParts, in.Forget...)
		m.due = time.Now().Add(t.p.renewInterval(len(t.members)) / renewRetries)
	} else {
		status = m.recordReport(in, parts, status)
	}
	t.mu.Unlock()
	if err != nil {
		t.p.Meter.Inc("planner_renew_failed")
		return
	}
	select {
	case t.reports <- report{worker: id, status: status, sentAt: asked}:
	case <-t.ctx.Done():
	}
}

// partsToRenew returns the parts to renew and marks them as being sent.
func (m *member) partsToRenew() []worker.Part {
	var parts []worker.Part
	for part, l := range m.leases {
		if !l.released {
			l.inFlight = true
			parts = append(parts, part)
		}
	}
	return parts
}

// renewRequest returns the request that renews parts: by the digest of the last
// report when that held just these, and by their names otherwise.
func (m *member) renewRequest(parts []worker.Part) worker.RenewRequest {
	in := worker.RenewRequest{Forget: m.forgetParts}
	m.forgetParts = nil
	if m.knownDigest != "" && len(in.Forget) == 0 && sameParts(m.knownParts, parts) {
		in.Known = m.knownDigest
		return in
	}
	in.Parts = parts
	return in
}

// recordReport keeps a report for the next renewal and returns it whole. A worker
// whose report had changed renewed nothing and is called again at once.
func (m *member) recordReport(in worker.RenewRequest, parts []worker.Part, s worker.Status) worker.Status {
	if s.Unchanged && m.knownParts != nil {
		m.knownDigest = in.Known
		s.Parts = m.knownReport
		return s
	}
	m.knownDigest, m.knownParts, m.knownReport = "", nil, nil
	if in.Known != "" {
		m.due = time.Time{}
		return s
	}
	held := make(map[worker.Part]bool)
	for _, part := range s.Held() {
		held[part] = true
	}
	if s.Digest != "" && sameParts(held, parts) {
		m.knownDigest, m.knownParts, m.knownReport = s.Digest, held, s.Parts
	}
	return s
}

func sameParts(known map[worker.Part]bool, parts []worker.Part) bool {
	if len(known) != len(parts) {
		return false
	}
	for _, part := range parts {
		if !known[part] {
			return false
		}
	}
	return true
}
