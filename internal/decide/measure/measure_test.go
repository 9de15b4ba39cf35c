package measure_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/measure"
)

// load is a kind of run with the largest error that the estimate may have, as a share of the
// work, in 95 of 100 runs.
type load struct {
	why string
	// slowFrom and slowFor are a phase in which the run takes slowFactor times as long, as
	// shares of the work.
	slowFrom, slowFor, slowFactor float64
	// resumed is the share of the work that was saved, and whole says that the readings
	// count the whole task.
	resumed  float64
	whole    bool
	adopted  bool
	maxError float64
}

// play simulates a run of some work and returns the error of the estimate as a share.
func (l *load) play(rng *rand.Rand) float64 {
	work := 2 + 6*rng.Float64()
	start := 100 + rng.Float64()
	const restore = 0.25
	doneAt := func(share float64) float64 { // time of a share of the work since the start
		t := work * share
		if over := share - l.slowFrom; l.slowFactor > 1 && over > 0 {
			t += work * min(over, l.slowFor) * (l.slowFactor - 1)
		}
		return t
	}
	end := start + doneAt(1) - doneAt(l.resumed)
	if l.resumed > 0 {
		end += restore
	}
	var r measure.Run
	at := start + rng.Float64()
	for ; at < end; at += 0.3 + 0.7*rng.Float64() {
		passed := at - start
		if l.resumed > 0 {
			passed = max(0, passed-restore)
		}
		share := l.resumed
		for share < 1 && doneAt(share)-doneAt(l.resumed) < passed {
			share += 0.0005
		}
		percent := 100 * share
		if !l.whole {
			percent = 100 * (share - l.resumed) / (1 - l.resumed)
		}
		r.Observe(math.Floor(percent), seconds(at))
	}
	// The report waits until the run ends, unless results wait to be persisted.
	reported := end
	if rng.IntN(3) == 0 {
		reported += 0.3 * rng.Float64()
	}
	in := measure.Interval{Started: !l.adopted, Start: seconds(start), End: seconds(reported), Slack: 300 * time.Millisecond, ClockError: 20 * time.Millisecond}
	if l.resumed > 0 {
		in.Saved, in.Restore = seconds(work*l.resumed), seconds(restore)
	}
	w, ok := r.Done(in)
	if !ok {
		return 1
	}
	return math.Abs(w.Time.Seconds()-work) / work
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TestWorkOfRuns guards against objectives that follow from the time on the worker, which
// includes what slow workers and restored checkpoints cost, or from reports that come late.
func TestWorkOfRuns(t *testing.T) {
	for _, l := range []load{
		{why: "healthy worker", maxError: 0.04},
		{why: "taken over from an earlier term", adopted: true, maxError: 0.1},
		{why: "worker takes five times as long for a while", slowFrom: 0.3, slowFor: 0.2, slowFactor: 5, maxError: 0.2},
		{why: "resumed, progress of the whole task", resumed: 0.4, whole: true, maxError: 0.12},
		{why: "resumed, progress of the run", resumed: 0.4, maxError: 0.12},
	} {
		t.Run(l.why, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			const runs = 400
			sum, over := 0.0, 0
			for range runs {
				e := l.play(rng)
				sum += e
				if e > l.maxError {
					over++
				}
			}
			t.Logf("mean error %.3f, over %.2f in %d of %d", sum/runs, l.maxError, over, runs)
			if over > runs/20 {
				t.Errorf("the error is over %.2f in %d of %d runs", l.maxError, over, runs)
			}
		})
	}
}

// TestCriticalPath guards against a path that ignores dependencies or the width of a step.
func TestCriticalPath(t *testing.T) {
	got := measure.CriticalPath([]measure.Step{{Work: 2}, {Work: 5}, {Work: 3, After: []int{0}, Share: 0.6}, {Work: 1, After: []int{1, 2}}})
	if got != 2+3*3+1 {
		t.Errorf("got %v, want 12", got)
	}
}
