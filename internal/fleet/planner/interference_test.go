package planner_test

import (
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// imageLoad submits a job of 6 tasks each 0.6 s, of three images in turn, for a time. It
// returns the share of the jobs of the first image that are done within 9 s; each runs 6 s.
func imageLoad(f *testFleet, first int, d time.Duration) (jobs int, onTime float64) {
	images := []string{"index", "scan", "render"}
	sent, done := make(map[string]time.Time), 0
	submitted := 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(600 * time.Millisecond) {
		id := jobID(first + jobs)
		s := step(6, 1, false)
		s.Image = images[jobs%len(images)]
		f.submit(id, "render", 6*time.Second, s)
		if jobs%len(images) == 0 {
			sent[id] = time.Now()
			submitted++
		}
		jobs++
		for id, at := range sent {
			late := time.Since(at) > 9*time.Second
			if !late && f.world.State(id) == model.Completed {
				done++
			} else if !late {
				continue
			}
			delete(sent, id)
		}
	}
	return jobs, float64(done) / float64(submitted-len(sent))
}

// TestInterferenceIsLearntAgain guards against pairs that only the first planner finds: it
// is killed halfway. It also guards against callers that get nothing from it.
func TestInterferenceIsLearntAgain(t *testing.T) {
	shares := make(map[bool]float64)
	for _, disabled := range []bool{true, false} {
		bubble(t, func(t *testing.T) {
			fleet := newTestFleet(t, 1, 12)
			defer fleet.close()
			fleet.configure = func(p *planner.Planner) { p.Disabled = policy.Disabled{policy.Interference: disabled} }
			fleet.world.SetInterference(map[[2]string]float64{{"index", "scan"}: 2})
			fleet.startVM("a")
			time.Sleep(time.Second)
			first, _ := imageLoad(fleet, 0, 45*time.Second)
			before := fleet.planners["a"].Meter
			fleet.kill("a")
			fleet.startVM("b")
			second, _ := imageLoad(fleet, first, 30*time.Second)
			_, shares[disabled] = imageLoad(fleet, first+second, 40*time.Second)
			after := fleet.planners["b"].Meter
			for vm, m := range map[string]interface{ Count(string) int64 }{"a": before, "b": after} {
				want := int64(1)
				if disabled {
					want = 0
				}
				if n := m.Count("interference_found") - m.Count("interference_dropped"); n != want {
					t.Errorf("disabled %v: planner %s found %d pairs, want %d", disabled, vm, n, want)
				}
				if kept := m.Count("kept_apart"); kept > 0 == disabled {
					t.Errorf("disabled %v: planner %s kept %d units apart", disabled, vm, kept)
				}
			}
			if left := fleet.waitForEnd(40 * time.Second); len(left) > 0 {
				t.Errorf("%d jobs have not ended", len(left))
			}
			if violations := fleet.allViolations(); len(violations) > 0 {
				t.Errorf("violations: %v", violations)
			}
		})
	}
	t.Logf("in time: %.2f with it, %.2f without", shares[false], shares[true])
	if shares[false] < shares[true]+0.2 {
		t.Errorf("%.2f of the slowed jobs are in time, %.2f without", shares[false], shares[true])
	}
}
