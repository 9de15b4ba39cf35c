package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// setStalled sets whether all workers are stalled.
func (f *testFleet) setStalled(stalled bool) {
	for i := range f.workers {
		f.world.SetStalled(fmt.Sprintf("w%d", i), stalled)
	}
}

// TestMeasuredObjective plays urgent gangs whose estimates are off by half, and one in ten
// seven times as long, on two
// racks, with tasks between them that stall for a while. It guards against jobs
// that count as late although their callers see them in time: the objective by measured run
// times must tell in time from late as callers do for all but 2 in 100 jobs. By the estimates
// it is wrong for many.
func TestMeasuredObjective(t *testing.T) {
	bubble(t, func(t *testing.T) {
		bounds := testBounds
		bounds.RackSize, bounds.RemoteFactor = 4, 3
		fleet := newTestFleetWith(t, 3, 8, bounds)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		rng := rand.New(rand.NewPCG(3, 9))
		const jobs = 60
		runtimes := make(map[string]time.Duration)
		for i := range jobs {
			runtime := time.Duration((1 + 3*rng.Float64()) * float64(time.Second))
			estimate := time.Duration(float64(runtime) * lognormal(rng, 1, 0.5))
			if i%10 == 0 {
				estimate = runtime / 7
			}
			s := step(1+rng.IntN(5), 8, true)
			if i%6 == 0 {
				s, runtime = step(1, 8, false), 3*runtime
			}
			s.SameRack, s.Estimate = s.Gang && s.Tasks < 5, estimate
			runtimes[jobID(i)] = runtime
			fleet.submitAs("acme", jobID(i), "urgent", runtime, s)
			if i%6 == 0 {
				time.AfterFunc(700*time.Millisecond, func() { fleet.setStalled(true) })
				time.AfterFunc(2200*time.Millisecond+runtime/2, func() { fleet.setStalled(false) })
			}
			time.Sleep(4*time.Second + 2*runtime)
		}
		if unfinished := fleet.waitForEnd(time.Minute); len(unfinished) > 0 {
			t.Fatalf("jobs not ended: %v", unfinished)
		}
		time.Sleep(100 * time.Millisecond)
		late, byEstimate, byMeasure := 0, 0, 0
		for id, runtime := range runtimes {
			parts := fleet.accounts.parts(id)
			objective := (queues[0].ObjectiveConstant + time.Duration(queues[0].ObjectiveFactor*float64(runtime))).Milliseconds()
			isLate := parts["age_ms"] > objective
			if isLate {
				late++
			}
			if parts["age_ms"] > parts["objective_ms"] != isLate {
				byEstimate++
			}
			if parts["age_ms"] > parts["measured_objective_ms"] != isLate {
				byMeasure++
				t.Logf("job %s: true objective %d, runtime %v, %v", id, objective, runtime, parts)
			}
		}
		t.Logf("%d of %d jobs late; wrong by the estimate %d, by measured run times %d", late, jobs, byEstimate, byMeasure)
		if byMeasure > jobs*2/100 {
			t.Errorf("%d of %d jobs are judged otherwise than by their callers", byMeasure, jobs)
		}
		if byEstimate <= jobs*2/100 || late == 0 {
			t.Errorf("the load does not show the fault: %d wrong by the estimate, %d late", byEstimate, late)
		}
	})
}

// TestFailedRunsCountForCallers guards against an objective that leaves out runs that failed
// by the job's own fault.
func TestFailedRunsCountForCallers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.submit(jobID(1), "solve", 2*time.Second, model.Step{Tasks: 1, Shape: model.Shape{MilliCPU: 1000, Accelerators: 1}})
		fleet.world.SetFails(jobID(1), true)
		time.Sleep(500 * time.Millisecond)
		fleet.world.SetFails(jobID(1), false)
		if unfinished := fleet.waitForEnd(time.Minute); len(unfinished) > 0 {
			t.Fatalf("jobs not ended: %v", unfinished)
		}
		time.Sleep(100 * time.Millisecond)
		parts := fleet.accounts.parts(jobID(1))
		failed := parts["critical_path_ms"] - 2000
		if parts["run_failed_ms"] == 0 || failed < 150 || failed > 800 {
			t.Errorf("the runs that failed count %d ms on the path: %v", failed, parts)
		}
	})
}
