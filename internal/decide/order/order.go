// Package order decides in which order waiting units of work are served. It is
// pure: the caller gives the times.
//
// The load it answers: more work is offered than the fleet can do, objectives
// differ from seconds to half a minute, and every class is judged by itself.
package order

import "sort"

// Unit is a waiting unit of work.
type Unit struct {
	// Guaranteed units stand within their account's guarantee.
	Guaranteed bool
	// Priority 0 goes first.
	Priority int
	// DueIn is the time until the objective passes, in seconds; negative after.
	DueIn float64 `toml:"due"`
	// WorthlessIn is the time until a completion earns nothing, in seconds.
	WorthlessIn float64 `toml:"lost"`
	// CriticalPath is the work that is still to be done one after the other, in
	// seconds.
	CriticalPath float64 `toml:"chain"`
}

// The grades of a unit: whether its job can still meet its objective.
const (
	onTime = iota
	late
	worthless
)

func (u *Unit) timeliness() int {
	switch {
	case u.CriticalPath <= u.DueIn:
		return onTime
	case u.CriticalPath <= u.WorthlessIn:
		return late
	}
	return worthless
}

// servedBefore reports whether a is served servedBefore b.
func servedBefore(a, b *Unit) bool {
	if a.Guaranteed != b.Guaranteed {
		return a.Guaranteed
	}
	if (a.Priority == 0) != (b.Priority == 0) {
		return a.Priority == 0
	}
	if ta, tb := a.timeliness(), b.timeliness(); ta != tb {
		return ta < tb
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.DueIn-a.CriticalPath < b.DueIn-b.CriticalPath
}

// Sort returns the indices of units in the order in which they are served.
func Sort(units []Unit) []int {
	indices := make([]int, len(units))
	for i := range indices {
		indices[i] = i
	}
	sort.SliceStable(indices, func(i, j int) bool { return servedBefore(&units[indices[i]], &units[indices[j]]) })
	return indices
}
