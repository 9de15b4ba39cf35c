package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
)

// overdueAfter is how long a unit may wait beside free workers for better ones. The
// platform allows 3 s until it runs; the rest is for the write of its placement and its
// start.
const overdueAfter = 2 * time.Second

// markOverdue reports whether a waiting unit is overdue: it has waited for overdueAfter and
// is long-running, or nothing of its job runs. Of such a job, one unit of each step is
// enough.
func (v *view) markOverdue(u *unit, now time.Time) bool {
	if now.Sub(u.waitingSince) < overdueAfter {
		return false
	}
	k := u.stepKey()
	switch {
	case u.step().LongRunning:
		return true
	case v.overdue[k]:
		return false
	}
	v.overdue[k] = true
	return !u.job.isPlaced()
}

// isPlaced reports whether a unit of a job occupies resources or may do so.
func (j *job) isPlaced() bool {
	for _, u := range j.unitList {
		if len(u.members) > 0 {
			return true
		}
	}
	return false
}

// logOverdue logs the units that started since they were overdue.
func (t *term) logOverdue(v *view, d *placement.Decision, now time.Time) {
	for _, i := range d.Overdue {
		u := v.waiting[i]
		t.p.Meter.Inc("placed_overdue")
		t.p.Log.Info("overdue unit placed", "job", u.job.id, "step", u.key.step, "index", u.key.index, "cause", u.ledger.Current().String(),
			"waited_ms", now.Sub(u.waitingSince).Milliseconds(), "rack", u.step().Rack, "same_rack", u.step().SameRack, "failed_on", len(v.in.Waiting[i].AvoidFailed))
	}
}

// logStalled counts once in each wait of an overdue unit that it waits beside free capacity,
// and warns of the first ones of a pass.
func (t *term) logStalled(v *view, d *placement.Decision, now time.Time) {
	logged := 0
	for _, i := range d.Stalled {
		u := v.waiting[i]
		if u.stalledSince.Equal(u.waitingSince) {
			continue
		}
		u.stalledSince = u.waitingSince
		t.p.Meter.Inc("overdue_stalled")
		if logged++; logged > maxExplained {
			continue
		}
		t.p.Log.Warn("overdue unit waits beside free capacity", "job", u.job.id, "step", u.key.step, "index", u.key.index,
			"cause", u.ledger.Current().String(), "waited_ms", now.Sub(u.waitingSince).Milliseconds(),
			"avoids", len(v.in.Waiting[i].Avoid), "per_worker", v.in.Waiting[i].PerWorker)
	}
}
