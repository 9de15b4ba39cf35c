package planner

import (
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// reportLoop processes the workers' reports, ends the jobs whose tasks have all
// finished and stops gangs that have lost a member.
func (t *term) reportLoop() {
	clock := time.NewTicker(tickInterval)
	defer clock.Stop()
	for {
		var ops []operation
		select {
		case <-t.ctx.Done():
			return
		case r := <-t.reports:
			ops = t.applyReport(r)
		case <-clock.C:
			ops = t.checkMembers(time.Now())
		}
		for _, op := range ops {
			t.dispatch(op)
		}
	}
}

// applyReport applies a report to the state and returns the operations that
// follow from it.
func (t *term) applyReport(r report) []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[r.worker]
	if !ok || r.sentAt.Before(m.lastContact) {
		return nil
	}
	first := m.lastStatus == nil
	m.lastContact, m.lastStatus = r.sentAt, &r.status
	if first {
		t.refreshWorker(m)
	}
	if m.unresponsive {
		m.unresponsive = false
		t.p.Log.Info("worker responds again", "worker", r.worker)
		t.refreshWorker(m)
	}
	if r.status.Leaving != m.leaving {
		m.leaving = r.status.Leaving
		t.p.Log.Info("worker changed", "worker", r.worker, "leaving", m.leaving)
		t.refreshWorker(m)
	}
	listed := make(map[worker.Part]bool, len(r.status.Parts))
	var ops []operation
	for _, ps := range r.status.Parts {
		listed[ps.Part] = true
		ops = append(ops, t.applyPart(m, ps, r.sentAt)...)
	}
	for part, l := range m.leases {
		e := l.entry
		if e.phase == running && !listed[part] && r.sentAt.After(e.confirmedAt) && e.parts[r.worker].State != worker.Done {
			ops = append(ops, t.memberLost(e, r.worker, "is not there any more", true))
		}
	}
	return ops
}

// applyPart applies the report on one part. t.mu must be held.
func (t *term) applyPart(m *member, ps worker.PartStatus, sentAt time.Time) []operation {
	e, ok := t.jobs[ps.JobID]
	if !ok {
		return t.adoptUnknownPart(ps)
	}
	if e.part() != ps.Part || e.phase == waiting || e.phase == ended {
		return t.handleLeftover(m, e, ps)
	}
	e.parts[m.vm.ID] = ps
	if e.phase != running || sentAt.Before(e.confirmedAt) {
		return nil
	}
	t.advanceCheckpoint(e)
	switch ps.State {
	case worker.Running, worker.Done:
		t.finishIfDone(e)
		return nil
	case worker.Failed:
		t.attributeFailure(e, m)
	}
	return []operation{t.memberLost(e, m.vm.ID, "is "+string(ps.State), false)}
}

// adoptUnknownPart adopts the job of a part that is unknown in this term,
// because the worker could not be reached or the records not be loaded when the
// term began. t.mu must be held.
func (t *term) adoptUnknownPart(ps worker.PartStatus) []operation {
	var rec job.Record
	if len(ps.Job) == 0 || json.Unmarshal(ps.Job, &rec) != nil || rec.ID != ps.JobID {
		if ps.State != worker.Running && ps.State != worker.Reserved {
			return nil
		}
		t.p.Meter.Inc("planner_part_unknown")
		return nil
	}
	t.p.Meter.Inc("planner_part_adopted_late")
	return t.adopt(rec, time.Now())
}

// handleLeftover stops a part of an attempt that is not the current one. It
// lets the worker forget the part once the part has ended and the record is
// persisted. t.mu must be held.
func (t *term) handleLeftover(m *member, e *entry, ps worker.PartStatus) []operation {
	if ps.State == worker.Running || ps.State == worker.Reserved {
		t.p.Meter.Inc("planner_part_left_over")
		return []operation{{kind: stopPart, entry: e, worker: m.vm.ID, part: ps.Part}}
	}
	if !e.unwritten {
		m.forgetParts = append(m.forgetParts, ps.Part)
	}
	return nil
}

// advanceCheckpoint advances the job's checkpoint to the work that all parts
// have checkpointed. t.mu must be held.
func (t *term) advanceCheckpoint(e *entry) {
	e.rec.CheckpointMS = max(e.rec.CheckpointMS, e.rec.BaseMS+e.commonCheckpointMS())
}

// commonCheckpointMS returns the work of the current attempt, in milliseconds,
// that the last checkpoint of every part contains.
func (e *entry) commonCheckpointMS() int64 {
	least, first := int64(0), true
	for id := range partsByWorker(e.rec.Slots) {
		checkpointed := e.parts[id].CheckpointMS
		if e.parts[id].State == worker.Done {
			checkpointed = e.parts[id].ProgressMS
		}
		if first || checkpointed < least {
			least, first = checkpointed, false
		}
	}
	return least
}

// finishIfDone ends a job whose parts are all done. t.mu must be held.
func (t *term) finishIfDone(e *entry) {
	for id := range partsByWorker(e.rec.Slots) {
		if e.parts[id].State != worker.Done {
			return
		}
	}
	t.finish(e, job.Done, "all tasks finished")
}

// memberLost begins the stop of a gang that has lost a member. mayHaveFinished
// reports whether the member's tasks may have finished. t.mu must be held.
func (t *term) memberLost(e *entry, id, problem string, mayHaveFinished bool) operation {
	t.p.Meter.Inc("gang_member_lost")
	return t.beginStop(e, "a member was lost: worker "+id+": its part "+problem, mayHaveFinished)
}

// beginStop begins the stop of a running gang. The job is then queued again or,
// when it must not be started again, ended. t.mu must be held.
func (t *term) beginStop(e *entry, reason string, mayHaveFinished bool) operation {
	e.phase = stopping
	t.releaseLeases(e)
	t.recordDecision(e, reason)
	op := operation{kind: stopGang, entry: e, reason: reason}
	if !e.rec.Idempotent {
		op.outcome = job.Failed
		if mayHaveFinished {
			op.outcome = job.Unknown
		}
	}
	return op
}

// checkMembers finds workers that have been unresponsive for too long, are no
// longer on the platform's list or are leaving, and returns the operations that
// follow for their gangs.
func (t *term) checkMembers(now time.Time) []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.p.lostAfter()
	var ops []operation
	for id, m := range t.members {
		if !m.unresponsive && now.Sub(m.lastContact) > limit {
			m.unresponsive = true
			t.p.Meter.Inc("planner_worker_silent")
			t.p.Log.Info("worker is silent", "worker", id)
			t.refreshWorker(m)
		}
		if m.delisted && len(m.leases) == 0 {
			t.state.RemoveWorker(id)
			delete(t.members, id)
			continue
		}
		if !m.needsEvacuation() {
			continue
		}
		for _, l := range m.leases {
			if e := l.entry; e.phase == running && e.parts[id].State != worker.Done {
				ops = append(ops, t.evacuate(e, m)...)
			}
		}
	}
	return ops
}

// evacuate moves a gang away from a worker that is lost or leaving. A job that
// must not be started again stays at a worker that is only leaving. t.mu must
// be held.
func (t *term) evacuate(e *entry, m *member) []operation {
	switch {
	case m.unresponsive:
		return []operation{t.memberLost(e, m.vm.ID, "is silent", true)}
	case m.delisted:
		return []operation{t.memberLost(e, m.vm.ID, "is gone with its worker", true)}
	case !e.rec.Idempotent:
		return nil
	}
	e.phase = stopping
	t.p.Meter.Inc("gang_member_leaving")
	t.recordDecision(e, "worker "+m.vm.ID+" leaves")
	return []operation{{kind: preemptGang, entry: e, reason: "worker " + m.vm.ID + " leaves"}}
}
