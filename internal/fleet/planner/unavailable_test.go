package planner_test

import (
	"testing"
	"time"
)

// TestGuaranteeReclaimsTasksThatMayMiss guards against long-running tasks with may_miss that
// keep guaranteed capacity for ever, and against stops of more of them than a step allows.
func TestGuaranteeReclaimsTasksThatMayMiss(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const workers, jobs, tasks = 12, 4, 3
		fleet := newTestFleet(t, 1, workers)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		for i := range jobs {
			s := step(tasks, 8, false)
			s.LongRunning, s.MaxUnavailable, s.Estimate = true, 1, time.Second
			fleet.submitAs("other", jobID(1+i), "render", time.Hour, s)
		}
		time.Sleep(3 * time.Second)
		// More than the steps allow to stop: only so many begin.
		fleet.submit(jobID(11), "urgent", time.Minute, step(3, 8, true))
		fleet.submit(jobID(12), "urgent", time.Minute, step(1, 8, false), step(1, 8, false))
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			for i := range jobs {
				if n := len(fleet.world.WorkerRacks(jobID(1 + i))); n < tasks-1 {
					t.Fatalf("only %d of %d tasks of %s run", n, tasks, jobID(1+i))
				}
			}
		}
		if begun, _ := fleet.world.Begun(jobID(11)); begun != 3 {
			t.Errorf("%d of 3 guaranteed tasks have begun", begun)
		}
		if begun, _ := fleet.world.Begun(jobID(12)); begun != 1 {
			t.Errorf("%d further tasks have begun, want 1", begun)
		}
	})
}
