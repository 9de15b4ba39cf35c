package gang

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFailedStartIsRetriedOnSameWorkers checks that a job whose start failed on
// a worker starts again on it after avoidDuration when it fits nowhere else.
func TestFailedStartIsRetriedOnSameWorkers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var s State
	s.SetWorker(Worker{ID: "w1", Rack: "k1", Accelerators: 8})
	s.SetWorker(Worker{ID: "w2", Rack: "k1", Accelerators: 8})
	is.NoErr(s.Submit(Job{ID: "j1", Account: "a", Rank: 1, Tasks: 2, Accelerators: 8, Idempotent: true, DeclaredRunTime: time.Hour, Submitted: now}))
	is.Equal(len(s.Plan(now)), 1)
	s.StartFailed("j1", "w2", now)
	s.Requeue("j1", time.Hour, now, "a start failed")
	is.Equal(len(s.Plan(now.Add(avoidDuration-time.Millisecond))), 0)
	orders := s.Plan(now.Add(avoidDuration))
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, Start)
}
