package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

// loadPause is the time between two lines about the load of the planner.
const loadPause = 5 * time.Second

// load is what the planner did since the last line about it. It is guarded by the
// term's lock.
type load struct {
	looks, writes, rows int
	looked              time.Duration
	longest             time.Duration
}

func (l *load) look(took time.Duration) {
	l.looks++
	l.looked += took
	l.longest = max(l.longest, took)
}

// followLoad writes a line about the load from time to time, until the term ends.
func (t *term) followLoad() {
	for pause.For(t.ctx, loadPause) {
		t.locked(t.logLoad)
	}
}

func (t *term) logLoad() {
	l := t.recent
	t.recent = load{}
	waiting, placed, unheard := 0, 0, 0
	for _, j := range t.live {
		for _, u := range j.order {
			if u.waits() {
				waiting++
			}
		}
	}
	for _, w := range t.workers {
		placed += len(w.members)
		if w.listed && !w.heard {
			unheard++
		}
	}
	t.p.Log.Info("planner load", "term", t.revision, "jobs", len(t.live), "known", len(t.jobs), "workers", len(t.workers), "unheard", unheard,
		"units_waiting", waiting, "tasks_placed", placed, "behind", len(t.behind), "unacked_workers", len(t.unacked),
		"writes", l.writes, "rows", l.rows, "looks", l.looks, "look_ms", l.looked.Milliseconds(), "longest_look_ms", l.longest.Milliseconds())
}
