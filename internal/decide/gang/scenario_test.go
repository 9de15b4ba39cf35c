package gang

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetRun drives a state with the actual run times of jobs, round by round.
type fleetRun struct {
	schedule
	// runTime is the actual run time of each job.
	runTime map[string]time.Duration
	// started is when each running job was started.
	started map[string]time.Time
	// firstWait is the time from the submission of each job to its first start.
	firstWait map[string]time.Duration
	submitted map[string]time.Time
}

func newFleetRun(workers, perRack int, accounts ...Account) *fleetRun {
	f := &fleetRun{runTime: make(map[string]time.Duration), started: make(map[string]time.Time), firstWait: make(map[string]time.Duration), submitted: make(map[string]time.Time)}
	f.schedule = schedule{now: time.Unix(0, 0), running: make(map[string]Order), stopsAt: make(map[string]time.Time)}
	for i := range workers {
		f.s.SetWorker(Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/perRack), Accelerators: 8})
	}
	f.s.SetAccounts(accounts)
	f.s.SetWeights(Weights{CompletionTime: 1, Fragmentation: 1})
	return f
}

func (f *fleetRun) add(is *is.I, j Job, runTime time.Duration) {
	j.Submitted = f.now
	is.NoErr(f.s.Submit(j))
	f.runTime[j.ID], f.submitted[j.ID] = runTime, f.now
}

// step ends the jobs whose run time is over and runs one round.
func (f *fleetRun) step(is *is.I) {
	for _, id := range sortedIDs(f.running) {
		if f.now.Sub(f.started[id]) >= f.runTime[id] {
			f.s.Ended(id, f.now)
			f.forget(id)
			delete(f.started, id)
		}
	}
	is.NoErr(f.plan())
	for id := range f.running {
		if _, ok := f.started[id]; !ok {
			f.started[id] = f.now
			if _, ok := f.firstWait[id]; !ok {
				f.firstWait[id] = f.now.Sub(f.submitted[id])
			}
		}
	}
	for id := range f.started {
		if _, ok := f.running[id]; !ok {
			delete(f.started, id)
		}
	}
}

func smallJob(id, account string) Job {
	return Job{ID: id, Account: account, Rank: 1, Tasks: 1, Accelerators: 1, Idempotent: true, DeclaredRunTime: time.Hour}
}

// TestGangStartsAfterGraceDuringBurst submits 2,000 small jobs before an
// adjacent gang of another account with 8 tasks of 8 accelerators. The gang
// must start after the grace period.
func TestGangStartsAfterGraceDuringBurst(t *testing.T) {
	is := is.New(t)
	f := newFleetRun(50, 8, Account{ID: "solver", Workers: 8, Accelerators: 8}, Account{ID: "burst", Workers: 4, Accelerators: 8})
	for i := range 2000 {
		f.add(is, smallJob(fmt.Sprintf("s%04d", i), "burst"), time.Hour)
	}
	f.step(is)
	is.Equal(len(f.running), 400) // the burst fills the fleet
	f.add(is, Job{ID: "solve", Account: "solver", Rank: 1, Tasks: 8, Accelerators: 8, Adjacent: true, Idempotent: true, DeclaredRunTime: time.Hour}, time.Hour)
	for range 8 {
		f.step(is)
	}
	is.True(f.firstWait["solve"] > 0)
	is.True(f.firstWait["solve"] <= testGrace+testRound)
}

// TestMassCancellation cancels 90 % of the jobs at once. The others must all
// run.
func TestMassCancellation(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(7, 5))
	f := newFleetRun(16, 8, Account{ID: "a", Workers: 8, Accelerators: 8})
	for i := range 500 {
		j := smallJob(fmt.Sprintf("j%04d", i), "a")
		j.Tasks, j.Accelerators = 1<<r.IntN(4), 1<<r.IntN(4)
		f.add(is, j, 2*time.Second)
	}
	f.step(is)
	for i := range 500 {
		if i%10 != 0 {
			id := fmt.Sprintf("j%04d", i)
			f.s.Cancelled(id, f.now)
			f.forget(id)
			delete(f.started, id)
		}
	}
	for range 3000 {
		f.step(is)
	}
	is.Equal(len(f.s.jobs), 0)
	m := f.s.Measures()
	is.Equal(m.Free, m.Accelerators)
}

// TestDeclarationsAreCorrected checks that declared run times that are wrong by
// a factor of 0.1 or 10 are corrected by the history of each account.
func TestDeclarationsAreCorrected(t *testing.T) {
	is := is.New(t)
	f := newFleetRun(16, 8, Account{ID: "low", Workers: 4, Accelerators: 8}, Account{ID: "high", Workers: 4, Accelerators: 8})
	for i := range 200 {
		id, factor := "low", 0.1
		if i%2 == 0 {
			id, factor = "high", 10
		}
		j := smallJob(fmt.Sprintf("j%04d", i), id)
		j.DeclaredRunTime = time.Duration(factor * float64(10*time.Second))
		f.add(is, j, 10*time.Second)
	}
	for range 500 {
		f.step(is)
	}
	is.Equal(len(f.s.jobs), 0)
	for id, factor := range map[string]float64{"low": 0.1, "high": 10} {
		is.True(math.Abs(f.s.accounts[id].history[""].ratio*factor-1) < 0.05)
	}
}

// TestBlocksAfterRackLoss checks that the blocks are allocated again after
// racks are lost and return. The property test checks the blocks in the same
// way after every round.
func TestBlocksAfterRackLoss(t *testing.T) {
	is := is.New(t)
	f := newFleetRun(16, 4, Account{ID: "a", Workers: 8, Accelerators: 8}, Account{ID: "b", Workers: 4, Accelerators: 8})
	f.add(is, Job{ID: "gang", Account: "a", Rank: 1, Tasks: 8, Accelerators: 8, Adjacent: true, Idempotent: true, DeclaredRunTime: time.Hour}, time.Hour)
	f.step(is)
	for _, lost := range [][]int{{0, 4}, {0, 8}} {
		for i := lost[0]; i < lost[1]; i++ {
			f.s.RemoveWorker(fmt.Sprintf("w%02d", i))
		}
		if _, ok := f.running["gang"]; ok {
			f.requeue("gang", "lost a member")
			delete(f.started, "gang")
		}
		f.step(is)
	}
	short := 0
	for _, a := range f.s.Accounts() {
		short += a.Shortfall
	}
	is.Equal(short, 4*8) // 12 workers guaranteed, 8 left
	for i := range 8 {
		f.s.SetWorker(Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/4), Accelerators: 8})
	}
	f.step(is)
	is.Equal(f.s.shortfall(), 0)
	for range 8 {
		f.step(is)
	}
	_, ok := f.running["gang"]
	is.True(ok)
}
