package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

// loadLogInterval is the interval at which the planner's load is logged.
const loadLogInterval = 5 * time.Second

// loadStats counts the planner's activity since it was last logged. The term's lock
// guards it.
type loadStats struct {
	passes, writes, rows int
	passTime             time.Duration
	longestPass          time.Duration
}

func (l *loadStats) addPass(took time.Duration) {
	l.passes++
	l.passTime += took
	l.longestPass = max(l.longestPass, took)
}

// logLoadPeriodically logs the load at intervals until the term ends.
func (t *term) logLoadPeriodically() {
	for pause.For(t.ctx, loadLogInterval) {
		t.locked(t.logLoad)
	}
}

func (t *term) logLoad() {
	t.expireInterference()
	t.logKinds()
	recent := t.recentLoad
	t.recentLoad = loadStats{}
	waiting, placed, withoutResponse := 0, 0, 0
	for _, j := range t.live {
		for _, u := range j.unitList {
			if u.isWaiting() {
				waiting++
			}
		}
	}
	for _, w := range t.workers {
		placed += len(w.members)
		if w.listed && !w.responded {
			withoutResponse++
		}
	}
	t.p.Log.Info("planner load", "term", t.revision, "jobs", len(t.live), "known", len(t.jobs), "job_memory_kb", t.jobMemory()>>10, "workers", len(t.workers), "unheard", withoutResponse,
		"units_waiting", waiting, "tasks_placed", placed, "behind", len(t.unwrittenJobs), "unacked_workers", len(t.unacked),
		"writes", recent.writes, "rows", recent.rows, "looks", recent.passes, "look_ms", recent.passTime.Milliseconds(), "longest_look_ms", recent.longestPass.Milliseconds())
}
