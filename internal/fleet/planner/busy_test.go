package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanningContinuesDuringWrites guards against scheduling passes that wait for
// writes. With a store that takes 250 ms for a call, while runs end continuously, an
// urgent job must start within 2.7 s, the smallest reclaim_ms of the users' platforms.
func TestPlanningContinuesDuringWrites(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 8)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		const urgent, jobs, reclaim = 9999, 64, 2700 * time.Millisecond
		for i := range jobs {
			fleet.submit(jobID(i), "render", 3*time.Second+time.Duration(i)*100*time.Millisecond, step(1, 1, false))
		}
		time.Sleep(2 * time.Second)
		fleet.link("a", "store").SetExtraLatency(250 * time.Millisecond)
		time.Sleep(2 * time.Second)
		fleet.submit(jobID(urgent), "urgent", time.Second, step(2, 8, true))
		accepted := time.Now()
		time.Sleep(reclaim)
		tasks, last := fleet.world.Begun(jobID(urgent))
		is.Equal(tasks, 2)
		is.True(last.Sub(accepted) < reclaim)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}
