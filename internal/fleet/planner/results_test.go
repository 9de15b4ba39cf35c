package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// TestTasksBeyondListedResultsRunOnce guards against tasks that run twice because a worker
// lists only the first of their results, after a cut or when another VM has become the planner
// before it knows of any of the results.
func TestTasksBeyondListedResultsRunOnce(t *testing.T) {
	// More than a worker lists in one response.
	const tasks = 640
	for name, disturb := range map[string]func(f *testFleet){
		"cut": func(f *testFleet) {
			f.link("a", "w0").Cut(true)
			time.Sleep(3600 * time.Millisecond)
			f.link("a", "w0").Cut(false)
		},
		"takeover": func(f *testFleet) {
			f.kill("a")
			f.outage(2 * time.Second)
			f.startVM("b")
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newTestFleet(t, 1, 1)
				defer fleet.close()
				fleet.startVM("a")
				time.Sleep(time.Second)
				fleet.submit(jobID(1), "solve", 2*time.Second, model.Step{Tasks: tasks, Shape: model.Shape{MilliCPU: 50, MemoryMB: 10}})
				time.Sleep(time.Second)
				disturb(fleet)
				time.Sleep(15 * time.Second)
				is.Equal(fleet.world.State(jobID(1)), model.Completed)
				is.Equal(fleet.world.Starts(), tasks)
				is.Equal(fleet.world.Violations(), []string(nil))
			})
		})
	}
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
