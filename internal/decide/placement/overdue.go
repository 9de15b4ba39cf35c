package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// A rack, a reservation, a closed worker and a worker on which a unit failed are reasons to
// wait for better capacity. None of them has an end that is certain, so an overdue unit
// does not wait for them beside free capacity.

const (
	// overdueUsedShare is the share of a service's capacity in use from which overdue units
	// wait, except long-running ones.
	overdueUsedShare = 0.5
	// overdueRoom is how many times a unit must fit in the free capacity.
	overdueRoom = 2
)

// relaxation is what a search for capacity disregards.
type relaxation int

const (
	// relaxPreferences disregards racks, reservations and what is kept for urgent units.
	relaxPreferences relaxation = iota + 1
	// relaxClosed also disregards that workers are closed.
	relaxClosed
	// relaxFailed also disregards where the unit failed.
	relaxFailed
)

// startOverdue starts overdue units that were not decided on, disregarding as little as
// possible.
func (p *plan) startOverdue() {
	if !slices.ContainsFunc(p.in.Waiting, func(u Unit) bool { return u.Overdue }) {
		return
	}
	decided := p.decided()
	// Free capacity only shrinks during a call, so a service that is busy remains so.
	busy := make(map[string]bool)
	defer func() { p.relaxed = 0 }()
	for i := range p.in.Waiting {
		u := &p.in.Waiting[i]
		if !u.Overdue || decided[i] {
			continue
		}
		if !u.LongRunning {
			busy[u.Service] = busy[u.Service] || p.isBusy(u.Service)
		}
		if !u.LongRunning && busy[u.Service] || !p.hasRoomForOverdue(u) {
			continue
		}
		if ws := p.findRelaxed(u); ws != nil {
			p.start(i, ws)
			p.out.Overdue = append(p.out.Overdue, i)
		} else {
			p.out.Stalled = append(p.out.Stalled, i)
		}
	}
}

// findRelaxed returns a worker for each task of an overdue unit, or nil if none can be found
// even where everything is disregarded that may be.
func (p *plan) findRelaxed(u *Unit) []int {
	anywhere := *u
	anywhere.Rack, anywhere.SameRack = "", false
	for p.relaxed = relaxPreferences; p.relaxed <= relaxFailed; p.relaxed++ {
		if ws := p.findWorkers(&anywhere, p.free, false); ws != nil {
			return ws
		}
	}
	return nil
}

// isBusy reports whether overdueUsedShare of a service's capacity is in use.
func (p *plan) isBusy(service string) bool {
	var capacity, free model.Shape
	for w := range p.in.Workers {
		if x := &p.in.Workers[w]; x.Service == service && !x.Evacuated {
			capacity, free = capacity.Plus(x.Capacity), free.Plus(p.free[w])
		}
	}
	return capacity.Minus(free).ShareOf(capacity) >= overdueUsedShare
}

// hasRoomForOverdue reports whether the free capacity of the workers that accept orders
// suffices for a unit overdueRoom times.
func (p *plan) hasRoomForOverdue(u *Unit) bool {
	fits := 0
	for w := range p.in.Workers {
		x := &p.in.Workers[w]
		if x.Reachable && x.Service == u.Service && x.HasLabel(u.Label) {
			fits += CountFits(u.Shape, p.free[w], overdueRoom*u.Tasks)
		}
		if fits >= overdueRoom*u.Tasks {
			return true
		}
	}
	return false
}
