// Package speed estimates how fast the workers of a service are, from the rates at which
// tasks advance. It is pure: the caller passes the times.
//
// It is designed for a fleet of some hundred workers whose run times differ by a factor of
// 0.8 to 1.25, or of which a third takes 1.3 times as long, under tasks that differ by 0.15
// to 0.3 within a step and of which 3 in 100 take 7 times as long. One task says little,
// and a task from that tail must not make its worker count as slow.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// maxObservations is the number of observations that are kept of a worker, the newest:
	// with 24 that differ by 0.3 the standard error is 0.06.
	maxObservations = 24
	// maxBounds is the number of bounds from gangs that are kept of a worker, the newest.
	maxBounds = 8
	// minObservations is the number of observations from which a worker's factor is known. With
	// fewer, the variance between workers that the tail causes is hard to tell from a difference.
	minObservations = 8
	// minStepWorkers is the number of workers on which a step must have been observed.
	minStepWorkers = 3
	// minWorkers is the number of workers with minObservations from which a difference
	// between workers is looked for.
	minWorkers = 4
	// maxAge is the age from which an observation no longer counts.
	maxAge = 10 * time.Minute
	// iterations is the number of times that steps and workers are estimated in turn. Each
	// call of Solve continues from the result of the last.
	iterations = 4
	// clipScales bounds the influence of an observation, in standard deviations of a task:
	// the usual 1.5 of Huber's estimator, which keeps most of the efficiency of a mean.
	clipScales = 1.5
	// minScale is the least standard deviation of a task that is assumed: rates come from
	// whole percents.
	minScale = 0.02
	// equalMargin and equalSigmas are how far the variance between workers must exceed what
	// equal workers would show, in parts of it and in standard deviations of it. On equal
	// workers it was up to 1.8 times as much while 50 to 100 of them had six observations, and
	// up to 1.4 times once 300 had.
	equalMargin = 0.25
	equalSigmas = 6
	// minSpread is the least standard deviation between workers that is used. Smaller
	// differences are not worth another place.
	minSpread = 0.06
	// maxDeviation is the standard deviation above which a factor is not known. Workers
	// differ by 0.2 to 0.3.
	maxDeviation = 0.1
	// boundWeight is the weight of a gang's run: it bounds the factors of all members, of
	// which only the slowest may be as slow as that.
	boundWeight = 0.2
)

// Worker identifies an incarnation of a worker. The next one may be another machine.
type Worker struct {
	ID          string
	Incarnation int64
}

// Estimate is what is known of a worker's speed.
type Estimate struct {
	// Factor is the run time of a task relative to that on the median worker.
	Factor float64
	// Deviation is the standard deviation of the factor's logarithm.
	Deviation float64
	// LastEvidence is the time of the newest observation.
	LastEvidence time.Duration
}

// Estimator estimates the factors of the workers of one service. The zero value has no
// observations.
type Estimator struct {
	workers map[Worker]*evidence
	// estimates are the known factors as of the last call of Solve.
	estimates map[Worker]Estimate
	// Spread is the standard deviation between the workers as of the last call of Solve, of
	// the logarithms of the factors; 0 if no difference was found.
	Spread float64
}

// evidence is what was observed of a worker.
type evidence struct {
	observations []observation
	// bounds have no step.
	bounds []observation
	// mean is the logarithm of the worker's factor relative to the median, and uses the
	// number of observations that it is from, as of the last call of Solve.
	mean float64
	uses int
}

type observation struct {
	step string
	// value is the logarithm of the run time, or that of the bound on the factor.
	value float64
	at    time.Duration
}

// Observe records that a single task of a step advanced at a rate, in percent per second on
// the worker's clock. Tasks of the same step are compared, also those of different calls.
func (e *Estimator) Observe(w Worker, step string, rate float64, at time.Duration) {
	if rate > 0 && !math.IsInf(rate, 1) && step != "" {
		if e.workers == nil {
			e.workers = make(map[Worker]*evidence)
		}
		x := e.workers[w]
		if x == nil {
			x = &evidence{}
			e.workers[w] = x
		}
		x.observations = appendNewest(x.observations, observation{step, -math.Log(rate), at}, maxObservations)
	}
}

// Bound records that a member of a gang ran on a worker, and that the gang's run time shows
// that no member is slower than a factor. It makes no worker count as fast or slow: it only
// weakens the evidence that one is slow.
func (e *Estimator) Bound(w Worker, factor float64, at time.Duration) {
	if x := e.workers[w]; x != nil && factor > 0 {
		x.bounds = appendNewest(x.bounds, observation{value: math.Log(factor), at: at}, maxBounds)
	}
}

// appendNewest appends an observation and removes the oldest one beyond a limit.
func appendNewest(all []observation, o observation, limit int) []observation {
	if len(all) >= limit {
		all = all[:copy(all, all[1:])]
	}
	return append(all, o)
}

// dropOld removes the observations that are too old.
func dropOld(all []observation, now time.Duration) []observation {
	old := 0
	for old < len(all) && now-all[old].at > maxAge {
		old++
	}
	return all[old:]
}

// Forget discards what is known of a worker.
func (e *Estimator) Forget(w Worker) {
	delete(e.workers, w)
	delete(e.estimates, w)
}

// Estimate returns what is known of a worker's speed; known is false if that is nothing.
func (e *Estimator) Estimate(w Worker) (x Estimate, known bool) {
	x, known = e.estimates[w]
	return x, known
}

// Estimates returns the known factors. The caller must not change them.
func (e *Estimator) Estimates() map[Worker]Estimate { return e.estimates }

// sample is an observation in a call of Solve.
type sample struct {
	worker *evidence
	value  float64
	// reference is the logarithm of the run time of the step on the median worker.
	reference float64
}

// Solve estimates the factors anew from the observations so far.
func (e *Estimator) Solve(now time.Duration) {
	e.expire(now)
	steps, bounds := e.samples()
	scale := 0.0
	for range iterations {
		scale = max(minScale, fitSteps(steps))
		e.fitWorkers(steps, bounds, scale)
	}
	e.shrink(e.chance(steps, scale))
}

// chance returns the variance of a worker's mean times its number of observations, as far
// as the differences between tasks cause it.
func (e *Estimator) chance(steps [][]sample, scale float64) float64 {
	clip := clipScales * scale
	// Each step and each worker that was fitted takes up one observation.
	n, free, within, squares := 0.0, -float64(len(steps)), 0.0, 0.0
	for _, s := range steps {
		for i := range s {
			d := s[i].value - s[i].reference - s[i].worker.mean
			n++
			if math.Abs(d) <= clip {
				within++
			}
			d = max(-clip, min(clip, d))
			squares += d * d
		}
	}
	for _, x := range e.workers {
		if x.uses > 0 {
			free--
		}
	}
	if free += n; free < 1 || within == 0 {
		return math.Inf(1)
	}
	share := within / n
	return max(minScale*minScale, squares/free/(share*share))
}

// expire removes the observations that are too old, and workers that have none.
func (e *Estimator) expire(now time.Duration) {
	for w, x := range e.workers {
		x.observations, x.bounds = dropOld(x.observations, now), dropOld(x.bounds, now)
		if len(x.observations) == 0 {
			delete(e.workers, w)
		}
	}
}

// samples returns the observations by step, without steps that ran on too few workers, and
// the bounds from gangs.
func (e *Estimator) samples() (steps [][]sample, bounds []sample) {
	index := make(map[string]int)
	var all [][]sample
	for _, x := range e.workers {
		x.uses = 0
		for _, b := range x.bounds {
			bounds = append(bounds, sample{worker: x, value: b.value})
		}
		for _, o := range x.observations {
			k, ok := index[o.step]
			if !ok {
				k = len(all)
				index[o.step] = k
				all = append(all, nil)
			}
			all[k] = append(all[k], sample{worker: x, value: o.value})
		}
	}
	for _, s := range all {
		// The samples of a worker are adjacent.
		workers := 0
		for i := range s {
			if i == 0 || s[i].worker != s[i-1].worker {
				workers++
			}
		}
		if workers < minStepWorkers {
			continue
		}
		for i := range s {
			s[i].worker.uses++
		}
		steps = append(steps, s)
	}
	return steps, bounds
}

// fitSteps determines the run time of each step on the median worker, and returns the
// standard deviation of a task from the median deviation, which the tail does not affect.
func fitSteps(steps [][]sample) (scale float64) {
	var deviations, values []float64
	for _, s := range steps {
		values = values[:0]
		for i := range s {
			values = append(values, s[i].value-s[i].worker.mean)
		}
		reference := median(values)
		for i := range s {
			s[i].reference = reference
			deviations = append(deviations, math.Abs(s[i].value-s[i].worker.mean-reference))
		}
	}
	// 1.4826 times the median deviation is the standard deviation of a normal distribution.
	return 1.4826 * median(deviations)
}

// fitWorkers moves the mean of each worker towards its observations.
func (e *Estimator) fitWorkers(steps [][]sample, bounds []sample, scale float64) {
	type fit struct{ sum, weight float64 }
	fits := make(map[*evidence]*fit, len(e.workers))
	for _, x := range e.workers {
		fits[x] = &fit{}
	}
	clip := clipScales * scale
	for _, s := range steps {
		for i := range s {
			f, d := fits[s[i].worker], s[i].value-s[i].reference-s[i].worker.mean
			weight := min(1, clip/math.Abs(d))
			f.sum += weight * d
			f.weight += weight
		}
	}
	for _, b := range bounds {
		if d := b.value - b.worker.mean; d < 0 && b.worker.mean > 0 {
			f := fits[b.worker]
			f.sum += boundWeight * max(-clip, d)
			f.weight += boundWeight
		}
	}
	var means []float64
	for x, f := range fits {
		x.mean += f.sum / max(f.weight, 1)
		if x.uses == 0 {
			x.mean = 0
		}
		if x.uses >= minObservations {
			means = append(means, x.mean)
		}
	}
	middle := median(means)
	for x := range fits {
		if x.uses > 0 {
			x.mean -= middle
		}
	}
}

// shrink determines the known factors: what the observations show, moved towards 1 by as
// much as chance contributes to the differences. If chance alone could explain them, no
// factor is known.
func (e *Estimator) shrink(variance float64) {
	e.estimates, e.Spread = nil, 0
	n, excess, between := 0.0, 0.0, 0.0
	for _, x := range e.workers {
		if x.uses < minObservations {
			continue
		}
		chance := variance / float64(x.uses)
		n++
		excess += x.mean * x.mean / chance
		between += x.mean*x.mean - chance
	}
	if n < minWorkers || excess/n < 1+equalMargin+equalSigmas*math.Sqrt(2/n) || between < n*minSpread*minSpread {
		return
	}
	between /= n
	e.Spread, e.estimates = math.Sqrt(between), make(map[Worker]Estimate, int(n))
	for w, x := range e.workers {
		if x.uses < minObservations {
			continue
		}
		chance := variance / float64(x.uses)
		share := between / (between + chance)
		if deviation := math.Sqrt(share * chance); deviation <= maxDeviation {
			e.estimates[w] = Estimate{math.Exp(share * x.mean), deviation, x.observations[len(x.observations)-1].at}
		}
	}
}

// median returns the median of values, which it sorts; 0 for none.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
