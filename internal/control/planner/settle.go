package planner

import (
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// settling takes the workers' reports, ends the jobs whose tasks have all
// finished and orders the stop of gangs that have lost a member.
func (t *term) settling() {
	clock := time.NewTicker(tick)
	defer clock.Stop()
	for {
		var decided []operation
		select {
		case <-t.ctx.Done():
			return
		case r := <-t.reports:
			decided = t.take(r)
		case <-clock.C:
			decided = t.findLost(time.Now())
		}
		for _, op := range decided {
			t.order(op)
		}
	}
}

// take folds one report into the state and returns what has to be done.
func (t *term) take(r report) []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[r.worker]
	if !ok || r.asked.Before(m.seen) {
		return nil
	}
	first := m.last == nil
	m.seen, m.last = r.asked, &r.status
	if first {
		t.refreshWorker(m)
	}
	if m.silent {
		m.silent = false
		t.p.Log.Info("worker reports again", "worker", r.worker)
		t.refreshWorker(m)
	}
	if r.status.Leaving != m.leaving {
		m.leaving = r.status.Leaving
		t.p.Log.Info("worker changed", "worker", r.worker, "leaving", m.leaving)
		t.refreshWorker(m)
	}
	shown := make(map[worker.Part]bool, len(r.status.Parts))
	var decided []operation
	for _, ps := range r.status.Parts {
		shown[ps.Part] = true
		decided = append(decided, t.takePart(m, ps, r.asked)...)
	}
	for part, l := range m.leases {
		e := l.entry
		if e.phase == running && !shown[part] && r.asked.After(e.confirmed) && e.parts[r.worker].State != worker.Done {
			decided = append(decided, t.lost(e, r.worker, "is not there any more", true))
		}
	}
	return decided
}

// takePart folds the report of one part. t.mu is held.
func (t *term) takePart(m *member, ps worker.PartStatus, asked time.Time) []operation {
	e, ok := t.jobs[ps.JobID]
	if !ok {
		return t.takeStranger(ps)
	}
	if e.part() != ps.Part || e.phase == waiting || e.phase == ended {
		return t.takeLeftover(m, e, ps)
	}
	e.parts[m.vm.ID] = ps
	if e.phase != running || asked.Before(e.confirmed) {
		return nil
	}
	t.advance(e)
	switch ps.State {
	case worker.Running, worker.Done:
		t.finishWhole(e)
		return nil
	case worker.Failed:
		t.blame(e, m)
	}
	return []operation{t.lost(e, m.vm.ID, "is "+string(ps.State), false)}
}

// takeStranger adopts a part of a job that this term has not seen: the worker
// was not reached, or the records not read, when the term began. t.mu is held.
func (t *term) takeStranger(ps worker.PartStatus) []operation {
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

// takeLeftover stops a part of an attempt that is not in force, and lets the
// worker forget it once it has ended. t.mu is held.
func (t *term) takeLeftover(m *member, e *entry, ps worker.PartStatus) []operation {
	if ps.State == worker.Running || ps.State == worker.Reserved {
		t.p.Meter.Inc("planner_part_left_over")
		return []operation{{kind: stopPart, entry: e, worker: m.vm.ID, part: ps.Part}}
	}
	if !e.dirty {
		m.forget = append(m.forget, ps.Part)
	}
	return nil
}

// advance takes over the work that all parts have kept. t.mu is held.
func (t *term) advance(e *entry) {
	e.rec.CheckpointMS = max(e.rec.CheckpointMS, e.rec.BaseMS+e.common())
}

// common returns the work of the current attempt, in milliseconds, that every
// part's last checkpoint keeps.
func (e *entry) common() int64 {
	least, first := int64(0), true
	for id := range partsOf(e.rec.Slots) {
		kept := e.parts[id].CheckpointMS
		if e.parts[id].State == worker.Done {
			kept = e.parts[id].ProgressMS
		}
		if first || kept < least {
			least, first = kept, false
		}
	}
	return least
}

// finishWhole ends a job whose parts are all done. t.mu is held.
func (t *term) finishWhole(e *entry) {
	for id := range partsOf(e.rec.Slots) {
		if e.parts[id].State != worker.Done {
			return
		}
	}
	t.finish(e, job.Done, "all tasks finished")
}

// lost begins the stop of a gang that has lost a member. unsure says that the
// member's tasks may have finished. t.mu is held.
func (t *term) lost(e *entry, id, what string, unsure bool) operation {
	t.p.Meter.Inc("gang_member_lost")
	return t.beginStop(e, "a member was lost: worker "+id+": its part "+what, unsure)
}

// beginStop begins the stop of a running gang, after which the job is queued
// again or, when it must not start again, ends. t.mu is held.
func (t *term) beginStop(e *entry, reason string, unsure bool) operation {
	e.phase = stopping
	t.release(e)
	t.note(e, reason)
	op := operation{kind: stopGang, entry: e, reason: reason}
	if !e.rec.Idempotent {
		op.outcome = job.Failed
		if unsure {
			op.outcome = job.Unknown
		}
	}
	return op
}

// findLost looks for workers that have been silent for too long, are gone or
// leave, and returns what has to be done about their gangs.
func (t *term) findLost(now time.Time) []operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.p.lostAfter()
	var decided []operation
	for id, m := range t.members {
		if !m.silent && now.Sub(m.seen) > limit {
			m.silent = true
			t.p.Meter.Inc("planner_worker_silent")
			t.p.Log.Info("worker is silent", "worker", id)
			t.refreshWorker(m)
		}
		if m.gone && len(m.leases) == 0 {
			t.state.RemoveWorker(id)
			delete(t.members, id)
			continue
		}
		if !m.leaves() {
			continue
		}
		for _, l := range m.leases {
			if e := l.entry; e.phase == running && e.parts[id].State != worker.Done {
				decided = append(decided, t.leave(e, m)...)
			}
		}
	}
	return decided
}

// leave moves a gang away from a worker that is lost or leaves. A job that must
// not start again stays at a worker that only leaves. t.mu is held.
func (t *term) leave(e *entry, m *member) []operation {
	switch {
	case m.silent:
		return []operation{t.lost(e, m.vm.ID, "is silent", true)}
	case m.gone:
		return []operation{t.lost(e, m.vm.ID, "is gone with its worker", true)}
	case !e.rec.Idempotent:
		return nil
	}
	e.phase = stopping
	t.p.Meter.Inc("gang_member_leaving")
	t.note(e, "worker "+m.vm.ID+" leaves")
	return []operation{{kind: preemptGang, entry: e, reason: "worker " + m.vm.ID + " leaves"}}
}
