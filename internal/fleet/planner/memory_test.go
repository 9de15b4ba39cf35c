package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestEndedJobsTakeLittleMemory guards against a planner that refuses jobs because of others
// that ended, whose records it keeps for minutes, also after a change of the planner, and
// against states that are lost with the memory.
func TestEndedJobsTakeLittleMemory(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 4)
		defer fleet.close()
		fleet.statusRetention = 10 * time.Minute
		fleet.startVM("a")
		time.Sleep(time.Second)
		const jobs, tasks = 5, 30
		for i := range jobs {
			fleet.submitAs("a", jobID(i), "solve", 100*time.Millisecond, step(tasks, 1, false))
		}
		fleet.submitAs("a", jobID(jobs), "solve", time.Hour, step(1, 1, false))
		summary := func(vm string) model.PlannerSummary {
			s, err := fleet.planners[vm].Summary(t.Context())
			is.NoErr(err)
			return s
		}
		time.Sleep(time.Second)
		before := summary("a")
		is.Equal(before.JobMemory, before.AccountMemory["a"])
		is.True(before.JobMemory > jobs*tasks<<10)
		check := func(vm string) {
			is.True(summary(vm).JobMemory < before.JobMemory/5)
			for i := range jobs {
				s, known, err := fleet.planners[vm].State(t.Context(), jobID(i))
				is.NoErr(err)
				is.True(known)
				is.Equal(s, model.Completed)
			}
			s, _, err := fleet.planners[vm].State(t.Context(), jobID(jobs))
			is.NoErr(err)
			is.Equal(s, model.Running)
		}
		time.Sleep(time.Minute)
		check("a")
		fleet.kill("a")
		fleet.startVM("b")
		time.Sleep(20 * time.Second)
		check("b")
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}
