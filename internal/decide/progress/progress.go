// Package progress judges by the progress of running tasks whether their worker
// stands still or has turned slow, and whether a task is better off elsewhere.
// It is pure: the caller gives the times.
//
// The load it answers: a few workers that take several times as long, or do
// nothing, for some seconds, under urgent tasks whose objective is less than
// twice their own run time. Estimates of callers are off by a factor of ten.
package progress

import "time"

// State is what is known of a run.
type State int

// The states of a run.
const (
	// Unknown runs have not been watched for long enough.
	Unknown State = iota
	Healthy
	// Slow runs advance at a fraction of the usual rate, or not at all.
	Slow
)

const (
	// window is the least time between two readings that are compared.
	window = 800 * time.Millisecond
	// leastPoints is the progress that is expected in a window before its lack
	// counts, as readings are whole percents.
	leastPoints = 3
	// ownShare of its own earlier rate makes a run slow, and siblingShare of its
	// siblings' rate: they differ among each other by up to a half.
	ownShare     = 0.4
	siblingShare = 0.25
	// estimateShare is the slowest rate by the caller's estimate that a sound
	// run may have.
	estimateShare = 0.1
	// complete is the progress from which a member of a gang may wait for the
	// others.
	complete = 99
)

// Reference is what a run is compared with.
type Reference struct {
	// SiblingRate is the rate of sound tasks of the same step, in percent a second;
	// 0 when it is not known.
	SiblingRate float64
	// Estimate is the caller's estimate of the run time; 0 for none.
	Estimate time.Duration
}

// Tracker follows one run on one worker.
type Tracker struct {
	// Rate is the latest rate and BestRate the highest, in percent a second.
	Rate, BestRate float64
	State          State
	// SlowSince is when the run turned slow, on the worker's clock; it counts while
	// the state is Slow.
	SlowSince time.Duration

	seen    bool
	percent float64
	at      time.Duration
}

// Observe takes a reading in: the progress in percent, at a time on the worker's
// clock. Readings in quick succession change nothing.
func (g *Tracker) Observe(percent float64, at time.Duration, u Reference) {
	switch {
	case percent >= complete:
		g.State = Unknown
		return
	case !g.seen || percent < g.percent || at < g.at:
		g.seen, g.percent, g.at = true, percent, at
		return
	case at-g.at < window:
		return
	}
	passed := (at - g.at).Seconds()
	g.Rate = (percent - g.percent) / passed
	slow, judged := g.slow(passed, u)
	switch {
	case slow && g.State != Slow:
		g.State, g.SlowSince = Slow, g.at
	case !slow && judged:
		g.State = Healthy
	case !slow && g.State == Slow && g.Rate > 0:
		g.State = Unknown
	}
	if !slow {
		g.BestRate = max(g.BestRate, g.Rate)
	}
	g.percent, g.at = percent, at
}

// slow reports whether the latest rate is too low, and whether anything was
// there to judge it by.
func (g *Tracker) slow(passed float64, u Reference) (slow, judged bool) {
	if g.BestRate*passed >= leastPoints {
		judged = true
		slow = g.Rate < ownShare*g.BestRate
	}
	if u.SiblingRate*passed >= leastPoints {
		judged = true
		slow = slow || g.Rate < siblingShare*u.SiblingRate
	}
	if judged || u.Estimate <= 0 {
		return slow, judged
	}
	if least := estimateShare * 100 / u.Estimate.Seconds(); least*passed >= leastPoints {
		return g.Rate == 0, true
	}
	return false, false
}

const (
	// leastTrouble is how long a worker's trouble is expected to last at least;
	// then as long again as it has lasted.
	leastTrouble = 3.0
	// moveTime is what a stop, a start and their calls take, in seconds.
	moveTime = 0.5
)

// FasterElsewhere reports whether a slow run is done sooner when it begins again on a
// sound worker. saved says that a stop keeps its work. now is on the worker's
// clock.
func (g *Tracker) FasterElsewhere(usual float64, saved bool, now time.Duration) bool {
	usual = max(usual, g.BestRate)
	if g.State != Slow || usual <= 0 {
		return false
	}
	trouble := max(leastTrouble, (now - g.SlowSince).Seconds())
	left := 100 - g.percent
	stay := left / usual
	if g.Rate*trouble < left {
		stay = trouble + (left-g.Rate*trouble)/usual
	}
	again := 100 / usual
	if saved {
		again = left / usual
	}
	return again+moveTime < stay
}
