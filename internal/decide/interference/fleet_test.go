package interference_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/interference"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const tick = 250 * time.Millisecond

var kinds = []string{"a", "b", "c", "d", "e"}

// load is a simulated fleet of workers with 8 accelerators each, of which a share is in use.
// Tasks of a job differ by 0.3, 3 in 100 take 7 times as long, a fifth of the tasks are
// remote and take 3 times as long, and workers differ by 0.8 to 1.25. A task of the kind z
// runs on every other worker all the time.
type load struct {
	workers int
	share   float64
	// truth has what is to be found.
	truth map[interference.Pair]float64
	// slowHalf makes the workers with z take 1.3 times as long as the others, which the model
	// is told.
	slowHalf bool
	// apart places by what was learnt.
	apart bool
}

type simTask struct {
	kind, job      string
	worker         int
	percent, rate  float64
	remote         bool
	run            interference.Run
	arrived, ideal time.Duration
}

// result is what callers got: the share of tasks done in time by kind, and the longest time
// that a task waited beside free capacity. found has the pairs that were found.
type result struct {
	onTime map[string]float64
	idle   time.Duration
	found  map[interference.Pair]float64
}

func (l *load) play(seed uint64, length time.Duration) result {
	rng, m := rand.New(rand.NewPCG(seed, 4)), &interference.Model{}
	res := result{onTime: make(map[string]float64), found: make(map[interference.Pair]float64)}
	all, speeds := make(map[string]float64), make([]float64, l.workers)
	var running, waiting []*simTask
	for w := range speeds {
		speeds[w] = 0.8 + 0.45*rng.Float64()
		if l.slowHalf {
			speeds[w] = 1.3 - 0.3*float64(w%2)
		}
		if w%2 == 0 {
			running = append(running, &simTask{kind: "z", job: "service", worker: w})
		}
	}
	jobs, due := 0, 0.0
	for now := time.Duration(0); now < length; now += tick {
		// A job of 10 tasks of about 6 s; a task takes 1.65 times that on average.
		for due += l.share * float64(l.workers) * 8 * tick.Seconds() / (10 * 6 * 1.65); due > 0; due-- {
			jobs++
			waiting = append(waiting, newJob(rng, jobs, now)...)
		}
		running, waiting = l.place(m, running, waiting)
		for _, t := range waiting {
			if len(running) < l.workers*8 {
				res.idle = max(res.idle, now-t.arrived)
			}
		}
		for _, t := range running {
			rate := t.rate / speeds[t.worker]
			for _, n := range beside(running, t) {
				rate /= max(l.truth[interference.Pair{Kind: t.kind, By: n.Kind}], 1)
			}
			t.percent += rate * tick.Seconds()
		}
		running = slices.DeleteFunc(running, func(t *simTask) bool {
			if t.percent < 100 {
				return false
			}
			all[t.kind]++
			if now+tick-t.arrived < t.ideal*3/2+time.Second {
				res.onTime[t.kind]++
			}
			return true
		})
		for _, c := range l.report(m, running, speeds, now) {
			res.found[c.Pair] = c.SlowDown
		}
	}
	for k, n := range all {
		res.onTime[k] /= n
	}
	return res
}

func newJob(rng *rand.Rand, number int, now time.Duration) (tasks []*simTask) {
	kind, base := kinds[rng.IntN(len(kinds))], 4+4*rng.Float64()
	for range 10 {
		t := &simTask{kind: kind, job: strconv.Itoa(number), remote: rng.Float64() < 0.2, arrived: now}
		runtime := base * (0.7 + 0.6*rng.Float64())
		if rng.Float64() < 0.03 {
			runtime *= 7
		}
		if t.remote {
			runtime *= 3
		}
		t.rate, t.ideal = 100/runtime, time.Duration(runtime*float64(time.Second))
		tasks = append(tasks, t)
	}
	return tasks
}

// beside returns the kinds beside a task.
func beside(running []*simTask, t *simTask) (all []interference.Neighbour) {
	for _, o := range running {
		if o != t && o.worker == t.worker {
			all = append(all, interference.Neighbour{Kind: o.kind, Job: o.job})
		}
	}
	slices.SortStableFunc(all, func(a, b interference.Neighbour) int { return strings.Compare(a.Kind, b.Kind) })
	return slices.CompactFunc(all, func(a, b interference.Neighbour) bool { return a.Kind == b.Kind })
}

// report reports the runs of a quarter of the workers in each tick, in whole percents.
func (l *load) report(m *interference.Model, running []*simTask, speeds []float64, now time.Duration) (changes []interference.Change) {
	for _, t := range running {
		if t.rate == 0 || time.Duration(t.worker)%4 != now/tick%4 {
			continue
		}
		task := interference.Task{Kind: t.kind, Job: t.job, Worker: strconv.Itoa(t.worker)}
		x := interference.Reading{At: now, Percent: math.Floor(t.percent), Remote: t.remote, Beside: beside(running, t)}
		if l.slowHalf {
			x.SpeedFactor = speeds[t.worker]
		}
		changes = append(changes, m.Track(&t.run, &task, x, now)...)
	}
	if now%(5*time.Second) == 0 {
		changes = append(changes, m.Expire(now)...)
	}
	return changes
}

// place starts the waiting tasks that fit.
func (l *load) place(m *interference.Model, running, waiting []*simTask) (started, left []*simTask) {
	in, x := placement.Input{}, m.Matrix(9)
	on := make([][]int, l.workers)
	for w := range on {
		s := model.Shape{Accelerators: 8}
		on[w] = make([]int, len(x.SlowDown))
		in.Workers = append(in.Workers, placement.Worker{ID: strconv.Itoa(w), Capacity: s, Free: s, Reachable: true, Schedulable: true})
	}
	for _, t := range running {
		in.Workers[t.worker].Free.Accelerators--
		on[t.worker][x.Index[t.kind]]++
	}
	for _, t := range waiting {
		in.Waiting = append(in.Waiting, placement.Unit{Tasks: 1, Shape: model.Shape{Accelerators: 1}, Kind: x.Index[t.kind]})
	}
	if l.apart && m.Known() {
		in.Interference = &placement.Interference{SlowDown: x.SlowDown, On: on}
	}
	placed := make(map[int]bool)
	for _, a := range placement.Plan(in).Starts {
		placed[a.Unit], waiting[a.Unit].worker = true, a.Workers[0]
		running = append(running, waiting[a.Unit])
	}
	for i, t := range waiting {
		if !placed[i] {
			left = append(left, t)
		}
	}
	return running, left
}
