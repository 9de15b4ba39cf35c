package gang

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestJobsRunAfterFaultsEnd lets random starts fail, closes workers and replaces
// the planner for a while. Once all is sound, every job must run to its end. The
// listed seeds are those of the first 40,000 in which all workers were free and
// nothing ran any more, because the head waited at a reservation that was free
// from the outset.
func TestJobsRunAfterFaultsEnd(t *testing.T) {
	seeds := []uint64{2574, 16777, 19370, 19615, 22264, 28739, 33538, 34178, 37265, 39741}
	for seed := range uint64(60) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		f := &faultyFleet{r: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), ends: make(map[string]time.Time), jobs: make(map[string]Job)}
		if err := f.run(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

const (
	livenessRound = 100 * time.Millisecond
	livenessJobs  = 40
	// livenessHealthyTime is well above the time until the first probes of a
	// quarantined worker.
	livenessHealthyTime = 3 * time.Minute
	livenessWorkers     = 4
)

// faultyFleet drives a state through one random schedule.
type faultyFleet struct {
	r   *rand.Rand
	s   State
	now time.Time
	// jobs are the jobs that have not ended, and ends when the running ones end.
	jobs map[string]Job
	ends map[string]time.Time
}

// run returns an error that describes the jobs that are left at the end.
func (f *faultyFleet) run() error {
	f.setWorkers(false)
	for i := range livenessJobs {
		f.submit(fmt.Sprintf("j%02d", i))
		for range f.r.IntN(7) {
			if f.r.IntN(8) == 0 {
				f.setWorker(f.r.IntN(livenessWorkers), f.r.IntN(2) == 0)
			}
			if f.r.IntN(16) == 0 {
				if err := f.takeOver(); err != nil {
					return err
				}
			}
			if err := f.step(true); err != nil {
				return err
			}
		}
	}
	f.setWorkers(false)
	for end := f.now.Add(livenessHealthyTime); f.now.Before(end); {
		if err := f.step(false); err != nil {
			return err
		}
	}
	ids := sortedIDs(f.jobs)
	if len(ids) == 0 {
		return nil
	}
	x, _ := f.s.Explain(slices.Min(ids))
	return fmt.Errorf("%d jobs left; %+v; %+v", len(ids), x, f.s.Measures())
}

func (f *faultyFleet) setWorker(i int, closed bool) {
	f.s.SetWorker(Worker{ID: fmt.Sprintf("w%d", i), Rack: "k1", Accelerators: 8, Unschedulable: closed})
}

func (f *faultyFleet) setWorkers(closed bool) {
	for i := range livenessWorkers {
		f.setWorker(i, closed)
	}
}

func (f *faultyFleet) submit(id string) {
	j := Job{
		ID: id, Account: "a", Rank: 1, Tasks: 1 + f.r.IntN(livenessWorkers), Accelerators: 8 >> f.r.IntN(2),
		Idempotent: f.r.IntN(2) == 0, DeclaredRunTime: time.Duration(100+f.r.IntN(1500)) * time.Millisecond, Submitted: f.now,
	}
	if f.s.Submit(j) == nil {
		f.jobs[j.ID] = j
	}
}

// takeOver replaces the state as a planner does that takes over: it knows the
// jobs, and opens each worker with the worker's first report.
func (f *faultyFleet) takeOver() error {
	former := f.s
	f.s = State{}
	f.setWorkers(true)
	for _, id := range sortedIDs(f.jobs) {
		if _, ok := f.ends[id]; ok {
			f.s.Adopt(f.jobs[id], former.jobs[id].slots, f.now)
		} else {
			f.s.Restore(f.jobs[id])
		}
	}
	for _, i := range f.r.Perm(livenessWorkers) {
		if f.r.IntN(2) == 0 {
			if err := f.step(true); err != nil {
				return err
			}
		}
		f.setWorker(i, false)
	}
	return nil
}

// step runs one round and carries out its orders; with failing set, a third of
// the starts fails.
func (f *faultyFleet) step(failing bool) error {
	f.now = f.now.Add(livenessRound)
	for _, id := range sortedIDs(f.ends) {
		if !f.ends[id].After(f.now) {
			delete(f.ends, id)
			delete(f.jobs, id)
			f.s.Ended(id, f.now)
		}
	}
	orders := f.s.Plan(f.now)
	if err := checkReservationsStart(&f.s); err != nil {
		return err
	}
	for _, o := range orders {
		remaining := f.jobs[o.JobID].DeclaredRunTime
		switch {
		case o.Kind == Fail:
			delete(f.jobs, o.JobID)
			f.s.Cancelled(o.JobID, f.now)
		case o.Kind == Preempt:
			delete(f.ends, o.JobID)
			f.s.Requeue(o.JobID, remaining, f.now, "pre-empted")
		case failing && f.r.IntN(3) == 0:
			f.s.StartFailed(o.JobID, o.Slots[f.r.IntN(len(o.Slots))].Worker, f.now)
			f.s.Requeue(o.JobID, remaining, f.now, "a start failed")
		default:
			f.ends[o.JobID] = f.now.Add(remaining)
		}
	}
	return nil
}
