package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

const (
	// renewalsPerLease is the minimum number of renewals of a worker within one
	// lease.
	renewalsPerLease = 3
	// renewRetries is the number of retries of a failed renewal within one
	// renewal interval.
	renewRetries = 4
	// maxRenewInterval bounds the time until a worker's report that it is
	// leaving is read, unless renewSpacing requires a longer interval.
	maxRenewInterval = 2500 * time.Millisecond
	// renewSpacing is the minimum mean time between two renewals by one
	// planner. In a large data centre each worker is therefore renewed less
	// often, but always within its lease.
	renewSpacing = 60 * time.Millisecond
)

// report is a worker's response to a renewal.
type report struct {
	worker string
	status worker.Status
	// sentAt is the time at which the renewal was sent.
	sentAt time.Time
}

// renewInterval returns the time between two renewals of one worker when there
// are n workers.
func (p *Planner) renewInterval(n int) time.Duration {
	return min(max(maxRenewInterval, time.Duration(n)*renewSpacing), p.lease()/renewalsPerLease)
}

// renewLoop renews the leases at every worker with one call per interval. A
// call that hangs delays only the renewals of that worker.
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

// dueMembers returns the workers whose renewal is due and marks them as being
// renewed.
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

// renew renews the leases at one worker and passes the report on to reportLoop.
func (t *term) renew(m *member) {
	sentAt := time.Now()
	t.mu.Lock()
	parts := m.partsToRenew()
	req := m.renewRequest(parts)
	req.Epoch, req.LeaseMS = t.epoch, t.p.lease().Milliseconds()
	id := m.vm.ID
	t.mu.Unlock()
	var status worker.Status
	err := t.call(t.ctx, id, func(ctx context.Context, c *worker.Client) error {
		var err error
		status, err = c.Renew(ctx, req)
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
		m.forgetParts = append(m.forgetParts, req.Forget...)
		m.due = time.Now().Add(t.p.renewInterval(len(t.members)) / renewRetries)
	} else {
		status = m.recordReport(req, parts, status)
	}
	t.mu.Unlock()
	if err != nil {
		t.p.Meter.Inc("planner_renew_failed")
		return
	}
	select {
	case t.reports <- report{worker: id, status: status, sentAt: sentAt}:
	case <-t.ctx.Done():
	}
}

// partsToRenew returns the parts whose leases are to be renewed and marks the
// leases as in flight.
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

// renewRequest returns the request that renews the leases of parts: by the
// digest of the last report when that listed exactly these parts, and by their
// names otherwise.
func (m *member) renewRequest(parts []worker.Part) worker.RenewRequest {
	req := worker.RenewRequest{Forget: m.forgetParts}
	m.forgetParts = nil
	if m.knownDigest != "" && len(req.Forget) == 0 && sameParts(m.knownParts, parts) {
		req.KnownDigest = m.knownDigest
		return req
	}
	req.Parts = parts
	return req
}

// recordReport records a report for the next renewal and returns it with all
// its parts. When the request named a digest and the report has changed since,
// the worker has renewed nothing and is called again at once.
func (m *member) recordReport(req worker.RenewRequest, parts []worker.Part, s worker.Status) worker.Status {
	if s.Unchanged && m.knownParts != nil {
		m.knownDigest = req.KnownDigest
		s.Parts = m.knownReport
		return s
	}
	m.knownDigest, m.knownParts, m.knownReport = "", nil, nil
	if req.KnownDigest != "" {
		m.due = time.Time{}
		return s
	}
	occupying := make(map[worker.Part]bool)
	for _, part := range s.ActiveParts() {
		occupying[part] = true
	}
	if s.Digest != "" && sameParts(occupying, parts) {
		m.knownDigest, m.knownParts, m.knownReport = s.Digest, occupying, s.Parts
	}
	return s
}

// sameParts reports whether known contains exactly the given parts.
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
