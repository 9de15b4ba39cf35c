package planner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/interference"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// maxInterferingKinds bounds the kinds that a scheduling pass considers, those of the
	// strongest pairs.
	maxInterferingKinds = 32
	// maxInterferenceLines bounds the log lines about pairs, and about units kept apart,
	// between two lines about the load.
	maxInterferenceLines = 10
	// maxKindName bounds the name of a kind, since callers choose the image.
	maxKindName = 80
)

// interferenceState is what a term has learnt about kinds that slow each other. It is not
// persisted: the next term learns again.
type interferenceState struct {
	model interference.Model
	// matrix has the established pairs; it is rebuilt if stale.
	matrix interference.Matrix
	stale  bool
	// lines and apartLines are the log lines since the load was last logged.
	lines, apartLines int
	// beside and others are the scratch space of observeInterference.
	beside []kindOnWorker
	others []interference.Neighbour
}

// kindOnWorker counts the running tasks of a kind on a worker.
type kindOnWorker struct {
	interference.Neighbour
	tasks int
}

// kind returns the kind of the tasks of a step: tasks of one kind are expected to behave
// alike.
func (j *job) kind(step int) string {
	if j.kinds == nil {
		j.kinds = make([]string, len(j.spec.Job.Steps))
		for i := range j.kinds {
			j.kinds[i] = kindOf(&j.spec.Job.Steps[i], j.spec.Queue.Name)
		}
	}
	return j.kinds[step]
}

// kindOf returns the image of a step's tasks, or without one their queue and shape. Cores
// and memory are rounded up to powers of two, since they differ from job to job.
func kindOf(s *model.Step, queue string) string {
	name := s.Image
	if name == "" {
		name = fmt.Sprintf("%s/%da/%dc/%dg", queue, s.Shape.Accelerators, powerOfTwo(s.Shape.MilliCPU, 1000), powerOfTwo(s.Shape.MemoryMB, 1024))
	}
	if len(name) <= maxKindName {
		return name
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return fmt.Sprintf("%s#%x", name[:maxKindName-20], h.Sum64())
}

// powerOfTwo returns the least power of two of a unit that is at least n; 0 for nothing.
func powerOfTwo(n, unit int64) int64 {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len64(uint64((n-1)/unit))
}

// observeInterference records the progress of the runs on a worker with what runs beside
// them, once a report has been applied as a whole.
func (t *term) observeInterference(w *worker, report *WorkerReport) {
	if report.OddLoads > 0 {
		t.p.Meter.Add("report_load_unusable", int64(report.OddLoads))
	}
	if t.p.Disabled[policy.Interference] || len(w.members) == 0 {
		return
	}
	s := &t.interference
	s.countBeside(w)
	stalled := time.Now().Before(w.slowUntil) || len(w.unknownRuns) > 0
	for _, m := range w.sorted() {
		if !m.observable(w) {
			continue
		}
		if stalled {
			m.slowDown.Break()
			continue
		}
		u, step := m.unit, m.unit.step()
		x := interference.Reading{
			At: w.clock, Percent: m.percent, Latency: m.load, SpeedFactor: t.speedFactor(w), Remote: !t.wellPlaced(u), Beside: s.besideUnit(u),
		}
		task := interference.Task{Kind: u.job.kind(u.key.step), Job: u.job.id, Step: u.key.step, Worker: w.id, Serving: step.LongRunning}
		t.recordPairs(s.model.Track(&m.slowDown, &task, x, t.age()))
	}
}

// observable reports whether a run tells what slows it. A gang on several workers advances
// at the pace of its slowest member, and a task that fills depends on what others leave. A
// gang on one worker is observed by its first member.
func (m *member) observable(w *worker) bool {
	u, s := m.unit, m.unit.step()
	if m.removed || m.stopping || u.aborting || u.job.ended() || s.BestEffortCPU || !u.allReported() || m != u.members[0] {
		return false
	}
	if s.LongRunning {
		return s.TailLatencyTarget > 0 && m.load > 0 && len(u.members) == 1
	}
	return !slices.ContainsFunc(u.members, func(o *member) bool { return o.worker != w.id })
}

// countBeside counts the running tasks on a worker by kind.
func (s *interferenceState) countBeside(w *worker) {
	s.beside = s.beside[:0]
	for _, m := range w.sorted() {
		if !m.reported || m.removed {
			continue
		}
		kind := m.unit.job.kind(m.unit.key.step)
		i, found := slices.BinarySearchFunc(s.beside, kind, func(x kindOnWorker, kind string) int { return cmp.Compare(x.Kind, kind) })
		if !found {
			s.beside = slices.Insert(s.beside, i, kindOnWorker{interference.Neighbour{Kind: kind, Job: m.unit.job.id}, 0})
		}
		s.beside[i].tasks++
	}
}

// besideUnit returns the kinds beside a unit whose members are all on the counted worker.
// It is valid until the next call.
func (s *interferenceState) besideUnit(u *unit) []interference.Neighbour {
	kind := u.job.kind(u.key.step)
	s.others = s.others[:0]
	for _, x := range s.beside {
		if x.Kind != kind || x.tasks > len(u.members) {
			s.others = append(s.others, x.Neighbour)
		}
	}
	return s.others
}

// age returns the time since the term began, which counts suspension.
func (t *term) age() time.Duration { return boottime.Since(t.startedAt) }

// expireInterference drops evidence that is too old.
func (t *term) expireInterference() {
	s := &t.interference
	s.lines, s.apartLines = 0, 0
	t.recordPairs(s.model.Expire(t.age()))
	// Estimates change with the evidence, also while a pair stays established.
	s.stale = true
	t.p.Meter.Set("interference_observed", int64(s.model.Len()))
}

// recordPairs records that pairs were established or dropped.
func (t *term) recordPairs(changes []interference.Change) {
	s := &t.interference
	for _, c := range changes {
		s.stale = true
		message, counter := "kinds slow each other", "interference_found"
		if !c.Established {
			message, counter = "kinds no longer slow each other", "interference_dropped"
		}
		t.p.Meter.Inc(counter)
		if s.lines++; s.lines > maxInterferenceLines {
			continue
		}
		t.p.Log.Info(message, "kind", c.Kind, "by", c.By, "slows_by", roundFactor(c.SlowDown), "doubt", roundFactor(c.Doubt),
			"runs", c.Runs, "workers", c.Workers, "jobs", c.Jobs, "age_ms", (t.age() - c.At).Milliseconds())
	}
	if len(changes) > 0 {
		t.p.Meter.Set("interference_pairs", int64(len(s.model.Established())))
	}
}

func roundFactor(x float64) float64 { return math.Round(100*x) / 100 }

// addInterference adds to a view which of its units slow each other. It does nothing while
// no pair is known.
func (t *term) addInterference(v *view) {
	s := &t.interference
	if !s.model.Known() || t.p.Disabled[policy.Interference] || len(v.waiting) == 0 {
		return
	}
	if s.stale {
		s.matrix, s.stale = s.model.Matrix(maxInterferingKinds), false
	}
	known := false
	for i, u := range v.waiting {
		v.in.Waiting[i].Kind = s.matrix.Index[u.job.kind(u.key.step)]
		known = known || v.in.Waiting[i].Kind > 0
	}
	if !known {
		return
	}
	x := &placement.Interference{SlowDown: s.matrix.SlowDown, On: make([][]int, len(v.workers))}
	for i, w := range v.workers {
		for _, m := range w.sorted() {
			k := s.matrix.Index[m.unit.job.kind(m.unit.key.step)]
			if k == 0 || m.stopping {
				continue
			}
			if x.On[i] == nil {
				x.On[i] = make([]int, len(s.matrix.SlowDown))
			}
			x.On[i][k]++
		}
	}
	v.in.Interference = x
}

// logApart logs units that start elsewhere than they would beside a kind that slows them,
// or that they slow.
func (t *term) logApart(v *view, d *placement.Decision) {
	s := &t.interference
	for _, a := range d.Apart {
		t.p.Meter.Inc("kept_apart")
		if s.apartLines++; s.apartLines > maxInterferenceLines {
			continue
		}
		u, pair := v.waiting[a.Unit], [2]int{v.in.Waiting[a.Unit].Kind, a.Kind}
		if o := [2]int{a.Kind, pair[0]}; s.matrix.Estimates[o].SlowDown > s.matrix.Estimates[pair].SlowDown {
			pair = o
		}
		x := s.matrix.Estimates[pair]
		t.p.Log.Info("kept apart", "job", u.job.id, "step", u.key.step, "index", u.key.index, "from_worker", v.workers[a.Worker].id,
			"kind", x.Kind, "by", x.By, "slows_by", roundFactor(x.SlowDown), "age_ms", (t.age() - x.At).Milliseconds())
	}
}
