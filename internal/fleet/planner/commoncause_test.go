package planner_test

import (
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// crashTogether crashes the workers of jobs with one task each at the same time, after all
// of them have run for a while, and restarts them.
func (f *testFleet) crashTogether(t *testing.T, after time.Duration, jobs ...string) {
	t.Helper()
	addresses := make(map[string]bool)
	for _, id := range jobs {
		address, _ := f.waitForStart(id, 20*time.Second)
		if address == "" {
			t.Fatalf("job %s does not run; it is %s", id, f.world.State(id))
		}
	}
	time.Sleep(after)
	for _, id := range jobs {
		addresses[f.world.TaskAddress(planner.TaskID{Job: id})] = true
	}
	for address := range addresses {
		f.world.Crash(address)
	}
	time.Sleep(1500 * time.Millisecond)
	for address := range addresses {
		f.world.Restart(address)
	}
}

// TestJobsStruckTogetherAreNotGivenUp guards against giving up jobs for crashes of their
// workers that have a common cause: both jobs lose theirs at the same time, again and again.
func TestJobsStruckTogetherAreNotGivenUp(t *testing.T) {
	crashFleet(t, 12, func(t *testing.T, fleet *testFleet) {
		lasting, short := jobID(2), jobID(3)
		fleet.submit(lasting, "solve", time.Hour, longRunning(8))
		fleet.submit(short, "solve", 15*time.Second, step(1, 8, false))
		for range 6 {
			fleet.crashTogether(t, 3*time.Second, lasting, short)
		}
		fleet.checkStartsWithin(t, lasting, 10*time.Second)
		time.Sleep(25 * time.Second)
		if state := fleet.world.State(short); state != model.Completed {
			t.Errorf("job %s is %s", short, state)
		}
		if violations := fleet.allViolations(); len(violations) > 0 {
			t.Errorf("violations: %v", violations)
		}
	})
}

// TestJobsOutliveWavesOfCrashes guards against giving up jobs when all workers crash in waves.
func TestJobsOutliveWavesOfCrashes(t *testing.T) {
	crashFleet(t, 8, func(t *testing.T, fleet *testFleet) {
		for i := range 8 {
			fleet.submit(jobID(2+i), "solve", 20*time.Second, step(1, 8, false))
		}
		time.Sleep(3 * time.Second)
		fleet.crashWaves(6, 1500*time.Millisecond, 10*time.Second)
		fleet.waitForEnd(2 * time.Minute)
		for _, id := range fleet.jobIDs {
			if state := fleet.world.State(id); state != model.Completed {
				t.Errorf("job %s is %s", id, state)
			}
		}
		if violations := fleet.allViolations(); len(violations) > 0 {
			t.Errorf("violations: %v", violations)
		}
	})
}

// TestCrashersInStepAreGivenUp guards against taking each of several jobs that crash their
// workers for the victim of the others, because they start and crash at the same time.
func TestCrashersInStepAreGivenUp(t *testing.T) {
	for name, after := range map[string][]time.Duration{
		"two":            {3 * time.Second, 3 * time.Second},
		"four":           {2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second},
		"one_delay_more": {2 * time.Second, 3 * time.Second},
		"two_delays":     {2 * time.Second, 3900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			crashFleet(t, 12, func(t *testing.T, fleet *testFleet) {
				for i, d := range after {
					fleet.world.SetCrashing(jobID(1+i), world.Crashing{After: d, Downtime: time.Second})
					fleet.submit(jobID(1+i), "solve", 15*time.Second, step(1, 8, false))
				}
				fleet.waitForEnd(giveUpTime)
				for _, id := range fleet.jobIDs {
					if state := fleet.world.State(id); state != model.Failed {
						t.Errorf("job %s is %s", id, state)
					}
					if n := len(fleet.world.Crashes(id)); n > maxCrashes {
						t.Errorf("job %s has crashed %d workers", id, n)
					}
				}
				if violations := fleet.allViolations(); len(violations) > 0 {
					t.Errorf("violations: %v", violations)
				}
			})
		})
	}
}
