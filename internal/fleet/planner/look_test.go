package planner_test

import (
	"fmt"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// BenchmarkSchedule measures a scheduling pass over a full fleet, by the number of
// workers.
func BenchmarkSchedule(b *testing.B) {
	for _, workers := range []int{48, 540, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			t := planner.NewBenchTerm(workers)
			b.ReportAllocs()
			for b.Loop() {
				t.Schedule()
			}
		})
	}
}

// TestScheduleCostPerWorker shows that a scheduling pass makes at most twice as many
// allocations per worker in a fleet of 3,000 workers as in one of 48.
func TestScheduleCostPerWorker(t *testing.T) {
	const small, large = 48, 3000
	each := func(workers int) float64 {
		f := planner.NewBenchTerm(workers)
		return testing.AllocsPerRun(3, f.Schedule) / float64(workers)
	}
	a, b := each(small), each(large)
	t.Logf("allocations for each worker: %.1f at %d, %.1f at %d", a, small, b, large)
	if b > 2*a {
		t.Errorf("%.1f allocations for each worker at %d, %.1f at %d", a, small, b, large)
	}
}
