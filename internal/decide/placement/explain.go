package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// explain finds out why the units of Input.Explain wait that Plan did not start.
func (p *plan) explain() {
	if len(p.in.Explain) == 0 {
		return
	}
	decided := p.decided()
	p.out.Reasons = make(map[int]cause.Cause, len(p.in.Explain))
	for _, a := range p.out.Nominations {
		p.out.Reasons[a.Unit] = cause.Freeing
	}
	for _, i := range p.in.Explain {
		if !decided[i] {
			p.out.Reasons[i] = p.reason(&p.in.Waiting[i])
		}
	}
}

// decided returns the indices of the units that start or for which capacity is being freed.
func (p *plan) decided() map[int]bool {
	decided := make(map[int]bool, len(p.out.Starts)+len(p.out.Nominations))
	for _, a := range slices.Concat(p.out.Starts, p.out.Nominations) {
		decided[a.Unit] = true
	}
	return decided
}

// reason returns why a unit does not fit in the capacity that is left.
func (p *plan) reason(u *Unit) cause.Cause {
	if p.findWorkers(u, p.free, false) != nil {
		return cause.Reserved
	}
	p.useKept = true
	defer func() { p.useKept, p.useClosed, p.useEvacuated = false, false, false }()
	if p.findWorkers(u, p.free, false) != nil {
		return cause.Kept
	}
	if p.isEvacuated(u) {
		return cause.Evacuated
	}
	p.useClosed = true
	if p.findWorkers(u, p.free, false) != nil {
		return cause.Closed
	}
	p.useClosed = false
	if p.fitsInPieces(u) {
		return cause.Fragmented
	}
	return cause.NoCapacity
}

// fitsInPieces reports whether the free capacity of all eligible workers together
// suffices for a unit.
func (p *plan) fitsInPieces(u *Unit) bool {
	var free, needed model.Shape
	for w := range p.in.Workers {
		if p.eligible(u, w) {
			free = free.Plus(p.free[w])
		}
	}
	for range u.Tasks {
		needed = needed.Plus(u.Shape)
	}
	return needed.Fits(free)
}
