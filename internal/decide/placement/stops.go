package placement

import "github.com/dogwoodworks/dogwoodworks/internal/decide/policy"

// maxStops is how often a unit may be stopped for urgent units that are not guaranteed. It
// addresses bursts of urgent work that come sooner one after the other than a long unit runs,
// so that this would never end.
const maxStops = 3

// exceedsStops reports whether a running unit has been stopped so often that it yields to
// guaranteed units only.
func (p *plan) exceedsStops(x *Running, u *Unit) bool {
	return x.Stops >= maxStops && !u.Guaranteed && !p.in.Disabled[policy.StopLimit]
}

// stopCost returns the cost of stopping a running unit: the work that this discards, more for
// each earlier stop, so that a unit that was stopped often is stopped last.
func (p *plan) stopCost(r int) float64 {
	x := &p.in.Running[r]
	if p.in.Disabled[policy.StopLimit] {
		return x.DiscardedWork
	}
	return x.DiscardedWork * float64(1+x.Stops)
}
