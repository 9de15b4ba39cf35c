package gangs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
	standin "github.com/dogwoodworks/dogwoodworks/internal/standin/worker"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// chaos is a random sequence of submissions, cancellations and faults.
type chaos struct {
	*scenario
	ts   *testscript.TestScript
	rand *rand.Rand
	// planner is the number of planners that were started.
	planner int
}

// chaos SEED ROUNDS runs random actions and heals all faults at the end.
func (s *scenario) chaos(ts *testscript.TestScript, _ bool, args []string) {
	var seed uint64
	var rounds int
	_, err := fmt.Sscan(args[0]+" "+args[1], &seed, &rounds)
	ts.Check(err)
	c := &chaos{scenario: s, ts: ts, rand: rand.New(rand.NewPCG(seed, 0))}
	c.replacePlanner()
	for i := range rounds {
		c.submitRandom(fmt.Sprintf("j%d", i))
		c.act()
		time.Sleep(time.Duration(c.rand.IntN(700)) * time.Millisecond)
	}
	for id := range s.fleet.Workers {
		c.heal(id)
	}
	c.setStore(ts, false, []string{"up"})
	for i := range c.planner - 1 {
		s.vms[c.plannerName(i)].kill()
	}
	s.checker.resetPartial()
}

func (c *chaos) plannerName(i int) string { return fmt.Sprintf("p%d", i) }

func (c *chaos) randomWorker() string { return fmt.Sprintf("w%d", 1+c.rand.IntN(len(c.fleet.Workers))) }

// replacePlanner starts another planner. Of the earlier ones only the latest may
// stay alive, so that at most two are active at a time.
func (c *chaos) replacePlanner() {
	if c.planner > 1 {
		c.vms[c.plannerName(c.planner-2)].kill()
	}
	if c.planner > 0 && c.rand.IntN(2) == 0 {
		c.vms[c.plannerName(c.planner-1)].kill()
	}
	c.scenario.planner(c.ts, false, []string{c.plannerName(c.planner)})
	c.planner++
}

// submitRandom submits a job. If its admission is not confirmed, it need not reach
// a terminal state, but it must not start twice either.
func (c *chaos) submitRandom(name string) {
	r := job.Record{
		Account: "st-anne", Kind: "solve", Idempotent: c.rand.IntN(2) == 0,
		Tasks: 1 + c.rand.IntN(len(c.fleet.Workers)), Accelerators: 8 >> c.rand.IntN(2),
		RunMS: 100 + c.rand.Int64N(1500), SubmittedUnixMS: time.Now().UnixMilli(),
	}
	r.DeclaredMS = r.RunMS
	id, err := c.vms[c.plannerName(c.planner-1)].submit(r, name)
	c.records[id] = r
	if err == nil {
		c.jobs[name] = id
	} else if fault.KindOf(err) == fault.Internal {
		c.ts.Fatalf("submit: %v", err)
	}
}

func (c *chaos) heal(id string) {
	c.fleet.WorkerRelays[id].SetAll(relay.Pass)
	c.fleet.Workers[id].Faults.Replace(faults.Orders{})
	c.fleet.Workers[id].SetStartHook(nil)
}

// act performs one random action.
func (c *chaos) act() {
	c.checker.resetPartial()
	id := c.randomWorker()
	w, r := c.fleet.Workers[id], c.fleet.WorkerRelays[id]
	switch c.rand.IntN(14) {
	case 0:
		w.Restart()
	case 1:
		r.SetAll(relay.Blackhole)
	case 2:
		r.SetAll(relay.Refuse)
	case 3:
		r.FreezeOpen()
	case 4:
		w.Faults.Replace(faults.Orders{FailStarts: true})
	case 5:
		w.Faults.Replace(faults.Orders{ExpireLeases: true})
	case 6:
		w.Faults.Replace(faults.Orders{Leaving: true})
	case 7:
		w.Faults.Replace(faults.Orders{DropAnswers: 3, FreezeAnswers: 1})
	case 8:
		fate := standin.StartHandling(c.rand.IntN(4))
		w.SetStartHook(func(worker.StartRequest) standin.StartHandling { return fate })
	case 9:
		c.replacePlanner()
	case 10:
		for name := range c.jobs {
			_ = c.vms[c.plannerName(c.planner-1)].cancel(c.jobs[name])
			break
		}
	case 11:
		c.setStore(c.ts, false, []string{[]string{"down", "up"}[c.rand.IntN(2)]})
	default:
		for id := range c.fleet.Workers {
			c.heal(id)
		}
	}
}
