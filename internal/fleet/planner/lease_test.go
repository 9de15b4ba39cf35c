package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestShortLeases plays a platform whose leases last 2 s at most: a worker that stood
// idle gets a task and keeps its lease.
func TestShortLeases(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		bounds := sceneBounds
		bounds.MaxHold = 2 * time.Second
		s := newSceneWith(t, 1, 4, bounds)
		s.maxHold = bounds.MaxHold
		defer s.close()
		s.start("a")
		const jobs = 20
		for i := range jobs {
			time.Sleep(730 * time.Millisecond)
			s.submit(jobID(i), "solve", 3*time.Second, step(1, 1, false))
		}
		time.Sleep(6 * time.Second)
		for _, id := range s.ids {
			is.Equal(s.world.State(id), model.Completed)
		}
		is.Equal(s.world.Starts, jobs) // a lease ran out
		is.Equal(s.world.Violations(), []string(nil))
	})
}

// TestFarWorkers plays a way of 150 ms to all workers and to the store: work is placed
// and done, nothing runs twice, and no lease runs out.
func TestFarWorkers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t, 1, 4)
		defer s.close()
		for _, to := range []string{"store", "w0", "w1", "w2", "w3"} {
			s.link("a", to).Slow(300 * time.Millisecond)
		}
		s.start("a")
		time.Sleep(3 * time.Second)
		const jobs = 20
		for i := range jobs {
			time.Sleep(430 * time.Millisecond)
			s.submit(jobID(i), "solve", 3*time.Second, step(2, 1, true))
		}
		time.Sleep(8 * time.Second)
		for _, id := range s.ids {
			is.Equal(s.world.State(id), model.Completed)
		}
		is.Equal(s.world.Starts, 2*jobs)
		is.Equal(s.world.Violations(), []string(nil))
	})
}
