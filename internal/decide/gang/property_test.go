package gang

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// seed and checks fix the random schedules.
const (
	seed   = "5051"
	checks = "400"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	testRound = 100 * time.Millisecond
	testGrace = 500 * time.Millisecond
)

// schedule drives a state like the planner does, and records what runs.
type schedule struct {
	t       *rapid.T
	s       State
	now     time.Time
	running map[string]Order
	// stopsAt is when each pre-empted job has stopped.
	stopsAt map[string]time.Time
	// checkpointed is the part of the run time that a checkpoint preserves, in
	// tenths.
	checkpointed time.Duration
	ids          int
	failure      error
}

func newSchedule(t *rapid.T, off guards) *schedule {
	c := &schedule{t: t, now: time.Unix(0, 0), checkpointed: 1, running: make(map[string]Order), stopsAt: make(map[string]time.Time)}
	c.s.off = off
	for i := range 16 {
		c.s.SetWorker(testWorker(i))
	}
	c.configure()
	return c
}

func testWorker(i int) Worker {
	return Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/4), Accelerators: 8}
}

// draw returns a random integer from 0 to limit - 1.
func (c *schedule) draw(limit int) int { return rapid.IntRange(0, limit-1).Draw(c.t, "n") }

func (c *schedule) configure() {
	c.s.SetWeights(Weights{CompletionTime: float64(c.draw(3)), Fragmentation: 1})
	c.s.SetAccounts([]Account{
		{ID: "a", Workers: 1 + c.draw(6), Accelerators: 8},
		{ID: "b", Workers: c.draw(5), Accelerators: 4 + 2*c.draw(3)},
		{ID: "c", Workers: c.draw(6), Accelerators: 3},
	})
}

func (c *schedule) submit() {
	c.ids++
	j := Job{
		ID: fmt.Sprintf("j%04d", c.ids), Account: string(rune('a' + c.draw(4))), Rank: c.draw(3),
		Tasks: 1 << c.draw(4), Accelerators: 1 + c.draw(8), Adjacent: c.draw(2) == 0, Idempotent: c.draw(3) > 0,
		DeclaredRunTime: time.Duration(1+c.draw(60)) * time.Second, Submitted: c.now,
	}
	if err := c.s.Submit(j); err != nil && !fault.Is(err, fault.NeverFits) {
		c.failure = err
	}
}

func (c *schedule) pickRunning() (string, bool) {
	ids := sortedIDs(c.running)
	if len(ids) == 0 {
		return "", false
	}
	return ids[c.draw(len(ids))], true
}

// forget removes a job from the record of what runs.
func (c *schedule) forget(id string) {
	delete(c.running, id)
	delete(c.stopsAt, id)
}

func (c *schedule) end() {
	if id, ok := c.pickRunning(); ok {
		c.s.Ended(id, c.now)
		c.forget(id)
	}
}

func (c *schedule) cancel() {
	ids := sortedIDs(c.s.jobs)
	if len(ids) > 0 {
		id := ids[c.draw(len(ids))]
		c.s.Cancelled(id, c.now)
		c.forget(id)
	}
}

func (c *schedule) requeue(id, reason string) {
	c.s.Requeue(id, c.s.jobs[id].DeclaredRunTime*(10-c.checkpointed)/10, c.now, reason)
	c.forget(id)
}

func (c *schedule) failStart() {
	if id, ok := c.pickRunning(); ok {
		c.s.StartFailed(id, c.running[id].Slots[0].Worker, c.now)
		c.requeue(id, "a start failed")
	}
}

// changeCapacity opens, closes or removes a worker and requeues the gangs that
// lose a member.
func (c *schedule) changeCapacity() {
	w := testWorker(c.draw(16))
	switch c.draw(3) {
	case 0:
		c.s.SetWorker(w)
		return
	case 1:
		w.Unschedulable = true
		c.s.SetWorker(w)
	case 2:
		c.s.RemoveWorker(w.ID)
	}
	for _, id := range sortedIDs(c.running) {
		for _, sl := range c.running[id].Slots {
			if sl.Worker == w.ID {
				c.requeue(id, "lost a member")
				break
			}
		}
	}
}

// plan runs one round, checks its orders and executes them.
func (c *schedule) plan() error {
	c.now = c.now.Add(testRound)
	for _, id := range sortedIDs(c.stopsAt) {
		if !c.now.Before(c.stopsAt[id]) {
			c.requeue(id, "pre-empted")
		}
	}
	for _, o := range c.s.Plan(c.now) {
		switch o.Kind {
		case Start:
			if err := checkStart(&c.s, o); err != nil {
				return err
			}
			if _, ok := c.running[o.JobID]; ok {
				return fmt.Errorf("%s is started twice", o.JobID)
			}
			c.running[o.JobID] = o
		case Preempt:
			if _, ok := c.running[o.JobID]; !ok || !c.s.jobs[o.JobID].Idempotent {
				return fmt.Errorf("%s cannot be pre-empted", o.JobID)
			}
			c.stopsAt[o.JobID] = c.now.Add(testGrace)
		case Fail:
			c.s.Cancelled(o.JobID, c.now)
		}
	}
	if err := checkState(&c.s, c.running); err != nil {
		return err
	}
	if err := checkReservationsStart(&c.s); err != nil {
		return err
	}
	return c.checkReclaimed()
}

// checkReservationsStart returns an error when, after a round, a job waits
// although all accelerators that are nominated for it are free and it need not
// leave them to an earlier job of its account.
func checkReservationsStart(s *State) error {
	for _, id := range sortedIDs(s.jobs) {
		if js := s.jobs[id]; js.nomination != nil && js.nomination.pending == 0 && !s.mustYieldBlock(js) {
			return fmt.Errorf("%s waits although all accelerators nominated for it are free", id)
		}
	}
	return nil
}

// checkReclaimed returns an error when, after a round, a job within its
// account's guarantee neither runs nor has accelerators nominated. No occupant
// would then be pre-empted for it.
func (c *schedule) checkReclaimed() error {
	for _, id := range sortedIDs(c.s.jobs) {
		js := c.s.jobs[id]
		if js.queue == nil || js.queue.waiting[0] != js || c.s.mustYieldBlock(js) {
			continue
		}
		if p := (view{s: &c.s, js: js, zone: reclaim}).findInBlock(); p != nil {
			return fmt.Errorf("%s waits although %s could reclaim accelerators for it: %+v waits %v", id, js.Account, js, js.account.blockedJob)
		}
	}
	return nil
}

// runSchedule runs one random schedule and returns the first violated
// invariant.
func runSchedule(t *rapid.T, off guards) error {
	c := newSchedule(t, off)
	actions := []func(){c.submit, c.submit, c.submit, c.submit, c.end, c.end, c.cancel, c.failStart, c.changeCapacity, c.configure, func() {}}
	for range rapid.IntRange(10, 80).Draw(t, "steps") {
		for range 1 + c.draw(4) {
			actions[c.draw(len(actions))]()
		}
		if c.failure != nil {
			return c.failure
		}
		if err := c.plan(); err != nil {
			return err
		}
	}
	return nil
}

// TestInvariants checks the invariants after each round of random schedules.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSchedule(t, guards{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestGuardsAreNeeded switches off each guard and expects that an invariant is
// violated.
func TestGuardsAreNeeded(t *testing.T) {
	for name, off := range map[string]guards{
		"whole gang": {wholeGang: true}, "exclusive use": {exclusiveUse: true}, "only idempotent jobs borrow": {preemptibleOnly: true},
		"reclaim": {reclaim: true}, "reallocate": {reallocate: true},
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			rapid.Check(t, func(t *rapid.T) {
				if err := runSchedule(t, off); err != nil {
					violations++
				}
			})
			if violations == 0 {
				t.Fatal("no schedule violates an invariant without the guard")
			}
			t.Logf("%d of %s schedules violate an invariant without the guard", violations, checks)
		})
	}
}
