package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// TestEndedRecordsAreSmall shows that the record of an ended job does not grow
// with its tasks: a new term reads the records of all jobs.
func TestEndedRecordsAreSmall(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t, 1, 4)
		defer s.close()
		s.start("a")
		time.Sleep(time.Second)
		s.submit(jobID(1), "render", time.Second, step(30, 1, false))
		time.Sleep(10 * time.Second)
		is.Equal(s.world.State(jobID(1)), model.Completed)
		is.True(s.world.Store.Size(store.RunKey(jobID(1))) < 200)
	})
}

// TestASlowPlannerWaitsForItsWorkers plays a takeover by a VM that hears of no
// worker for longer than a lease. Their tasks were done meanwhile: it waits for
// their ends, and runs nothing again, also when the last of the workers is heard of a
// little after the others.
func TestASlowPlannerWaitsForItsWorkers(t *testing.T) {
	for _, after := range []time.Duration{5500, 6000, 6500, 7000, 7500, 8000} {
		t.Run(fmt.Sprint(after), func(t *testing.T) { slowTakeover(t, after*time.Millisecond) })
	}
}

// slowTakeover plays a takeover by a VM that hears of its workers only after a time.
func slowTakeover(t *testing.T, after time.Duration) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t, 1, 4)
		defer s.close()
		s.start("a")
		time.Sleep(time.Second)
		const tasks = 8
		s.submit(jobID(1), "solve", 1500*time.Millisecond, step(tasks, 4, false))
		time.Sleep(time.Second)
		for _, w := range []string{"w0", "w1", "w2", "w3"} {
			s.link("b", w).Slow(4 * time.Second)
		}
		s.kill("a")
		s.start("b")
		time.Sleep(after)
		for _, w := range []string{"w0", "w1", "w2", "w3"} {
			s.link("b", w).Slow(0)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		is.Equal(s.world.State(jobID(1)), model.Completed)
		is.Equal(s.world.Starts, tasks)
		is.Equal(s.world.Violations(), []string(nil))
	})
}

// TestALateEndIsTaken plays a worker that is silent for longer than its lease and
// tells then that its tasks were done: nothing is run again.
func TestALateEndIsTaken(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t, 1, 1)
		defer s.close()
		s.start("a")
		time.Sleep(time.Second)
		const tasks = 2
		s.submit(jobID(1), "solve", 3*time.Second, step(tasks, 2, false))
		s.submit(jobID(2), "solve", 3*time.Second, step(tasks, 2, true))
		time.Sleep(500 * time.Millisecond)
		s.link("a", "w0").Cut(true)
		time.Sleep(15 * time.Second)
		s.link("a", "w0").Cut(false)
		time.Sleep(5 * time.Second)
		is.Equal(s.world.State(jobID(1)), model.Completed)
		is.Equal(s.world.State(jobID(2)), model.Completed)
		is.Equal(s.world.Starts, tasks+tasks)
		is.Equal(s.world.Violations(), []string(nil))
	})
}

// TestRebornLateInALongTerm shows that the wait for a worker that began a new life
// late in a term does not grow with the age of the term.
func TestRebornLateInALongTerm(t *testing.T) {
	is := is.New(t)
	const maxHold = 6 * time.Second
	is.True(planner.RestartWait(10*time.Minute, maxHold) <= planner.RestartWait(0, maxHold))
}

// TestAPanicEndsTheTermAlone plays a decision that panics: the process goes on, and the
// next term does the work.
func TestAPanicEndsTheTermAlone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t, 1, 2)
		defer s.close()
		panics := 2
		s.decide = func(in placement.Input) placement.Decision {
			if panics > 0 {
				panics--
				panic("an odd job")
			}
			return placement.Plan(in)
		}
		s.start("a")
		time.Sleep(time.Second)
		s.submit(jobID(1), "solve", time.Second, step(2, 4, true))
		time.Sleep(20 * time.Second)
		is.Equal(panics, 0)
		is.Equal(s.world.State(jobID(1)), model.Completed)
		is.Equal(s.world.Violations(), []string(nil))
	})
}
