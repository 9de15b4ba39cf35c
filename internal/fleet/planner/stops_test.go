package planner_test

import (
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// playUrgentBursts plays a long job under bursts of urgent work outside a guarantee that come
// faster than it runs, and replaces the planner between them. It returns how often the job was
// stopped, whether it ended during the bursts, and how many of the urgent jobs of an
// account with a guarantee were in time, of 6.
func playUrgentBursts(t *testing.T, configure func(p *planner.Planner)) (stops int, ended bool, guaranteed int) {
	bubble(t, func(t *testing.T) {
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.configure = configure
		fleet.config.c.Accounts = []model.Account{{Name: "acme", GuaranteedAccelerators: 4}, {Name: "other"}}
		fleet.startVM("a")
		time.Sleep(time.Second)
		long := step(2, 8, true)
		long.Estimate = 6 * time.Second
		fleet.submitAs("other", jobID(1), "solve", 6*time.Second, long)
		time.Sleep(time.Second)
		const bursts, guaranteedJobs = 12, 6
		for i := range bursts {
			s := step(2, 8, true)
			s.Estimate = time.Second
			fleet.submitAs("other", jobID(100+i), "urgent", time.Second, s)
			if i%2 == 1 {
				// Submitted while the burst before it may still run.
				fleet.submit(jobID(200+i/2), "urgent", time.Second, step(1, 4, false))
			}
			time.Sleep(5 * time.Second)
			if i == 1 {
				fleet.kill("a")
				fleet.startVM("b")
			}
		}
		ended = fleet.world.State(jobID(1)).Terminal()
		stops = fleet.world.StoppedRuns(jobID(1))
		fleet.waitForEnd(time.Minute)
		time.Sleep(100 * time.Millisecond)
		for i := range guaranteedJobs {
			if _, began := fleet.world.Begun(jobID(200 + i)); !began.IsZero() && fleet.accounts.parts(jobID(200 + i))["age_ms"] <= 3500 {
				guaranteed++
			}
		}
		if wrong := fleet.allViolations(); len(wrong) > 0 {
			t.Error(wrong)
		}
	})
	return stops, ended, guaranteed
}

// TestLongJobEndsUnderUrgentBursts guards against a job that urgent bursts stop each time
// before it ends, also after a change of the planner, and against a bound that makes
// guaranteed jobs wait.
func TestLongJobEndsUnderUrgentBursts(t *testing.T) {
	stops, ended, guaranteed := playUrgentBursts(t, nil)
	t.Logf("with: stopped %d times, ended %v, %d guaranteed jobs in time", stops, ended, guaranteed)
	// One stop more than the bound is for a guaranteed job.
	if !ended || stops > 4 {
		t.Errorf("the long job was stopped %d times; ended: %v", stops, ended)
	}
	stopsBefore, endedBefore, guaranteedBefore := playUrgentBursts(t, func(p *planner.Planner) { p.Disabled = policy.Disabled{policy.StopLimit: true} })
	t.Logf("without: stopped %d times, ended %v, %d guaranteed jobs in time", stopsBefore, endedBefore, guaranteedBefore)
	if endedBefore {
		t.Errorf("the load does not need a bound: without it, the job ends after %d stops", stopsBefore)
	}
	if guaranteed < guaranteedBefore {
		t.Errorf("guaranteed jobs in time: got %d, and %d without the bound", guaranteed, guaranteedBefore)
	}
}
