package gang

import (
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// limits is the capacity of the whole empty data centre for tasks of one size.
type limits struct {
	// tasks is the number of tasks, and adjacentTasks the number of tasks on
	// neighbouring workers.
	tasks, adjacentTasks int
	// largestWorker is the size of the largest worker, and totalAccelerators
	// that of all workers.
	largestWorker, totalAccelerators int
}

// limitsOf returns the limits for tasks of a number of accelerators. They are
// cached until a worker is added or removed or changes its size.
func (s *State) limitsOf(accelerators int) limits {
	if l, ok := s.limits[accelerators]; ok {
		return l
	}
	var l limits
	adjacentTasks := 0
	for _, n := range s.fleet.nodes {
		s.fleet.visits++
		fitting := 0
		if !n.removed {
			fitting = countRanges(guarantee.LowMask(n.Accelerators), accelerators, n.Accelerators)
			l.largestWorker, l.totalAccelerators = max(l.largestWorker, n.Accelerators), l.totalAccelerators+n.Accelerators
		}
		adjacentTasks += fitting
		if fitting == 0 {
			adjacentTasks = 0
		}
		l.tasks, l.adjacentTasks = l.tasks+fitting, max(l.adjacentTasks, adjacentTasks)
	}
	if s.limits == nil {
		s.limits = make(map[int]limits)
	}
	s.limits[accelerators] = l
	return l
}

// checkFits returns an error of kind NeverFits that names the limit, or nil.
func (s *State) checkFits(j Job) error {
	if j.Tasks < 1 || j.Accelerators < 1 {
		return fault.WithField(fault.NeverFits, "tasks", "%d tasks of %d accelerators; both numbers must be at least 1", j.Tasks, j.Accelerators)
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

// checkNonIdempotent rejects a job that is not idempotent and is larger than
// both its account's guarantee and the accelerators that are not guaranteed to
// other accounts.
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
			"%d accelerators for a job that is not idempotent; at most %d are outside the guarantees of other accounts", need, limit)
	}
	return nil
}
