package worker

import (
	"time"

	target "github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

const fullSpeed = 100

// part is one part of a gang on the stand-in.
type part struct {
	status   target.PartStatus
	expires  time.Time
	duration time.Duration
	// workDone is the work done at updatedAt. From then on it grows at percent of
	// full speed.
	workDone  time.Duration
	updatedAt time.Time
	percent   int
}

// holdsAccelerators reports whether the part occupies its accelerators.
func (p *part) holdsAccelerators() bool {
	return p.status.State == target.Running || p.status.State == target.Reserved
}

func (p *part) begin(now time.Time, run time.Duration) {
	p.status.State = target.Running
	p.duration, p.updatedAt, p.percent = run, now, fullSpeed
}

// progress returns the work done at a time, at most the duration of the part.
func (p *part) progress(now time.Time) time.Duration {
	return min(p.duration, p.workDone+now.Sub(p.updatedAt)*time.Duration(p.percent)/fullSpeed)
}

// doneAt returns the time at which the work is done at the current speed.
func (p *part) doneAt() time.Time {
	return p.updatedAt.Add((p.duration - p.workDone) * fullSpeed / time.Duration(p.percent))
}

// throttle sets the speed of a running part from now on.
func (p *part) throttle(now time.Time, percent int) {
	if p.status.State != target.Running {
		return
	}
	p.workDone, p.updatedAt, p.percent = p.progress(now), now, percent
}

// settle updates the state of a part whose work is done or whose lease has expired. It
// reports whether the part must be removed.
func (p *part) settle(now time.Time) (remove bool) {
	if p.status.State == target.Running {
		p.status.ProgressMS = p.progress(minTime(now, p.expires)).Milliseconds()
		if doneAt := p.doneAt(); !now.Before(doneAt) && !p.expires.Before(doneAt) {
			p.status.State = target.Done
			return false
		}
	}
	if !p.holdsAccelerators() || now.Before(p.expires) {
		return false
	}
	if p.status.State == target.Reserved {
		return true
	}
	p.status.State = target.Expired
	return false
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

const (
	usageLag      = 2 * time.Second
	usageInterval = 500 * time.Millisecond
)

type usageSample struct {
	at   time.Time
	busy int
}

// sampleUsage records how many accelerators are in use. The caller must hold w.mu.
func (w *Worker) sampleUsage(now time.Time) {
	if n := len(w.usage); n > 0 && now.Sub(w.usage[n-1].at) < usageInterval {
		return
	}
	s := usageSample{at: now}
	for _, p := range w.parts {
		if p.status.State == target.Running {
			s.busy += len(p.status.Accelerators)
		}
	}
	w.usage = append(w.usage, s)
	for len(w.usage) > 1 && now.Sub(w.usage[1].at) >= usageLag {
		w.usage = w.usage[1:]
	}
}

// laggingUsage returns the oldest retained usage sample. The caller must hold w.mu.
func (w *Worker) laggingUsage(now time.Time) target.Usage {
	if len(w.usage) == 0 {
		return target.Usage{}
	}
	s := w.usage[0]
	return target.Usage{LagMS: now.Sub(s.at).Milliseconds(), BusyAccelerators: s.busy}
}
