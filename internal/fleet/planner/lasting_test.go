package planner_test

import (
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// TestLastingTaskRunsAgainAfterLossForGood guards against a task that lasts and waits beside idle
// workers, after three crashes of its worker, until it is known what became of the fourth.
func TestLastingTaskRunsAgainAfterLossForGood(t *testing.T) {
	crashFleet(t, 10, func(t *testing.T, fleet *testFleet) {
		fleet.submit(jobID(2), "solve", 100*time.Hour, longRunning(8))
		task := planner.TaskID{Job: jobID(2)}
		for range 3 {
			fleet.waitForRun(task, true)
			time.Sleep(2 * time.Second)
			address := fleet.world.TaskAddress(task)
			fleet.world.Crash(address)
			time.Sleep(1500 * time.Millisecond)
			fleet.world.Restart(address)
		}
		fleet.waitForRun(task, true)
		time.Sleep(2 * time.Second)
		fleet.world.Crash(fleet.world.TaskAddress(task))
		fleet.checkStartsWithin(t, jobID(2), maxLastingWait)
		if violations := fleet.allViolations(); len(violations) > 0 {
			t.Errorf("violations: %v", violations)
		}
	})
}

// maxLastingWait is the longest time for which a task that lasts may wait beside idle workers:
// 6 s from its last run, and 3 s.
const maxLastingWait = 9 * time.Second
