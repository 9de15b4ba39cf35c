package planner

import (
	"slices"
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

// loggedWorkers bounds the workers that one line names.
const loggedWorkers = 8

// logUnits writes a line for the units of each step to which the same happened
// in one look: a step may have hundreds of tasks.
func (t *term) logUnits(what string, units []*unit, now time.Time) {
	groups := make(map[stepKey][]*unit)
	var keys []stepKey
	for _, u := range units {
		k := stepKey{u.job, u.key.occurrence, u.key.step}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], u)
	}
	for _, k := range keys {
		group := groups[k]
		first, tasks := group[0], 0
		var runs []int64
		var workers []string
		for _, u := range group {
			tasks += len(u.members)
			runs = append(runs, u.run)
			for _, m := range u.members[:min(len(u.members), loggedWorkers-len(workers))] {
				workers = append(workers, m.worker)
			}
		}
		t.p.Log.Info(what, "job", k.job.id, "occurrence", k.occurrence, "step", k.step, "units", len(group), "tasks", tasks,
			"run", slices.Max(runs), "workers", workers, "priority", k.job.queue.Priority, "guaranteed", k.job.guaranteed,
			"checkpoints", first.step().Checkpoints, "waited_ms", first.placed.Sub(first.readyAt).Milliseconds(), "ran_ms", now.Sub(first.placed).Milliseconds())
	}
}

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
		if v.in.Workers[i].Schedulable {
			open++
		}
	}
	for _, u := range units[:min(len(units), explained)] {
		t.p.Log.Info("unit waits", "job", u.job.id, "step", u.key.step, "index", u.key.index, "tasks", u.tasks(), "shape", u.step().CountedShape(),
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
