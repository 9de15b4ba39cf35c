package planner

import (
	"math"
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/speed"
)

// kind is what the term has learnt of the callers' estimates of a queue. The units are
// tasks and gangs. A step takes as long as the slowest of its units: with 39 tasks of which
// 3 in 100 take 7 times as long, 7 in 10 steps take 7 times as long.
type kind struct {
	units, steps speed.Kind
	// logged is the median of the units when it was last logged; 0 before that.
	logged float64
}

// stepTimes is what is known of the run times of one occurrence of a step.
type stepTimes struct {
	// longest is the largest ratio of a run time to the estimate; 0 if none is known. done
	// counts the units that are done.
	longest float64
	done    int
}

// units returns the number of units of a step.
func (k stepKey) units() int {
	s := &k.job.spec.Job.Steps[k.step]
	if s.Gang {
		return 1
	}
	return s.Tasks
}

// observeKind records the run time of a unit of which a task is done. That of a unit far from
// its data says nothing of its kind.
func (t *term) observeKind(m *member, wellPlaced bool) {
	u := m.unit
	key := u.stepKey()
	j := key.job
	if j.times == nil {
		j.times = make(map[stepKey]stepTimes)
	}
	x := j.times[key]
	x.done++
	if ratio := t.estimateRatio(m); ratio > 0 && wellPlaced {
		k := t.kinds[j.queue.Name]
		if k == nil {
			k = &kind{}
			if t.kinds == nil {
				t.kinds = make(map[string]*kind)
			}
			t.kinds[j.queue.Name] = k
		}
		k.units.Observe(key.name(), ratio)
		x.longest = max(x.longest, ratio)
	}
	if k := t.kinds[j.queue.Name]; k != nil && x.done == key.units() {
		k.steps.Observe(key.name(), x.longest)
	}
	j.times[key] = x
}

// estimateRatio returns the ratio of the run time of a unit to the caller's estimate, as it
// would be on the median worker; 0 if it is not known. It is called for one task of a unit,
// which for a gang stands for all: its members advance together.
func (t *term) estimateRatio(m *member) float64 {
	estimate := m.unit.step().Estimate.Seconds()
	if estimate <= 0 || m.pace.rate == 0 {
		return 0
	}
	return 100 / m.pace.rate / estimate / t.slowestFactor(m.unit)
}

// estimateOf returns the expected run time of a unit on the median worker, in seconds.
func (t *term) estimateOf(u *unit) float64 {
	seconds := u.step().Estimate.Seconds()
	if k := t.kinds[u.job.queue.Name]; k != nil && !t.p.Disabled[policy.KindEstimates] {
		seconds *= k.units.Median()
	}
	return seconds
}

// expectedRuntime returns the expected run time of a running unit on its workers, in
// seconds, and the mean remaining time if it has taken that long; 0 if it is not known.
func (t *term) expectedRuntime(u *unit) (estimate, doubt float64) {
	estimate = t.estimateOf(u) * t.slowestFactor(u)
	if k := t.kinds[u.job.queue.Name]; k != nil && !t.p.Disabled[policy.KindEstimates] {
		doubt = remainingDoubt * k.units.Spread() * estimate
	}
	return estimate, doubt
}

// remainingDoubt is the mean remaining time of a unit that has taken its expected run time,
// in standard deviations of the run time: the mean of the upper half of a normal
// distribution.
const remainingDoubt = 0.8

// stepRatio returns the expected ratio of the run time of a step to the caller's estimate.
func (t *term) stepRatio(key stepKey) float64 {
	k := t.kinds[key.job.queue.Name]
	if k == nil || t.p.Disabled[policy.KindEstimates] {
		return 1
	}
	x := key.job.times[key]
	if x.longest > 0 && x.done >= key.units() {
		return x.longest
	}
	ratio := k.steps.Median()
	if ratio == 1 {
		ratio = k.units.Median()
	}
	return max(ratio, x.longest)
}

// expectedPaths returns the critical path from each step of an occurrence, as expected from
// what is learnt, in seconds.
func (t *term) expectedPaths(j *job, occurrence int) []float64 {
	return j.pathsOf(func(step int) float64 {
		return j.spec.Job.Steps[step].Estimate.Seconds() * t.stepRatio(stepKey{j, occurrence, step})
	})
}

// expectedPath returns the expected time in seconds from the start of a waiting unit until all
// steps that depend on its step are done, given expectedPaths. The other units of its step
// run beside it or are done, so that its own run time counts.
func (t *term) expectedPath(u *unit, paths []float64) float64 {
	step := u.step().Estimate.Seconds() * t.stepRatio(u.stepKey())
	return paths[u.key.step] - step + t.estimateOf(u)
}

// pathsOf returns, for each step, the time in seconds from its start until all steps that
// depend on it are done, given the run time of each.
func (j *job) pathsOf(runtime func(step int) float64) []float64 {
	steps := j.spec.Job.Steps
	paths := make([]float64, len(steps))
	for s := len(steps) - 1; s >= 0; s-- {
		longest := 0.0
		for k := s + 1; k < len(steps); k++ {
			if slices.Contains(steps[k].After, s) {
				longest = max(longest, paths[k])
			}
		}
		paths[s] = runtime(s) + longest
	}
	return paths
}

// objectiveFor returns the completion-time objective of a job with a critical path, in
// seconds.
func (j *job) objectiveFor(path float64) float64 {
	return j.queue.ObjectiveFactor*path + j.queue.ObjectiveConstant.Seconds()
}

// minKindChange is the change of a queue's median ratio that is logged again.
const minKindChange = 0.1

// logKinds logs what is learnt of the callers' estimates where it has changed.
func (t *term) logKinds() {
	for name, k := range t.kinds {
		if m := k.units.Median(); k.units.Spread() == 0 && m == 1 || math.Abs(m-k.logged) < minKindChange*k.logged {
			continue
		}
		k.logged = k.units.Median()
		t.p.Log.Info("estimates of a queue", "queue", name, "runtime_by_estimate", rounded(k.units.Median()), "spread", rounded(k.units.Spread()),
			"step_by_estimate", rounded(k.steps.Median()), "step_spread", rounded(k.steps.Spread()))
	}
}
