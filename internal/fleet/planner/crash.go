package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// A run that ends with its worker is a loss of its task. A task with several losses is
// suspected of crashing its workers: it runs on workers of its own, one task of its job at a
// time, so that a further loss is evidence about this task alone. If it is proved to crash
// its workers, it is given up: its job fails.

const (
	// suspectLosses is the number of losses from which a task is suspected.
	suspectLosses = 2
	// crashedRacks is the number of racks in which workers must have crashed under the
	// isolated task to give it up.
	crashedRacks = 2
	// freeCrashes is the number of crashes of a task from which its further starts are
	// limited, to lastStarts. The platform allows one more: an order that was carried out
	// late may have crashed another worker, or the last start has ended otherwise.
	freeCrashes = 3
	lastStarts  = 1
	// resolveTime is how long a task that has had its last starts waits until it is known
	// whether its losses are crashes. If workers have not returned by then, it has the one
	// start more, and after that it is given up. A task that lasts has the one start more at
	// once.
	resolveTime = 30 * time.Second
	// isolationTime is how long a run keeps its workers to itself.
	isolationTime = time.Minute
	// outlivedFactor times the longest run that was lost is how long a long-running task must
	// run to have its losses forgotten, isolationTime at least and longestMemory at most. A task
	// that crashes its worker at the same age each time does not reach that.
	outlivedFactor = 2
	longestMemory  = time.Hour
)

// LossRecord is a loss: a run of a task that ended without a result, with its worker.
type LossRecord struct {
	Index       int    `json:"index"`
	Run         int64  `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born"`
	Address     string `json:"address,omitempty"`
	Rack        string `json:"rack,omitempty"`
	// Alone reports whether the run was isolated, and its worker ran nothing but tasks of its
	// unit.
	Alone bool `json:"alone,omitempty"`
	// Crashed reports whether it is proved that the worker's process has ended. Otherwise
	// the worker may have been cut off.
	Crashed bool `json:"crashed,omitempty"`
	// Ran is how long the run had run; longestMemory if it is not known.
	Ran time.Duration `json:"ran,omitempty"`
	// Clock is the reading of the worker's clock at the loss; 0 if it is not known.
	Clock time.Duration `json:"clock,omitempty"`

	// seenAt is when this term learned of the loss, and startedAt when the run's start was
	// acknowledged; 0 if it is not known.
	seenAt, startedAt boottime.Time
	// crashedAt is when this term learned that the worker has crashed; 0 for a loss that is not
	// known as a crash or was read from a record.
	crashedAt boottime.Time
}

// evidence is what the losses of one task say about it.
type evidence struct {
	losses, crashes int
	// lastFreeRun is the run of the loss that was number freeCrashes; 0 for none.
	lastFreeRun int64
	// racks are the racks of the workers that crashed while the unit was alone on them.
	racks []string
}

// evidence returns what the losses say about each task, by its index.
func (u *unit) evidence() map[int]*evidence {
	byIndex := make(map[int]*evidence)
	for _, l := range u.losses {
		e := byIndex[l.Index]
		if e == nil {
			e = &evidence{}
			byIndex[l.Index] = e
		}
		if e.losses++; e.losses == freeCrashes {
			e.lastFreeRun = l.Run
		}
		if !l.Crashed {
			continue
		}
		e.crashes++
		if l.Alone && l.Rack != "" && !slices.Contains(e.racks, l.Rack) {
			e.racks = append(e.racks, l.Rack)
		}
	}
	return byIndex
}

// hasNoStarts reports whether the unit waits and must not start again unless one of the
// losses is found to be no crash.
func (u *unit) hasNoStarts(e *evidence) bool {
	return len(u.members) == 0 && e.lastFreeRun > 0 && u.run >= e.lastFreeRun+lastStarts+u.excusedStarts()
}

// excusedStarts returns how many of the last starts do not count: those that certainly began
// nothing or ended in a crash with a common cause, and one that ended without a crash or with
// a worker that has not returned.
func (u *unit) excusedStarts() int64 {
	if u.reportedRun > 0 || u.isResolveOver() || u.step().LongRunning && u.hasUnresolvedLoss() {
		return u.unstarted + 1
	}
	return u.unstarted
}

// hasUnresolvedLoss reports whether it is not known of some of the unit's losses whether they are
// crashes.
func (u *unit) hasUnresolvedLoss() bool {
	return slices.ContainsFunc(u.losses, func(l LossRecord) bool { return !l.Crashed })
}

// isResolveOver reports whether it is still not known whether some of the unit's losses are
// crashes resolveTime after the last one.
func (u *unit) isResolveOver() bool {
	if !u.hasUnresolvedLoss() {
		return false
	}
	last := u.losses[len(u.losses)-1]
	return boottime.Since(last.seenAt) > resolveTime
}

// excuseRun records that the unit's run has ended without a crash, so that it is no evidence
// against the unit.
func (u *unit) excuseRun() {
	if u.hasLastStarts && u.reportedRun == 0 && !slices.ContainsFunc(u.losses, func(l LossRecord) bool { return l.Run == u.run }) {
		u.reportedRun = u.run
	}
}

// excuseStart records that the unit's run certainly began nothing. Other members of a gang may
// have begun.
func (u *unit) excuseStart() {
	if u.hasLastStarts && u.key.index >= 0 {
		u.unstarted++
	}
}

// setLosses sets the losses of a unit that is not done.
func (t *term) setLosses(u *unit, losses []LossRecord) {
	u.losses, u.suspect, u.hasLastStarts = losses, false, false
	for _, e := range u.evidence() {
		u.suspect = u.suspect || e.losses >= suspectLosses
		u.hasLastStarts = u.hasLastStarts || e.losses >= freeCrashes
	}
	u.isolated = u.isolated && u.suspect
	if !u.hasLastStarts {
		u.unstarted, u.reportedRun = 0, 0
	}
	if len(losses) > 0 {
		t.lossy[u] = true
	} else {
		delete(t.lossy, u)
	}
}

// isLoss reports whether a run that ended without a result may have ended with its worker.
// One that the same incarnation does not list has not, and a worker that drained has left.
func (m *member) isLoss(w *worker, reason string) bool {
	return m.startSent && !w.info.Draining && (reason == leaseOver || m.incarnation != w.incarnation)
}

// recordLoss records the loss of a task.
func (t *term) recordLoss(w *worker, m *member) {
	u := m.unit
	l := LossRecord{
		Index: m.index, Run: m.run, Worker: w.id, Incarnation: m.incarnation, Address: m.address, Rack: w.info.Rack,
		Alone: u.isolated && !m.shared, seenAt: boottime.Now(), startedAt: m.startAckedAt,
	}
	switch {
	case m.adopted:
		l.Ran = longestMemory
	case m.startAckedAt != 0:
		l.Ran = l.seenAt.Sub(m.startAckedAt)
	}
	if w.incarnation == m.incarnation && w.respondedAt != 0 {
		l.Clock = w.clockAt(l.seenAt)
	}
	t.p.Meter.Inc("task_loss")
	if u.reportedRun == m.run {
		u.reportedRun = 0
	}
	t.setLosses(u, append(u.losses, l))
	t.markLostTogether(u, l.Address)
	t.resolveLosses(u, nil)
}

// resolveAllLosses resolves the losses of all units.
func (t *term) resolveAllLosses() {
	if len(t.lossy) == 0 {
		return
	}
	byAddress := t.workersByAddress()
	for u := range t.lossy {
		t.resolveLosses(u, byAddress)
	}
}

func (t *term) workersByAddress() map[string]*worker {
	byAddress := make(map[string]*worker, len(t.listed))
	for _, w := range t.listed {
		byAddress[w.info.Address] = w
	}
	return byAddress
}

// resolveLosses finds out which losses of a unit are crashes, drops those whose worker
// still runs, and gives the unit up if it is proved to crash its workers. byAddress has the
// workers that are listed; nil compares the workers' ids only.
func (t *term) resolveLosses(u *unit, byAddress map[string]*worker) {
	if u.done || u.job.ended() {
		delete(t.lossy, u)
		return
	}
	var remaining []LossRecord
	for _, l := range u.losses {
		if !l.Crashed && t.isAlive(l) {
			t.dropLoss(u, l)
			continue
		}
		if w := t.successor(l, byAddress[l.Address]); w != nil && !l.Crashed {
			l.Crashed, l.Rack, l.crashedAt = true, cmp.Or(l.Rack, w.info.Rack), boottime.Now()
			if t.addCrash(u, l, max(w.info.Incarnation, w.incarnation)) {
				t.markUnwritten(u.job)
				continue
			}
			t.p.Meter.Inc("task_loss_crash")
			t.p.Log.Warn("worker crashed under task", "job", u.job.id, "step", u.key.step, "index", l.Index, "worker", l.Worker, "successor", w.id, "rack", l.Rack, "alone", l.Alone)
			t.markUnwritten(u.job)
		}
		remaining = append(remaining, l)
	}
	t.setLosses(u, remaining)
	t.giveUpIfProven(u)
}

// isAlive reports whether the incarnation of a loss has responded or registered since.
func (t *term) isAlive(l LossRecord) bool {
	w := t.workers[l.Worker]
	if w == nil {
		return false
	}
	responds := w.incarnation == l.Incarnation && w.responded && !w.unresponsive
	return responds || l.Clock > 0 && w.info.Incarnation == l.Incarnation && w.info.RegisteredAt > l.Clock
}

// dropLoss records that a loss counts no more, since its worker still runs. Then the run has
// ended without a crash.
func (t *term) dropLoss(u *unit, l LossRecord) {
	if u.hasLastStarts && u.reportedRun == 0 && l.Run == u.run {
		u.reportedRun = l.Run
	}
	t.p.Meter.Inc("task_loss_disproved")
	t.p.Log.Info("loss is no crash", "job", u.job.id, "step", u.key.step, "index", l.Index, "worker", l.Worker)
	t.markUnwritten(u.job)
}

// successor returns the worker that proves the end of a loss's incarnation: another
// incarnation under the same id, or another worker at the same address; nil for none.
func (t *term) successor(l LossRecord, atAddress *worker) *worker {
	w := t.workers[l.Worker]
	switch {
	case w != nil && max(w.info.Incarnation, w.incarnation) > l.Incarnation:
		return w
	case atAddress != nil && atAddress.id != l.Worker && atAddress.info.Incarnation > l.Incarnation:
		return atAddress
	}
	return nil
}

// isProven reports whether one of a unit's tasks has crashed workers in several racks while
// it was alone on them, or has had its last starts and all its losses are crashes, as far as
// that can be known.
func (u *unit) isProven(e *evidence) bool {
	return len(e.racks) >= crashedRacks || u.hasNoStarts(e) && (e.crashes == e.losses || u.isResolveOver())
}

// giveUpIfProven fails the job of a unit if one of its tasks is proved to crash its workers,
// unless a crash with a common cause may become known soon.
func (t *term) giveUpIfProven(u *unit) {
	for index, e := range u.evidence() {
		if !u.isProven(e) || t.awaitsCrashes(u) {
			continue
		}
		t.p.Meter.Inc("task_given_up")
		t.p.Log.Warn("task given up: it crashes its workers", "job", u.job.id, "occurrence", u.key.occurrence, "step", u.key.step,
			"index", index, "losses", e.losses, "crashes", e.crashes, "crashed_alone_in", e.racks, "runs", u.run, "excused", u.excusedStarts())
		t.finish(u.job, model.Failed)
		return
	}
}

// endIsolation lets other units run beside one that has run for long, and forgets the
// losses of a long-running task that has outlived them.
func (t *term) endIsolation(m *member) {
	u, ran := m.unit, boottime.Since(m.startAckedAt)
	if !u.isolated && len(u.losses) == 0 || ran < isolationTime {
		return
	}
	u.isolated = false
	if !u.step().LongRunning || ran < u.outlivedAfter(m.index) {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(u.losses), func(l LossRecord) bool { return l.Index == m.index })
	if len(remaining) == len(u.losses) {
		return
	}
	t.p.Log.Info("losses forgotten", "job", u.job.id, "step", u.key.step, "index", m.index, "losses", len(u.losses)-len(remaining), "ran_ms", ran.Milliseconds())
	t.setLosses(u, remaining)
	t.markUnwritten(u.job)
}

// outlivedAfter returns how long a long-running task must run to have its losses forgotten.
func (u *unit) outlivedAfter(index int) time.Duration {
	longest := time.Duration(0)
	for _, l := range u.losses {
		if l.Index == index {
			longest = max(longest, l.Ran)
		}
	}
	return min(max(outlivedFactor*longest, isolationTime), longestMemory)
}
