package speed

import (
	"math"
	"slices"
)

const (
	// maxRatios is the number of run times of a kind that are kept, the newest.
	maxRatios = 128
	// minRatios is the number of run times from which a kind is known. Fewer would let a
	// few tasks of the tail decide.
	minRatios = 20
	// maxPerStep bounds the run times that one step contributes, as its tasks share the
	// error of the caller's estimate.
	maxPerStep = 4
)

// Kind tracks how far the true run times of a kind of work differ from the callers'
// estimates. The zero value has no run times.
type Kind struct {
	ratios []float64
	next   int
	// step is the last step of which a ratio was recorded, with the number of them.
	step  string
	count int
	// middle and deviation are of the logarithms; they are valid unless stale.
	middle, deviation float64
	stale             bool
}

// Observe records the ratio of a run time of a step to its estimate.
func (k *Kind) Observe(step string, ratio float64) {
	if ratio <= 0 || math.IsInf(ratio, 1) || math.IsNaN(ratio) {
		return
	}
	if step != k.step {
		k.step, k.count = step, 0
	}
	if k.count++; k.count > maxPerStep {
		return
	}
	k.stale = true
	if len(k.ratios) < maxRatios {
		k.ratios = append(k.ratios, math.Log(ratio))
		return
	}
	k.ratios[k.next] = math.Log(ratio)
	k.next = (k.next + 1) % maxRatios
}

// Median returns the median ratio; 1 if it is not known.
func (k *Kind) Median() float64 {
	if !k.refresh() {
		return 1
	}
	return math.Exp(k.middle)
}

// Spread returns half the distance between the logarithms of the ratios that a sixth of the
// run times are below and above; for a normal distribution this is the standard deviation.
// It is 0 if it is not known.
func (k *Kind) Spread() float64 {
	if !k.refresh() {
		return 0
	}
	return k.deviation
}

// refresh updates the median and the spread, and reports whether they are known.
func (k *Kind) refresh() bool {
	if k == nil || len(k.ratios) < minRatios {
		return false
	}
	if k.stale {
		sorted := slices.Clone(k.ratios)
		k.middle = median(sorted)
		n := len(sorted)
		k.deviation = (sorted[n-1-n/6] - sorted[n/6]) / 2
		k.stale = false
	}
	return true
}
