// Package cause attributes the time that a job takes to a closed list of causes. It is
// pure: the caller passes the times.
package cause

import "time"

// Cause is what a job spends time on or waits for.
type Cause int

// The causes. Their names are in the table below.
const (
	// Accept is the time from the arrival of a job until the planner has it.
	Accept Cause = iota
	// EarlierTerm is the time before the current planner's term, whose causes only the
	// earlier planner knew.
	EarlierTerm
	// PlannerChange is the time until a new term has heard of enough workers to plan.
	PlannerChange
	// StoreUnavailable is the time during which the planner could not renew its lock.
	StoreUnavailable
	// NotDue is the time until an occurrence of a scheduled job is due.
	NotDue
	// Plan is the time until the next scheduling pass.
	Plan
	// NoCapacity: less capacity is free than the unit needs.
	NoCapacity
	// Fragmented: enough capacity is free, but on too many workers or racks.
	Fragmented
	// Reserved: the unit fits on workers that are reserved for another one.
	Reserved
	// Kept: the unit fits on workers that are kept for urgent ones.
	Kept
	// Closed: the unit fits on workers that get no new work because they fail, are slow,
	// are draining or do not respond.
	Closed
	// Evacuated: the unit fits on workers of data centres that are evacuated, or its run was
	// withdrawn since one of them was.
	Evacuated
	// Freeing: running units are being stopped for the unit.
	Freeing
	// Lease: an earlier run may still be running on a worker that does not respond.
	Lease
	// Persist is the time to persist a placement.
	Persist
	// Start is the time until all tasks have started.
	Start
	// Run is the time of the runs whose work was kept.
	Run
	// Preempted is the time of runs that were stopped for urgent work, and to stop them.
	// The following causes are alike.
	Preempted
	// Moved: stopped on a slow worker.
	Moved
	// WorkerLost: a worker restarted, or its lease expired.
	WorkerLost
	// RunFailed: a task failed.
	RunFailed
	// StartFailed: a start was refused or not answered.
	StartFailed
	// Record is the time to persist the terminal state.
	Record
	count
)

var names = [count]string{
	Accept: "accept", EarlierTerm: "earlier_term", PlannerChange: "planner_change", StoreUnavailable: "store_unavailable", NotDue: "not_due",
	Plan: "plan", NoCapacity: "no_capacity", Fragmented: "fragmented", Reserved: "reserved", Kept: "kept_for_urgent", Closed: "closed_workers", Evacuated: "evacuated", Freeing: "freeing",
	Lease: "lease", Persist: "persist", Start: "start", Run: "run",
	Preempted: "preempted", Moved: "moved", WorkerLost: "worker_lost", RunFailed: "run_failed", StartFailed: "start_failed", Record: "record",
}

func (c Cause) String() string { return names[c] }

// All returns all causes in the order in which a job usually meets them.
func All() []Cause {
	all := make([]Cause, count)
	for c := range all {
		all[c] = Cause(c)
	}
	return all
}

// Spent is the time spent on each cause.
type Spent [count]time.Duration

// Add adds the time of another account.
func (s *Spent) Add(o *Spent) {
	for c, d := range o {
		s[c] += d
	}
}

// Ledger accounts for the time of one schedulable unit. Its parts add up to the time
// since Begin. The zero value has not begun.
type Ledger struct {
	spent Spent
	// current is the present cause, since the time since.
	current      Cause
	begun, since time.Time
	// attempt is the time that the current run has taken so far, part of spent.
	attempt Spent
	// running reports whether a run has begun and not been given up.
	running bool
	// closed accounts do not change any more.
	closed bool
}

// Begun returns when the account began; zero if it has not.
func (l *Ledger) Begun() time.Time { return l.begun }

// ChangedAt returns when the account changed last; for a closed one, when it was closed.
func (l *Ledger) ChangedAt() time.Time { return l.since }

// Current returns the present cause.
func (l *Ledger) Current() Cause { return l.current }

// Begin begins the account with a cause. It has no effect on an account that has begun.
func (l *Ledger) Begin(c Cause, now time.Time) {
	if l.begun.IsZero() {
		l.begun, l.since, l.current = now, now, c
	}
}

// Switch charges the time since the last change to the present cause and sets the next
// one.
func (l *Ledger) Switch(c Cause, now time.Time) {
	if l.begun.IsZero() || l.closed {
		return
	}
	if d := now.Sub(l.since); d > 0 {
		l.spent[l.current] += d
		if l.running {
			l.attempt[l.current] += d
		}
		l.since = now
	}
	l.current = c
}

// Close charges the time since the last change to the present cause and ends the account.
func (l *Ledger) Close(now time.Time) {
	l.Switch(l.current, now)
	l.closed = true
}

// BeginRun marks the beginning of a run, which is charged to Persist at first.
func (l *Ledger) BeginRun(now time.Time) {
	l.Switch(Persist, now)
	l.running, l.attempt = true, Spent{}
}

// LoseRun charges the time since the beginning of the run to a cause, which is also the
// present one until the next change. The work of a run that is kept in a checkpoint
// remains charged to Run. Only the first cause of a lost run counts. LoseRun returns the
// time of work that is lost.
func (l *Ledger) LoseRun(c Cause, kept bool, now time.Time) time.Duration {
	if !l.running || l.closed {
		return 0
	}
	l.Switch(c, now)
	l.running = false
	for k, d := range l.attempt {
		if Cause(k) == Run && kept {
			continue
		}
		l.spent[k] -= d
		l.spent[c] += d
	}
	if kept {
		return 0
	}
	return l.attempt[Run]
}

// Spent returns the time up to the last change.
func (l *Ledger) Spent() Spent { return l.spent }

// SpentAt returns the time up to now; of a closed account, up to its end.
func (l *Ledger) SpentAt(now time.Time) Spent {
	x := *l
	x.Switch(x.current, now)
	return x.spent
}
