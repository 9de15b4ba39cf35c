package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// speedFleet runs jobs of one task for each of 12 workers, which need whole workers.
type speedFleet struct {
	*testFleet
	jobs    int
	factors map[string]float64
}

func newSpeedFleet(t *testing.T, factors ...float64) *speedFleet {
	f := &speedFleet{testFleet: newTestFleet(t, 1, 12), factors: make(map[string]float64)}
	for i := range 12 {
		id := "w" + string("0123456789ab"[i])
		if i >= 10 {
			id = "w1" + string("01"[i-10])
		}
		f.set(id, factors[i%len(factors)])
	}
	return f
}

func (f *speedFleet) set(id string, factor float64) {
	f.factors[id] = factor
	f.world.SetSpeed(id, factor)
}

// play runs jobs for a time.
func (f *speedFleet) play(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(4500 * time.Millisecond) {
		f.jobs++
		f.submit(jobID(f.jobs), "render", 3*time.Second, step(12, 8, false))
	}
}

// check fails unless a VM's planner knows at least so many speeds, each of them rightly.
func (f *speedFleet) check(vm string, least int) {
	f.t.Helper()
	known := planner.KnownSpeeds(f.planners[vm])
	for id, x := range known {
		if off := math.Abs(math.Log(x / f.factors[id])); off > 0.08 {
			f.t.Errorf("%s counts as %.2f, want %.2f", id, x, f.factors[id])
		}
	}
	if len(known) < least {
		f.t.Errorf("%d speeds known, want %d", len(known), least)
	}
	if v := f.allViolations(); len(v) > 0 {
		f.t.Errorf("violations: %v", v)
	}
}

// TestNextPlannerLearnsSpeedsAgain guards against speeds that are lost for good with the VM
// that learnt them: the next planner knows them from the reports that it gets itself.
func TestNextPlannerLearnsSpeedsAgain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newSpeedFleet(t, 0.8, 1, 1.25)
		defer f.close()
		f.startVM("a")
		time.Sleep(time.Second)
		f.startVM("b")
		f.play(time.Minute)
		f.check("a", 12)
		f.kill("a")
		f.play(75 * time.Second)
		f.check("b", 12)
	})
}

// TestRestartedWorkerHasNoSpeed guards against the speed of a machine that is not there any
// more: the next incarnation of a slow worker is a fast machine.
func TestRestartedWorkerHasNoSpeed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newSpeedFleet(t, 0.8, 1, 1.25)
		defer f.close()
		f.startVM("a")
		time.Sleep(time.Second)
		f.play(time.Minute)
		f.check("a", 12)
		f.set("w2", 0.8)
		f.world.Restart("w2")
		time.Sleep(5 * time.Second)
		if x, ok := planner.KnownSpeeds(f.planners["a"])["w2"]; ok {
			t.Errorf("the new incarnation counts as %.2f at once", x)
		}
		f.play(time.Minute)
		f.check("a", 12)
	})
}

// TestEqualWorkersArePlacedAsBefore guards against speeds from the noise of reports: on equal
// workers, whose clocks differ by up to 2 %, no placement gets one.
func TestEqualWorkersArePlacedAsBefore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newSpeedFleet(t, 1)
		defer f.close()
		f.configure = func(p *planner.Planner) {
			p.Decide = func(in placement.Input) placement.Decision {
				for _, w := range in.Workers {
					if w.SpeedFactor != 0 {
						t.Errorf("%s has the factor %.3f", w.ID, w.SpeedFactor)
					}
				}
				return placement.Plan(in)
			}
		}
		f.startVM("a")
		time.Sleep(time.Second)
		f.play(90 * time.Second)
		f.check("a", 0)
	})
}
