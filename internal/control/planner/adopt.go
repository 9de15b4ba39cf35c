package planner

import (
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// rebuild builds the state of a new term from the persisted records and the
// workers' reports. Of several records of a job it uses the latest.
func (t *term) rebuild(records []job.Record, lists map[string]worker.Status, listed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := make(map[string]job.Record)
	addIfLater := func(r job.Record) {
		if old, ok := latest[r.ID]; !ok || r.Sequence > old.Sequence {
			latest[r.ID] = r
		}
	}
	for _, r := range records {
		addIfLater(r)
	}
	for id, s := range lists {
		t.applyListedStatus(id, s, listed)
		for _, ps := range s.Parts {
			var r job.Record
			if len(ps.Job) > 0 && json.Unmarshal(ps.Job, &r) == nil && r.ID == ps.JobID {
				addIfLater(r)
			}
		}
	}
	for _, r := range latest {
		for _, op := range t.adopt(r, listed) {
			// executeLoop has not started yet. Operations beyond the capacity
			// of the channel wait for it in the background.
			t.background.Go(func() { t.dispatch(op) })
		}
	}
}

// applyListedStatus applies a worker's status as its first report in the term.
// t.mu must be held.
func (t *term) applyListedStatus(id string, s worker.Status, listed time.Time) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.lastContact, m.lastStatus, m.leaving = listed, &s, s.Leaving
	t.refreshWorker(m)
}

// adopt adopts a job of an earlier term. A waiting job is queued, and a gang
// whose parts all run or are done is continued. Any other gang is stopped and
// queued again or, when it must not be started again, ended. t.mu must be held.
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

// adoptGang continues or stops a gang of an earlier term. t.mu must be held.
func (t *term) adoptGang(e *entry, now time.Time) []operation {
	t.state.Adopt(e.rec.Gang(), e.rec.Slots, now)
	e.queued, e.mayHaveStarted = true, true
	live, missing := t.loadParts(e)
	t.lease(e)
	t.advanceCheckpoint(e)
	complete := live+missing == len(partsByWorker(e.rec.Slots))
	if complete && !e.rec.CancelRequested {
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

// loadParts sets the parts of a gang from the last reports of its workers. live
// counts the parts that run or are done, missing those whose workers have not
// reported; parts of workers that are no longer listed are in neither count.
// t.mu must be held.
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

// shortenLossDeadline makes workers that have not reported in this term count
// as lost when the leases of the gang's other parts, as last renewed by the
// former planner, would have expired. t.mu must be held.
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

// mergeRecords applies records that were loaded during a term: unknown jobs are
// adopted, and jobs that another planner has ended or cancelled are ended or
// stopped here.
func (t *term) mergeRecords(records []job.Record, now time.Time) []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
	retention := t.p.Config().Document.Defaults.ClaimRetention.Duration
	var ops []operation
	for _, r := range records {
		e, known := t.jobs[r.ID]
		switch {
		case !known && r.State.Final() && now.Sub(time.UnixMilli(r.EndedUnixMS)) > retention:
		case !known:
			t.p.Meter.Inc("planner_job_found_late")
			ops = append(ops, t.adopt(r, now)...)
		case e.phase != ended && r.State.Final():
			t.p.Meter.Inc("planner_job_ended_elsewhere")
			t.applyFinalRecord(e, r)
		case !e.rec.CancelRequested && r.CancelRequested && e.phase != ended:
			e.rec.CancelRequested = true
			if t.beginCancel(e) {
				ops = append(ops, operation{kind: stopGang, entry: e, outcome: job.Cancelled, reason: r.Reason})
			}
		}
	}
	return ops
}

// applyFinalRecord applies the final record that another planner has persisted.
// Parts that still run are later stopped as left over. t.mu must be held.
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
