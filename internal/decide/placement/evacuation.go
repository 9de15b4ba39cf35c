package placement

import (
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
)

// coldWeight is the disadvantage of a cold worker: that of one free accelerator of eight, so
// that warm workers are preferred where the packing is about the same.
const coldWeight = 0.25

// coldPenalty returns what the score of a worker increases by since it is cold.
func (p *plan) coldPenalty(w int) float64 {
	if !p.in.Workers[w].Cold || p.in.Disabled[policy.PreferWarm] {
		return 0
	}
	return coldWeight
}

// isOpen reports whether a worker gets new work, as far as the search does not disregard that it
// is closed or evacuated.
func (p *plan) isOpen(x *Worker) bool {
	if x.Evacuated {
		return p.useEvacuated
	}
	return x.Schedulable || p.useClosed || p.relaxed >= relaxClosed && x.Reachable
}

// isEvacuated reports whether a unit waits since data centres are evacuated: it fits in free
// capacity there, or fits nowhere else even if nothing runs.
func (p *plan) isEvacuated(u *Unit) bool {
	if !slices.ContainsFunc(p.in.Workers, func(x Worker) bool { return x.Evacuated }) {
		return false
	}
	elsewhere := p.fitsWhenEmpty(u, p.all)
	p.useEvacuated = true
	defer func() { p.useEvacuated = false }()
	return p.findWorkers(u, p.free, false) != nil || !elsewhere && p.fitsWhenEmpty(u, p.all)
}
