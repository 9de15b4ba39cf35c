package placement

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
)

// withInterference returns an input in which some kinds run on the workers. Kinds 1 and 2
// slow each other.
func withInterference(in Input, rng *rand.Rand) Input {
	in = in.clone()
	x := &Interference{SlowDown: [][]float64{{0, 0, 0}, {0, 0, 0.6}, {0, 0, 0}}, On: make([][]int, len(in.Workers))}
	for i := range in.Waiting {
		in.Waiting[i].Kind = rng.IntN(3)
	}
	for w := range x.On {
		if in.Workers[w].Free != in.Workers[w].Capacity && rng.IntN(3) > 0 {
			x.On[w] = []int{0, rng.IntN(2), rng.IntN(2)}
		}
	}
	in.Interference = x
	return in
}

// TestInterferenceOnlyChoosesAmongWorkers guards against a unit that waits, stops others,
// leaves its rack, leaves the kept workers or breaks an empty worker while a gang waits,
// because of interference.
func TestInterferenceOnlyChoosesAmongWorkers(t *testing.T) {
	apart := 0
	for seed := range uint64(6000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		in := randomInput(rng)
		in.Waiting = in.Waiting[:1]
		if seed%2 == 0 {
			in.UrgentRoom = map[string]float64{"": 2}
		}
		// A gang that fits nowhere waits behind the unit.
		gang := Unit{Tasks: 1000, Shape: in.Workers[0].Capacity}
		if seed%3 == 0 {
			in.Waiting = append(in.Waiting, gang)
		}
		x := withInterference(in, rng)
		want, got := Plan(in.clone()), Plan(x)
		apart += len(got.Apart)
		u := &in.Waiting[0]
		if len(got.Starts) != len(want.Starts) || !reflect.DeepEqual(got.Stops, want.Stops) || !reflect.DeepEqual(got.Nominations, want.Nominations) {
			t.Fatalf("seed %d:\n got %+v\nwant %+v", seed, got, want)
		}
		if len(got.Apart) == 0 {
			if !reflect.DeepEqual(got.Starts, want.Starts) {
				t.Fatalf("seed %d: starts %v, want %v", seed, got.Starts, want.Starts)
			}
			continue
		}
		kept, racks := newPlan(&in).kept, make(map[string]bool)
		for k, w := range got.Starts[0].Workers {
			racks[in.Workers[w].Rack] = true
			if u.Urgent && kept[want.Starts[0].Workers[k]] && !kept[w] {
				t.Errorf("seed %d: an urgent unit left the kept workers", seed)
			}
			if u.Rack != "" && in.Workers[w].Rack != u.Rack || u.SameRack && len(racks) > 1 && len(newPlan(&in).workerGroups(u)) > 1 {
				t.Errorf("seed %d: a unit left its rack", seed)
			}
			if seed%3 == 0 && u.Tasks == 1 && in.Workers[w].Free == in.Workers[w].Capacity {
				t.Errorf("seed %d: a task broke an empty worker while a gang waits", seed)
			}
		}
	}
	if apart < 20 {
		t.Errorf("only %d units were kept apart", apart)
	}
}

// TestNoInterferenceKnown guards against placements that change where no pair concerns a
// unit, or the mechanism is switched off.
func TestNoInterferenceKnown(t *testing.T) {
	for seed := range uint64(2000) {
		in := randomInput(rand.New(rand.NewPCG(seed, 5)))
		x := withInterference(in, rand.New(rand.NewPCG(seed, 6)))
		x.Disabled = policy.Disabled{policy.Interference: seed%2 == 0}
		for i := range x.Waiting {
			x.Waiting[i].Kind *= 1 - int(seed%2)
		}
		if got, want := Plan(x), Plan(in.clone()); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d:\n got %+v\nwant %+v", seed, got, want)
		}
	}
}
