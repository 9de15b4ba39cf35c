package route

import (
	"fmt"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
)

const seed = 4

var (
	productPolicy     = policy{name: "dogwoodworks"}
	fifoRandomPolicy  = policy{name: "fifo_random", fifo: true, random: true, undivided: true}
	leastLoadedPolicy = policy{name: "least_loaded", fifo: true, undivided: true}
)

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// slowdown is the mean completion time of a class over its mean service time.
func (r result) slowdown(rank int) float64 { return ratio(r.completion[rank], r.service[rank]) }

func (r result) busyShare() float64    { return ratio(r.busyTime, r.waitingTime) }
func (r result) refusedShare() float64 { return ratio(float64(r.refusals), float64(r.sends)) }

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
	own, fifo, leastLoaded := run(productPolicy, deployments[name], load, seed), run(fifoRandomPolicy, deployments[name], load, seed), run(leastLoadedPolicy, deployments[name], load, seed)
	overload := load > 1
	note := fmt.Sprintf("least loaded %.4g", leastLoaded.slowdown(0))
	area := fmt.Sprintf("route/%s/%.0f%%", name, 100*load)
	m := []report.Measure{
		{Name: "first_class_completion", Unit: "service times", Value: own.slowdown(0), Baseline: report.Float(fifo.slowdown(0)), Note: note},
		{Name: "last_class_completion", Unit: "service times", Value: own.slowdown(2), Baseline: report.Float(fifo.slowdown(2)), Note: fmt.Sprintf("least loaded %.4g", leastLoaded.slowdown(2))},
		{Name: "busy_while_waiting", Unit: "share", Value: own.busyShare(), Baseline: report.Float(fifo.busyShare()), Note: fmt.Sprintf("least loaded %.4g; waiting %.3g of the time", leastLoaded.busyShare(), own.waitingTime/float64(endStep-warmUp))},
		{Name: "oldest_unsent", Unit: "ageing limits", Value: float64(own.oldestUnsent) / float64(ageingLimit.Milliseconds()), Baseline: report.Float(float64(fifo.oldestUnsent) / float64(ageingLimit.Milliseconds())), AtMost: report.Float(1)},
		{Name: "least_share", Unit: "of guarantee", Value: own.leastShare(), Baseline: report.Float(fifo.leastShare()), AtLeast: report.Float(0.95)},
		{Name: "slot_limit_exceeded", Unit: "of sends", Value: own.refusedShare(), Baseline: report.Float(fifo.refusedShare()), AtMost: report.Float(0.01), Note: fmt.Sprintf("least loaded %.4g", leastLoaded.refusedShare())},
		{Name: "most_at_a_runner", Unit: "connections", Value: float64(own.maxAtRunner), AtMost: report.Float(connections)},
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
