package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
)

const (
	// saveTimeout bounds one operation on persisted records or claims.
	saveTimeout = 2 * time.Second
	// saveRetryDelay is the delay before records that could not be persisted
	// are tried again.
	saveRetryDelay = 500 * time.Millisecond
	// maxSaves bounds the records that are persisted concurrently.
	maxSaves = 8
	// reloadInterval is the time between two reloads of the persisted records.
	// A reload finds jobs whose hand-over was lost with the VM that accepted
	// them.
	reloadInterval = 60 * time.Second
	// reloadRetryDelay is the delay before a failed reload is tried again.
	reloadRetryDelay = time.Second
)

// persistLoop persists changed records, tries those again that could not be
// persisted, and deletes ended jobs after their retention.
func (t *term) persistLoop() {
	clock := time.NewTicker(saveRetryDelay)
	defer clock.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakePersist:
		case <-clock.C:
		}
		t.saveAll(t.unwrittenEntries())
		t.deleteExpired(time.Now())
	}
}

func (t *term) unwrittenEntries() []*entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unwritten []*entry
	for _, e := range t.jobs {
		if e.unwritten {
			unwritten = append(unwritten, e)
		}
	}
	return unwritten
}

func (t *term) saveAll(entries []*entry) {
	sem := make(chan struct{}, maxSaves)
	var wg sync.WaitGroup
	for _, e := range entries {
		sem <- struct{}{}
		wg.Go(func() {
			t.save(e)
			<-sem
		})
	}
	wg.Wait()
}

// save persists one record. After that the workers may forget its ended parts.
func (t *term) save(e *entry) {
	t.mu.Lock()
	rec := e.rec
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, saveTimeout)
	defer cancel()
	if err := t.p.Records.Save(ctx, rec); err != nil {
		t.p.Meter.Inc("job_record_retry")
		return
	}
	t.mu.Lock()
	if e.rec.Sequence != rec.Sequence {
		t.mu.Unlock()
		notify(t.wakePersist)
		return
	}
	e.unwritten = false
	for _, s := range e.forgettable {
		if m, ok := t.members[s.worker]; ok {
			m.forgetParts = append(m.forgetParts, s.part)
		}
	}
	e.forgettable = nil
	var ticket *claim.Ticket
	mayHaveStarted := e.mayHaveStarted
	if rec.State.Final() {
		ticket, e.ticket = e.ticket, nil
	}
	t.mu.Unlock()
	if ticket != nil {
		t.resolveClaim(ctx, ticket, rec, mayHaveStarted)
	}
}

// deleteExpired deletes the jobs that ended longer ago than the retention.
func (t *term) deleteExpired(now time.Time) {
	retention := t.p.Config().Document.Defaults.ClaimRetention.Duration
	t.mu.Lock()
	var expired []job.Record
	for id, e := range t.jobs {
		if e.phase == ended && !e.unwritten && now.Sub(time.UnixMilli(e.rec.EndedUnixMS)) > retention {
			expired = append(expired, e.rec)
			delete(t.jobs, id)
		}
	}
	t.mu.Unlock()
	for _, r := range expired {
		ctx, cancel := context.WithTimeout(t.ctx, saveTimeout)
		if err := t.p.Records.Delete(ctx, r); err != nil {
			t.p.Meter.Inc("job_record_delete_failed")
		}
		cancel()
		t.p.Meter.Inc("job_record_expired")
	}
}

// reloadLoop reloads the persisted records every reloadInterval, or every
// reloadRetryDelay while that fails.
func (t *term) reloadLoop() {
	loaded := t.recordsLoaded()
	for {
		delay := reloadInterval
		if !loaded {
			delay = reloadRetryDelay
		}
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(delay):
		case <-t.wakeReload:
		}
		ctx, cancel := context.WithTimeout(t.ctx, saveTimeout)
		records, err := t.p.Records.Load(ctx, t.p.DataCentre)
		cancel()
		if err != nil {
			t.p.Meter.Inc("planner_reload_failed")
			loaded = false
			continue
		}
		loaded = true
		for _, op := range t.mergeRecords(records, time.Now()) {
			t.dispatch(op)
		}
	}
}
