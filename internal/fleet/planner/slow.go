package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/progress"
)

const (
	// slowCloseTime is how long a worker whose tasks do not progress gets no new units,
	// counted from its last report that shows this. It doubles each time that the worker
	// is found slow again, since each detection delays the tasks that are placed there.
	slowCloseTime = 5 * time.Second
	// maxSlowDoublings bounds the doubling.
	maxSlowDoublings = 3
	// maxMoves bounds how often a unit is moved off slow workers.
	maxMoves = 2
)

// trackProgress records the progress of a task at the time of its worker's clock.
func (t *term) trackProgress(w *worker, m *member) {
	u := m.unit
	if u.step().LongRunning || u.aborting || !u.allReported() {
		return
	}
	reference := progress.Reference{Estimate: time.Duration(t.estimateOf(u) * float64(time.Second))}
	wellPlaced := t.wellPlaced(u)
	if wellPlaced {
		reference.SiblingRate = u.job.bestRates[u.key.step]
	}
	m.tracker.Observe(m.percent, w.clock, reference)
	if wellPlaced && m.tracker.State != progress.Slow && m.tracker.BestRate > reference.SiblingRate {
		if u.job.bestRates == nil {
			u.job.bestRates = make(map[int]float64)
		}
		u.job.bestRates[u.key.step] = m.tracker.BestRate
	}
	t.observePace(w, m, m.percent, wellPlaced)
}

// allReported reports whether all members were reported as running.
func (u *unit) allReported() bool {
	for _, m := range u.members {
		if !m.reported {
			return false
		}
	}
	return len(u.members) == u.tasks()
}

// wellPlaced reports whether a unit runs at full speed: in the rack of its data and, if
// it must not leave a rack, in a single one.
func (t *term) wellPlaced(u *unit) bool {
	s := u.step()
	rack := s.Rack
	for _, m := range u.members {
		w := t.workers[m.worker]
		switch {
		case w == nil:
			return false
		case rack == "" && s.SameRack:
			rack = w.info.Rack
		case rack != "" && w.info.Rack != rack:
			return false
		}
	}
	return true
}

// checkSlow closes a worker if all its tasks with a known rate are slow, and moves the
// tasks that would finish sooner elsewhere.
func (t *term) checkSlow(w *worker) {
	if t.p.Disabled[policy.SlowWorkers] {
		return
	}
	slow, healthy := 0, 0
	for _, m := range w.members {
		switch m.tracker.State {
		case progress.Slow:
			slow++
		case progress.Healthy:
			healthy++
		case progress.Unknown:
		}
	}
	now := time.Now()
	if slow == 0 || healthy > 0 {
		if healthy > 0 && now.Before(w.slowUntil) {
			t.p.Log.Info("worker makes progress again", "worker", w.id, "sound", healthy)
			w.slowUntil, w.slowCount = time.Time{}, 0
		}
		return
	}
	if !now.Before(w.slowUntil) {
		w.slowCount++
		t.p.Meter.Inc("worker_slow")
		t.p.Log.Warn("worker is slow", "worker", w.id, "slow", slow, "runs", len(w.members))
	}
	w.slowUntil = now.Add(slowCloseTime << min(w.slowCount-1, maxSlowDoublings))
	for _, m := range w.sorted() {
		t.moveIfFasterElsewhere(w, m)
	}
}

// moveIfFasterElsewhere stops an urgent unit on a slow worker if it would finish sooner
// elsewhere. Units of lower priority are not moved, since they would have to wait for
// free capacity.
func (t *term) moveIfFasterElsewhere(w *worker, m *member) {
	u := m.unit
	checkpoints := u.step().Checkpoints
	if u.done || u.aborting || u.job.ended() || u.moves >= maxMoves || u.job.queue.Priority != 0 {
		return
	}
	if !m.tracker.FasterElsewhere(u.job.bestRates[u.key.step], checkpoints, w.clock) {
		return
	}
	u.moves++
	t.p.Meter.Inc("moved_off_slow")
	t.p.Log.Info("moved off a slow worker", "job", u.job.id, "task", m.task(), "run", m.run, "worker", w.id, "percent", m.percent,
		"rate", m.tracker.Rate, "usual", max(m.tracker.BestRate, u.job.bestRates[u.key.step]), "checkpoints", checkpoints)
	t.abortRun(u, cause.Moved)
}
