package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
)

// Workers that crash at the same time under tasks of several jobs may have a common cause,
// such as a rack that loses its power. It can be told from several tasks that each crash
// their workers if their runs began at different times: the delay after which a task crashes
// its worker would have to differ by the same time. Therefore suspected tasks that were lost
// together start again apart.

const (
	// maxRestartsApart bounds the time, by the workers' clocks, between restarts of workers that
	// may have a common cause.
	maxRestartsApart = 300 * time.Millisecond
	// minStartsApart is the least time between the starts of two runs that begin apart. It is
	// over maxRestartsApart, so that two tasks that crash their workers after the same delay
	// don't seem to have a common cause.
	minStartsApart = 800 * time.Millisecond
	// lostTogether bounds the time between the losses of suspects that start again apart.
	lostTogether = 2 * time.Second
	// crashMemory is how long a crash is compared with others.
	crashMemory = 30 * time.Second
	// maxComparedCrashes bounds the crashes that are compared.
	maxComparedCrashes = 256
)

// startDelays are the delays of one of two suspects that were lost together, by turns. They
// differ by over 2*maxRestartsApart, so that tasks that crash their workers after different
// delays do so at the same time in every second run at most.
var startDelays = [2]time.Duration{1000 * time.Millisecond, 1900 * time.Millisecond}

// crash is a worker's crash under a unit.
type crash struct {
	unit *unit
	loss LossRecord
	// bornAt is the start time of the worker's next incarnation in Unix milliseconds.
	bornAt int64
	// resolvedAt is when this term learned of it.
	resolvedAt boottime.Time
	// dropped reports whether its loss no longer counts.
	dropped bool
}

// addCrash records a crash, and drops its loss and those of other jobs if they have a common
// cause. It reports whether its own is dropped.
func (t *term) addCrash(u *unit, l LossRecord, bornAt int64) (dropped bool) {
	now := boottime.Now()
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return now.Sub(c.resolvedAt) > crashMemory })
	if n := len(t.crashes); n >= maxComparedCrashes {
		t.crashes = slices.Delete(t.crashes, 0, n-maxComparedCrashes+1)
	}
	c := &crash{unit: u, loss: l, bornAt: bornAt, resolvedAt: now}
	for i := range t.crashes {
		o := &t.crashes[i]
		if c.dropped && o.dropped || !c.hasCommonCause(o) {
			continue
		}
		if !c.dropped {
			t.recordCommonCause(c, o)
		}
		if !o.dropped {
			t.recordCommonCause(o, c)
			t.removeLoss(o)
		}
	}
	t.crashes = append(t.crashes, *c)
	return c.dropped
}

// hasCommonCause reports whether two crashes of workers at different addresses have a common
// cause. Two tasks that crash their workers after different delays may do so at the same time
// again and again, but then their runs always begin the same time apart.
func (c *crash) hasCommonCause(o *crash) bool {
	if c.unit.job == o.unit.job || c.loss.Address == o.loss.Address || c.loss.startedAt == 0 || o.loss.startedAt == 0 {
		return false
	}
	between := time.Duration(c.bornAt-o.bornAt) * time.Millisecond
	return between.Abs() <= maxRestartsApart && c.startsApart(o).Abs() >= minStartsApart && !c.repeats(o) && !o.repeats(c)
}

// startsApart returns how much later the run of a crash began than that of another.
func (c *crash) startsApart(o *crash) time.Duration { return c.loss.startedAt.Sub(o.loss.startedAt) }

// repeats reports whether the last loss of the unit that was dropped was so for a run of the
// other's job that began the same time apart: two crashes of tasks with fixed delays, of which
// each pair may be maxRestartsApart, differ in that by twice as much at most.
func (c *crash) repeats(o *crash) bool {
	last := c.unit.commonCause
	return last.job == o.unit.job && (c.startsApart(o)-last.apart).Abs() <= 2*maxRestartsApart
}

// commonCause is what shows that the crash that ended a run has a common cause with another: the
// other's job, and how much earlier that one's run began.
type commonCause struct {
	job   *job
	apart time.Duration
	run   int64
}

// recordCommonCause records that the loss of a crash no longer counts, nor does the start of its
// run.
func (t *term) recordCommonCause(c, o *crash) {
	u := c.unit
	c.dropped = true
	if u.hasLastStarts && c.loss.Run == u.run && u.commonCause.run != u.run {
		u.unstarted++
	}
	u.commonCause = commonCause{job: o.unit.job, apart: c.startsApart(o), run: c.loss.Run}
	t.p.Meter.Inc("task_loss_common_cause")
	t.p.Log.Info("crash has a common cause with another", "job", u.job.id, "step", u.key.step, "index", c.loss.Index, "worker", c.loss.Worker,
		"other_job", o.unit.job.id, "other_worker", o.loss.Worker, "starts_apart_ms", c.startsApart(o).Milliseconds())
}

// removeLoss removes the loss of a crash from its unit.
func (t *term) removeLoss(c *crash) {
	u := c.unit
	if u.done || u.job.ended() {
		return
	}
	t.setLosses(u, slices.DeleteFunc(slices.Clone(u.losses), func(l LossRecord) bool { return l.Index == c.loss.Index && l.Run == c.loss.Run }))
	t.markUnwritten(u.job)
}

// awaitsCrashes reports whether one of a unit's losses has just become known as a crash, and
// other workers with work of other jobs may have crashed at the same time.
func (t *term) awaitsCrashes(u *unit) bool {
	if !slices.ContainsFunc(u.losses, func(l LossRecord) bool { return l.crashedAt != 0 && boottime.Since(l.crashedAt) < listInterval }) {
		return false
	}
	for o := range t.lossy {
		if o.job != u.job && slices.ContainsFunc(o.losses, func(l LossRecord) bool { return !l.Crashed && boottime.Since(l.seenAt) < lostTogether }) {
			return true
		}
	}
	for _, w := range t.workers {
		if w.unresponsive && slices.ContainsFunc(w.sorted(), func(m *member) bool { return m.unit.job != u.job }) {
			return true
		}
	}
	return false
}

// markLostTogether makes a suspected unit whose run was lost start again apart from those of
// other jobs that were lost with it: every second one of them is delayed.
func (t *term) markLostTogether(u *unit, address string) {
	now := boottime.Now()
	t.recentLosses = slices.DeleteFunc(t.recentLosses, func(o recentLoss) bool { return now.Sub(o.at) > lostTogether })
	r := recentLoss{job: u.job, address: address, at: now}
	for _, o := range slices.Backward(t.recentLosses) {
		if o.job == u.job || o.address == address {
			continue
		}
		if r.delayed = u.suspect && !o.delayed; r.delayed {
			u.startDelay = startDelays[u.run%2]
		}
		break
	}
	t.recentLosses = append(t.recentLosses, r)
}

// delaysStart reports whether a unit that could start does so later. Its wait for workers of its
// own begins anew then.
func (u *unit) delaysStart() bool {
	if u.startDelay == 0 {
		return false
	}
	u.startAfter, u.startDelay = boottime.Now().Add(u.startDelay), 0
	u.isolateUntil = time.Time{}
	return true
}

// recentLoss is a loss of the last moments.
type recentLoss struct {
	job     *job
	address string
	at      boottime.Time
	// delayed reports whether its unit starts later than it could.
	delayed bool
}
