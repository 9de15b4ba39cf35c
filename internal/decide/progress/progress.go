// Package progress tracks the progress of running tasks. It decides whether
// their worker is stalled or slow, and whether a task would finish sooner on
// another worker. It is pure: the caller passes the times.
//
// It is designed for a fleet in which a few workers take several times as long,
// or do nothing, for some seconds, while urgent tasks have an objective of less
// than twice their run time. Estimates of callers are off by a factor of ten.
package progress

import "time"

// State is the assessment of a run.
type State int

// The states of a run.
const (
	// Unknown runs have not been observed for long enough.
	Unknown State = iota
	// Healthy runs have been compared with a reference and are not slow.
	Healthy
	// Slow runs advance at a fraction of the reference rate, or not at all.
	Slow
)

const (
	// minInterval is the least time between two readings that are compared.
	minInterval = 800 * time.Millisecond
	// minExpectedPercent is the progress that must be expected between two
	// readings before a lack of progress counts. Readings are whole percents.
	minExpectedPercent = 3
	// A run is slow below ownRateShare of its own best rate or below
	// siblingRateShare of its siblings' rate. The rates of siblings differ by
	// up to a half.
	ownRateShare     = 0.4
	siblingRateShare = 0.25
	// estimatedRateShare is the least rate of a healthy run, as a share of the
	// rate according to the caller's estimate.
	estimatedRateShare = 0.1
	// completePercent is the progress from which a member of a gang may be
	// waiting for the others.
	completePercent = 99
)

// Reference is what a run is compared with.
type Reference struct {
	// SiblingRate is the rate of healthy tasks of the same step, in percent per
	// second; 0 if it is unknown.
	SiblingRate float64
	// Estimate is the caller's estimate of the run time; 0 for none.
	Estimate time.Duration
}

// Tracker tracks one run on one worker.
type Tracker struct {
	// Rate is the latest rate and BestRate the highest, in percent per second.
	Rate, BestRate float64
	State          State
	// SlowSince is when the run became slow, on the worker's clock. It is valid
	// only while the state is Slow.
	SlowSince time.Duration

	// percent and at are those of the latest reading, if hasReading is set.
	hasReading bool
	percent    float64
	at         time.Duration
}

// Observe records a reading: the progress in percent, at a time on the worker's
// clock. It ignores a reading that follows the last one within minInterval.
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

// slow reports whether the latest rate is too low, and whether there was
// anything to compare it with.
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
	// A slow run is expected to stay slow for as long again as it has been
	// slow, and for minSlowSeconds at least.
	minSlowSeconds = 3.0
	// moveSeconds is the time that a stop, a start and their calls take.
	moveSeconds = 0.5
)

// FasterElsewhere reports whether a slow run would finish sooner if it were
// restarted on a healthy worker, where it is expected to advance at the given
// rate in percent per second. saved says that a stop preserves its work. now is
// on the worker's clock.
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
