// Package health decides which runners are ejected and when they are probed.
package health

import "time"

const (
	// ejectAfter is the number of failed connections that eject a runner.
	ejectAfter = 3
	// failureWindow is the time after which a failure is forgotten.
	failureWindow = 30 * time.Second
	// maxEjectedDivisor is the inverse of the largest part of a group that may be
	// ejected at once.
	maxEjectedDivisor = 3
	// minProbeDelay and maxProbeDelay bound the time until a probe; it doubles
	// with every failed one.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
	// probeTimeout is the time after which an unfinished probe is forgotten.
	probeTimeout = 30 * time.Second
	// maxProbeWait is the time after which a runner that was due for a probe
	// and got none is taken back on trial, as nothing else could bring it back.
	maxProbeWait = 60 * time.Second
)

// Failure is the failure of one connection to a runner.
type Failure struct {
	Connection uint64
	// FirstUse says that the attempt was the connection's first. A connection
	// that goes silent after earlier use says nothing about the runner.
	FirstUse bool
	// Answered says that the runner itself answered with a failure.
	Answered bool
	At       time.Time
}

// State says how a runner is to be used.
type State struct {
	// Ejected runners get no work except a probe.
	Ejected bool
	// Probe says that an ejected runner is due for one.
	Probe bool
	// Suspect runners would be ejected if fewer others were.
	Suspect bool
}

type runner struct {
	group    string
	failures map[uint64]time.Time
	ejected  bool
	// onTrial says that the runner came back without a probe; its next failure
	// ejects it again.
	onTrial    bool
	probeDelay time.Duration
	probeAt    time.Time
}

// Tracker keeps the evidence about all runners. The zero value knows none. It
// is not safe for concurrent use.
type Tracker struct {
	runners map[string]*runner
	groups  map[string]int
}

// SetRunners replaces the known runners; groups maps a runner's id to the group of
// which at most a third is ejected.
func (t *Tracker) SetRunners(groups map[string]string) {
	old := t.runners
	t.runners = make(map[string]*runner, len(groups))
	t.groups = make(map[string]int)
	for id, g := range groups {
		r, ok := old[id]
		if !ok || r.group != g {
			r = &runner{group: g}
		}
		t.runners[id] = r
		t.groups[g]++
	}
	for _, r := range t.runners {
		if r.ejected && t.ejectedIn(r.group) > t.groups[r.group]/maxEjectedDivisor {
			r.ejected = false
		}
	}
}

func (t *Tracker) ejectedIn(group string) int {
	n := 0
	for _, r := range t.runners {
		if r.ejected && r.group == group {
			n++
		}
	}
	return n
}

// RecordSuccess forgets the failures of a runner and brings it back.
func (t *Tracker) RecordSuccess(id string) {
	if r, ok := t.runners[id]; ok {
		*r = runner{group: r.group}
	}
}

// RecordFailure adds evidence and reports whether the runner was ejected by it.
func (t *Tracker) RecordFailure(id string, f Failure) bool {
	r, ok := t.runners[id]
	if !ok || (!f.FirstUse && !f.Answered) {
		return false
	}
	if r.failures == nil {
		r.failures = make(map[uint64]time.Time)
	}
	r.failures[f.Connection] = f.At
	r.dropOldFailures(f.At)
	if r.ejected {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
		r.probeAt = f.At.Add(r.probeDelay)
		return false
	}
	if (len(r.failures) < ejectAfter && !r.onTrial) || t.ejectedIn(r.group) >= t.groups[r.group]/maxEjectedDivisor {
		return false
	}
	r.ejected, r.onTrial = true, false
	r.probeDelay = minProbeDelay
	r.probeAt = f.At.Add(r.probeDelay)
	return true
}

func (r *runner) dropOldFailures(now time.Time) {
	for c, at := range r.failures {
		if now.Sub(at) > failureWindow {
			delete(r.failures, c)
		}
	}
}

// ProbeStarted says that a probe of an ejected runner has begun.
func (t *Tracker) ProbeStarted(id string, now time.Time) {
	if r, ok := t.runners[id]; ok {
		r.probeAt = now.Add(probeTimeout)
	}
}

// State returns the state of a runner.
func (t *Tracker) State(id string, now time.Time) State {
	r, ok := t.runners[id]
	if !ok {
		return State{}
	}
	if r.ejected && now.Sub(r.probeAt) >= maxProbeWait {
		r.ejected, r.onTrial = false, true
	}
	if r.ejected {
		return State{Ejected: true, Probe: !now.Before(r.probeAt)}
	}
	r.dropOldFailures(now)
	return State{Suspect: len(r.failures) >= ejectAfter}
}
