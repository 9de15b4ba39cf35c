package job

import (
	"sort"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// shapes are all data centres with their workers and no job. The zero value
// knows none and is safe for concurrent use.
type shapes struct {
	mu    sync.Mutex
	empty map[string]*gang.State
}

func (s *shapes) set(workers []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.empty = make(map[string]*gang.State)
	for _, vm := range workers {
		if s.empty[vm.DataCentre] == nil {
			s.empty[vm.DataCentre] = &gang.State{}
		}
		s.empty[vm.DataCentre].SetWorker(gang.Worker{ID: vm.ID, Rack: vm.Rack, Accelerators: vm.Accelerators})
	}
}

// holding returns the first data centre, in the order of the names, that could
// hold the job if it were empty; empty for none.
func (s *shapes) holding(r Record) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.empty))
	for name := range s.empty {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if s.empty[name].Submit(r.Gang()) == nil {
			s.empty[name].Ended(r.ID, time.Now())
			return name
		}
	}
	return ""
}

// SetWorkers takes the workers of all data centres.
func (d *Service) SetWorkers(workers []vmlist.VM) { d.shapes.set(workers) }

// fits returns an error of kind NeverFits when no data centre could ever hold
// the job, and of kind NoTarget when another one could.
func (d *Service) fits(r Record) error {
	err := d.Planner.Fits(r)
	if !fault.Is(err, fault.NeverFits) {
		return err
	}
	if other := d.shapes.holding(r); other != "" && other != r.DataCentre {
		return fault.New(fault.NoTarget, "%s could never hold the job: %v; submit it in %s", r.DataCentre, err, other)
	}
	return err
}
