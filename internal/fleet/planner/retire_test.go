package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// hasRecords reports whether the store holds anything of a job.
func (s *scene) hasRecords(id string) bool {
	st := s.world.Store
	return st.Has(store.SpecKey(id)) || st.Has(store.CancelKey(id)) || st.Has(store.RunKey(id))
}

// TestRecordsOfEndedJobsAreRemoved shows that the store does not fill with jobs
// that ended long ago, whatever becomes of the answers, and that nothing else is
// removed.
func TestRecordsOfEndedJobsAreRemoved(t *testing.T) {
	for name, faults := range map[string]world.Faults{"calm": {}, "answers lost": {Lose: 0.4}, "late": {Late: 0.3}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newScene(t, 1, 2)
				defer s.close()
				s.statusKeep = 30 * time.Second
				s.start("a")
				time.Sleep(time.Second)
				const lasting, ended = 99, 20
				s.submit(jobID(lasting), "solve", 10*time.Minute, step(1, 1, false))
				for i := range ended {
					s.submit(jobID(i), "solve", time.Second, step(1, 2, false))
				}
				s.world.Cancel(jobID(3))
				time.Sleep(20 * time.Second)
				for i := range ended {
					is.True(s.world.State(jobID(i)).Terminal())
				}
				s.link("a", "store").Set(faults)
				time.Sleep(10 * time.Second)
				for i := range ended {
					is.True(s.world.State(jobID(i)).Terminal()) // still told after statusKeep
				}
				time.Sleep(70 * time.Second)
				s.link("a", "store").Set(world.Faults{})
				time.Sleep(10 * time.Second)
				for i := range ended {
					is.True(!s.hasRecords(jobID(i)))
				}
				is.Equal(s.world.State(jobID(lasting)), model.Running)
				is.Equal(s.world.Violations(), []string(nil))
			})
		})
	}
}

// TestAnOldJobIsNotTakenFromAPeer shows that the word of a VM that stood still
// does not bring a job back whose records are removed.
func TestAnOldJobIsNotTakenFromAPeer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t, 1, 2)
		defer s.close()
		s.statusKeep = 30 * time.Second
		s.start("a")
		time.Sleep(time.Second)
		s.submit(jobID(1), "solve", time.Second, step(1, 2, false))
		spec := planner.Spec{
			Job:   model.Job{ID: jobID(1), Specification: "spec " + jobID(1), Steps: []model.Step{step(1, 2, false)}},
			Queue: queues[1], Account: "acme", AcceptedMS: time.Now().UnixMilli(), ConfigVersion: 1,
		}
		record, err := spec.Encode()
		is.NoErr(err)
		time.Sleep(90 * time.Second)
		is.True(!s.hasRecords(jobID(1)))
		is.True(s.plan["a"].Submit(t.Context(), jobID(1), record) != nil)
		time.Sleep(5 * time.Second)
		is.Equal(s.world.Starts, 1)
		is.Equal(s.world.Violations(), []string(nil))
	})
}
