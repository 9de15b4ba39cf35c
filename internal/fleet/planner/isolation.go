package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
)

// A suspected unit starts on workers of its own where it need not wait long for them, so that
// its next loss is evidence about it alone.

const (
	// isolationWait bounds the wait of a suspected unit for workers of its own, and of other
	// units for workers other than those.
	isolationWait = overdueAfter
	// probationTime is how long a suspected task must run before the next one of its job
	// may start.
	probationTime = 2 * time.Second
)

// isolate makes a suspected unit that waits start on workers of its own, outside the racks in
// which it was lost. It waits for such workers for a limited time.
func (v *view) isolate(u *unit, in *placement.Unit, now time.Time) {
	if u.isolateUntil.IsZero() {
		u.isolateUntil = now.Add(u.isolationWait())
	}
	if in.Avoid == nil {
		in.Avoid = make(map[int]bool)
	}
	if !now.Before(u.isolateUntil) {
		v.keepApart(u, in)
		return
	}
	v.isolated[u], in.Nominated = true, nil
	p := v.probation[u.job]
	p.starting++
	v.probation[u.job] = p
	v.avoidForSuspect(u, in.Avoid)
	if u.lostIn(in.Rack) {
		in.Rack = ""
	}
}

// isolationWait returns how long a suspected unit waits for workers of its own.
func (u *unit) isolationWait() time.Duration {
	if u.step().LongRunning && !u.hasLastStarts {
		return 0
	}
	return isolationWait
}

// heldBack reports whether a suspected unit waits until it is known whether its losses are
// crashes and have a common cause, until it starts apart from units that were lost with it, or
// until others of its job have run for probationTime. One more may be on probation than have
// passed it.
func (v *view) heldBack(u *unit) bool {
	if !u.suspect {
		return false
	}
	for _, e := range u.evidence() {
		if u.hasNoStarts(e) || u.isProven(e) {
			return true
		}
	}
	if boottime.Now() < u.startAfter {
		return true
	}
	if u.step().LongRunning {
		return false
	}
	p := v.probation[u.job]
	return p.running+p.starting > p.passed
}

// probation counts the suspected units of a job.
type probation struct {
	// running are those that have not yet run for probationTime, passed those that have, and
	// starting those that wait and may start in this pass.
	running, passed, starting int
}

// countProbation counts the suspected units that run, by job.
func (t *term) countProbation() map[*job]probation {
	byJob := make(map[*job]probation)
	for u := range t.lossy {
		if !u.suspect || len(u.members) == 0 {
			continue
		}
		p := byJob[u.job]
		if t.onProbation(u) {
			p.running++
		} else {
			p.passed++
		}
		byJob[u.job] = p
	}
	return byJob
}

// onProbation reports whether a task of a unit has not yet run for probationTime, as far as
// its worker has responded.
func (t *term) onProbation(u *unit) bool {
	for _, m := range u.members {
		w := t.workers[m.worker]
		if m.startAckedAt == 0 || w == nil || w.unresponsive || w.respondedAt.Sub(m.startAckedAt) < probationTime {
			return true
		}
	}
	return false
}

// avoidForSuspect adds the workers on which an isolated unit must not start: those that run
// anything, and those in racks in which it was lost if the others have room. If its next
// start may be the last, it waits for that room.
func (v *view) avoidForSuspect(u *unit, avoid map[int]bool) {
	var lossRacks []int
	room, last := 0, u.hasLastStarts
	for i, w := range v.workers {
		occupied := len(w.members) > 0 || len(w.unknownRuns) > 0
		if occupied {
			avoid[i] = true
		}
		switch {
		case u.lostIn(w.info.Rack):
			lossRacks = append(lossRacks, i)
		case !occupied || last:
			room += v.roomFor(i, u, last)
		}
	}
	if room < u.tasks() {
		return
	}
	for _, i := range lossRacks {
		avoid[i] = true
	}
}

func (u *unit) lostIn(rack string) bool {
	return slices.ContainsFunc(u.losses, func(l LossRecord) bool { return l.Rack == rack })
}

// roomFor returns how many tasks of a unit could start on a worker now, or would fit if it
// ran nothing.
func (v *view) roomFor(i int, u *unit, empty bool) int {
	w, s := &v.in.Workers[i], u.step()
	if !w.Schedulable || w.Service != u.job.queue.Service || !w.HasLabel(s.Label) {
		return 0
	}
	free := w.Free
	if empty {
		free = w.Capacity
	}
	return placement.CountFits(s.CountedShape(), free, u.tasks())
}

// avoidIsolated makes a unit that waits avoid the workers of isolated units, for a limited
// time. Units within their account's guarantee start there all the same.
func (v *view) avoidIsolated(u *unit, in *placement.Unit, now time.Time) {
	if len(v.isolatedWorkers) == 0 || in.Guaranteed {
		return
	}
	if u.shareAfter.IsZero() {
		u.shareAfter = now.Add(isolationWait)
	}
	if !now.Before(u.shareAfter) {
		return
	}
	if in.Avoid == nil {
		in.Avoid = make(map[int]bool)
	}
	for _, i := range v.isolatedWorkers {
		in.Avoid[i] = true
	}
}

// keepApart makes a suspected unit that starts beside others avoid the workers of those
// with which it must not be lost. A long-running unit does so only if there is room elsewhere,
// since it must not wait.
func (v *view) keepApart(u *unit, in *placement.Unit) {
	var avoid []int
	room := 0
	for i, w := range v.workers {
		if w.hasSuspectFor(u) {
			avoid = append(avoid, i)
		} else {
			room += v.roomFor(i, u, false)
		}
	}
	if u.step().LongRunning && room < u.tasks() {
		return
	}
	v.apart[u] = true
	for _, i := range avoid {
		in.Avoid[i] = true
		if slices.Contains(in.Nominated, i) {
			in.Nominated = nil
		}
	}
}

// isApartFrom reports whether two units must not be lost together again: each of them may
// have caused the losses of the other, and the next loss of one of them may fail it.
func (u *unit) isApartFrom(o *unit) bool {
	return u != o && u.suspect && o.suspect && (u.hasLastStarts || o.hasLastStarts) && u.lostWith(o) >= suspectLosses
}

// lostWith returns how many losses of a unit were on worker incarnations with which another
// unit was lost too.
func (u *unit) lostWith(o *unit) int {
	n := 0
	for _, l := range u.losses {
		if slices.ContainsFunc(o.losses, func(k LossRecord) bool { return k.Worker == l.Worker && k.Incarnation == l.Incarnation }) {
			n++
		}
	}
	return n
}

// hasSuspectFor reports whether a worker runs a unit with which u must not be lost, and
// which has not run for isolationTime.
func (w *worker) hasSuspectFor(u *unit) bool {
	for _, m := range w.members {
		if m.unit.isApartFrom(u) && (m.startAckedAt == 0 || boottime.Since(m.startAckedAt) < isolationTime) {
			return true
		}
	}
	return false
}

// keepsIsolation reports whether an assignment places no unit beside an isolated one that
// is placed in the same pass, unless it is within its account's guarantee, and none beside
// one with which it must not be lost. It records the assignment if so.
func (v *view) keepsIsolation(u *unit, workers []int) bool {
	if len(v.isolated) == 0 && len(v.apart) == 0 {
		return true
	}
	guaranteed := u.job.guaranteed && !v.isolated[u]
	for _, k := range workers {
		for _, o := range v.placedOn[k] {
			alone := o != u && !guaranteed && (v.isolated[u] || v.isolated[o])
			if alone || u.isApartFrom(o) && (v.apart[u] || v.apart[o]) {
				return false
			}
		}
	}
	for _, k := range workers {
		v.placedOn[k] = append(v.placedOn[k], u)
	}
	return true
}

// isIsolated reports whether a worker runs a unit that must be alone.
func (w *worker) isIsolated() bool {
	for _, m := range w.members {
		if m.unit.isolated {
			return true
		}
	}
	return false
}
