package planner

import (
	"cmp"
	"math"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/progress"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/speed"
)

const (
	// minPaceSpan is the progress from which a run is evidence, in percent: workers report
	// whole percents, so its rate is known to within 1 in 30.
	minPaceSpan = 30
	// solveInterval is the time between two estimations of the speeds, which take 5 ms for
	// 350 workers with the most observations.
	solveInterval = 4 * time.Second
	// unusualFactor is the factor of a worker that is logged, and its inverse.
	unusualFactor = 1.1
	// unusualDeviation is the standard deviation up to which it is logged.
	unusualDeviation = 0.07
	// maxSpeedLines bounds the lines that are logged after one estimation.
	maxSpeedLines = 20
)

// speeds is what the term has learnt of the speeds of workers. The term's lock guards it.
type speeds struct {
	services map[string]*speed.Estimator
	// solvedAt is when the speeds were last estimated; zero before that.
	solvedAt time.Time
	// unsolved reports whether there is evidence since then.
	unsolved bool
	// known is the number of workers whose speed is known.
	known int
}

// pace is the progress of a run since it surely advances: since its start if that is known,
// and otherwise since the first report that shows more than an earlier one, as a run does not
// advance at first if it is resumed or waits for the other members of its gang. Short runs have
// few reports, so leaving out their start would leave out the fast workers.
type pace struct {
	// first is the first reported percentage, if seen is set.
	seen  bool
	first float64
	// from is the percentage at fromAt, on the worker's clock, from which the run advances,
	// if begun is set.
	begun  bool
	from   float64
	fromAt time.Duration
	// rate is the rate since then, in percent per second on the worker's clock; 0 until
	// the run has advanced by minPaceSpan.
	rate float64
	// startUnknown reports that the start was not acknowledged before the first report.
	startUnknown bool
	// disturbed reports that the run was far from its data or slow at a time, so that it
	// says nothing of its worker; used that it was counted as evidence.
	disturbed, used bool
}

// observe records a report at a time on the worker's clock.
func (p *pace) observe(percent float64, at time.Duration) {
	if !p.begun && p.seen && percent > p.first {
		p.begun, p.from, p.fromAt = true, percent, at
	}
	if !p.seen {
		p.seen, p.first = true, percent
	}
	if p.begun && percent-p.from >= minPaceSpan && at > p.fromAt {
		p.rate = (percent - p.from) / (at - p.fromAt).Seconds()
	}
}

// beginPace records when a run began to advance, if all starts of its unit were acknowledged
// and it is not resumed.
func (w *worker) beginPace(m *member) {
	if m.pace.seen || m.unit.checkpoint != "" || len(m.unit.members) < m.unit.tasks() {
		return
	}
	begun := boottime.Time(0)
	for _, o := range m.unit.members {
		if o.adopted || o.startAckedAt == 0 || o.pace.startUnknown {
			return
		}
		begun = max(begun, o.startAckedAt)
	}
	m.pace.begun, m.pace.fromAt = true, w.clock-w.respondedAt.Sub(begun)
}

// speedKey identifies the incarnation of a worker that responded last.
func (w *worker) speedKey() speed.Worker { return speed.Worker{ID: w.id, Incarnation: w.incarnation} }

// speedsOf returns the estimator of a service, and creates it if necessary.
func (t *term) speedsOf(service string) *speed.Estimator {
	e := t.speeds.services[service]
	if e == nil {
		e = &speed.Estimator{}
		if t.speeds.services == nil {
			t.speeds.services = make(map[string]*speed.Estimator)
		}
		t.speeds.services[service] = e
	}
	return e
}

// speedFactor returns the run time of a task on a worker relative to that on the median
// worker; 1 if nothing is known.
func (t *term) speedFactor(w *worker) float64 {
	return cmp.Or(w.speed, 1)
}

// slowestFactor returns the largest factor of the workers of a unit.
func (t *term) slowestFactor(u *unit) float64 {
	factor := 0.0
	if t.speeds.known == 0 {
		return 1
	}
	for _, m := range u.members {
		if w := t.workers[m.worker]; w != nil {
			factor = max(factor, t.speedFactor(w))
		}
	}
	return cmp.Or(factor, 1)
}

// observePace records the progress of a task, and counts it as evidence once it has
// advanced far enough. Its tracker must be up to date.
func (t *term) observePace(w *worker, m *member, percent float64, wellPlaced bool) {
	u := m.unit
	w.beginPace(m)
	m.pace.observe(percent, w.clock)
	// The CPU that a task gets which fills gaps depends on its neighbours.
	if !wellPlaced || m.stopping || m.tracker.State == progress.Slow || u.step().BestEffortCPU {
		m.pace.disturbed = true
	}
	if m.pace.used || m.pace.disturbed || m.pace.rate == 0 || t.p.Disabled[policy.WorkerSpeed] {
		return
	}
	m.pace.used = true
	e := t.speedsOf(u.job.queue.Service)
	if !u.step().Gang {
		e.Observe(w.speedKey(), u.stepKey().name(), m.pace.rate, t.sinceStart(time.Now()))
		t.speeds.unsolved = true
		return
	}
	t.boundSpeeds(u, e, m.pace.rate)
}

// boundSpeeds records what the rate of a gang shows of its members: none is slower than the
// gang. The factor of the gang itself is only known relative to other gangs of its queue,
// so it is bounded from above by the spread of the callers' estimates and of the workers.
func (t *term) boundSpeeds(u *unit, e *speed.Estimator, rate float64) {
	k := t.kinds[u.job.queue.Name]
	estimate := u.step().Estimate.Seconds()
	if k == nil || k.units.Spread() == 0 || e.Spread == 0 || estimate <= 0 {
		return
	}
	factor := 100 / rate / estimate / k.units.Median() * math.Exp(k.units.Spread()+2*e.Spread)
	for _, m := range u.members {
		if w := t.workers[m.worker]; w != nil && w.incarnation == m.incarnation {
			e.Bound(w.speedKey(), factor, t.sinceStart(time.Now()))
		}
	}
}

// name returns a name of the step that no other has.
func (k stepKey) name() string {
	return k.job.id + "/" + strconv.Itoa(k.occurrence) + "/" + strconv.Itoa(k.step)
}

// sinceStart returns the age of the term, the clock of the evidence.
func (t *term) sinceStart(now time.Time) time.Duration { return now.Sub(t.beganAt) }

// observeEnd records the progress of a run that is done. It is called before its member is
// removed from its unit.
func (t *term) observeEnd(w *worker, m *member) {
	u := m.unit
	if u.done || u.aborting || u.step().LongRunning || u.job.ended() {
		return
	}
	wellPlaced := t.wellPlaced(u)
	t.observePace(w, m, 100, wellPlaced)
	t.observeKind(m, wellPlaced)
}

// forgetSpeed discards what is known of the incarnation of a worker that has ended: the next
// may be another machine.
func (t *term) forgetSpeed(w *worker) {
	if e := t.speeds.services[w.info.Service]; e != nil {
		e.Forget(w.speedKey())
		t.speeds.unsolved = true
	}
	w.speed, w.speedLogged = 0, false
}

// refreshSpeeds estimates the speeds anew at intervals.
func (t *term) refreshSpeeds(now time.Time) {
	if !t.speeds.unsolved || now.Sub(t.speeds.solvedAt) < solveInterval || t.p.Disabled[policy.WorkerSpeed] {
		return
	}
	t.speeds.solvedAt, t.speeds.unsolved = now, false
	spread := 0.0
	for _, e := range t.speeds.services {
		e.Solve(t.sinceStart(now))
		spread = max(spread, e.Spread)
	}
	t.speeds.known = 0
	for _, w := range t.workers {
		w.speed = 0
		if e := t.speeds.services[w.info.Service]; e != nil {
			x, _ := e.Estimate(w.speedKey())
			w.speed = x.Factor
		}
		if w.speed > 0 {
			t.speeds.known++
		}
	}
	t.p.Meter.Set("speed_workers_known", int64(t.speeds.known))
	t.p.Meter.Set("speed_spread_permille", int64(math.Round(1000*spread)))
	t.logSpeeds(now)
}

// logSpeeds logs the workers that are known to be fast or slow, each once.
func (t *term) logSpeeds(now time.Time) {
	lines := 0
	for _, w := range t.listed {
		e := t.speeds.services[w.info.Service]
		if e == nil || w.speedLogged {
			continue
		}
		x, known := e.Estimate(w.speedKey())
		if !known || x.Deviation > unusualDeviation || x.Factor < unusualFactor && x.Factor > 1/unusualFactor {
			continue
		}
		if lines++; lines > maxSpeedLines {
			return
		}
		w.speedLogged = true
		t.p.Log.Info("worker speed learnt", "worker", w.id, "born", w.incarnation, "factor", rounded(x.Factor), "deviation", rounded(x.Deviation),
			"evidence_age_ms", (t.sinceStart(now) - x.LastEvidence).Milliseconds())
	}
}

// rounded returns a value for the log, to three decimals.
func rounded(x float64) float64 { return math.Round(1000*x) / 1000 }
