package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// causesInterval is the interval at which the causes of waiting units are determined
	// again, for maxRepeatedCauses steps at a time.
	causesInterval    = 500 * time.Millisecond
	maxRepeatedCauses = 16
	// maxNewCauses bounds the steps that began to wait and whose causes one pass
	// determines.
	maxNewCauses = 4
)

// sourceLoad is the source of a job that the term read from the store when it began.
const sourceLoad = "load"

// recordArrival sets the times at which a job was accepted and taken. The former is kept on this VM's monotonic clock, since the time of day may jump.
func (t *term) recordArrival(j *job, source string) {
	now := time.Now()
	age := max(now.Sub(time.UnixMilli(j.spec.AcceptedMS)), 0)
	j.takenAt, j.accepted = now, now.Add(-age)
	if source != sourceLoad {
		j.before[cause.Accept] = age
		return
	}
	j.takenAt = t.beganAt
	if j.accepted.After(t.beganAt) {
		j.takenAt = j.accepted
	}
	j.before[cause.EarlierTerm] = j.takenAt.Sub(j.accepted)
}

// markReady begins the account of a unit whose step's dependencies are done.
func (t *term) markReady(u *unit, now time.Time) {
	if !u.readyAt.IsZero() {
		return
	}
	u.readyAt, u.waitingSince = now, now
	at := u.job.takenAt
	if u.job.spec.Job.Occurrences > 0 {
		if due := now.Add(-now.Sub(u.job.dueAt(u.key.occurrence))); due.After(at) {
			at = due
		}
	}
	if d := u.lastDependency(); d != nil && d.doneAt.After(at) {
		at = d.doneAt
	}
	first := cause.Plan
	if at.Equal(t.beganAt) {
		first = cause.PlannerChange
	}
	u.ledger.Begin(first, at)
	u.ledger.Switch(cause.Plan, now)
}

// lastDependency returns the unit, of those on which a unit depends, that was done last;
// nil for none.
func (u *unit) lastDependency() *unit {
	var last *unit
	for _, x := range u.job.unitList {
		if x.key.occurrence != u.key.occurrence || !slices.Contains(u.step().After, x.key.step) {
			continue
		}
		if x.done && (last == nil || x.doneAt.After(last.doneAt)) {
			last = x
		}
	}
	return last
}

// recordSuspended charges the waiting units' time to the store from now on, since no unit
// is placed while the lock may be lost.
func (t *term) recordSuspended(now time.Time) {
	if t.suspended {
		return
	}
	t.suspended = true
	t.chargeStore(now)
}

// chargeStore charges the waiting units' time to the store from now on.
func (t *term) chargeStore(now time.Time) {
	t.causesAt = time.Time{}
	for _, j := range t.live {
		for _, u := range j.unitList {
			if u.isWaiting() {
				u.ledger.Switch(cause.StoreUnavailable, now)
			}
		}
	}
}

// recordLeaseWaits charges the time of units whose last run may still be running on an
// unresponsive worker.
func (t *term) recordLeaseWaits(now time.Time) {
	for _, w := range t.workers {
		if !w.unresponsive && w.client != nil {
			continue
		}
		for _, m := range w.members {
			if m.unit.aborting && m.unit.ledger.Current() != cause.Lease {
				m.unit.ledger.Switch(cause.Lease, now)
			}
		}
	}
}

// recordStarted charges the time of a unit to its run once all members have started.
func (u *unit) recordStarted(now time.Time) {
	if u.done || u.aborting || u.ledger.Current() == cause.Run {
		return
	}
	for _, m := range u.members {
		if m.startAckedAt == 0 {
			return
		}
		u.startedAt = max(u.startedAt, m.startAckedAt)
	}
	u.ledger.Switch(cause.Run, now)
}

// resumes reports whether a stopped task of the unit resumes from its checkpoint.
func (u *unit) resumes(disabled policy.Disabled) bool {
	return u.step().Checkpoints && !disabled[policy.Checkpoints]
}

// resultCause returns why a run is lost that ended neither done nor failed.
func resultCause(k ResultKind) cause.Cause {
	if k == ResultGangTimeout {
		return cause.StartFailed
	}
	return cause.WorkerLost
}

// requestCauses selects the waiting units whose causes the next decision determines: one
// of each step that began to wait, and at intervals one of each other step in turn. The
// bounds keep the cost of a pass independent of the number of steps that wait.
func (t *term) requestCauses(v *view, now time.Time) {
	var began, waiting []int
	var last stepKey
	for i, u := range v.waiting {
		k := stepKey{u.job, u.key.occurrence, u.key.step}
		switch {
		case k == last:
			continue
		case u.ledger.Current() == cause.Plan:
			began = append(began, i)
		default:
			waiting = append(waiting, i)
		}
		last = k
	}
	v.in.Explain = began[:min(len(began), maxNewCauses)]
	if now.Sub(t.causesAt) < causesInterval {
		return
	}
	t.causesAt = now
	for range min(len(waiting), maxRepeatedCauses) {
		t.causesTurn++
		v.in.Explain = append(v.in.Explain, waiting[t.causesTurn%len(waiting)])
	}
}

// applyCauses charges the time of waiting units from now on to the causes that a decision
// found. The units of a step share the cause of its first.
func (t *term) applyCauses(v *view, reasons map[int]cause.Cause, now time.Time) {
	var last stepKey
	var c cause.Cause
	known := false
	for i, u := range v.waiting {
		k := stepKey{u.job, u.key.occurrence, u.key.step}
		if k != last {
			c, known = reasons[i]
			last = k
		}
		if known && u.ledger.Current() != c {
			u.ledger.Switch(c, now)
		}
	}
}

// spent returns the time that a job took by cause, which adds up to the time from its
// acceptance until now: that of the chain of units that ended last.
func (j *job) spent(now time.Time) cause.Spent {
	end := j.finishedAt
	u := j.closingUnit()
	spent := j.chainSpent(u, end)
	if u != nil {
		// Other units had not begun to wait when the job ended.
		spent[cause.Plan] += end.Sub(u.ledger.ChangedAt())
	}
	spent[cause.Record] += now.Sub(end)
	return spent
}

// chainSpent returns the time by cause from the job's acceptance until a time, or the end
// of a unit's account: that of the chain of units that ends with the unit, each of which
// waited for the one before it. u may be nil.
func (j *job) chainSpent(u *unit, until time.Time) cause.Spent {
	if u == nil || u.ledger.Begun().IsZero() {
		return j.spentWith(&j.before, until)
	}
	spent, parts := u.spentUntilBegun(), u.ledger.SpentAt(until)
	spent.Add(&parts)
	return spent
}

// spentUntilBegun returns the time by cause from the job's acceptance until the unit's account
// began.
func (u *unit) spentUntilBegun() cause.Spent {
	begun := u.ledger.Begun()
	if u.spentBefore != nil {
		return u.job.spentWith(u.spentBefore, begun)
	}
	return u.job.chainSpent(u.lastDependency(), begun)
}

// spentWith returns the time by cause until a time, of which before has the time until this
// term had the job.
func (j *job) spentWith(before *cause.Spent, until time.Time) cause.Spent {
	rest := cause.Plan
	if j.spec.Job.Occurrences > 0 {
		rest = cause.NotDue
	}
	spent := *before
	spent[rest] += until.Sub(j.takenAt)
	return spent
}

// recordLostWork adds the work of a lost run, in core-seconds.
func (j *job) recordLostWork(c cause.Cause, coreSeconds float64) {
	if j.lostWork == nil {
		j.lostWork = make(map[cause.Cause]float64)
	}
	j.lostWork[c] += coreSeconds
}

// closingUnit returns the unit whose end, or lack of an end, decided when the job reached
// its terminal state; nil if no unit has begun to wait.
func (j *job) closingUnit() *unit {
	var closing *unit
	for _, u := range j.unitList {
		switch {
		case u.ledger.Begun().IsZero():
		case !u.done && j.state != model.Completed:
			return u
		case closing == nil || u.doneAt.After(closing.doneAt):
			closing = u
		}
	}
	return closing
}

// logEnd logs a persisted terminal state with the time that the job took by cause.
func (t *term) logEnd(j *job, now time.Time) {
	if j.logged {
		return
	}
	j.logged = true
	spent := j.spent(now)
	attrs := []any{
		"job", j.id, "state", j.state, "account", j.spec.Account, "queue", j.queue.Name, "priority", j.queue.Priority, "guaranteed", j.guaranteed,
		"age_ms", now.Sub(j.accepted).Round(time.Millisecond).Milliseconds(), "objective_ms", j.objective().Milliseconds(),
	}
	attrs = append(attrs, t.measuredAttrs(j)...)
	// The parts are rounded such that they add up to the age.
	total, logged := time.Duration(0), time.Duration(0)
	for _, c := range cause.All() {
		if spent[c] == 0 {
			continue
		}
		total += spent[c]
		part := total.Round(time.Millisecond) - logged
		logged += part
		attrs = append(attrs, c.String()+"_ms", part.Milliseconds())
		t.p.Meter.Time(t.accountName(j.queue.Name, c), spent[c])
	}
	for _, c := range cause.All() {
		if lost := j.lostWork[c]; lost > 0 {
			attrs = append(attrs, c.String()+"_core_s", int64(lost))
			t.p.Meter.Add("lost_core_seconds_"+c.String(), int64(lost))
		}
	}
	t.p.Log.Info("job ended", attrs...)
}

// maxAccountQueues bounds the queues that have histograms of their own.
const maxAccountQueues = 32

// accountName returns the name of the histogram of a queue's time by cause. Queues beyond
// the bound share one.
func (t *term) accountName(queue string, c cause.Cause) string {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if !t.p.accountQueues[queue] {
		if len(t.p.accountQueues) >= maxAccountQueues {
			queue = "other"
		} else {
			if t.p.accountQueues == nil {
				t.p.accountQueues = make(map[string]bool)
			}
			t.p.accountQueues[queue] = true
		}
	}
	return "job_time." + queue + "." + c.String()
}
