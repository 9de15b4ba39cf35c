// Package order decides in which order waiting units are served. It is pure:
// the caller passes the times.
//
// It is designed for more work than the fleet can do, with objectives that
// range from seconds to half a minute, where each class of work is judged
// separately.
package order

import (
	"sort"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
)

// Unit is a waiting schedulable unit.
type Unit struct {
	// Guaranteed units are within their account's guarantee.
	Guaranteed bool
	// Priority 0 is served first.
	Priority int
	// DueIn is the time until the objective passes, in seconds; negative
	// afterwards.
	DueIn float64 `toml:"due"`
	// WorthlessIn is the time after which a completion earns nothing, in
	// seconds.
	WorthlessIn float64 `toml:"lost"`
	// CriticalPath is the remaining work on the job's critical path, in
	// seconds.
	CriticalPath float64 `toml:"chain"`
	// Account is the account of the unit. Held is the capacity that the account's running
	// units occupy and Demand what this one needs, in the same measure.
	Account      string
	Held, Demand float64
	// Blocked units wait for capacity.
	Blocked bool
}

// The timeliness of a unit: its job can meet its objective, can only complete
// late, or can complete only when that earns nothing.
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

// servedBefore reports whether a is served before b.
func servedBefore(a, b *Unit, disabled policy.Disabled) bool {
	if a.Guaranteed != b.Guaranteed {
		return a.Guaranteed
	}
	if (a.Priority == 0) != (b.Priority == 0) {
		return a.Priority == 0
	}
	if ta, tb := a.timeliness(), b.timeliness(); ta != tb && !disabled[policy.OrderTimeliness] {
		return ta < tb
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return !disabled[policy.OrderSlack] && a.DueIn-a.CriticalPath < b.DueIn-b.CriticalPath
}

// Sort returns the indices of units in the order in which they are served. Units of
// equal rank keep their order.
func Sort(units []Unit, disabled policy.Disabled) []int {
	indices := make([]int, len(units))
	for i := range indices {
		indices[i] = i
	}
	sort.SliceStable(indices, func(i, j int) bool { return servedBefore(&units[indices[i]], &units[indices[j]], disabled) })
	if !disabled[policy.AccountOrder] {
		shareAccounts(units, indices, disabled)
	}
	return indices
}
