package interference

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Pair is a kind and another one that may slow it.
type Pair struct{ Kind, By string }

// Estimate is what is known of a pair.
type Estimate struct {
	Pair
	// SlowDown is the factor by which a task of Kind is slowed by one of By.
	SlowDown float64
	// Doubt is the standard error of the factor's logarithm.
	Doubt float64
	// Runs, Workers and Jobs are the numbers of those that show it. Jobs are those of
	// either kind, whichever are more.
	Runs, Workers, Jobs int
	// At is when the last evidence was found.
	At time.Duration
}

// Change tells of a pair that was established or dropped.
type Change struct {
	Estimate
	Established bool
}

// comparison is the way in which evidence was found.
type comparison int

const (
	// own evidence compares a run with itself, and sibling evidence with others of its step.
	own comparison = iota
	sibling
	comparisons
)

const (
	// maxPairs bounds the pairs, maxSamples the evidence of one by each comparison, and
	// maxClusterSamples that of one run (own) or one job (sibling).
	maxPairs, maxSamples, maxClusterSamples = 400, 48, 4
	// maxAge is how long evidence counts. Pairs that are kept apart give little new
	// evidence, so it is also the time after which they are tried again.
	maxAge = 10 * time.Minute
	// minDoubts is the number of standard errors that an effect must exceed: there are some
	// hundred pairs, each judged many times.
	minDoubts = 4
	// keepShare is the share of each bound under which an established pair is dropped, so
	// that a pair near a bound is not established and dropped in turn.
	keepShare = 0.5
)

// bounds are the conditions under which a pair counts.
type bounds struct {
	// count is the least number of clusters, workers and jobs, and effect the least effect.
	count  int
	effect float64
	// spread is the spread that is expected before there is evidence, with the weight of
	// priorCount values.
	spread float64
}

// priorCount is the weight of the expected spread: a few values may agree by chance.
const priorCount = 6

// limits are the bounds of each comparison. Siblings are on workers that differ in speed
// by 1.3, which is unknown at first; the spread of tasks of one step is 0.3.
var limits = [comparisons]bounds{
	own:     {count: 5, effect: math.Log(1.2), spread: 0.15},
	sibling: {count: 8, effect: math.Log(1.6), spread: 0.3},
}

// sample is one comparison.
type sample struct {
	// cluster is what the sample's error may be shared with: the run, or the job's step.
	cluster int64
	worker  string
	// job is the slowed task's, and by that of its neighbour.
	job, by string
	effect  float64
	at      time.Duration
}

// evidence has the last samples of a pair.
type evidence struct {
	samples     [comparisons][]sample
	established bool
	last        time.Duration
}

// add adds own evidence of a pair and returns the change, if any.
func (m *Model) add(p Pair, s sample) []Change {
	e := m.evidence(p, s.at)
	if e == nil {
		return nil
	}
	n, first := 0, 0
	for i := len(e.samples[own]) - 1; i >= 0; i-- {
		if e.samples[own][i].cluster == s.cluster {
			n, first = n+1, i
		}
	}
	if n >= maxClusterSamples {
		e.samples[own] = slices.Delete(e.samples[own], first, first+1)
	}
	e.append(own, s)
	return m.judge(p, e)
}

// addSibling adds what a step of a job shows on some workers, in place of what it showed
// before.
func (m *Model) addSibling(p Pair, s sample, workers []string) []Change {
	e := m.evidence(p, s.at)
	if e == nil {
		return nil
	}
	e.samples[sibling] = slices.DeleteFunc(e.samples[sibling], func(x sample) bool { return x.cluster == s.cluster })
	for _, w := range workers[:min(len(workers), maxClusterSamples)] {
		s.worker = w
		e.append(sibling, s)
	}
	return m.judge(p, e)
}

// evidence returns the evidence of a pair, or nil if there are too many pairs that count.
func (m *Model) evidence(p Pair, now time.Duration) *evidence {
	e := m.pairs[p]
	if e == nil {
		if m.pairs == nil {
			m.pairs = make(map[Pair]*evidence)
		}
		if len(m.pairs) >= maxPairs && !m.evict() {
			return nil
		}
		e = &evidence{}
		m.pairs[p] = e
	}
	e.last = now
	return e
}

// append adds a sample, in place of the oldest if there are too many.
func (e *evidence) append(c comparison, s sample) {
	if len(e.samples[c]) >= maxSamples {
		e.samples[c] = slices.Delete(e.samples[c], 0, 1)
	}
	e.samples[c] = append(e.samples[c], s)
}

// evict removes the pair whose evidence is oldest, unless all are established.
func (m *Model) evict() bool {
	var oldest *evidence
	var pair Pair
	for p, e := range m.pairs {
		if !e.established && (oldest == nil || e.last < oldest.last) {
			oldest, pair = e, p
		}
	}
	delete(m.pairs, pair)
	return oldest != nil
}

// judge establishes or drops a pair by its evidence.
func (m *Model) judge(p Pair, e *evidence) []Change {
	x, b := e.estimate(p)
	count, effect := min(x.Runs, x.Workers, x.Jobs), math.Log(x.SlowDown)
	if !e.established && count >= b.count && effect >= b.effect && effect >= minDoubts*x.Doubt {
		e.established = true
		m.established++
		return []Change{{x, true}}
	}
	if e.established && (count < int(keepShare*float64(b.count)) || effect < keepShare*b.effect || effect < keepShare*minDoubts*x.Doubt) {
		e.established = false
		m.established--
		return []Change{{x, false}}
	}
	return nil
}

// estimate returns the estimate of a pair and the bounds that apply to it. Own evidence
// goes before that of siblings once there is enough of it, or if it contradicts.
func (e *evidence) estimate(p Pair) (Estimate, bounds) {
	x, y := estimate(p, e.samples[own], own), estimate(p, e.samples[sibling], sibling)
	enough := min(x.Runs, x.Workers, x.Jobs) >= limits[own].count
	contradicts := x.Runs > 0 && math.Log(x.SlowDown) < keepShare*math.Log(y.SlowDown)
	if enough || contradicts || y.Runs == 0 {
		return x, limits[own]
	}
	return y, limits[sibling]
}

// estimate returns the median over the clusters of their medians.
func estimate(p Pair, all []sample, c comparison) Estimate {
	x := Estimate{Pair: p, SlowDown: 1}
	if len(all) == 0 {
		return x
	}
	var workers, jobs, by []string
	for i := range all {
		workers, jobs, by = append(workers, all[i].worker), append(jobs, all[i].job), append(by, all[i].by)
		x.At = max(x.At, all[i].at)
	}
	values := clusterMedians(all)
	effect := median(values)
	deviations := make([]float64, len(values))
	for i, v := range values {
		deviations[i] = math.Abs(v - effect)
	}
	x.Runs, x.Workers, x.Jobs = len(values), distinct(workers), distinct(jobs)
	if c == own {
		// A service is one job; then the jobs beside it are many.
		x.Jobs = max(x.Jobs, distinct(by))
	}
	// 1.4826 times the median deviation is the standard deviation of a normal distribution,
	// and the median's standard error is 1.2533 times that of the mean.
	spread, n := 1.4826*median(deviations), float64(len(values))
	prior := limits[c].spread
	spread = math.Sqrt((n*spread*spread + priorCount*prior*prior) / (n + priorCount))
	x.SlowDown = math.Exp(effect)
	x.Doubt = 1.2533 * spread / math.Sqrt(float64(min(x.Runs, x.Workers, x.Jobs)))
	return x
}

// clusterMedians returns the median effect of each cluster. It sorts a copy of the samples.
func clusterMedians(all []sample) []float64 {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b sample) int {
		return cmp.Or(cmp.Compare(a.cluster, b.cluster), cmp.Compare(a.effect, b.effect))
	})
	var values []float64
	for from := 0; from < len(sorted); {
		to := from + 1
		for to < len(sorted) && sorted[to].cluster == sorted[from].cluster {
			to++
		}
		values = append(values, (sorted[(from+to-1)/2].effect+sorted[(from+to)/2].effect)/2)
		from = to
	}
	return values
}

// Expire drops evidence that is too old, and returns the pairs that are dropped with it.
func (m *Model) Expire(now time.Duration) (changes []Change) {
	for p, e := range m.pairs {
		left := 0
		for c := range e.samples {
			e.samples[c] = slices.DeleteFunc(e.samples[c], func(s sample) bool { return now-s.at > maxAge })
			left += len(e.samples[c])
		}
		changes = append(changes, m.judge(p, e)...)
		if left == 0 {
			delete(m.pairs, p)
		}
	}
	for k, g := range m.groups {
		if now-g.last > groupTime {
			delete(m.groups, k)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.compare(b.Estimate) })
	return changes
}

// Known reports whether a pair is established.
func (m *Model) Known() bool { return m.established > 0 }

// Len returns the number of pairs with evidence.
func (m *Model) Len() int { return len(m.pairs) }

// Established returns the pairs that count, sorted.
func (m *Model) Established() []Estimate {
	var all []Estimate
	for p, e := range m.pairs {
		if e.established {
			x, _ := e.estimate(p)
			all = append(all, x)
		}
	}
	slices.SortFunc(all, func(a, b Estimate) int { return a.compare(b) })
	return all
}

func (x Estimate) compare(o Estimate) int {
	return cmp.Or(cmp.Compare(x.Kind, o.Kind), cmp.Compare(x.By, o.By))
}

// median returns the median of values that are not empty, and sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// distinct returns the number of distinct strings, and sorts them.
func distinct(all []string) int {
	slices.Sort(all)
	return len(slices.Compact(all))
}

func hash(s string) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return int64(h.Sum64() >> 1)
}
