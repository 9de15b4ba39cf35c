package gang

import (
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// limits say what the whole data centre, empty, holds of tasks of one size.
type limits struct {
	// places is the number of tasks, and run the number on neighbouring
	// workers.
	places, run int
	// widest is the size of the largest worker, and total that of all.
	widest, total int
}

// limitsOf returns the limits for tasks of a number of accelerators. They are
// kept until a worker comes, goes or changes its size.
func (s *State) limitsOf(accelerators int) limits {
	if l, ok := s.limits[accelerators]; ok {
		return l
	}
	var l limits
	run := 0
	for _, n := range s.fleet.nodes {
		s.fleet.steps++
		k := 0
		if !n.gone {
			k = count(guarantee.LowMask(n.Accelerators), accelerators, n.Accelerators)
			l.widest, l.total = max(l.widest, n.Accelerators), l.total+n.Accelerators
		}
		run += k
		if k == 0 {
			run = 0
		}
		l.places, l.run = l.places+k, max(l.run, run)
	}
	if s.limits == nil {
		s.limits = make(map[int]limits)
	}
	s.limits[accelerators] = l
	return l
}

// fits returns an error of kind NeverFits that names the limit.
func (s *State) fits(j Job) error {
	if j.Tasks < 1 || j.Accelerators < 1 {
		return fault.WithField(fault.NeverFits, "tasks", "%d tasks of %d accelerators; each is at least 1", j.Tasks, j.Accelerators)
	}
	l := s.limitsOf(j.Accelerators)
	switch {
	case l.places == 0:
		return fault.WithField(fault.NeverFits, "accelerators",
			"%d adjacent accelerators; the largest worker has %d", j.Accelerators, l.widest)
	case l.places < j.Tasks:
		return fault.WithField(fault.NeverFits, "tasks",
			"%d tasks of %d accelerators; the data centre holds at most %d", j.Tasks, j.Accelerators, l.places)
	case j.Adjacent && l.run < j.Tasks:
		return fault.WithField(fault.NeverFits, "adjacent",
			"%d adjacent tasks of %d accelerators; neighbouring workers hold at most %d", j.Tasks, j.Accelerators, l.run)
	}
	return s.mayHold(j, l.total)
}

// mayHold refuses a job that cannot be put back and is larger than its
// account's guarantee together with what nobody is guaranteed.
func (s *State) mayHold(j Job, total int) error {
	if j.Idempotent {
		return nil
	}
	limit, own := total, 0
	for _, a := range s.configured {
		if a.ID == j.Account {
			own = a.Workers * a.Accelerators
			continue
		}
		limit -= a.Workers * a.Accelerators
	}
	limit = max(limit, own)
	if need := j.Tasks * j.Accelerators; need > limit {
		return fault.WithField(fault.NeverFits, "idempotent",
			"%d accelerators for a job that cannot be put back; outside the guarantees of others there are %d", need, limit)
	}
	return nil
}
