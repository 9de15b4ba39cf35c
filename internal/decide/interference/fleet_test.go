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

// load is a simulated fleet of workers with 8 accelerators each. Tasks of a job differ by
// 0.3, 3 in 100 take 7 times as long, a fifth of the tasks are remote and take 3 times as
// long, and workers differ by 0.8 to 1.25.
type load struct {
	workers int
	// kinds are submitted in turn, each as jobs of single tasks, so often that share of the
	// capacity is in use.
	kinds []string
	share float64
	// truth has what is to be found.
	truth map[interference.Pair]float64
	// forever are kinds that run on every other worker all the time.
	forever string
	// slowHalf makes the workers with that kind take 1.3 times as long, and the others 1.
	// speedKnown passes the speed of the workers to the model.
	slowHalf, speedKnown bool
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

// result is what callers got: the shares of tasks done in time, by kind, the longest time
// that a task waited beside free capacity, and what was learnt.
type result struct {
	onTime map[string]float64
	idle   time.Duration
	model  *interference.Model
	found  map[interference.Pair]float64
}

func (l *load) play(seed uint64, length time.Duration) result {
	rng := rand.New(rand.NewPCG(seed, 4))
	res := result{onTime: make(map[string]float64), model: &interference.Model{}, found: make(map[interference.Pair]float64)}
	done, all := make(map[string]float64), make(map[string]float64)
	speeds := make([]float64, l.workers)
	for w := range speeds {
		speeds[w] = 0.8 + 0.45*rng.Float64()
		if l.slowHalf {
			speeds[w] = 1.3 - 0.3*float64(w%2)
		}
	}
	var running, waiting []*simTask
	for w := 0; l.forever != "" && w < l.workers; w += 2 {
		running = append(running, &simTask{kind: l.forever, job: "service", worker: w})
	}
	jobs, due := 0, 0.0
	for now := time.Duration(0); now < length; now += tick {
		// A job of 10 tasks of about 6 s; a task takes 1.65 times that on average.
		for due += l.share * float64(l.workers) * 8 * tick.Seconds() / (10 * 6 * 1.65); due > 0; due-- {
			jobs++
			kind, base := l.kinds[rng.IntN(len(l.kinds))], 4+4*rng.Float64()
			for range 10 {
				t := &simTask{kind: kind, job: strconv.Itoa(jobs), remote: rng.Float64() < 0.2, arrived: now}
				runtime := base * (0.7 + 0.6*rng.Float64())
				if rng.Float64() < 0.03 {
					runtime *= 7
				}
				if t.remote {
					runtime *= 3
				}
				t.rate, t.ideal = 100/runtime, time.Duration(runtime*float64(time.Second))
				waiting = append(waiting, t)
			}
		}
		running, waiting = l.place(res.model, running, waiting)
		for _, t := range waiting {
			if len(running) < l.workers*8 {
				res.idle = max(res.idle, now-t.arrived)
			}
		}
		beside := l.beside(running)
		for _, t := range running {
			rate := t.rate / speeds[t.worker]
			for _, n := range others(beside[t.worker], t) {
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
				done[t.kind]++
			}
			return true
		})
		for _, c := range l.report(res.model, running, speeds, now) {
			res.found[c.Pair] = c.SlowDown
		}
	}
	for k, n := range all {
		res.onTime[k] = done[k] / n
	}
	return res
}

// beside returns the tasks on each worker by kind.
func (l *load) beside(running []*simTask) []map[string]int {
	all := make([]map[string]int, l.workers)
	for w := range all {
		all[w] = make(map[string]int)
	}
	for _, t := range running {
		all[t.worker][t.kind]++
	}
	return all
}

func others(on map[string]int, t *simTask) (all []interference.Neighbour) {
	for kind, n := range on {
		if kind != t.kind || n > 1 {
			all = append(all, interference.Neighbour{Kind: kind, Job: t.job})
		}
	}
	slices.SortFunc(all, func(a, b interference.Neighbour) int { return strings.Compare(a.Kind, b.Kind) })
	return all
}

// report reports the runs of a quarter of the workers in each tick, in whole percents.
func (l *load) report(m *interference.Model, running []*simTask, speeds []float64, now time.Duration) (changes []interference.Change) {
	beside := l.beside(running)
	for _, t := range running {
		if t.rate == 0 || time.Duration(t.worker)%4 != now/tick%4 {
			continue
		}
		task := interference.Task{Kind: t.kind, Job: t.job, Worker: strconv.Itoa(t.worker)}
		x := interference.Reading{At: now, Percent: math.Floor(t.percent), Remote: t.remote, Beside: others(beside[t.worker], t)}
		if l.speedKnown {
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
	in := placement.Input{}
	index := map[string]int{}
	if pairs := m.Established(); l.apart && len(pairs) > 0 {
		for _, p := range pairs {
			for _, k := range []string{p.Kind, p.By} {
				if index[k] == 0 {
					index[k] = len(index) + 1
				}
			}
		}
		x := &placement.Interference{SlowDown: make([][]float64, len(index)+1), On: make([][]int, l.workers)}
		for a := range x.SlowDown {
			x.SlowDown[a] = make([]float64, len(index)+1)
		}
		for _, p := range pairs {
			x.SlowDown[index[p.Kind]][index[p.By]] = math.Log(p.SlowDown)
		}
		for w := range x.On {
			x.On[w] = make([]int, len(index)+1)
		}
		for _, t := range running {
			x.On[t.worker][index[t.kind]]++
		}
		in.Interference = x
	}
	for w := range l.workers {
		s := model.Shape{Accelerators: 8}
		in.Workers = append(in.Workers, placement.Worker{ID: strconv.Itoa(w), Capacity: s, Free: s, Reachable: true, Schedulable: true})
	}
	for _, t := range running {
		in.Workers[t.worker].Free.Accelerators--
	}
	for _, t := range waiting {
		in.Waiting = append(in.Waiting, placement.Unit{Tasks: 1, Shape: model.Shape{Accelerators: 1}, Kind: index[t.kind]})
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
