package planner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// estimateCallers submits more jobs than the workers can do, and counts those that are done
// within the objective by their true run times.
type estimateCallers struct {
	*testFleet
	r         *rand.Rand
	due       map[string]time.Time
	queue     map[string]string
	submitted map[string]int
	onTime    map[string]int
}

// submitJob submits a job of one task that needs a worker, with an estimate that is a
// multiple of its run time.
func (c *estimateCallers) submitJob(q model.Queue, ratio float64) {
	id := jobID(len(c.jobIDs))
	runtime := time.Duration((1.5 + c.r.Float64()) * float64(time.Second))
	s := step(1, 8, false)
	s.Estimate = time.Duration(float64(runtime) * ratio * (0.9 + 0.2*c.r.Float64()))
	c.submitAs("acme", id, q.Name, runtime, s)
	c.due[id] = time.Now().Add(time.Duration(q.ObjectiveFactor*float64(runtime)) + q.ObjectiveConstant)
	c.queue[id] = q.Name
	c.submitted[q.Name]++
}

// count counts the jobs that have ended in time.
func (c *estimateCallers) count() {
	for id, due := range c.due {
		if late := time.Now().After(due); late || c.world.State(id) == model.Completed {
			if !late {
				c.onTime[c.queue[id]]++
			}
			delete(c.due, id)
		}
	}
}

// overload plays a minute and a half of jobs whose estimates are off in two ways, and returns
// the share of each queue that is done in time.
func overload(t *testing.T, disabled policy.Disabled) (solve, render float64) {
	bubble(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 8)
		defer f.close()
		f.configure = func(p *planner.Planner) { p.Disabled = disabled }
		f.startVM("a")
		time.Sleep(time.Second)
		c := &estimateCallers{f, rand.New(rand.NewPCG(3, 3)), make(map[string]time.Time), make(map[string]string), make(map[string]int), make(map[string]int)}
		for range 900 {
			if c.r.Float64() < 0.25 {
				c.submitJob(queues[1], 0.5)
			}
			if c.r.Float64() < 0.25 {
				c.submitJob(queues[2], 2)
			}
			time.Sleep(100 * time.Millisecond)
			c.count()
		}
		for len(c.due) > 0 {
			time.Sleep(100 * time.Millisecond)
			c.count()
		}
		solve = float64(c.onTime["solve"]) / float64(c.submitted["solve"])
		render = float64(c.onTime["render"]) / float64(c.submitted["render"])
	})
	return solve, render
}

// TestLateIsLate guards against an order by callers' estimates that are off: capacity went to
// jobs that could not be in time any more, which the planner counted as not late. The most
// important queue must not lose by it.
func TestLateIsLate(t *testing.T) {
	solveBefore, renderBefore := overload(t, policy.Disabled{policy.KindEstimates: true})
	solve, render := overload(t, nil)
	t.Logf("in time: solve %.2f -> %.2f, render %.2f -> %.2f", solveBefore, solve, renderBefore, render)
	if render < renderBefore+0.2 || solve < solveBefore-0.01 {
		t.Errorf("in time: solve %.2f -> %.2f, render %.2f -> %.2f", solveBefore, solve, renderBefore, render)
	}
}
