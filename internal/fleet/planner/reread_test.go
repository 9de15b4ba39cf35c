package planner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// slowPages is a store whose pages of jobs arrive late, with what it held when they were read.
type slowPages struct {
	store.Store
	delay time.Duration
}

func (s slowPages) Page(ctx context.Context, prefix, after string) (store.Page, error) {
	page, err := s.Store.Page(ctx, prefix, after)
	if prefix == store.JobPrefix {
		time.Sleep(s.delay)
	}
	return page, err
}

// TestRemovedJobsStayRemovedAfterCompaction guards against jobs that were done and run again:
// the store discards its history, and the planner reads a job's record just before it removes it.
func TestRemovedJobsStayRemovedAfterCompaction(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		const jobs, retention = 8, 30 * time.Second
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.statusRetention = retention
		fleet.configure = func(p *planner.Planner) { p.Store = slowPages{p.Store, 4 * time.Second} }
		fleet.startVM("a")
		time.Sleep(10 * time.Second)
		for i := range jobs {
			fleet.submit(jobID(i), "solve", time.Second, step(1, 2, false))
		}
		is.Equal(len(fleet.waitForEnd(10*time.Second)), 0)
		ended := time.Now()
		for time.Since(ended) < 2*retention+20*time.Second {
			// A watch from before a change fails once the history is discarded.
			fleet.world.Store.Put("unrelated", nil)
			fleet.world.Store.Compact()
			time.Sleep(time.Second)
		}
		is.Equal(fleet.world.Starts(), jobs)
		is.Equal(fleet.world.Violations(), []string(nil))
		for i := range jobs {
			is.True(!fleet.hasRecords(jobID(i)))
		}
		// Once the planner has read past the removals, it forgets the jobs.
		time.Sleep(20 * time.Second)
		for i := range jobs {
			_, known, err := fleet.planners["a"].State(t.Context(), jobID(i))
			is.NoErr(err)
			is.True(!known)
		}
	})
}

// slowRemovals is a store whose responses to removals arrive late.
type slowRemovals struct {
	store.Store
	delay time.Duration
}

func (s slowRemovals) Apply(ctx context.Context, txn store.Txn) (int64, []store.Item, error) {
	revision, current, err := s.Store.Apply(ctx, txn)
	if len(txn.Removes) > 0 {
		time.Sleep(s.delay)
	}
	return revision, current, err
}

// TestJobAcceptedAgainAfterRemovalRuns guards against a job that is accepted under the id of a
// removed one and is taken for it.
func TestJobAcceptedAgainAfterRemovalRuns(t *testing.T) {
	for name, slow := range map[string]func(s store.Store) store.Store{
		"late pages":    func(s store.Store) store.Store { return slowPages{s, 4 * time.Second} },
		"late removals": func(s store.Store) store.Store { return slowRemovals{s, 800 * time.Millisecond} },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newTestFleet(t, 1, 2)
				defer fleet.close()
				fleet.statusRetention = 30 * time.Second
				fleet.configure = func(p *planner.Planner) { p.Store = slow(p.Store) }
				fleet.startVM("a")
				time.Sleep(10 * time.Second)
				fleet.submit(jobID(1), "solve", time.Second, step(1, 2, false))
				is.Equal(len(fleet.waitForEnd(10*time.Second)), 0)
				for fleet.hasRecords(jobID(1)) {
					// The planner reads the records again all the while.
					fleet.world.Store.Put("unrelated", nil)
					fleet.world.Store.Compact()
					time.Sleep(10 * time.Millisecond)
				}
				fleet.submit(jobID(1), "solve", time.Second, step(1, 2, false))
				time.Sleep(15 * time.Second)
				is.Equal(fleet.world.Starts(), 2)
				is.Equal(fleet.world.State(jobID(1)), model.Completed)
			})
		})
	}
}
