package interference

import (
	"cmp"
	"math"
	"slices"
)

// Matrix has the strongest established pairs for placement. The zero value has none.
type Matrix struct {
	// Index numbers the kinds from 1.
	Index map[string]int
	// SlowDown has the logarithm of the factor by which a kind is slowed by another one, by
	// their numbers; 0 for a pair that is not established.
	SlowDown [][]float64
	// Estimates has the pairs by the numbers of their kinds.
	Estimates map[[2]int]Estimate
}

// Matrix returns the established pairs, the strongest ones if they have over maxKinds kinds.
func (m *Model) Matrix(maxKinds int) Matrix {
	x := Matrix{Index: make(map[string]int), Estimates: make(map[[2]int]Estimate)}
	all := m.Established()
	slices.SortStableFunc(all, func(a, b Estimate) int { return cmp.Compare(b.SlowDown, a.SlowDown) })
	number := func(kind string) int {
		if x.Index[kind] == 0 && len(x.Index) < maxKinds {
			x.Index[kind] = len(x.Index) + 1
		}
		return x.Index[kind]
	}
	for _, e := range all {
		if a, b := number(e.Kind), number(e.By); a > 0 && b > 0 {
			x.Estimates[[2]int{a, b}] = e
		}
	}
	x.SlowDown = make([][]float64, len(x.Index)+1)
	for a := range x.SlowDown {
		x.SlowDown[a] = make([]float64, len(x.SlowDown))
	}
	for k, e := range x.Estimates {
		x.SlowDown[k[0]][k[1]] = math.Log(e.SlowDown)
	}
	return x
}
