package route

import (
	"fmt"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
)

const seed = 4

var (
	chosen    = policy{name: "dogwoodworks"}
	plain     = policy{name: "fifo_random", fifo: true, random: true, whole: true}
	undivided = policy{name: "least_loaded", fifo: true, whole: true}
)

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// slowdown is the mean completion time of a class over its mean service time.
func (r result) slowdown(rank int) float64 { return ratio(r.completion[rank], r.service[rank]) }

func (r result) busy() float64     { return ratio(r.busyTime, r.waitingTime) }
func (r result) exceeded() float64 { return ratio(float64(r.refusals), float64(r.sends)) }

func TestRoute(t *testing.T) {
	var all []report.Measure
	for _, name := range []string{"brunnsrota", "umgungundlovu"} {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			all = append(all, measure(name, load)...)
		}
	}
	for _, failed := range report.Print(all) {
		t.Errorf("out of bound: %s", failed)
	}
}

func measure(name string, load float64) []report.Measure {
	own, fifo, whole := run(chosen, deployments[name], load, seed), run(plain, deployments[name], load, seed), run(undivided, deployments[name], load, seed)
	overload := load > 1
	note := fmt.Sprintf("least loaded %.4g", whole.slowdown(0))
	area := fmt.Sprintf("route/%s/%.0f%%", name, 100*load)
	m := []report.Measure{
		{Name: "first_class_completion", Unit: "service times", Value: own.slowdown(0), Baseline: report.Float(fifo.slowdown(0)), Note: note},
		{Name: "last_class_completion", Unit: "service times", Value: own.slowdown(2), Baseline: report.Float(fifo.slowdown(2)), Note: fmt.Sprintf("least loaded %.4g", whole.slowdown(2))},
		{Name: "busy_while_waiting", Unit: "share", Value: own.busy(), Baseline: report.Float(fifo.busy()), Note: fmt.Sprintf("least loaded %.4g; waiting %.3g of the time", whole.busy(), own.waitingTime/float64(length-warmUp))},
		{Name: "oldest_unsent", Unit: "ageing limits", Value: float64(own.oldestUnsent) / float64(ageing.Milliseconds()), Baseline: report.Float(float64(fifo.oldestUnsent) / float64(ageing.Milliseconds())), AtMost: report.Float(1)},
		{Name: "least_share", Unit: "of guarantee", Value: own.share(), Baseline: report.Float(fifo.share()), AtLeast: report.Float(0.95)},
		{Name: "slot_limit_exceeded", Unit: "of sends", Value: own.exceeded(), Baseline: report.Float(fifo.exceeded()), AtMost: report.Float(0.01), Note: fmt.Sprintf("least loaded %.4g", whole.exceeded())},
		{Name: "most_at_a_runner", Unit: "connections", Value: float64(own.mostAtRunner), AtMost: report.Float(connections)},
		{Name: "refused_overloaded", Unit: "requests", Value: float64(own.refused), Note: fmt.Sprintf("completed %d, baseline refuses none and %d", own.completed, fifo.completed)},
		{Name: "events", Unit: "events", Value: float64(own.events)},
	}
	if overload {
		m[0].AtMost = report.Float(1.2)
		m[2].AtLeast = report.Float(0.95)
	}
	for i := range m {
		m[i].Area = area
	}
	return m
}
