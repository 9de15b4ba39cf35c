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

// TestOneStepThatFitsStarts guards against a job with nothing running since only its first
// step, which does not fit, is taken as overdue.
func TestOneStepThatFitsStarts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := newTestFleet(t, 1, 12)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		lasting := step(4, 8, false)
		lasting.Rack, lasting.LongRunning = "r1", true
		fleet.submit(jobID(1), "solve", time.Hour, lasting)
		time.Sleep(time.Second)
		large, small := step(9, 8, true), step(1, 8, false)
		large.Rack, small.Rack = "r1", "r1"
		fleet.submit(jobID(2), "solve", time.Second, large, small)
		for until := time.Now().Add(maxIdleWait); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			if begun, _ := fleet.world.Begun(jobID(2)); begun > 0 {
				return
			}
		}
		t.Error("nothing of the job has begun")
	})
}
