package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/progress"
)

const (
	// slowTime is how long a worker whose tasks do not advance gets no new work,
	// counted from the last list that shows it. It doubles each time that the
	// worker is found slow again, as each time costs the tasks that find it out.
	slowTime = 5 * time.Second
	// maxSlowDoublings bounds the doubling.
	maxSlowDoublings = 3
	// maxMoves bounds how often a unit is moved off slow workers.
	maxMoves = 2
)

// gauge takes the progress of a task in, by its worker's clock.
func (t *term) gauge(w *worker, m *member) {
	u := m.unit
	if u.step().LongRunning || u.breaking || !u.whole() {
		return
	}
	usual := progress.Reference{Estimate: u.step().Estimate}
	home := t.home(u)
	if home {
		usual.SiblingRate = u.job.rates[u.key.step]
	}
	m.gauge.Observe(m.percent, w.clock, usual)
	if home && m.gauge.State != progress.Slow && m.gauge.BestRate > usual.SiblingRate {
		if u.job.rates == nil {
			u.job.rates = make(map[int]float64)
		}
		u.job.rates[u.key.step] = m.gauge.BestRate
	}
}

// whole reports whether all members are known to have begun.
func (u *unit) whole() bool {
	for _, m := range u.members {
		if !m.listed {
			return false
		}
	}
	return len(u.members) == u.tasks()
}

// home reports whether a unit runs where its work takes no longer: near its data
// and, if it must not leave a rack, in one.
func (t *term) home(u *unit) bool {
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

// judge closes a worker all of whose watched tasks are slow, and moves those
// that are better off elsewhere.
func (t *term) judge(w *worker) {
	slow, sound := 0, 0
	for _, m := range w.members {
		switch m.gauge.State {
		case progress.Slow:
			slow++
		case progress.Healthy:
			sound++
		case progress.Unknown:
		}
	}
	now := time.Now()
	if slow == 0 || sound > 0 {
		if sound > 0 && now.Before(w.slowUntil) {
			t.p.Log.Info("worker advances again", "worker", w.id, "sound", sound)
			w.slowUntil, w.slowTimes = time.Time{}, 0
		}
		return
	}
	if !now.Before(w.slowUntil) {
		w.slowTimes++
		t.p.Meter.Inc("worker_slow")
		t.p.Log.Warn("worker is slow", "worker", w.id, "slow", slow, "runs", len(w.members))
	}
	w.slowUntil = now.Add(slowTime << min(w.slowTimes-1, maxSlowDoublings))
	for _, m := range w.sorted() {
		t.moveIfBetter(w, m)
	}
}

// moveIfBetter stops an urgent unit on a slow worker that is done sooner elsewhere.
// Others would have to wait for room there.
func (t *term) moveIfBetter(w *worker, m *member) {
	u := m.unit
	saved := u.step().Checkpoints
	if u.done || u.breaking || u.job.ended() || u.moves >= maxMoves || u.job.queue.Priority != 0 {
		return
	}
	if !m.gauge.FasterElsewhere(u.job.rates[u.key.step], saved, w.clock) {
		return
	}
	u.moves++
	t.p.Meter.Inc("moved_off_slow")
	t.p.Log.Info("moved off a slow worker", "job", u.job.id, "task", m.task(), "run", m.run, "worker", w.id, "percent", m.percent,
		"rate", m.gauge.Rate, "usual", max(m.gauge.BestRate, u.job.rates[u.key.step]), "checkpoints", saved)
	t.broken(u)
}
