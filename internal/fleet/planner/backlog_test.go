package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestWritesKeepUpWithSlowStore runs tasks of one second in 256 slots, each task as a
// separate job, with a store in another region (a round trip of some 50 ms). If the
// planner writes ten jobs at a time and one write after the other, the unwritten records
// pile up permanently: callers wait, and no run result is acknowledged. At least seven in
// ten of the jobs that the slots can run must be done in time.
func TestWritesKeepUpWithSlowStore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		const workers, slots, seconds = 32, 32 * 8, 6
		fleet := newTestFleet(t, 1, workers)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.link("a", "store").SetExtraLatency(42 * time.Millisecond)
		for i := range slots * seconds {
			fleet.submit(jobID(i), "render", time.Second, step(1, 1, false))
		}
		ended, unacked := 0, 0
		for range seconds {
			time.Sleep(time.Second)
			unacked = max(unacked, fleet.world.UnacknowledgedResults())
		}
		for _, id := range fleet.jobIDs {
			if fleet.world.State(id) == model.Completed {
				ended++
			}
		}
		t.Logf("%d of %d ended, at most %d run results were not acknowledged", ended, slots*seconds, unacked)
		is.True(ended >= slots*seconds*7/10)
		// The run results of one second, and those in flight.
		is.True(unacked < 2*slots)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}
