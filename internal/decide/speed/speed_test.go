package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/speed"
)

// fleet plays steps of 39 single tasks on 350 workers, about 2 per second.
type fleet struct {
	e       speed.Estimator
	r       *rand.Rand
	workers []speed.Worker
	factors []float64
	// differ is the standard deviation between the tasks of a step.
	differ float64
	now    time.Duration
	steps  int
}

func newFleet(seed uint64, differ float64, factors ...float64) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 3)), differ: differ}
	for i := range 350 {
		f.workers = append(f.workers, speed.Worker{ID: fmt.Sprint("w", i), Incarnation: 1})
		f.factors = append(f.factors, factors[i%len(factors)])
	}
	return f
}

// play plays a time and then solves.
func (f *fleet) play(d time.Duration) {
	for until := f.now + d; f.now < until; f.now += 500 * time.Millisecond {
		f.steps++
		runtime := 2 + 10*f.r.Float64()
		for range 39 {
			i := f.r.IntN(len(f.workers))
			x := runtime * f.factors[i] * math.Exp(f.differ*f.r.NormFloat64())
			if f.r.IntN(100) < 3 {
				x *= 7
			}
			f.e.Observe(f.workers[i], fmt.Sprint("s", f.steps), 100/x, f.now)
		}
		if f.steps%6 == 0 {
			f.e.Solve(f.now)
		}
	}
	f.e.Solve(f.now)
}

// TestSpeedsAreLearnt guards against an estimator that a tail misleads or that needs too
// long: within two minutes most workers are known, and to within 0.1.
func TestSpeedsAreLearnt(t *testing.T) {
	for _, factors := range [][]float64{{0.8, 1, 1.25}, {1, 1, 1.3}} {
		for _, differ := range []float64{0.15, 0.3} {
			f := newFleet(uint64(100*differ), differ, factors...)
			f.play(2 * time.Minute)
			known, wrong, sum := 0, 0, 0.0
			for i, w := range f.workers {
				x, ok := f.e.Estimate(w)
				if !ok {
					continue
				}
				known++
				off := math.Abs(math.Log(x.Factor / f.factors[i]))
				sum += off
				if off > 0.2 {
					wrong++
				}
			}
			t.Logf("factors %v, tasks differ by %v: %d known, mean error %.3f, %d off by over 0.2", factors, differ, known, sum/float64(known), wrong)
			if known < 330 || sum/float64(known) > 0.07 || wrong > 7 {
				t.Errorf("factors %v, differ %v: %d known, mean error %.3f, %d off by over 0.2", factors, differ, known, sum/float64(known), wrong)
			}
		}
	}
}

// TestEqualWorkersTeachNothing guards against speeds that are only the noise of the tasks,
// at any time of a day.
func TestEqualWorkersTeachNothing(t *testing.T) {
	for seed := range uint64(12) {
		for _, differ := range []float64{0.15, 0.3} {
			f := newFleet(seed, differ, 1)
			for range 12 {
				f.play(10 * time.Second)
				if n := len(f.e.Estimates()); n > 0 {
					t.Fatalf("seed %d, differ %v, after %v: %d workers count as known, spread %.3f", seed, differ, f.now, n, f.e.Spread)
				}
			}
		}
	}
}

// TestNewIncarnationIsUnknown guards against speeds of the machine that was there before,
// and against evidence that outlives its time.
func TestNewIncarnationIsUnknown(t *testing.T) {
	f := newFleet(1, 0.15, 0.8, 1, 1.25)
	f.play(2 * time.Minute)
	old := f.workers[2]
	if _, ok := f.e.Estimate(old); !ok {
		t.Fatal("not known before")
	}
	f.e.Forget(old)
	f.workers[2].Incarnation, f.factors[2] = 2, 0.8
	if _, ok := f.e.Estimate(f.workers[2]); ok {
		t.Fatal("the new incarnation is known at once")
	}
	f.play(2 * time.Minute)
	if x, ok := f.e.Estimate(f.workers[2]); !ok || x.Factor > 0.95 {
		t.Errorf("got %+v, %v, want a fast worker", x, ok)
	}
	f.e.Solve(f.now + time.Hour)
	if n := len(f.e.Estimates()); n != 0 {
		t.Errorf("%d workers are known after an hour without evidence", n)
	}
}

// TestKindIgnoresTail guards against a median that the tail moves, and against one step of
// many tasks that decides for its kind.
func TestKindIgnoresTail(t *testing.T) {
	r, k := rand.New(rand.NewPCG(1, 1)), &speed.Kind{}
	if k.Median() != 1 || k.Spread() != 0 {
		t.Fatal("known without run times")
	}
	for i := range 200 {
		x := 1.4 * math.Exp(0.2*r.NormFloat64())
		if i%33 == 0 {
			x *= 7
		}
		k.Observe(fmt.Sprint(i), x)
	}
	for range 230 {
		k.Observe("large", 20)
	}
	if m, s := k.Median(), k.Spread(); m < 1.3 || m > 1.5 || s < 0.15 || s > 0.3 {
		t.Errorf("median %.2f, spread %.2f", m, s)
	}
}

// TestGangsOnlyWeakenSlowness guards against gangs that make workers count as fast or slow: a
// gang's pace is that of its slowest member. Alone they teach nothing; a worker that counts
// as slow, and of which fast gangs say otherwise, counts as less slow.
func TestGangsOnlyWeakenSlowness(t *testing.T) {
	var alone speed.Estimator
	for i := range 100 {
		alone.Bound(speed.Worker{ID: fmt.Sprint(i % 10), Incarnation: 1}, 0.5+0.1*float64(i%10), 0)
	}
	if alone.Solve(0); len(alone.Estimates()) != 0 {
		t.Errorf("learnt from gangs alone: %v", alone.Estimates())
	}
	f := newFleet(2, 0.15, 0.8, 1, 1.25)
	f.play(time.Minute)
	slow, fast := f.workers[2], f.workers[0]
	before, _ := f.e.Estimate(slow)
	fastBefore, _ := f.e.Estimate(fast)
	for range 8 {
		f.e.Bound(slow, 1, f.now)
		f.e.Bound(fast, 0.5, f.now)
	}
	f.e.Solve(f.now)
	after, _ := f.e.Estimate(slow)
	fastAfter, _ := f.e.Estimate(fast)
	if after.Factor > before.Factor-0.02 || math.Abs(fastAfter.Factor-fastBefore.Factor) > 0.05 {
		t.Errorf("slow worker %.3f -> %.3f, fast worker %.3f -> %.3f", before.Factor, after.Factor, fastBefore.Factor, fastAfter.Factor)
	}
}
