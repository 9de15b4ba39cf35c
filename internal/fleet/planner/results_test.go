package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// manyTasks is more than the number of run results that a worker lists in one response.
const manyTasks = 640

// manySmallTasks returns a step of manyTasks tasks that fit on one worker together.
func manySmallTasks() model.Step {
	return model.Step{Tasks: manyTasks, Shape: model.Shape{MilliCPU: 50, MemoryMB: 10}}
}

// TestTasksBeyondListedResultsRunOnce guards against tasks that run twice because a worker
// lists only the first of their results after a cut.
func TestTasksBeyondListedResultsRunOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 1)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.submit(jobID(1), "solve", 2*time.Second, manySmallTasks())
		time.Sleep(time.Second)
		fleet.link("a", "w0").Cut(true)
		time.Sleep(3600 * time.Millisecond)
		fleet.link("a", "w0").Cut(false)
		time.Sleep(10 * time.Second)
		is.Equal(fleet.world.State(jobID(1)), model.Completed)
		is.Equal(fleet.world.Starts(), manyTasks)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}

// TestTasksBeyondListedResultsRunOnceAfterTakeover guards against the same when another VM
// becomes the planner before it knows of any of the results.
func TestTasksBeyondListedResultsRunOnceAfterTakeover(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 1)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.submit(jobID(1), "solve", 2*time.Second, manySmallTasks())
		time.Sleep(time.Second)
		fleet.kill("a")
		fleet.world.Store.SetDown(true)
		time.Sleep(2 * time.Second)
		fleet.world.Store.SetDown(false)
		fleet.startVM("b")
		time.Sleep(15 * time.Second)
		is.Equal(fleet.world.State(jobID(1)), model.Completed)
		is.Equal(fleet.world.Starts(), manyTasks)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}

// TestFailuresBeyondListedResultsCount guards against runs beyond max_attempts because the
// failures that a worker does not list at once after a cut are not counted.
func TestFailuresBeyondListedResultsCount(t *testing.T) {
	for name, disable := range map[string]func(p *planner.Planner){"all guards": nil, "await all results": planner.Guards["await all results"]} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				bounds := testBounds
				bounds.ListedResults = 4
				fleet := newTestFleetWith(t, 1, 1, bounds)
				fleet.configure = disable
				defer fleet.close()
				fleet.startVM("a")
				time.Sleep(time.Second)
				const jobs = 8
				for i := range jobs {
					fleet.submit(jobID(i), "render", 2*time.Second, step(1, 1, false))
				}
				time.Sleep(100 * time.Millisecond)
				fleet.world.SetFailing("w0", true)
				fleet.link("a", "w0").Cut(true)
				time.Sleep(2 * time.Second)
				fleet.link("a", "w0").Cut(false)
				is.Equal(len(fleet.waitForEnd(3*time.Minute)), 0)
				is.Equal(len(fleet.world.Violations()) > 0, disable != nil)
			})
		})
	}
}
