package planner

import (
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// rebuild fills a new term's state from the kept records and the workers'
// lists, of which the latest record of each job counts.
func (t *term) rebuild(records []job.Record, lists map[string]worker.Status, listed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := make(map[string]job.Record)
	keepLater := func(r job.Record) {
		if old, ok := latest[r.ID]; !ok || r.Sequence > old.Sequence {
			latest[r.ID] = r
		}
	}
	for _, r := range records {
		keepLater(r)
	}
	for id, s := range lists {
		t.applyListedStatus(id, s, listed)
		for _, ps := range s.Parts {
			var r job.Record
			if len(ps.Job) > 0 && json.Unmarshal(ps.Job, &r) == nil && r.ID == ps.JobID {
				keepLater(r)
			}
		}
	}
	for _, r := range latest {
		for _, op := range t.adopt(r, listed) {
			// The ring holds the operations of a term that has just begun; those
			// beyond it wait for the execution duty.
			t.background.Go(func() { t.dispatch(op) })
		}
	}
}

// applyListedStatus takes a worker's list as its first report. t.mu is held.
func (t *term) applyListedStatus(id string, s worker.Status, listed time.Time) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.lastContact, m.lastStatus, m.leaving = listed, &s, s.Leaving
	t.refreshWorker(m)
}

// adopt takes a job of an earlier term: one that waits is queued, a gang whose
// parts all run or are done is continued, any other is stopped and put back, or
// ended when it must not start again. t.mu is held.
func (t *term) adopt(r job.Record, now time.Time) []operation {
	if _, ok := t.jobs[r.ID]; ok {
		return nil
	}
	e := &entry{rec: r, parts: make(map[string]worker.PartStatus)}
	t.jobs[r.ID] = e
	switch {
	case r.State.Final():
		e.phase = ended
		return nil
	case r.Attempt == "" || len(r.Slots) == 0 || r.State == job.Waiting:
		t.recordDecision(e, "taken over while it waited")
		if r.CancelRequested {
			t.finish(e, job.Cancelled, "cancelled by the caller")
			return nil
		}
		t.enqueue(e)
		return nil
	}
	return t.adoptGang(e, now)
}

// adoptGang continues or stops a gang of an earlier term. t.mu is held.
func (t *term) adoptGang(e *entry, now time.Time) []operation {
	t.state.Adopt(e.rec.Gang(), e.rec.Slots, now)
	e.queued, e.mayHaveStarted = true, true
	live, missing := t.loadParts(e)
	t.lease(e)
	t.advanceCheckpoint(e)
	whole := live+missing == len(partsByWorker(e.rec.Slots))
	if whole && !e.rec.CancelRequested {
		e.phase, e.confirmedAt, e.checkpointedAt = running, time.Now(), now
		e.rec.State = job.Running
		t.shortenLossDeadline(e)
		t.p.Meter.Inc("gang_adopted")
		t.recordDecision(e, "adopted from a former planner")
		t.finishIfDone(e)
		return nil
	}
	t.p.Meter.Inc("gang_not_adopted")
	op := t.beginStop(e, "a former planner left it started in part", true)
	return []operation{op}
}

// loadParts takes the last reports of a gang's workers. live counts the parts
// that run or are done, missing those whose workers have not reported; parts of
// workers that are gone are neither. t.mu is held.
func (t *term) loadParts(e *entry) (live, missing int) {
	for id := range partsByWorker(e.rec.Slots) {
		m, ok := t.members[id]
		if !ok {
			continue
		}
		if m.lastStatus == nil {
			missing++
			continue
		}
		for _, ps := range m.lastStatus.Parts {
			if ps.Part != e.part() {
				continue
			}
			e.parts[id] = ps
			if ps.State == worker.Running || ps.State == worker.Done {
				live++
			}
		}
	}
	return live, missing
}

// shortenLossDeadline makes workers that have not reported in this term count as lost
// when the lease of the gang's other parts, as the former planner renewed it,
// would have run out. t.mu is held.
func (t *term) shortenLossDeadline(e *entry) {
	lease := t.p.lease()
	left := lease
	for _, ps := range e.parts {
		if ps.State == worker.Running {
			left = min(left, time.Duration(ps.LeaseLeftMS)*time.Millisecond)
		}
	}
	renewed := time.Now().Add(left - lease)
	for id := range partsByWorker(e.rec.Slots) {
		m, ok := t.members[id]
		if ok && m.lastStatus == nil && renewed.Before(m.lastContact) {
			m.lastContact = renewed
		}
	}
}

// mergeRecords takes records that were read during a term: jobs that are new here are
// adopted, and those that another planner has ended are stopped.
func (t *term) mergeRecords(records []job.Record, now time.Time) []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
	retention := t.p.Config().Document.Defaults.ClaimRetention.Duration
	var decided []operation
	for _, r := range records {
		e, known := t.jobs[r.ID]
		switch {
		case !known && r.State.Final() && now.Sub(time.UnixMilli(r.EndedUnixMS)) > retention:
		case !known:
			t.p.Meter.Inc("planner_job_found_late")
			decided = append(decided, t.adopt(r, now)...)
		case e.phase != ended && r.State.Final():
			t.p.Meter.Inc("planner_job_ended_elsewhere")
			t.applyFinalRecord(e, r)
		case !e.rec.CancelRequested && r.CancelRequested && e.phase != ended:
			e.rec.CancelRequested = true
			if t.beginCancel(e) {
				decided = append(decided, operation{kind: stopGang, entry: e, outcome: job.Cancelled, reason: r.Reason})
			}
		}
	}
	return decided
}

// applyFinalRecord takes over the final record that another planner has kept. Parts
// that still run are stopped as left over. t.mu is held.
func (t *term) applyFinalRecord(e *entry, r job.Record) {
	if e.phase == starting || e.phase == stopping {
		return
	}
	t.removeFromState(e.rec.ID, r.State)
	t.dropLeases(e)
	e.phase = ended
	e.rec = r
	e.unwritten = false
	t.recordDecision(e, r.Reason)
	notify(t.wakePlan)
}
