package planner

import (
	"slices"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
)

const (
	// explainInterval is the interval between two log reports about long-waiting units.
	explainInterval = 3 * time.Second
	// explainAfter is how long a unit waits, or is being stopped, before it is logged.
	explainAfter = 5 * time.Second
	// maxExplained bounds the units in one report.
	maxExplained = 4
)

// maxLoggedWorkers bounds the workers in one log line.
const maxLoggedWorkers = 8

// logUnits writes one log line for each step of the given units: a step may have hundreds
// of tasks.
func (t *term) logUnits(message string, units []*unit, now time.Time) {
	groups := make(map[stepKey][]*unit)
	var keys []stepKey
	for _, u := range units {
		k := u.stepKey()
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
			for _, m := range u.members[:min(len(u.members), maxLoggedWorkers-len(workers))] {
				workers = append(workers, m.worker)
			}
		}
		t.p.Log.Info(message, "job", k.job.id, "occurrence", k.occurrence, "step", k.step, "units", len(group), "tasks", tasks,
			"run", slices.Max(runs), "workers", workers, "priority", k.job.queue.Priority, "guaranteed", k.job.guaranteed,
			"checkpoints", first.step().Checkpoints, "waited_ms", first.placedAt.Sub(first.readyAt).Milliseconds(), "ran_ms", now.Sub(first.placedAt).Milliseconds())
	}
}

// logLongWaiting logs the units that have waited longest and the state of the tasks that
// they wait for.
func (t *term) logLongWaiting(v *view, now time.Time) {
	if now.Sub(t.explainedAt) < explainInterval {
		return
	}
	t.explainedAt = now
	units := t.longWaiting(now)
	for _, u := range units[:min(len(units), maxExplained)] {
		t.p.Log.Info("unit waits", "job", u.job.id, "step", u.key.step, "index", u.key.index, "tasks", u.tasks(), "shape", u.step().CountedShape(),
			"same_rack", u.step().SameRack, "label", u.step().Label, "rack", u.step().Rack, "age_ms", now.Sub(u.job.accepted).Milliseconds(),
			"cause", u.ledger.Current().String(), "cause_ms", now.Sub(u.ledger.ChangedAt()).Milliseconds(), "suspect", u.suspect,
			"breaking", u.aborting, "claim", len(u.nominated), "avoids", len(u.avoidUntil), "waiting", len(v.waiting),
			"workers", len(v.workers), "open_workers", v.states[workerOpen], "draining", v.states[workerDraining], "evacuated", v.states[workerEvacuated], "unreached", v.states[workerUnreached],
			"capacity_unknown", v.states[workerCapacityUnknown], "closed", v.states[workerClosed], "slow", v.states[workerSlow])
		for _, m := range u.members {
			w := t.workers[m.worker]
			t.p.Log.Info("unit waits for the end of a task", "job", u.job.id, "task", m.task(), "run", m.run, "worker", m.worker,
				"worker_known", w != nil, "failing", w != nil && w.unresponsive, "heard", w != nil && w.responded,
				"sent", m.startSent, "starting", m.startInFlight, "stopping", m.stopping, "answered", m.startAckedAt != 0, "voided", m.stopAckedAt != 0,
				"listed", m.reported, "stop_age_ms", now.Sub(m.stopSentAt).Milliseconds(), "silent_ms", t.sinceResponse(w).Milliseconds())
		}
	}
}

// longWaiting returns the units that have waited or been stopping for longer than
// explainAfter, the oldest first.
func (t *term) longWaiting(now time.Time) []*unit {
	var units []*unit
	for _, j := range t.live {
		for _, u := range j.unitList {
			since := u.readyAt
			if u.aborting {
				since = u.placedAt
			}
			if !u.done && !since.IsZero() && now.Sub(since) > explainAfter && (u.aborting || len(u.members) == 0) {
				units = append(units, u)
			}
		}
	}
	sort.Slice(units, func(a, b int) bool { return units[a].before(units[b]) })
	return units
}

// sinceResponse returns the time since a worker's last response, or 0 if there was none.
func (t *term) sinceResponse(w *worker) time.Duration {
	if w == nil || w.respondedAt == 0 {
		return 0
	}
	return boottime.Since(w.respondedAt)
}
