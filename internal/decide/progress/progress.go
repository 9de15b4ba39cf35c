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
	// minInterval is the least time between two readings that are compared.
	minInterval = 800 * time.Millisecond
	// minExpectedPercent is the progress that is expected in a window before its lack
	// counts, as readings are whole percents.
	minExpectedPercent = 3
	// ownRateShare of its own earlier rate makes a run slow, and siblingShare of its
	// siblings' rate: they differ among each other by up to a half.
	ownRateShare     = 0.4
	siblingRateShare = 0.25
	// estimatedRateShare is the slowest rate by the caller's estimate that a sound
	// run may have.
	estimatedRateShare = 0.1
	// completePercent is the progress from which a member of a gang may wait for the
	// others.
	completePercent = 99
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

	hasReading bool
	percent    float64
	at         time.Duration
}

// Observe takes a reading in: the progress in percent, at a time on the worker's
// clock. Readings in quick succession change nothing.
func (t *Tracker) Observe(percent float64, at time.Duration, ref Reference) {
	switch {
	case percent >= completePercent:
		t.State = Unknown
		return
	case !t.hasReading || percent < t.percent || at < t.at:
		t.hasReading, t.percent, t.at = true, percent, at
		return
	case at-t.at < minInterval:
		return
	}
	passed := (at - t.at).Seconds()
	t.Rate = (percent - t.percent) / passed
	slow, judged := t.slow(passed, ref)
	switch {
	case slow && t.State != Slow:
		t.State, t.SlowSince = Slow, t.at
	case !slow && judged:
		t.State = Healthy
	case !slow && t.State == Slow && t.Rate > 0:
		t.State = Unknown
	}
	if !slow {
		t.BestRate = max(t.BestRate, t.Rate)
	}
	t.percent, t.at = percent, at
}

// slow reports whether the latest rate is too low, and whether anything was
// there to judge it by.
func (t *Tracker) slow(passed float64, ref Reference) (slow, judged bool) {
	if t.BestRate*passed >= minExpectedPercent {
		judged = true
		slow = t.Rate < ownRateShare*t.BestRate
	}
	if ref.SiblingRate*passed >= minExpectedPercent {
		judged = true
		slow = slow || t.Rate < siblingRateShare*ref.SiblingRate
	}
	if judged || ref.Estimate <= 0 {
		return slow, judged
	}
	if expected := estimatedRateShare * 100 / ref.Estimate.Seconds(); expected*passed >= minExpectedPercent {
		return t.Rate == 0, true
	}
	return false, false
}

const (
	// minSlowSeconds is how long a worker's trouble is expected to last at least;
	// then as long again as it has lasted.
	minSlowSeconds = 3.0
	// moveSeconds is what a stop, a start and their calls take, in seconds.
	moveSeconds = 0.5
)

// FasterElsewhere reports whether a slow run is done sooner when it begins again on a
// sound worker. saved says that a stop keeps its work. now is on the worker's
// clock.
func (t *Tracker) FasterElsewhere(rate float64, saved bool, now time.Duration) bool {
	rate = max(rate, t.BestRate)
	if t.State != Slow || rate <= 0 {
		return false
	}
	slowFor := max(minSlowSeconds, (now - t.SlowSince).Seconds())
	remaining := 100 - t.percent
	stay := remaining / rate
	if t.Rate*slowFor < remaining {
		stay = slowFor + (remaining-t.Rate*slowFor)/rate
	}
	restart := 100 / rate
	if saved {
		restart = remaining / rate
	}
	return restart+moveSeconds < stay
}
