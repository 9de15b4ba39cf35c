package planner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// pending returns the number of pending jobs of the queue "solve" that a VM gives.
func (f *testFleet) pending(vm string) int64 {
	f.t.Helper()
	summary, err := f.planners[vm].Summary(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return summary.Pending["solve"]
}

// state returns the state of a job that a VM gives.
func (f *testFleet) state(vm, id string) model.JobState {
	f.t.Helper()
	s, known, err := f.planners[vm].State(f.t.Context(), id)
	if err != nil || !known {
		f.t.Fatalf("the state of %s is not known: %v", id, err)
	}
	return s
}

// TestUnansweredStartLeavesJobPending guards against a count of pending jobs that leaves out those
// whose starts got no response and began nothing, also after a change of the planner.
func TestUnansweredStartLeavesJobPending(t *testing.T) {
	// Each case is how long the worker does not respond: until a stop is acknowledged, until the
	// starts have been given up, or until its lease is over.
	for name, hang := range map[string]time.Duration{"briefly": time.Second, "for seconds": 4 * time.Second, "beyond the lease": 12 * time.Second} {
		for _, next := range []string{"a", "b"} {
			t.Run(name+", planner "+next, func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					is := is.New(t)
					const jobs = 3
					fleet := newTestFleet(t, 1, 1)
					defer fleet.close()
					fleet.startVM("a")
					time.Sleep(2 * time.Second)
					fleet.link("a", "w0").LoseStarts(1000)
					fleet.link("a", "w0").Cut(true)
					for i := range jobs {
						fleet.submit(jobID(i), "solve", time.Second, step(1, 1, false))
					}
					time.Sleep(hang - 500*time.Millisecond)
					// An urgent job takes the worker before the others start.
					fleet.submit(jobID(9), "urgent", 20*time.Second, step(1, 8, false))
					time.Sleep(500 * time.Millisecond)
					if next == "b" {
						fleet.kill("a")
						fleet.startVM("b")
					}
					fleet.link("a", "w0").LoseStarts(0)
					fleet.link("a", "w0").Cut(false)
					time.Sleep(6 * time.Second)
					is.Equal(fleet.world.Starts(), 1) // only the urgent job
					is.Equal(fleet.pending(next), int64(jobs))
					is.Equal(fleet.state(next, jobID(0)), model.Queued)
					is.Equal(len(fleet.waitForEnd(time.Minute)), 0)
					is.Equal(fleet.pending(next), int64(0))
					is.Equal(fleet.world.Violations(), []string(nil))
				})
			})
		}
	}
}

// silentStarts is a client whose starts are carried out without a response.
type silentStarts struct{ planner.WorkerClient }

func (c silentStarts) Start(ctx context.Context, o planner.StartOrder) error {
	if err := c.WorkerClient.Start(ctx, o); err != nil {
		return err
	}
	<-ctx.Done()
	return fault.Wrap(fault.AnswerLost, ctx.Err(), "no response")
}

// TestStartWithoutResponseCountsAsBegun guards against a count of pending jobs that includes those
// whose starts were carried out without a response.
func TestStartWithoutResponseCountsAsBegun(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 1)
		defer fleet.close()
		fleet.configure = func(p *planner.Planner) {
			dial := p.Dial
			p.Dial = func(id, address string, maySend func() bool) planner.WorkerClient {
				return silentStarts{dial(id, address, maySend)}
			}
		}
		fleet.startVM("a")
		time.Sleep(2 * time.Second)
		fleet.submit(jobID(1), "solve", 30*time.Second, step(1, 1, false))
		time.Sleep(6 * time.Second)
		begun, _ := fleet.world.Begun(jobID(1))
		is.Equal(begun, 1)
		is.Equal(fleet.pending("a"), int64(0))
		is.Equal(fleet.state("a", jobID(1)), model.Running)
	})
}

// TestJobsOfEarlierTermStayRunning guards against jobs that are shown as queued while they run,
// between a change of the planner and the first responses of the workers.
func TestJobsOfEarlierTermStayRunning(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(2 * time.Second)
		fleet.submit(jobID(1), "solve", 20*time.Second, step(2, 4, false))
		time.Sleep(time.Second)
		is.Equal(fleet.state("a", jobID(1)), model.Running)
		fleet.kill("a")
		// No worker responds to the next planner.
		for _, w := range []string{"w0", "w1"} {
			fleet.link("b", w).Cut(true)
		}
		is.Equal(fleet.world.State(jobID(1)), model.Running)
		fleet.startVM("b")
		time.Sleep(4 * time.Second)
		is.Equal(fleet.state("b", jobID(1)), model.Running)
		is.Equal(fleet.pending("b"), int64(0))
		// Their leases end without a word of them.
		time.Sleep(25 * time.Second)
		is.Equal(fleet.state("b", jobID(1)), model.Running)
		for _, w := range []string{"w0", "w1"} {
			fleet.link("b", w).Cut(false)
		}
		is.Equal(len(fleet.waitForEnd(time.Minute)), 0)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}
