package interference_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/interference"
)

func pair(kind, by string) interference.Pair { return interference.Pair{Kind: kind, By: by} }

// TestPairsAreFoundAndKeptApart guards against pairs that are missed or blamed on a third
// kind, beside long tails, remote tasks, workers of unknown speed and a service that runs
// for good, and against callers that get nothing from it or wait for it.
func TestPairsAreFoundAndKeptApart(t *testing.T) {
	for seed := range uint64(4) {
		l := load{workers: 40, share: 0.7, truth: map[interference.Pair]float64{pair("a", "b"): 1.8, pair("c", "z"): 1.8}}
		together := l.play(seed, 3*time.Minute)
		l.apart = true
		apart := l.play(seed, 3*time.Minute)
		t.Logf("seed %d: together %v, apart %v, found %v", seed, together.onTime, apart.onTime, together.found)
		for p, x := range together.found {
			if l.truth[p] == 0 || math.Abs(x-l.truth[p]) > 0.4 {
				t.Errorf("seed %d: %v slows by %.2f, want %.2f", seed, p, x, l.truth[p])
			}
		}
		if len(together.found) < len(l.truth) {
			t.Errorf("seed %d: found %v, want %v", seed, together.found, l.truth)
		}
		for _, k := range kinds {
			gain := 0.0
			if k == "a" || k == "c" {
				gain = 0.05
			}
			if apart.onTime[k] < together.onTime[k]+gain {
				t.Errorf("seed %d: %.2f of %s in time when kept apart, %.2f together", seed, apart.onTime[k], k, together.onTime[k])
			}
		}
		if apart.idle > 0 {
			t.Errorf("seed %d: a task waited %v beside free capacity", seed, apart.idle)
		}
	}
}

// TestNothingIsLearntWithoutInterference guards against pairs that are found by chance, and
// against a kind that is blamed for the workers on which it runs.
func TestNothingIsLearntWithoutInterference(t *testing.T) {
	for seed := range uint64(40) {
		l := load{workers: 24, share: 0.5 + 0.3*float64(seed%2), slowHalf: seed%4 > 1}
		if r := l.play(100+seed, 2*time.Minute); len(r.found) > 0 {
			t.Errorf("seed %d: found %v", seed, r.found)
		}
	}
}

// TestServingTask guards against tail latencies that are compared between services instead
// of within one, and against a pair that one worker or one job shows.
func TestServingTask(t *testing.T) {
	for _, c := range []struct {
		workers int
		jobs    bool
		factor  float64
		want    bool
	}{{8, true, 2, true}, {8, true, 1, false}, {2, true, 2, false}, {8, false, 2, false}} {
		var m interference.Model
		runs, job := make([]interference.Run, c.workers), "batch"
		for now := range 120 {
			for w := range runs {
				if c.jobs {
					job = fmt.Sprint("batch", now/10, w%3)
				}
				task := interference.Task{Kind: "web", Job: "web", Worker: fmt.Sprint(w), Serving: true}
				x := interference.Reading{At: time.Duration(now) * time.Second, Percent: 100, Latency: float64(20*(w+1) + now%3)}
				if now/5%2 == 1 {
					x.Latency *= c.factor
					x.Beside = []interference.Neighbour{{Kind: "scan", Job: job}}
				}
				m.Track(&runs[w], &task, x, x.At)
			}
		}
		if m.Known() != c.want {
			t.Errorf("%+v: pairs %+v", c, m.Established())
		}
	}
}

// TestOddReadingsAndManyKinds guards against a reading that ends the process or gives a
// factor that is no number, and against memory without a bound.
func TestOddReadingsAndManyKinds(t *testing.T) {
	var m interference.Model
	odd := []float64{0, -5, 1e300, math.NaN(), math.Inf(1), math.Inf(-1), 40, 99}
	for i := range 20_000 {
		var r interference.Run
		task := interference.Task{Kind: fmt.Sprint(i % 300), Job: fmt.Sprint(i % 500), Worker: fmt.Sprint(i % 50), Serving: i%2 == 0}
		for k := range 12 {
			x := interference.Reading{At: time.Duration(i*k) * time.Second % 13, Percent: 20 * float64(k), Latency: 1, SpeedFactor: odd[(i+k)%len(odd)]}
			if i%3 == 0 {
				x.Percent, x.Latency = odd[(i+3*k)%len(odd)], odd[(i+5*k)%len(odd)]
			} else {
				x.At = time.Duration(k) * time.Second
			}
			if k/3%2 == 1 {
				x.Beside = []interference.Neighbour{{Kind: fmt.Sprint(i % 77), Job: "j"}}
			}
			for _, c := range m.Track(&r, &task, x, time.Duration(i)*time.Millisecond) {
				if !(c.SlowDown > 0) || math.IsInf(c.SlowDown, 1) || !(c.Doubt > 0) {
					t.Fatalf("change %+v", c)
				}
			}
		}
	}
	if n := m.Len(); n == 0 || n > 400 {
		t.Errorf("%d pairs are remembered", n)
	}
	m.Expire(time.Hour)
	if m.Len() > 0 || m.Known() {
		t.Errorf("%d pairs are remembered after an hour", m.Len())
	}
}
