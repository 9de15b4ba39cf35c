package gang_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
)

// recorder records the calls that the driver makes, so that they can be repeated
// without the driver.
type recorder struct {
	*gang.State
	calls []func(s *gang.State)
}

func (r *recorder) record(call func(s *gang.State)) { r.calls = append(r.calls, call) }

func (r *recorder) SetWorker(w gang.Worker) {
	r.record(func(s *gang.State) { s.SetWorker(w) })
	r.State.SetWorker(w)
}

func (r *recorder) Submit(j gang.Job) error {
	r.record(func(s *gang.State) { _ = s.Submit(j) })
	return r.State.Submit(j)
}

func (r *recorder) Requeue(id string, left time.Duration, now time.Time, reason string) {
	r.record(func(s *gang.State) { s.Requeue(id, left, now, reason) })
	r.State.Requeue(id, left, now, reason)
}

func (r *recorder) Ended(id string, now time.Time) {
	r.record(func(s *gang.State) { s.Ended(id, now) })
	r.State.Ended(id, now)
}

func (r *recorder) Cancelled(id string, now time.Time) {
	r.record(func(s *gang.State) { s.Cancelled(id, now) })
	r.State.Cancelled(id, now)
}

func (r *recorder) Plan(now time.Time) []gang.Order {
	r.record(func(s *gang.State) { s.Plan(now) })
	return r.State.Plan(now)
}

// costOf returns the steps and allocations per event of a list, without those for
// setting up the fleet.
func costOf(d deployment) (steps, allocations float64) {
	l := d.list(1)
	// An empty period, as the averages over time are not needed.
	l.end = l.begin
	rec := &recorder{State: newState(l)}
	events := drive(l, rec).events
	s := newState(l)
	// Setting the workers and the first scheduling pass set up the fleet.
	setUp := len(l.workers) + 1
	for _, call := range rec.calls[:setUp] {
		call(s)
	}
	var before, after runtime.MemStats
	first := s.Measures().Visits
	runtime.ReadMemStats(&before)
	for _, call := range rec.calls[setUp:] {
		call(s)
	}
	runtime.ReadMemStats(&after)
	return float64(s.Measures().Visits-first) / float64(events), float64(after.Mallocs-before.Mallocs) / float64(events)
}

func TestCostPerEvent(t *testing.T) {
	small := brunnsrota()
	small.load, small.span = 1.3, 6*time.Hour
	large := small
	large.workers, large.accounts = designSize().workers, designSize().accounts
	steps, allocations := costOf(small)
	moreSteps, moreAllocations := costOf(large)
	f := report.Float
	printMeasures(t, "cost", []report.Measure{
		{Name: "steps per event at 1,300 workers against 50", Value: moreSteps, Baseline: &steps, Ratio: true, AtMost: f(3)},
		{Name: "allocations per event at 1,300 workers against 50", Value: moreAllocations, Baseline: &allocations, Ratio: true, AtMost: f(3)},
	})
}
