package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// TestJobWhoseRecordOutgrowsAValueCompletes guards against a job that never goes on since
// crashes of its workers make its record larger than the store accepts, also after a change of
// the planner.
func TestJobWhoseRecordOutgrowsAValueCompletes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 6)
		fleet.maxValue = 80 << 10
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		const tasks = 600
		fleet.submit(jobID(1), "solve", 8*time.Second, model.Step{Tasks: tasks, Shape: model.Shape{MilliCPU: 300, MemoryMB: 10}})
		time.Sleep(2 * time.Second)
		for _, id := range []string{"w0", "w1", "w2", "w3"} {
			fleet.world.Crash(id)
		}
		time.Sleep(time.Second)
		for _, id := range []string{"w0", "w1", "w2", "w3"} {
			fleet.world.Restart(id)
		}
		time.Sleep(3 * time.Second)
		fleet.kill("a")
		fleet.startVM("b")
		is.Equal(len(fleet.waitForEnd(time.Minute)), 0)
		is.Equal(fleet.world.State(jobID(1)), model.Completed)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}

// TestRejectedRecordLeavesOtherJobsAlone guards against a write that the store will never
// accept and that is repeated like one in an outage, while other jobs wait.
func TestRejectedRecordLeavesOtherJobsAlone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 4)
		fleet.maxValue = 1 << 10
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.submit(jobID(1), "solve", time.Second, model.Step{Tasks: 900, Shape: model.Shape{MilliCPU: 10, MemoryMB: 1}})
		time.Sleep(time.Second)
		for i := range 5 {
			fleet.submit(jobID(2+i), "solve", time.Second, step(1, 1, false))
		}
		time.Sleep(3 * time.Second)
		for i := range 5 {
			is.Equal(fleet.world.State(jobID(2+i)), model.Completed)
		}
		is.Equal(fleet.world.Store.Size(store.RunKey(jobID(1))), 0)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}
