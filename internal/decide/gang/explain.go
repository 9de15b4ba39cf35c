package gang

import (
	"fmt"
	"slices"
)

// Explain describes the state of a job and the reason for it. found is false
// for an unknown job.
func (s *State) Explain(id string) (x Explanation, found bool) {
	js, ok := s.jobs[id]
	if !ok {
		return Explanation{}, false
	}
	x = Explanation{JobID: id, State: "waiting", Reason: js.reason}
	if js.running {
		x.State = "running"
		for _, sl := range js.slots {
			x.Workers = append(x.Workers, sl.Worker)
		}
		x.Workers = slices.Compact(x.Workers)
		return x, true
	}
	p := s.candidatePlace(js)
	if p == nil {
		x.Reason += fmt.Sprintf("; no %d x %d accelerators could be freed now", js.Tasks, js.Accelerators)
		return x, true
	}
	for _, n := range distinctNodes(p.nodes) {
		x.Workers = append(x.Workers, n.ID)
	}
	for _, occupant := range s.occupantsOf(p) {
		x.Occupants = append(x.Occupants, occupant.ID)
	}
	if js.nomination != nil && !js.nomination.evicting {
		x.Reason += fmt.Sprintf("; has a reservation, expected free in %s", js.nomination.expectedFree.Sub(s.now).Round(1e9))
	}
	return x, true
}

// candidatePlace returns the accelerators nominated for a job, or a place that
// it could reserve; nil for none.
func (s *State) candidatePlace(js *jobState) *place {
	if js.nomination != nil {
		return js.nomination.place
	}
	p, _ := s.findReservation(js)
	return p
}
