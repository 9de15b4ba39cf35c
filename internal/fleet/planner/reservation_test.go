package planner_test

import (
	"testing"
	"time"
)

// TestGangThatWaitsForLastingTasksLeavesWorkersToOthers guards against a gang that keeps
// all free workers for itself since tasks that last are taken to end soon.
func TestGangThatWaitsForLastingTasksLeavesWorkersToOthers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const workers, lasting, others = 12, 6, 4
		fleet := newTestFleet(t, 1, workers)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		s := step(lasting, 8, false)
		s.LongRunning, s.Estimate = true, time.Second
		fleet.submitAs("acme", jobID(1), "solve", time.Hour, s)
		time.Sleep(5 * time.Second)
		fleet.submit(jobID(2), "solve", 5*time.Second, step(workers-lasting+1, 8, true))
		time.Sleep(100 * time.Millisecond)
		for i := range others {
			fleet.submit(jobID(3+i), "render", 5*time.Second, step(1, 8, false))
		}
		for i := range others {
			fleet.checkStartsWithin(t, jobID(3+i), maxStartWait)
		}
	})
}

// TestStalledUnitIsCountedOnce guards against a unit that waits beside free workers without
// a word in the log: here its bound per worker leaves it one worker too few.
func TestStalledUnitIsCountedOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := newTestFleet(t, 1, 3)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		lasting, bounded := step(1, 8, false), step(3, 1, true)
		lasting.LongRunning, bounded.PerWorker = true, 1
		fleet.submit(jobID(1), "solve", time.Hour, lasting)
		time.Sleep(3 * time.Second)
		fleet.submit(jobID(2), "solve", time.Second, bounded)
		time.Sleep(10 * time.Second)
		if n := fleet.planners["a"].Meter.Count("overdue_stalled"); n != 1 {
			t.Errorf("overdue_stalled is %d, want 1", n)
		}
	})
}
