package job

import (
	"sort"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// emptyStates holds the scheduling state of each data centre with all its workers
// and no jobs. The zero value has no data centres. It is safe for concurrent use.
type emptyStates struct {
	mu           sync.Mutex
	byDataCentre map[string]*gang.State
}

func (s *emptyStates) set(workers []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byDataCentre = make(map[string]*gang.State)
	for _, vm := range workers {
		if s.byDataCentre[vm.DataCentre] == nil {
			s.byDataCentre[vm.DataCentre] = &gang.State{}
		}
		s.byDataCentre[vm.DataCentre].SetWorker(gang.Worker{ID: vm.ID, Rack: vm.Rack, Accelerators: vm.Accelerators})
	}
}

// firstFit returns the first data centre, by name, in which the job would fit if no
// other job ran there. It returns the empty string when there is none.
func (s *emptyStates) firstFit(r Record) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.byDataCentre))
	for name := range s.byDataCentre {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if s.byDataCentre[name].Submit(r.Gang()) == nil {
			s.byDataCentre[name].Ended(r.ID, time.Now())
			return name
		}
	}
	return ""
}

// SetWorkers replaces the list of workers of all data centres.
func (s *Service) SetWorkers(workers []vmlist.VM) { s.emptyStates.set(workers) }

// fits returns an error of kind NeverFits when the job could never run in any data
// centre, and of kind NoTarget when it could run only in another one.
func (s *Service) fits(r Record) error {
	err := s.Planner.Fits(r)
	if !fault.Is(err, fault.NeverFits) {
		return err
	}
	if other := s.emptyStates.firstFit(r); other != "" && other != r.DataCentre {
		return fault.New(fault.NoTarget, "the job can never run in %s: %v; submit it in %s", r.DataCentre, err, other)
	}
	return err
}
