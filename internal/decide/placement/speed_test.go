package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// The kinds of the played load, in the order in which they are served.
const (
	urgentGang = iota
	gang
	single
	kinds
)

// playedUnit is a unit of the played load.
type playedUnit struct {
	kind     int
	unit     placement.Unit
	arrived  float64
	runtime  float64
	due      float64
	workers  []int
	started  float64
	endsAt   float64
	stopping bool
}

// outcome is what callers get of a kind.
type outcome struct {
	units, onTime int
	// coreSeconds is the capacity that the units of a kind occupied, per core-second of
	// their work on nominal workers.
	work, coreSeconds float64
}

// playedLoad plays gangs and tasks, of which 3 in 100 take 7 times as long, on workers of
// different speed.
type playedLoad struct {
	r                *rand.Rand
	workers          []placement.Worker
	factors          []float64
	now              float64
	waiting, running []*playedUnit
	disabled         policy.Disabled
	out              [kinds]outcome
}

func newPlayedLoad(seed uint64, factors []float64, disabled policy.Disabled) *playedLoad {
	l := &playedLoad{r: rand.New(rand.NewPCG(seed, 11)), disabled: disabled}
	whole := model.Shape{MilliCPU: 64000, MemoryMB: 128000, Accelerators: 8}
	for i := range 60 {
		f := factors[l.r.IntN(len(factors))]
		l.factors = append(l.factors, f)
		l.workers = append(l.workers, placement.Worker{ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 20), Capacity: whole, Free: whole, Reachable: true, Schedulable: true, SpeedFactor: f})
	}
	return l
}

// arrive adds a unit. Gangs of urgent work ask for one rack in 8 of 10 cases.
func (l *playedLoad) arrive(kind, tasks int, cores float64, runtime, stretch, constant float64) {
	accelerators := int64(1)
	if kind != single {
		accelerators = []int64{1, 2, 4, 8, 8}[l.r.IntN(5)]
	}
	u := &playedUnit{kind: kind, arrived: l.now, runtime: runtime * (0.8 + 0.4*l.r.Float64())}
	if l.r.IntN(100) < 3 {
		u.runtime *= 7
	}
	u.due = l.now + stretch*u.runtime + constant
	u.unit = placement.Unit{
		Tasks: tasks, Shape: model.Shape{MilliCPU: int64(1000 * cores), MemoryMB: 4000, Accelerators: accelerators},
		SameRack: kind == urgentGang && l.r.IntN(10) < 8, Urgent: kind == urgentGang, Deferrable: kind == single, Runtime: runtime,
	}
	l.waiting = append(l.waiting, u)
}

// step plays 50 ms at a share of the load of the two deployments.
func (l *playedLoad) step(load float64) {
	const dt = 0.05
	l.now += dt
	l.running = slices.DeleteFunc(l.running, func(u *playedUnit) bool {
		if u.endsAt > l.now && !u.stopping {
			return false
		}
		for _, w := range u.workers {
			l.workers[w].Free = l.workers[w].Free.Plus(u.unit.Shape)
		}
		if u.stopping {
			u.stopping, u.workers = false, nil
			l.waiting = append(l.waiting, u)
			return true
		}
		o := &l.out[u.kind]
		o.units++
		if l.now <= u.due {
			o.onTime++
		}
		each := u.unit.Shape.Cores()
		o.work += u.runtime * each * float64(u.unit.Tasks)
		o.coreSeconds += (u.endsAt - u.started) * each * float64(u.unit.Tasks)
		return true
	})
	if l.r.Float64() < load*1.03*dt {
		l.arrive(urgentGang, 1+l.r.IntN(9), 7.5, 2.5, 1.5, 0.5)
	}
	if l.r.Float64() < load*0.38*dt {
		l.arrive(gang, 1+l.r.IntN(20), 20, 6.8, 3, 1)
	}
	if l.r.Float64() < load*0.3*dt {
		for range 39 {
			l.arrive(single, 1, 5.6, 7.6, 3, 3)
		}
	}
	l.plan()
}

func (l *playedLoad) plan() {
	slices.SortStableFunc(l.waiting, func(a, b *playedUnit) int { return a.kind - b.kind })
	in := placement.Input{Workers: l.workers, Reservations: 2, Disabled: l.disabled, UrgentRoom: map[string]float64{"": 6}}
	for _, u := range l.waiting {
		in.Waiting = append(in.Waiting, u.unit)
	}
	for _, u := range l.running {
		in.Running = append(in.Running, placement.Running{
			Shape: u.unit.Shape, Workers: u.workers, Urgent: u.unit.Urgent, Stopping: u.stopping, EndsIn: max(0.2, u.endsAt-l.now),
			DiscardedWork: (l.now - u.started + 0.3) * u.unit.Shape.Cores() * float64(len(u.workers)),
		})
	}
	d := placement.Plan(in)
	for _, i := range d.Stops {
		l.running[i].stopping = true
	}
	for _, u := range l.waiting {
		u.unit.Nominated = nil
	}
	for _, a := range d.Nominations {
		l.waiting[a.Unit].unit.Nominated = a.Workers
	}
	started := make(map[*playedUnit]bool)
	for _, a := range d.Starts {
		u, slowest := l.waiting[a.Unit], 0.0
		for _, w := range a.Workers {
			l.workers[w].Free = l.workers[w].Free.Minus(u.unit.Shape)
			slowest = max(slowest, l.factors[w])
		}
		u.unit.Nominated, u.workers, u.started, u.endsAt = nil, a.Workers, l.now, l.now+u.runtime*slowest
		started[u] = true
		l.running = append(l.running, u)
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(u *playedUnit) bool { return started[u] })
}

// play plays some minutes on several fleets and returns what callers got.
func play(load float64, factors []float64, disabled policy.Disabled) (out [kinds]outcome) {
	for seed := range uint64(4) {
		l := newPlayedLoad(seed, factors, disabled)
		for l.now < 150 {
			l.step(load)
		}
		for k := range out {
			// A unit that still waits counts as one that is not in time.
			out[k].units += l.out[k].units
			out[k].onTime += l.out[k].onTime
			out[k].work += l.out[k].work
			out[k].coreSeconds += l.out[k].coreSeconds
		}
		for _, u := range l.waiting {
			out[u.kind].units++
		}
	}
	return out
}

// TestSpeedsServeGangs guards against gangs that wait for one slow member and urgent gangs on
// slow workers while fast ones run tasks that can take longer: with the speeds, gangs occupy
// less capacity for the same work, and more units are in time.
func TestSpeedsServeGangs(t *testing.T) {
	for _, factors := range [][]float64{{0.8, 1, 1.25}, {1, 1, 1.3}} {
		without, with := play(0.9, factors, policy.Disabled{policy.WorkerSpeed: true}), play(0.9, factors, nil)
		for k, want := range []struct{ cost, onTime float64 }{urgentGang: {0.96, 0}, gang: {0.93, 0.02}, single: {1.1, 0.02}} {
			a, b := without[k], with[k]
			cost, onTime := b.coreSeconds/b.work/(a.coreSeconds/a.work), float64(b.onTime)/float64(b.units)-float64(a.onTime)/float64(a.units)
			t.Logf("factors %v, kind %d: %.3f times the core-seconds, share in time %+.3f, %d and %d units", factors, k, cost, onTime, a.units, b.units)
			if cost > want.cost || onTime < want.onTime {
				t.Errorf("factors %v, kind %d: %.3f times the core-seconds, want at most %.3f; share in time %+.3f, want %+.3f", factors, k, cost, want.cost, onTime, want.onTime)
			}
		}
	}
}
