// Package interference learns which kinds of tasks slow each other on one worker. It is
// pure: the caller passes the times, and the memory is bounded.
//
// It is designed for a fleet in which the set of tasks on a worker changes every second or
// two, tasks of one step differ by 0.3 in their run time and 3 in 100 take 7 times as long,
// workers differ in speed by up to 1.5, and the slow-down to find is 1.2 or more. So it
// compares a task with itself before and after a neighbour came or went. Only where no
// such change occurs it compares tasks of one step on different workers.
package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// minPercent is the progress over which a rate is measured at least, and minTime the
	// time: progress is reported in whole percents.
	minPercent = 5
	minTime    = 900 * time.Millisecond
	// maturePercent is the progress after which a segment is used before it ends, since
	// most runs end without a further reading.
	maturePercent = 15
	// minReadings is the number of tail latencies of a segment: each is of half a second.
	minReadings = 3
	// completePercent is the progress from which a task may wait for others.
	completePercent = 99
	// minStallPercent is the progress that must be expected since the last reading before a
	// lack of it counts as a stall.
	minStallPercent = 3
	// maxGap is the longest time between two segments of a run that are compared. A worker
	// may be slow for some seconds.
	maxGap = 10 * time.Second
	// maxGroups bounds the steps with remembered segments, and maxEntries the segments of
	// one.
	maxGroups, maxEntries = 200, 32
	// groupTime is how long the segments of a step are remembered after the last one.
	groupTime = 2 * time.Minute
	// minSiblings is the number of runs of a step on each side of a comparison: one of them
	// may be from the tail. The runs are compared at every compareInterval-th.
	minSiblings, compareInterval = 3, 8
)

// Neighbour is a kind that runs beside a task, with a job that has such a task there.
type Neighbour struct{ Kind, Job string }

// Task is what is fixed about a run.
type Task struct {
	Kind, Job string
	// Step identifies the tasks of the job that are alike.
	Step   int
	Worker string
	// Serving tasks are measured by their tail latency instead of their progress.
	Serving bool
}

// Reading is the state of a run in a report of its worker.
type Reading struct {
	// At is the time on the worker's clock.
	At time.Duration
	// Percent is the progress, 0 to 100.
	Percent float64
	// Latency is the tail latency of a serving task, in milliseconds; 0 if it is not known.
	Latency float64
	// SpeedFactor is the run time on the worker relative to others; 0 for unknown.
	SpeedFactor float64
	// Remote tasks run away from their data.
	Remote bool
	// Beside are the other units on the worker, one entry for each kind, sorted by kind.
	Beside []Neighbour
}

// Run tracks one run. The zero value is ready to use.
type Run struct {
	number int64
	// current is the segment being read, and previous the last usable one of the same run.
	current, previous segment
	// compared reports whether the run was compared with others of its step.
	compared bool
}

// segment is a part of a run with the same kinds beside it.
type segment struct {
	beside               []Neighbour
	from, to             time.Duration
	fromPercent, percent float64
	// latencies is the sum of the logarithms of the readings.
	latencies float64
	readings  int
	speed     float64
	remote    bool
	// open segments have a reading, and used ones were compared.
	open, used bool
}

// cost returns the logarithm of the segment's seconds per percent on a worker of usual
// speed, or of its tail latency.
func (s *segment) cost(serving bool) (cost float64, ok bool) {
	if serving {
		return s.latencies / float64(max(s.readings, 1)), s.readings >= minReadings
	}
	percent, passed := s.percent-s.fromPercent, s.to-s.from
	if !s.open || percent < minPercent || passed < minTime {
		return 0, false
	}
	return math.Log(passed.Seconds() / percent / s.speed), true
}

// Model is what was learnt. The zero value is ready to use.
type Model struct {
	runs   int64
	groups map[groupKey]*group
	pairs  map[Pair]*evidence
	// established is the number of pairs that count.
	established int
}

type groupKey struct {
	job  string
	step int
}

// group has the last first segments of the runs of a step.
type group struct {
	entries []entry
	// count is the number of entries that were ever added.
	count int
	last  time.Duration
}

// entry is the first segment of a run.
type entry struct {
	worker string
	remote bool
	cost   float64
	beside []Neighbour
}

// Track records a reading of a run, and returns the pairs that it established or dropped.
// now is on the caller's clock. A reading with a lower percent or time begins again.
func (m *Model) Track(r *Run, t *Task, x Reading, now time.Duration) []Change {
	if r.number == 0 {
		// The first reading of a run is not used: it may restore a checkpoint.
		m.runs++
		r.number = m.runs
		return nil
	}
	if !x.usable(t.Serving) {
		return nil
	}
	c := &r.current
	if c.open && x.At < c.to || !t.Serving && c.interrupted(&x) {
		r.Break()
	}
	var changes []Change
	if !c.open || x.Remote != c.remote || !sameKinds(c.beside, x.Beside) {
		changes = m.close(r, t, now)
		r.current = segment{beside: slices.Clone(x.Beside), from: x.At, fromPercent: x.Percent, remote: x.Remote, open: true}
	}
	c.extend(&x, t.Serving)
	if c.mature(t.Serving) {
		changes = append(changes, m.use(r, t, now)...)
	}
	return changes
}

// usable reports whether a reading can be used.
func (x *Reading) usable(serving bool) bool {
	if serving {
		return x.Latency > 0 && !math.IsInf(x.Latency, 1)
	}
	return x.Percent >= 0 && x.Percent < completePercent
}

// extend adds a reading to a segment.
func (s *segment) extend(x *Reading, serving bool) {
	s.to, s.percent, s.speed = x.At, x.Percent, 1
	if x.SpeedFactor > 0 && !math.IsInf(x.SpeedFactor, 1) {
		s.speed = x.SpeedFactor
	}
	if serving {
		s.latencies += math.Log(x.Latency)
		s.readings++
	}
}

// mature reports whether a segment is used before it ends.
func (s *segment) mature(serving bool) bool {
	if serving {
		return s.readings >= minReadings
	}
	return s.percent-s.fromPercent >= maturePercent
}

// Break discards the segments of a run that did not advance for another reason than what is
// beside it.
func (r *Run) Break() { r.current, r.previous = segment{}, segment{} }

// interrupted reports whether a run lost progress since the last reading, or made none
// although it did before, beside the same kinds.
func (s *segment) interrupted(x *Reading) bool {
	if !s.open || x.Percent > s.percent {
		return false
	}
	rate := (s.percent - s.fromPercent) / (s.to - s.from).Seconds()
	return x.Percent < s.percent || rate*(x.At-s.to).Seconds() >= minStallPercent
}

// close ends the current segment of a run.
func (m *Model) close(r *Run, t *Task, now time.Duration) []Change {
	changes := m.use(r, t, now)
	if r.current.used {
		r.previous = r.current
	}
	return changes
}

// use compares the current segment of a run, once it is usable, with the previous one and
// with other runs.
func (m *Model) use(r *Run, t *Task, now time.Duration) (changes []Change) {
	c, p := &r.current, &r.previous
	cost, ok := c.cost(t.Serving)
	if !ok || c.used {
		return nil
	}
	c.used = true
	if before, ok := p.cost(t.Serving); ok && p.remote == c.remote && c.from-p.to <= maxGap {
		if n, present := difference(c.beside, p.beside); n != nil {
			effect := cost - before
			if !present {
				effect = -effect
			}
			changes = m.add(Pair{t.Kind, n.Kind}, sample{cluster: r.number, worker: t.Worker, job: t.Job, by: n.Job, effect: effect, at: now})
		}
	}
	if !r.compared && !t.Serving {
		r.compared = true
		changes = append(changes, m.compare(t, entry{t.Worker, c.remote, cost, c.beside}, now)...)
	}
	return changes
}

// compare adds the first segment of a run to those of its step. Once there are some more it
// compares the runs beside each kind with those that are not: not at once, since fast runs
// are known before slow ones.
func (m *Model) compare(t *Task, e entry, now time.Duration) (changes []Change) {
	g := m.group(t, now)
	g.add(e)
	if g.count%compareInterval != 0 {
		return nil
	}
	var kinds []Neighbour
	for i := range g.entries {
		for _, n := range g.entries[i].beside {
			if !slices.ContainsFunc(kinds, func(x Neighbour) bool { return x.Kind == n.Kind }) {
				kinds = append(kinds, n)
			}
		}
	}
	for _, n := range kinds {
		changes = append(changes, m.compareBeside(t, g, n, e.remote, now)...)
	}
	return changes
}

// compareBeside compares the runs of a step beside a kind with those that are not. It leaves
// out those beside another kind that is known to slow them.
func (m *Model) compareBeside(t *Task, g *group, n Neighbour, remote bool, now time.Duration) []Change {
	var with, without []float64
	var workers []string
	for i := range g.entries {
		e := &g.entries[i]
		beside := slices.ContainsFunc(e.beside, func(x Neighbour) bool { return x.Kind == n.Kind })
		switch {
		case e.remote != remote || m.slowedByOther(t.Kind, e.beside, n.Kind):
		case beside:
			with, workers = append(with, e.cost), append(workers, e.worker)
		default:
			without = append(without, e.cost)
		}
	}
	if min(len(with), len(without)) < minSiblings {
		return nil
	}
	s := sample{cluster: hash(t.Job) ^ int64(t.Step), job: t.Job, by: n.Job, effect: median(with) - median(without), at: now}
	return m.addSibling(Pair{t.Kind, n.Kind}, s, workers)
}

// slowedByOther reports whether another one of some kinds is known to slow a kind.
func (m *Model) slowedByOther(kind string, beside []Neighbour, except string) bool {
	if m.established == 0 {
		return false
	}
	return slices.ContainsFunc(beside, func(x Neighbour) bool {
		if x.Kind == except {
			return false
		}
		e := m.pairs[Pair{kind, x.Kind}]
		return e != nil && e.established
	})
}

// group returns the group of a task's step. It forgets the oldest group for a new one if
// there are too many.
func (m *Model) group(t *Task, now time.Duration) *group {
	key := groupKey{t.Job, t.Step}
	g := m.groups[key]
	if g == nil {
		if m.groups == nil {
			m.groups = make(map[groupKey]*group)
		}
		if len(m.groups) >= maxGroups {
			oldest, at := groupKey{}, time.Duration(math.MaxInt64)
			for k, o := range m.groups {
				if o.last < at {
					oldest, at = k, o.last
				}
			}
			delete(m.groups, oldest)
		}
		g = &group{}
		m.groups[key] = g
	}
	g.last = now
	return g
}

// add adds an entry, in place of the oldest if there are too many.
func (g *group) add(e entry) {
	if len(g.entries) < maxEntries {
		g.entries = append(g.entries, e)
	} else {
		g.entries[g.count%maxEntries] = e
	}
	g.count++
}

func sameKinds(a, b []Neighbour) bool {
	return slices.EqualFunc(a, b, func(x, y Neighbour) bool { return x.Kind == y.Kind })
}

// difference returns the only neighbour in which two sets differ, and whether it is in a;
// nil if they differ in none or in several.
func difference(a, b []Neighbour) (n *Neighbour, inA bool) {
	if len(a) < len(b) {
		n, _ = difference(b, a)
		return n, false
	}
	if len(a) != len(b)+1 {
		return nil, false
	}
	for i := range a {
		if i == len(b) || a[i].Kind != b[i].Kind {
			if sameKinds(a[i+1:], b[i:]) {
				return &a[i], true
			}
			return nil, false
		}
	}
	return nil, false
}
