// Package measure estimates the work of a run from what its worker reports: the time that
// the run would have taken on a healthy worker. It is pure: the caller passes the times,
// all of which are on the worker's clock.
//
// It is designed for runs of 1 to 60 seconds whose progress is reported in whole percents, up
// to a second apart, on workers of which a few take several times as long, or do nothing,
// for some seconds. A run result carries no time: the run ended between the last report
// that listed it as running and the first that did not.
package measure

import "time"

const (
	// minWindow is the least time over which a rate is determined.
	minWindow = 300 * time.Millisecond
	// maxWindows bounds the windows of a run; beyond it neighbouring ones are merged.
	maxWindows = 32
	// slowShare is the share of the highest rate below which a window is slow. The rates of
	// healthy windows differ by a fifth, since readings are whole percents.
	slowShare = 0.6
	// healthyShare is the share of the highest rate from which a window of a run with slow
	// ones is not slow.
	healthyShare = 0.85
	// windowPercents is the least progress in a window, so that rounding to whole percents
	// does not make it look slow.
	windowPercents = 8
	// minPercents is the least progress from which a run's length is extrapolated.
	minPercents = 10
	// completePercent is the progress from which a reading says nothing about the rate: the
	// member of a gang may be waiting for others.
	completePercent = 99
	// resumedPercents is the progress at the start of a resumed run from which its readings
	// count the whole task, and not the run alone.
	resumedPercents = 5
)

// window is the progress of a run over some time.
type window struct {
	time     time.Duration
	percents float64
}

func (w window) rate() float64 { return w.percents / w.time.Seconds() }

func (w *window) add(o window) {
	w.time += o.time
	w.percents += o.percents
}

// Run has the readings of one run. The zero value has none.
type Run struct {
	windows []window
	// width is the least width of the next window.
	width                 time.Duration
	hasReading            bool
	firstPercent, percent float64
	firstAt, at           time.Duration
	// listedAt is when the worker last listed the run as running.
	listedAt time.Duration
}

// Observe records a reading of the progress in percent.
func (r *Run) Observe(percent float64, at time.Duration) {
	r.listedAt = max(r.listedAt, at)
	switch {
	case percent <= 0 || percent >= completePercent:
		// At 0 the members of a gang may be waiting for others, or a checkpoint is being
		// restored.
		return
	case !r.hasReading || percent < r.percent || at < r.at:
		*r = Run{hasReading: true, firstPercent: percent, firstAt: at, percent: percent, at: at, listedAt: r.listedAt, width: minWindow}
		return
	case at-r.at < r.width:
		return
	}
	r.windows = append(r.windows, window{at - r.at, percent - r.percent})
	r.percent, r.at = percent, at
	if len(r.windows) < maxWindows {
		return
	}
	merged := r.windows[:0]
	for i := 0; i+1 < len(r.windows); i += 2 {
		a, b := r.windows[i], r.windows[i+1]
		a.add(b)
		merged = append(merged, a)
	}
	r.windows = merged
	r.width *= 2
}

// wide returns windows merged until each has windowPercents at their mean rate.
func wide(windows []window) []window {
	var total window
	for _, w := range windows {
		total.add(w)
	}
	var wide []window
	for _, w := range windows {
		if n := len(wide); n > 0 && wide[n-1].time.Seconds()*total.rate() < windowPercents {
			wide[n-1].add(w)
			continue
		}
		wide = append(wide, w)
	}
	if n := len(wide) - 1; n > 0 && wide[n].time.Seconds()*total.rate() < windowPercents {
		wide[n-1].add(wide[n])
		wide = wide[:n]
	}
	return wide
}

// healthy returns the total of the windows that were not slow, and whether some were. Beside
// slow windows, those count that are near the highest rate: others may be slow in part.
func healthy(windows []window) (total window, slow bool) {
	windows = wide(windows)
	best := 0.0
	for _, w := range windows {
		best = max(best, w.rate())
	}
	for _, w := range windows {
		slow = slow || w.rate() < slowShare*best
	}
	for _, w := range windows {
		if !slow || w.rate() >= healthyShare*best {
			total.add(w)
		}
	}
	return total, slow
}

// withEnds returns the windows with those before the first reading and, if the run was done,
// after the last one.
func (r *Run) withEnds(in Interval, done bool) []window {
	if !in.Started || in.Saved > 0 || !r.hasReading {
		return r.windows
	}
	var windows []window
	if r.firstAt > in.Start {
		windows = append(windows, window{r.firstAt - in.Start, r.firstPercent})
	}
	windows = append(windows, r.windows...)
	if done && in.End > r.at {
		windows = append(windows, window{in.End - r.at, 100 - r.percent})
	}
	return windows
}

// Interval is when a run was on its worker.
type Interval struct {
	// Start is when the run started; it is valid if Started is set. End is the time of the
	// first report that no longer listed the run as running.
	Started    bool
	Start, End time.Duration
	// Slack is the longest time by which a report may lag behind the end of a run, besides
	// the time since the last report, and ClockError the error of Start.
	Slack, ClockError time.Duration
	// Saved is the work of earlier runs from which the run resumed, and Restore the time
	// to restore it; 0 for a run from the beginning.
	Saved, Restore time.Duration
}

// Work is an estimate of the time that a run takes on a healthy worker.
type Work struct {
	Time time.Duration
	// Error is about the largest error of Time.
	Error time.Duration
}

// Done returns the work of a run that was done. It returns false if the readings do not
// suffice.
func (r *Run) Done(in Interval) (Work, bool) {
	total, slow := healthy(r.withEnds(in, true))
	if !slow && in.Saved == 0 {
		// The time between readings is exact, that at the ends is not.
		total, _ = healthy(r.windows)
	}
	byRate, hasRate := r.byRate(in, total)
	if !in.Started {
		return byRate, hasRate
	}
	byClock := r.byClock(in)
	switch {
	case !hasRate:
		return byClock, true
	case slow || in.Saved > 0:
		// The clock includes the time that the slow windows lost.
		return byRate, true
	}
	// The run ended after the last report that listed it.
	earliest := max(r.listedAt-in.Start, 0)
	byRate.Time = min(max(byRate.Time, earliest), byClock.Time)
	byRate.Error = min(byRate.Error, byClock.Error)
	return byRate, true
}

// Failed returns the work of a run that failed, and false if it is not known. Its time on
// the worker counts, less what slow windows lost.
func (r *Run) Failed(in Interval) (Work, bool) {
	if !in.Started {
		return Work{}, false
	}
	w := r.byClock(in)
	windows := r.withEnds(in, false)
	total, slow := healthy(windows)
	if slow && total.percents > 0 {
		for _, x := range wide(windows) {
			if x.rate() < slowShare*total.rate() {
				w.Time -= x.time - seconds(x.percents/total.rate())
			}
		}
	}
	w.Time = max(w.Time, 0)
	return w, true
}

// byClock returns the work by the time between start and end.
func (r *Run) byClock(in Interval) Work {
	gap := in.Slack
	if r.listedAt > 0 {
		gap = min(gap, max(in.End-r.listedAt, 0))
	}
	return Work{Time: in.Saved + max(in.End-in.Start-in.Restore, 0), Error: gap + in.ClockError}
}

// byRate returns the work by the rate of the windows that were not slow, and false if they
// do not suffice.
func (r *Run) byRate(in Interval, total window) (w Work, ok bool) {
	if total.percents < minPercents {
		return Work{}, false
	}
	rate := total.rate()
	w.Time = seconds(100 / rate)
	// Both ends of the readings are rounded to whole percents.
	w.Error = seconds(100 / rate / total.percents)
	if in.Saved > 0 && in.Started {
		atStart := r.firstPercent - rate*(r.firstAt-in.Start-in.Restore).Seconds()
		if atStart < resumedPercents {
			w.Time += in.Saved
		}
	}
	return w, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Step is a step of a job for its critical path.
type Step struct {
	// Work is the longest work of its tasks, in seconds.
	Work float64
	// After lists earlier steps that must be done first.
	After []int
	// Share is the share of the fleet's capacity that all tasks of the step need; 0 for a
	// gang, which can't run in waves.
	Share float64
}

// waveShare is the share of the fleet that callers can expect a step to get at once.
const waveShare = 0.25

// waves returns the number of waves in which the tasks of a step run.
func (s *Step) waves() float64 {
	n := 1.0
	for s.Share > n*waveShare {
		n++
	}
	return n
}

// CriticalPath returns the work on the longest chain of steps, in seconds. A step that is
// wider than a quarter of the fleet counts once for each wave.
func CriticalPath(steps []Step) float64 {
	longest := 0.0
	ends := make([]float64, len(steps))
	for i := range steps {
		begin := 0.0
		for _, d := range steps[i].After {
			if d >= 0 && d < i {
				begin = max(begin, ends[d])
			}
		}
		ends[i] = begin + steps[i].Work*steps[i].waves()
		longest = max(longest, ends[i])
	}
	return longest
}
