// Package health decides which runners are ejected and when an ejected runner
// is probed.
package health

import "time"

const (
	// ejectAfter is the number of failed connections after which a runner is
	// ejected.
	ejectAfter = 3
	// failureWindow is the time after which a failure no longer counts.
	failureWindow = 30 * time.Second
	// maxEjectedDivisor limits the ejected runners: at most the size of their
	// group divided by it.
	maxEjectedDivisor = 3
	// minProbeDelay and maxProbeDelay bound the time until the next probe,
	// which doubles with every failure.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
	// probeTimeout is the time after which a runner with an unfinished probe is
	// due for another one.
	probeTimeout = 30 * time.Second
	// maxProbeWait is the time after which a runner that was due for a probe
	// but got none is readmitted on trial, since nothing else could readmit it.
	maxProbeWait = 60 * time.Second
)

// Failure is the failure of one connection to a runner.
type Failure struct {
	Connection uint64
	// FirstUse says that the attempt was the first on its connection. A reused
	// connection that stops responding is no evidence against the runner.
	FirstUse bool
	// RunnerAnswered says that the runner itself responded with a failure.
	RunnerAnswered bool
	At             time.Time
}

// State says how a runner may be used.
type State struct {
	// Ejected runners get no work except for a probe.
	Ejected bool
	// Probe says that an ejected runner is due for a probe.
	Probe bool
	// Suspect runners have failed as often as an ejected one but stay in use,
	// since too many of their group are ejected.
	Suspect bool
}

type runner struct {
	group    string
	failures map[uint64]time.Time
	ejected  bool
	// onTrial says that the runner was readmitted without a probe. Its next
	// failure ejects it again.
	onTrial    bool
	probeDelay time.Duration
	probeAt    time.Time
}

// Tracker tracks the failures of all runners. The zero value has no runners. It
// is not safe for concurrent use.
type Tracker struct {
	runners map[string]*runner
	// groups has the number of runners of each group.
	groups map[string]int
}

// SetRunners replaces the runners. groups has the group of each runner by its
// id; at most a third of a group is ejected. Runners that stay in their group
// keep their state.
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

// RecordSuccess clears the failures of a runner and readmits it.
func (t *Tracker) RecordSuccess(id string) {
	if r, ok := t.runners[id]; ok {
		*r = runner{group: r.group}
	}
}

// RecordFailure records a failure and reports whether it ejected the runner.
func (t *Tracker) RecordFailure(id string, f Failure) bool {
	r, ok := t.runners[id]
	if !ok || (!f.FirstUse && !f.RunnerAnswered) {
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

// ProbeStarted records that a probe of an ejected runner has started.
func (t *Tracker) ProbeStarted(id string, now time.Time) {
	if r, ok := t.runners[id]; ok {
		r.probeAt = now.Add(probeTimeout)
	}
}

// State returns the state of a runner. It also readmits an ejected runner on
// trial once maxProbeWait has passed.
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
