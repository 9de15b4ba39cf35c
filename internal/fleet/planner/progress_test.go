package planner_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// progressScheduleCount is the number of random schedules of TestProgress.
const progressScheduleCount = 400

// TestProgress runs random schedules of jobs and faults, and checks that no accepted work
// waits beside free workers once all faults are healed.
func TestProgress(t *testing.T) {
	runShards(t, progressScheduleCount, runProgressSchedule)
}

// runProgressSchedule runs one schedule and returns the violations.
func runProgressSchedule(t *testing.T, seed uint64) (violations []string) {
	bubble(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 17))
		fleet := newTestFleet(t, seed, 4+4*r.IntN(4))
		// An ended job is judged by its record.
		fleet.statusRetention = 10 * time.Minute
		defer fleet.close()
		vms := []string{"a", "b"}
		for _, vm := range vms {
			fleet.startVM(vm)
		}
		time.Sleep(time.Second)
		for i := range 14 {
			fleet.randomMixedJob(r, i)
			if r.IntN(3) == 0 {
				fleet.injectRandomFault(vms)
			}
			time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		}
		fleet.clearFaults(vms)
		violations = fleet.observeProgress(30 * time.Second)
	})
	return violations
}

// TestOneProgressSchedule runs the schedule of TestProgress with the seed SCENE_SEED.
func TestOneProgressSchedule(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SCENE_SEED"), 10, 64)
	if violations := runProgressSchedule(t, seed); len(violations) > 0 {
		t.Fatalf("seed %d: %v", seed, violations)
	}
}

// randomMixedJob submits a job of one of the kinds that can hold up others.
func (f *testFleet) randomMixedJob(r *rand.Rand, i int) {
	sizes := []int64{1, 2, 4, 8, 8}
	runtime := time.Duration(500+r.IntN(4000)) * time.Millisecond
	j := world.Job{Runtime: runtime}
	s := step(1+r.IntN(4), sizes[r.IntN(len(sizes))], false)
	s.Estimate = time.Duration(float64(runtime) * (0.3 + 1.4*r.Float64()))
	switch r.IntN(6) {
	case 0:
		s.LongRunning, j.Runtime = true, time.Hour
	case 1:
		s.Gang, s.Tasks = true, 1+r.IntN(f.workers)
	case 2:
		s.Gang, s.SameRack = true, true
	case 3:
		j.Fails = true
	}
	if r.IntN(3) == 0 {
		s.Rack = fmt.Sprintf("r%d", r.IntN(f.workers/4))
	}
	q := queues[r.IntN(len(queues))]
	j.Spec = planner.Spec{
		Job: model.Job{ID: jobID(i), Specification: "spec " + jobID(i), Steps: []model.Step{s}}, Queue: q, Account: "acme",
		AcceptedMS: time.Now().UnixMilli(), ConfigVersion: 1,
	}
	f.world.Submit(j)
	f.jobIDs = append(f.jobIDs, j.Spec.Job.ID)
}

// observeProgress observes the jobs that have not ended for a time from now on, without
// faults, and returns the violations.
func (f *testFleet) observeProgress(d time.Duration) []string {
	var p world.Progress
	calmSince := time.Now()
	for time.Since(calmSince) < d {
		time.Sleep(200 * time.Millisecond)
		live := slices.DeleteFunc(slices.Clone(f.jobIDs), func(id string) bool { return f.world.State(id).Terminal() })
		p.Observe(f.world, live, calmSince, time.Now())
	}
	return f.allViolations()
}
