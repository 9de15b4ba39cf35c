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
