package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// TestRefusedStartsLeaveJobsPending guards against a count of pending jobs that leaves out
// those whose workers have refused their starts.
func TestRefusedStartsLeaveJobsPending(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		const workers, jobs = 4, 4
		fleet := newTestFleet(t, 1, workers)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		setRefuse := func(share float64) {
			for i := range workers {
				fleet.link("a", fmt.Sprintf("w%d", i)).Set(world.Faults{Refuse: share})
			}
		}
		setRefuse(1)
		for i := range jobs {
			fleet.submit(jobID(i), "solve", time.Second, step(1, 8, false))
		}
		time.Sleep(800 * time.Millisecond)
		is.Equal(fleet.world.Starts(), 0)
		is.Equal(fleet.pending("a"), int64(jobs))
		setRefuse(0)
		is.Equal(len(fleet.waitForEnd(30*time.Second)), 0)
		is.Equal(fleet.pending("a"), int64(0))
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}
