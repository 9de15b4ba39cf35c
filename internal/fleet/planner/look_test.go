package planner_test

import (
	"fmt"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// BenchmarkLook measures a look at a fleet that is full, by the number of its workers.
func BenchmarkLook(b *testing.B) {
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

// TestLookGrowsWithTheFleet shows that a look costs at most twice as much for each
// worker in a fleet of 3,000 as in one of 48, in allocations.
func TestLookGrowsWithTheFleet(t *testing.T) {
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
