package gang

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestJobsRunAfterStartFailuresEnd lets random starts fail for a while. Once
// all starts succeed, every job must run to its end.
func TestJobsRunAfterStartFailuresEnd(t *testing.T) {
	for seed := range uint64(60) {
		if left := runWithFailingStarts(t, seed); left != "" {
			t.Errorf("seed %d: %s", seed, left)
		}
	}
}

const (
	livenessRound = 100 * time.Millisecond
	livenessJobs  = 40
	// livenessHealthyTime is well above the time until the first probes of a
	// quarantined worker.
	livenessHealthyTime = 3 * time.Minute
)

// runWithFailingStarts runs one random schedule and describes the jobs that are
// left, or returns an empty string.
func runWithFailingStarts(t *testing.T, seed uint64) (left string) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(0, 0)
	var s State
	for i := range 4 {
		s.SetWorker(Worker{ID: fmt.Sprintf("w%d", i), Rack: "k1", Accelerators: 8})
	}
	ends := make(map[string]time.Time)
	jobs := make(map[string]Job)
	step := func(failing bool) {
		now = now.Add(livenessRound)
		for _, id := range sortedIDs(ends) {
			if !ends[id].After(now) {
				delete(ends, id)
				delete(jobs, id)
				s.Ended(id, now)
			}
		}
		for _, o := range s.Plan(now) {
			switch {
			case o.Kind == Fail:
				delete(jobs, o.JobID)
				s.Cancelled(o.JobID, now)
			case o.Kind == Preempt:
				delete(ends, o.JobID)
				s.Requeue(o.JobID, jobs[o.JobID].DeclaredRunTime, now, "pre-empted")
			case failing && r.IntN(3) == 0:
				s.StartFailed(o.JobID, o.Slots[r.IntN(len(o.Slots))].Worker, now)
				s.Requeue(o.JobID, jobs[o.JobID].DeclaredRunTime, now, "a start failed")
			default:
				ends[o.JobID] = now.Add(jobs[o.JobID].DeclaredRunTime)
			}
		}
	}
	for i := range livenessJobs {
		j := Job{
			ID: fmt.Sprintf("j%02d", i), Account: "a", Rank: 1, Tasks: 1 + r.IntN(4), Accelerators: 8 >> r.IntN(2),
			Idempotent: r.IntN(2) == 0, DeclaredRunTime: time.Duration(100+r.IntN(1500)) * time.Millisecond, Submitted: now,
		}
		if s.Submit(j) == nil {
			jobs[j.ID] = j
		}
		for range r.IntN(7) {
			step(true)
		}
	}
	for end := now.Add(livenessHealthyTime); now.Before(end); {
		step(false)
	}
	ids := sortedIDs(jobs)
	if len(ids) == 0 {
		return ""
	}
	x, _ := s.Explain(slices.Min(ids))
	return fmt.Sprintf("%d jobs left; %+v; %+v", len(ids), x, s.Measures())
}
