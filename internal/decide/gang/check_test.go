package gang

import (
	"fmt"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// checkState returns the first invariant that a state violates after a round.
// It compares the state with running, the Start orders of the running jobs, and
// reads the blocks from the state, since no caller sees them.
func checkState(s *State, running map[string]Order) error {
	occupiedBy := make(map[string]string)
	for id, o := range running {
		for _, sl := range o.Slots {
			for _, a := range sl.Accelerators {
				at := fmt.Sprintf("%s/%d", sl.Worker, a)
				if other, ok := occupiedBy[at]; ok {
					return fmt.Errorf("%s is occupied by %s and %s", at, other, id)
				}
				occupiedBy[at] = id
			}
		}
	}
	backed := make(map[*account]int)
	for _, n := range s.fleet.nodes {
		for i, o := range n.owners {
			id := occupiedBy[fmt.Sprintf("%s/%d", n.ID, i)]
			if occupant := n.occupants[i]; (occupant == nil) != (id == "") || occupant != nil && occupant.ID != id {
				return fmt.Errorf("%s/%d: occupied by %v in the state, by %q in the test", n.ID, i, occupant, id)
			}
			if o == nil {
				continue
			}
			backed[o]++
			if occupant := n.occupants[i]; n.schedulable() != 0 && occupant != nil && occupant.account != o && !occupant.Idempotent {
				return fmt.Errorf("%s/%d of %s is occupied by %s, which cannot be pre-empted", n.ID, i, o.ID, occupant.ID)
			}
			if n.schedulable() == 0 && !s.reallocate {
				return fmt.Errorf("%s/%d of %s is on a closed worker", n.ID, i, o.ID)
			}
		}
	}
	return checkAccounts(s, backed)
}

// checkAccounts compares the status of the accounts with their blocks; backed
// is the number of accelerators in each block.
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

// checkIndex compares the index with the nodes, and the queues with the jobs.
func checkIndex(s *State) error {
	unallocated := 0
	for _, n := range s.fleet.nodes {
		unallocated += countRanges(n.available(), 1, maxAccelerators)
		for o, b := range s.fleet.byOrder {
			if b.has(n.pos) != (largestOrder(n.available()) == o) {
				return fmt.Errorf("%s: wrong index entry for order %d", n.ID, o)
			}
		}
	}
	if unallocated != s.fleet.unallocated {
		return fmt.Errorf("%d accelerators are available, %d in the index", unallocated, s.fleet.unallocated)
	}
	for _, js := range s.jobs {
		if js.running && js.queue != nil || js.nomination != nil && js.nomination.evicting && js.queue != nil {
			return fmt.Errorf("%s is in a queue although it runs or its place is being cleared", js.ID)
		}
		if !js.running && js.queue == nil && js.nomination == nil && !js.unstartable {
			return fmt.Errorf("%s is neither running, queued nor nominated", js.ID)
		}
	}
	return nil
}

// checkStart returns an error when a Start order does not place the whole gang
// on schedulable workers, in aligned ranges and without a gap where the gang is
// adjacent.
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
			return fmt.Errorf("%s: slot %+v is not an aligned range", o.JobID, sl)
		}
		if js.shape().adjacent && last >= 0 && n.pos-last > 1 {
			return fmt.Errorf("%s: not adjacent: gap before %s", o.JobID, sl.Worker)
		}
		last = n.pos
	}
	return nil
}
