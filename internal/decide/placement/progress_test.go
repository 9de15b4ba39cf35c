package placement_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
)

// progressFleets is the number of random fleets of TestProgress.
var progressFleets = flag.Int("progress-fleets", 300, "number of random fleets of TestProgress")

// Times of the simulated fleets, in seconds.
const (
	roundTime    = 0.1
	arrivalTime  = 12.0
	settleTime   = 12.0
	stopTime     = 0.4
	overdueAfter = 2.0
	// nominationTime is how long capacity stays nominated for a unit.
	nominationTime = 1.2
	// progressTime is how long a unit may wait beside free capacity.
	progressTime = 3.0
)

// TestProgress runs random fleets, and checks that no unit waits for longer than
// progressTime while capacity is free for it twice over and under half of all capacity
// is in use.
func TestProgress(t *testing.T) {
	for seed := range uint64(*progressFleets) {
		if stalled := runFleet(seed, true); len(stalled) > 0 {
			t.Errorf("seed %d: %v", seed, stalled)
		}
	}
}

// TestProgressNeedsOverdueUnits switches off what starts overdue units. Each kind of unit
// that prefers some capacity, and plain ones behind a reservation, must then be found
// waiting.
func TestProgressNeedsOverdueUnits(t *testing.T) {
	found := make(map[string]int)
	for seed := range uint64(300) {
		for _, kind := range runFleet(seed, false) {
			found[kind]++
		}
	}
	t.Log(found)
	for _, kind := range []string{"rack", "lasting rack", "same rack", "plain", "failed"} {
		if found[kind] == 0 {
			t.Errorf("no unit of kind %q waits", kind)
		}
	}
}

// simulatedUnit is a unit of a simulated fleet.
type simulatedUnit struct {
	placement.Unit
	// failsOnce says that the first run fails, with its first worker to blame.
	failsOnce bool
	// runtime is how long it runs; Unit.Runtime is the estimate.
	runtime float64
	// waitingSince is when it began to wait, and stalledSince when the condition for its
	// start began to hold; infinite while it does not.
	waitingSince, stalledSince float64
	// nominatedAt is when the workers of Unit.Nominated were nominated.
	nominatedAt float64
	// workers has the workers of its tasks while it runs. It ends at endsAt, or is stopped
	// at stopsAt.
	workers         []int
	endsAt, stopsAt float64
}

// simulatedFleet is a random fleet with what runs and waits there.
type simulatedFleet struct {
	r       *rand.Rand
	now     float64
	workers []placement.Worker
	// units are those that have not ended.
	units []*simulatedUnit
	// startsOverdue says whether units become overdue.
	startsOverdue bool
	// calmAt is when the last worker has changed.
	calmAt  float64
	stalled []string
}

// runFleet runs a random fleet, and returns the kinds of units that stalled.
func runFleet(seed uint64, startsOverdue bool) []string {
	r := rand.New(rand.NewPCG(seed, 29))
	f := &simulatedFleet{r: r, startsOverdue: startsOverdue}
	racks := 1 + r.IntN(4)
	for i := range racks * (2 + r.IntN(4)) {
		w := placement.Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i%racks), Capacity: shape(whole), Reachable: true, Schedulable: true}
		if r.IntN(3) == 0 {
			w.Labels = []string{"fast"}
		}
		f.workers = append(f.workers, w)
	}
	for f.now < arrivalTime+settleTime {
		if f.now < arrivalTime {
			f.arrive()
			f.changeWorker()
		}
		f.endRuns()
		f.plan()
		f.now += roundTime
	}
	slices.Sort(f.stalled)
	return f.stalled
}

func (f *simulatedFleet) arrive() {
	if f.r.IntN(8) > 0 {
		return
	}
	size := int64(1) << f.r.IntN(4)
	u := &simulatedUnit{runtime: 0.5 + 6*f.r.Float64(), failsOnce: f.r.IntN(6) == 0, waitingSince: f.now, stalledSince: math.Inf(1)}
	u.Tasks, u.Shape = 1, shape([3]int64{size, 8 * size, 32 * size})
	u.Runtime = u.runtime * (0.3 + 1.4*f.r.Float64())
	if f.r.IntN(3) == 0 {
		u.Tasks, u.SameRack = 1+f.r.IntN(len(f.workers)), f.r.IntN(2) == 0
	}
	if f.r.IntN(3) == 0 {
		u.Rack = f.workers[f.r.IntN(len(f.workers))].Rack
	}
	if f.r.IntN(6) == 0 {
		u.Label = "fast"
	}
	if f.r.IntN(6) == 0 {
		u.PerWorker = 1
	}
	if f.r.IntN(4) == 0 {
		u.LongRunning, u.runtime, u.Runtime = true, math.Inf(1), 3600
	}
	u.Urgent = f.r.IntN(5) == 0
	u.Guaranteed = u.Urgent && f.r.IntN(2) == 0
	f.units = append(f.units, u)
}

// changeWorker closes, opens, cuts off or restores a worker, or changes its capacity.
func (f *simulatedFleet) changeWorker() {
	if f.r.IntN(25) > 0 {
		return
	}
	w := &f.workers[f.r.IntN(len(f.workers))]
	switch f.r.IntN(3) {
	case 0:
		w.Schedulable = !w.Schedulable && w.Reachable
	case 1:
		w.Reachable = !w.Reachable
		w.Schedulable = w.Reachable
	case 2:
		w.Capacity = shape([3]int64{4, 32, 128})
	}
	f.calmAt = f.now
}

func (f *simulatedFleet) endRuns() {
	f.units = slices.DeleteFunc(f.units, func(u *simulatedUnit) bool {
		switch {
		case u.workers == nil:
			return false
		case f.now >= u.stopsAt:
			f.requeue(u)
			return false
		case f.now < u.endsAt:
			return false
		case u.failsOnce:
			u.failsOnce, u.AvoidFailed = false, map[int]bool{u.workers[0]: true}
			f.requeue(u)
			return false
		}
		return true
	})
}

func (f *simulatedFleet) requeue(u *simulatedUnit) {
	u.workers, u.waitingSince, u.stalledSince = nil, f.now, math.Inf(1)
}

// plan runs one round and carries it out.
func (f *simulatedFleet) plan() {
	in := placement.Input{Workers: slices.Clone(f.workers), Reservations: 4, UrgentRoom: map[string]float64{"": 0.5}}
	var waiting, running []*simulatedUnit
	for i := range in.Workers {
		in.Workers[i].Free = in.Workers[i].Capacity
	}
	for _, u := range f.units {
		if u.workers == nil {
			u.Overdue, u.StepTasks = f.startsOverdue && f.now-u.waitingSince >= overdueAfter, make(map[int]int)
			if f.now-u.nominatedAt >= nominationTime {
				u.Nominated = nil
			}
			waiting, in.Waiting = append(waiting, u), append(in.Waiting, u.Unit)
			continue
		}
		x := placement.Running{
			Shape: u.Shape, Workers: u.workers, Urgent: u.Urgent, Guaranteed: u.Guaranteed, Stopping: !math.IsInf(u.stopsAt, 1),
			EndsIn: max(roundTime, u.Runtime-(f.now-u.waitingSince)), DiscardedWork: 1,
		}
		if u.LongRunning {
			x.EndsIn = math.Inf(1)
		}
		running, in.Running = append(running, u), append(in.Running, x)
		for _, w := range u.workers {
			in.Workers[w].Free = in.Workers[w].Free.Minus(u.Shape)
		}
	}
	d := placement.Plan(in)
	for i, u := range waiting {
		f.checkStalled(u, in.Workers, slices.ContainsFunc(d.Starts, func(a placement.Assignment) bool { return a.Unit == i }))
	}
	f.nominate(waiting, d.Nominations)
	for _, a := range d.Starts {
		u := waiting[a.Unit]
		u.workers, u.waitingSince, u.endsAt, u.stopsAt = a.Workers, f.now, f.now+u.runtime, math.Inf(1)
	}
	for _, i := range d.Stops {
		running[i].stopsAt = f.now + stopTime
	}
}

// nominate records the workers on which capacity is being freed for units, as long as they
// stay nominated.
func (f *simulatedFleet) nominate(waiting []*simulatedUnit, nominations []placement.Assignment) {
	former := make([][]int, len(waiting))
	for i, u := range waiting {
		former[i], u.Nominated = u.Nominated, nil
	}
	for _, a := range nominations {
		u := waiting[a.Unit]
		if u.Nominated = a.Workers; !slices.Equal(a.Workers, former[a.Unit]) {
			u.nominatedAt = f.now
		}
	}
}

// checkStalled records a unit that has waited for longer than progressTime beside free
// capacity, on a fleet that has not changed meanwhile.
func (f *simulatedFleet) checkStalled(u *simulatedUnit, workers []placement.Worker, starts bool) {
	var capacity, used int64
	fits := 0
	for i := range workers {
		w := &workers[i]
		capacity, used = capacity+w.Capacity.Accelerators, used+w.Capacity.Accelerators-w.Free.Accelerators
		if w.Reachable && w.HasLabel(u.Label) {
			n := placement.CountFits(u.Shape, w.Free, 0)
			if u.PerWorker > 0 {
				n = min(n, u.PerWorker)
			}
			fits += n
		}
	}
	if starts || fits < 2*u.Tasks || 2*used >= capacity {
		u.stalledSince = math.Inf(1)
		return
	}
	u.stalledSince = min(u.stalledSince, f.now)
	if f.now-max(u.stalledSince, f.calmAt) >= progressTime {
		f.stalled = append(f.stalled, u.kind())
		u.stalledSince = f.now
	}
}

// kind names what can make the unit wait beside free capacity.
func (u *simulatedUnit) kind() string {
	switch {
	case u.AvoidFailed != nil:
		return "failed"
	case u.Rack != "" && u.LongRunning:
		return "lasting rack"
	case u.Rack != "":
		return "rack"
	case u.SameRack && u.Tasks > 1:
		return "same rack"
	}
	return "plain"
}
