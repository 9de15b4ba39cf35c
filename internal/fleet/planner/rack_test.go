package planner_test

import (
	"testing"
	"time"
)

// TestGangTooLargeForItsRackStarts guards against a gang that waits for ever for the rack of its
// data, in which it does not fit.
func TestGangTooLargeForItsRackStarts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := newTestFleet(t, 1, 12)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		// Over half of the workers are in use, so that the gang never becomes overdue.
		fleet.submit(jobID(1), "solve", time.Minute, step(7, 8, true))
		time.Sleep(time.Second)
		s := step(5, 8, true)
		s.Rack = "r1"
		fleet.submit(jobID(2), "solve", time.Second, s)
		fleet.checkStartsWithin(t, jobID(2), maxStartWait)
	})
}
