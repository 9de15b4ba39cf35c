package planner

import (
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
)

const (
	// explainPause is the time between two looks at what waits too long.
	explainPause = 3 * time.Second
	// longWait is how long a unit waits or stops before it is explained.
	longWait = 5 * time.Second
	// explained bounds the units that one look explains.
	explained = 4
)

// explainLong writes a line for the units that have waited longest, with what
// they wait for.
func (t *term) explainLong(v *view, now time.Time) {
	if now.Sub(t.explainedAt) < explainPause {
		return
	}
	t.explainedAt = now
	units := t.longWaiting(now)
	open := 0
	for i := range v.in.Workers {
		if v.in.Workers[i].Open {
			open++
		}
	}
	for _, u := range units[:min(len(units), explained)] {
		t.p.Log.Info("unit waits", "job", u.job.id, "step", u.key.step, "index", u.key.index, "tasks", u.tasks(), "shape", u.step().Counted(),
			"same_rack", u.step().SameRack, "label", u.step().Label, "rack", u.step().Rack, "age_ms", now.Sub(u.job.accepted).Milliseconds(),
			"breaking", u.breaking, "claim", len(u.claim), "avoids", len(u.avoid), "open_workers", open, "workers", len(v.workers), "waiting", len(v.waiting))
		for _, m := range u.members {
			w := t.workers[m.worker]
			t.p.Log.Info("unit waits for the end of a task", "job", u.job.id, "task", m.task(), "run", m.run, "worker", m.worker,
				"worker_known", w != nil, "failing", w != nil && w.failing, "heard", w != nil && w.heard,
				"sent", m.sent, "starting", m.starting, "stopping", m.stopping, "answered", m.answered != 0, "voided", m.voided != 0,
				"listed", m.listed, "stop_age_ms", now.Sub(m.stopSent).Milliseconds(), "silent_ms", t.silent(w).Milliseconds())
		}
	}
}

// longWaiting returns the units that have waited or stopped for long, the oldest
// first.
func (t *term) longWaiting(now time.Time) []*unit {
	var units []*unit
	for _, j := range t.live {
		for _, u := range j.order {
			since := u.readyAt
			if u.breaking {
				since = u.placed
			}
			if !u.done && !since.IsZero() && now.Sub(since) > longWait && (u.breaking || len(u.members) == 0) {
				units = append(units, u)
			}
		}
	}
	sort.Slice(units, func(a, b int) bool { return units[a].before(units[b]) })
	return units
}

// silent returns how long a worker has not been heard of.
func (t *term) silent(w *worker) time.Duration {
	if w == nil || w.recv == 0 {
		return 0
	}
	return boottime.Since(w.recv)
}
