package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
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
		needed = needed || broken(down, planner.StartOnAnyIncarnation)
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

// TestLateStartInNextIncarnationKeepsItsLease guards against tasks that run on two workers: a
// start that a worker's machine carried out late, in the next incarnation, gives all that runs
// there the longest lease, and the planner counted with the shorter one that it grants.
func TestLateStartInNextIncarnationKeepsItsLease(t *testing.T) {
	begun := 0
	for down := minRestartTime; down < 600*time.Millisecond; down += 25 * time.Millisecond {
		bubble(t, func(t *testing.T) {
			bounds := testBounds
			bounds.MaxLease = 10 * time.Second
			fleet := newTestFleetWith(t, uint64(down), 2, bounds)
			fleet.maxLease = bounds.MaxLease
			defer fleet.close()
			w := fleet.world
			fleet.startVM("a")
			time.Sleep(bounds.MaxLease)
			// After this job the connection for starts is open.
			fleet.submit(jobID(1), "solve", time.Second, step(1, 1, false))
			time.Sleep(3 * time.Second)
			starts := w.Starts()
			link := fleet.link("a", "w0")
			link.SetLateOutlive(true)
			fleet.submit(jobID(2), "solve", 20*time.Second, step(4, 1, false))
			for !w.Store.Has(store.RunKey(jobID(2))) {
				time.Sleep(time.Millisecond)
			}
			link.Set(world.Faults{Late: 1})
			time.Sleep(100 * time.Millisecond)
			link.Set(world.Faults{})
			w.Crash("w0")
			link.Cut(true)
			time.Sleep(down)
			w.Restart("w0")
			for until := time.Now().Add(4 * time.Second); w.Starts() == starts && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			if w.Starts() > starts {
				begun++
			}
			// The planner hears of the run.
			link.Cut(false)
			time.Sleep(900 * time.Millisecond)
			link.Cut(true)
			time.Sleep(9 * time.Second)
			link.Cut(false)
			time.Sleep(20 * time.Second)
			if violations := fleet.allViolations(); len(violations) > 0 {
				t.Errorf("down for %v: %v", down, violations)
			}
		})
	}
	if begun == 0 {
		t.Error("no start was carried out by the next incarnation")
	}
}
