package gang

import (
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// limits say what the whole data centre, empty, holds of tasks of one size.
type limits struct {
	// places is the number of tasks, and run the number on neighbouring
	// workers.
	tasks, adjacentTasks int
	// widest is the size of the largest worker, and total that of all.
	largestWorker, totalAccelerators int
}

// limitsOf returns the limits for tasks of a number of accelerators. They are
// kept until a worker comes, goes or changes its size.
func (s *State) limitsOf(accelerators int) limits {
	if l, ok := s.limits[accelerators]; ok {
		return l
	}
	var l limits
	adjacentTasks := 0
	for _, n := range s.fleet.nodes {
		s.fleet.visits++
		k := 0
		if !n.removed {
			k = countRanges(guarantee.LowMask(n.Accelerators), accelerators, n.Accelerators)
			l.largestWorker, l.totalAccelerators = max(l.largestWorker, n.Accelerators), l.totalAccelerators+n.Accelerators
		}
		adjacentTasks += k
		if k == 0 {
			adjacentTasks = 0
		}
		l.tasks, l.adjacentTasks = l.tasks+k, max(l.adjacentTasks, adjacentTasks)
	}
	if s.limits == nil {
		s.limits = make(map[int]limits)
	}
	s.limits[accelerators] = l
	return l
}

// fits returns an error of kind NeverFits that names the limit.
func (s *State) checkFits(j Job) error {
	if j.Tasks < 1 || j.Accelerators < 1 {
		return fault.WithField(fault.NeverFits, "tasks", "%d tasks of %d accelerators; each is at least 1", j.Tasks, j.Accelerators)
	}
	l := s.limitsOf(j.Accelerators)
	switch {
	case l.tasks == 0:
		return fault.WithField(fault.NeverFits, "accelerators",
			"%d adjacent accelerators; the largest worker has %d", j.Accelerators, l.largestWorker)
	case l.tasks < j.Tasks:
		return fault.WithField(fault.NeverFits, "tasks",
			"%d tasks of %d accelerators; the data centre holds at most %d", j.Tasks, j.Accelerators, l.tasks)
	case j.Adjacent && l.adjacentTasks < j.Tasks:
		return fault.WithField(fault.NeverFits, "adjacent",
			"%d adjacent tasks of %d accelerators; neighbouring workers hold at most %d", j.Tasks, j.Accelerators, l.adjacentTasks)
	}
	return s.checkNonIdempotent(j, l.totalAccelerators)
}

// mayHold refuses a job that cannot be put back and is larger than its
// account's guarantee together with what nobody is guaranteed.
func (s *State) checkNonIdempotent(j Job, total int) error {
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
