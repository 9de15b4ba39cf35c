package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
)

const (
	// saveTimeout bounds the keeping of one record.
	saveTimeout = 2 * time.Second
	// saveRetryDelay is the time until records that were not kept are tried
	// again.
	saveRetryDelay = 500 * time.Millisecond
	// maxSaves bounds the records that are kept at once.
	maxSaves = 8
	// reloadInterval is the time between two readings of the kept records,
	// which find jobs whose hand-over was lost with their VM.
	reloadInterval = 60 * time.Second
	// reloadRetryDelay is the time until records that could not be read are
	// read again.
	reloadRetryDelay = time.Second
)

// persistLoop keeps changed records until they are kept, and deletes ended
// ones after their retention.
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
	var dirty []*entry
	for _, e := range t.jobs {
		if e.unwritten {
			dirty = append(dirty, e)
		}
	}
	return dirty
}

func (t *term) saveAll(entries []*entry) {
	places := make(chan struct{}, maxSaves)
	var wg sync.WaitGroup
	for _, e := range entries {
		places <- struct{}{}
		wg.Go(func() {
			t.save(e)
			<-places
		})
	}
	wg.Wait()
}

// save keeps one record. Its ended parts may be forgotten after that.
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
	begun := e.mayHaveStarted
	if rec.State.Final() {
		ticket, e.ticket = e.ticket, nil
	}
	t.mu.Unlock()
	if ticket != nil {
		t.resolveClaim(ctx, ticket, rec, begun)
	}
}

// deleteExpired forgets jobs that ended before the retention.
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

// reloadLoop reads the kept records again, soon when that has failed.
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
