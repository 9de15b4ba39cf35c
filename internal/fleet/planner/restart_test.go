package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// restartUnderStarts crashes a worker of the kind a while starts of tasks that need this kind
// are on their way to it, and refuses connections until its next incarnation of another kind
// begins. As soon as a task begins there, the worker is cut off for longer than the lease
// that the planner grants.
func restartUnderStarts(t *testing.T, down time.Duration, nextKind string, disable func(p *planner.Planner)) (violations []string) {
	bubble(t, func(t *testing.T) {
		bounds := testBounds
		bounds.MaxLease = 10 * time.Second
		fleet := newTestFleetWith(t, 1, 2, bounds)
		fleet.maxLease, fleet.configure = bounds.MaxLease, disable
		defer fleet.close()
		w := fleet.world
		w.SetRefuseWhileDown(true)
		fleet.startVM("a")
		// A deadline by the clock of the first incarnation exceeds every lease on that of the next.
		time.Sleep(bounds.MaxLease)
		link := fleet.link("a", "w0")
		link.SetExtraLatency(60 * time.Millisecond)
		s := step(4, 1, false)
		s.Label = "a"
		fleet.submit(jobID(1), "solve", 20*time.Second, s)
		for !w.Store.Has(store.RunKey(jobID(1))) {
			time.Sleep(time.Millisecond)
		}
		w.Crash("w0")
		time.Sleep(down)
		w.SetLabels("w0", nextKind)
		w.Restart("w0")
		for until := time.Now().Add(time.Second); w.Starts() == 0 && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		link.Cut(true)
		time.Sleep(8 * time.Second)
		link.Cut(false)
		time.Sleep(20 * time.Second)
		violations = fleet.allViolations()
	})
	return violations
}

// checkRestartsUnderStarts fails if a restart under starts violates a rule, or if none does
// when starts are also sent to the next incarnation.
func checkRestartsUnderStarts(t *testing.T, rule, nextKind string) {
	t.Helper()
	broken := func(down time.Duration, disable func(p *planner.Planner)) bool {
		for _, v := range restartUnderStarts(t, down, nextKind, disable) {
			if strings.HasPrefix(v, rule) {
				t.Logf("down for %v, guard off %t: %s", down, disable != nil, v)
				return true
			}
		}
		return false
	}
	needed := false
	for down := minRestartTime; down < 1300*time.Millisecond; down += 50 * time.Millisecond {
		if broken(down, nil) {
			t.Errorf("down for %v: %s is violated", down, rule)
		}
		needed = needed || broken(down, planner.RepeatStarts)
	}
	if !needed {
		t.Errorf("starts sent to any incarnation: no restart violates %s", rule)
	}
}

// TestRestartUnderStartsRunsNothingTwice guards against tasks that run on two workers: starts
// refused by a worker that crashed reached its next incarnation, whose lease outlasted what
// the planner assumed.
func TestRestartUnderStartsRunsNothingTwice(t *testing.T) { checkRestartsUnderStarts(t, "TWICE", "a") }

// TestRestartAsAnotherKindGetsNoStarts guards against tasks that run on a worker without the
// label that they need: starts refused by a worker that crashed reached its next incarnation,
// of another kind.
func TestRestartAsAnotherKindGetsNoStarts(t *testing.T) { checkRestartsUnderStarts(t, "ROUTE", "b") }
