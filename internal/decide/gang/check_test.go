package gang

import (
	"fmt"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// check returns the first broken invariant of a state after a round: what a
// caller could not see alone, the blocks, is read from the state itself, and
// what the test's planner knows of running jobs is compared with it.
func check(s *State, running map[string]Order) error {
	held := make(map[string]string)
	for id, o := range running {
		for _, sl := range o.Slots {
			for _, a := range sl.Accelerators {
				at := fmt.Sprintf("%s/%d", sl.Worker, a)
				if other, ok := held[at]; ok {
					return fmt.Errorf("%s is held by %s and %s", at, other, id)
				}
				held[at] = id
			}
		}
	}
	backed := make(map[*account]int)
	for _, n := range s.fleet.nodes {
		for i, o := range n.owners {
			id := held[fmt.Sprintf("%s/%d", n.ID, i)]
			if h := n.occupants[i]; (h == nil) != (id == "") || h != nil && h.ID != id {
				return fmt.Errorf("%s/%d: state says %v, planner says %q", n.ID, i, h, id)
			}
			if o == nil {
				continue
			}
			backed[o]++
			if h := n.occupants[i]; n.schedulable() != 0 && h != nil && h.account != o && !h.Idempotent {
				return fmt.Errorf("%s/%d of %s is held for good by %s", n.ID, i, o.ID, h.ID)
			}
			if n.schedulable() == 0 && !s.reallocate {
				return fmt.Errorf("%s/%d of %s is on a closed worker", n.ID, i, o.ID)
			}
		}
	}
	return checkAccounts(s, backed)
}

func checkAccounts(s *State, backed map[*account]int) error {
	for _, st := range s.Accounts() {
		a := s.accounts[st.ID]
		if st.Guaranteed != backed[a]+st.Shortfall {
			return fmt.Errorf("%s: %d guaranteed, %d in the block, %d short", a.ID, st.Guaranteed, backed[a], st.Shortfall)
		}
		if unused := st.Guaranteed - st.Shortfall - st.InUse; unused != st.Reclaimable {
			return fmt.Errorf("%s: %d unused, %d reclaimable", a.ID, unused, st.Reclaimable)
		}
		for _, p := range a.pieces {
			if guarantee.AlignedRange(p.Mask, a.Accelerators) != p.Mask {
				return fmt.Errorf("%s: piece %b at worker %d is not aligned", a.ID, p.Mask, p.Worker)
			}
		}
	}
	return checkIndex(s)
}

func checkIndex(s *State) error {
	unallocated := 0
	for _, n := range s.fleet.nodes {
		unallocated += countRanges(n.available(), 1, maxAccelerators)
		for o, b := range s.fleet.byOrder {
			if b.has(n.pos) != (largestOrder(n.available()) == o) {
				return fmt.Errorf("%s is wrongly indexed at order %d", n.ID, o)
			}
		}
	}
	if unallocated != s.fleet.unallocated {
		return fmt.Errorf("%d accelerators are open, the index says %d", unallocated, s.fleet.unallocated)
	}
	for _, js := range s.jobs {
		if js.running && js.queue != nil || js.nomination != nil && js.nomination.evicting && js.queue != nil {
			return fmt.Errorf("%s stands in a queue and elsewhere", js.ID)
		}
		if !js.running && js.queue == nil && js.nomination == nil && !js.unstartable {
			return fmt.Errorf("%s is lost", js.ID)
		}
	}
	return nil
}

// checkStart returns an error when a Start order is not a whole gang on open
// workers.
func checkStart(s *State, o Order) error {
	js := s.jobs[o.JobID]
	if js == nil || len(o.Slots) != js.Tasks {
		return fmt.Errorf("%s: %d slots for %v", o.JobID, len(o.Slots), js)
	}
	last := -1
	for i, sl := range o.Slots {
		n := s.fleet.byID[sl.Worker]
		if sl.Task != i || len(sl.Accelerators) != js.Accelerators || n == nil || n.schedulable() == 0 {
			return fmt.Errorf("%s: bad slot %+v", o.JobID, sl)
		}
		first := sl.Accelerators[0]
		if first%guarantee.Alignment(js.Accelerators) != 0 || sl.Accelerators[len(sl.Accelerators)-1] != first+js.Accelerators-1 {
			return fmt.Errorf("%s: slot %+v is not an aligned run", o.JobID, sl)
		}
		if js.shape().adjacent && last >= 0 && n.pos-last > 1 {
			return fmt.Errorf("%s: a gap before %s", o.JobID, sl.Worker)
		}
		last = n.pos
	}
	return nil
}
