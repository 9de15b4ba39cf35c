package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// A capacity that has shrunk counts a stable window and one heartbeat later. So a start that
// takes effect sooner than that after its worker registered is within the capacity.

// startLimit returns the reading of a worker's clock until which starts may take effect by
// the capacity that it registered; 0 if the time of that is not known. The registered clock
// may be missing or wrong, so a change between two readings tells the time as well.
func (t *term) startLimit(w *worker) time.Duration {
	limit, left := time.Duration(0), t.p.Bounds.StableWindow+t.p.Bounds.HeartbeatInterval
	if r := w.info.RegisteredAt; r != 0 && r <= w.clockAt(boottime.Now())+2*w.roundTrip {
		limit = r + time.Duration(float64(left)*minClockRate)
	}
	if w.changedAfter != 0 {
		limit = max(limit, w.earliestClockAt(w.changedAfter.Add(left)))
	}
	if w.info.RegisteredAt == 0 && t.listedAt.Sub(max(w.changedAfter, t.listableSince)) > expiryHeartbeats*t.p.Bounds.HeartbeatInterval {
		// Heartbeats don't change the entry, or it would have expired.
		limit = max(limit, w.earliestClockAt(t.listedAt.Add(t.p.Bounds.StableWindow)))
	}
	return limit
}

// expiryHeartbeats exceeds the number of heartbeat intervals after which the entry of a
// silent worker is removed.
const expiryHeartbeats = 4

// earliestClockAt returns the earliest reading that the worker's clock may have at a time.
func (w *worker) earliestClockAt(at boottime.Time) time.Duration {
	d := at.Sub(w.respondedAt)
	if d > 0 {
		d = time.Duration(float64(d) * minClockRate)
	}
	return w.clock + d
}

// knowsCapacity reports whether the incarnation of a worker that responds has registered,
// and its capacity is known for starts that take effect within a time from now.
func (t *term) knowsCapacity(w *worker, within time.Duration) bool {
	if w.info.Incarnation != 0 && w.info.Incarnation != w.incarnation {
		return false
	}
	return t.p.Bounds.StableWindow == 0 || w.clockAt(boottime.Now())+within+2*w.roundTrip <= t.startLimit(w)
}

// startDeadline returns the deadline of a start on the worker's clock.
func (t *term) startDeadline(w *worker, now boottime.Time) time.Duration {
	deadline := w.clockAt(now) + startWindow + 2*w.roundTrip
	if t.p.Bounds.StableWindow == 0 {
		return deadline
	}
	return min(deadline, t.startLimit(w))
}

// listPause returns the pause before the next reading of the registrations. It is shorter
// while the capacity of a worker that responds is not known.
func (t *term) listPause() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.listed {
		if w.responded && !w.unresponsive && !t.knowsCapacity(w, startWindow) {
			return retryPause
		}
	}
	return listInterval
}

// abortIfOversized aborts a unit none of whose starts was sent if they would exceed a
// capacity that has shrunk since the unit was placed, or might.
func (t *term) abortIfOversized(u *unit) {
	fits := true
	for _, m := range u.members {
		if m.startSent {
			return
		}
		if w := t.workers[m.worker]; w != nil {
			fits = fits && t.knowsCapacity(w, orderTimeout) && w.occupied().Fits(w.info.Capacity)
		}
	}
	if !fits && !u.aborting {
		t.p.Meter.Inc("start_oversized")
		t.abortRun(u, cause.StartFailed)
	}
}

// setInfo sets what a worker registered. A new incarnation may be of another kind.
func (t *term) setInfo(w *worker, info model.Worker) {
	before := w.info
	w.info = info
	if before.Revision != info.Revision {
		w.changedAfter = t.listedAt
		w.coldUntil = boottime.Now().Add(info.ColdTime)
	}
	t.addSize(&info)
	if before.ID == "" || before.Incarnation != info.Incarnation {
		return
	}
	if before.Capacity == info.Capacity {
		return
	}
	t.p.Meter.Inc("worker_capacity_changed")
	t.p.Log.Info("worker capacity changed", "worker", w.id, "before", before.Capacity, "after", info.Capacity,
		"runs", len(w.members), "over", w.occupied().Minus(info.Capacity).Max(model.Shape{}))
}
