package gang

import (
	"fmt"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// State is the planner's knowledge of one data centre. The zero value is an
// empty data centre. It is not safe for concurrent use.
type State struct {
	workers  map[string]*workerState
	accounts map[string]Account
	jobs     map[string]*jobState
	weights  Weights
}

type workerState struct {
	Worker
	// holder is the job that holds each accelerator, "" for none.
	holder []string
}

type jobState struct {
	Job
	running bool
	slots   []Slot
	reason  string
}

// SetWorker adds or changes a worker.
func (s *State) SetWorker(w Worker) {
	if s.workers == nil {
		s.workers = make(map[string]*workerState)
	}
	ws, ok := s.workers[w.ID]
	if !ok {
		ws = &workerState{holder: make([]string, w.Accelerators)}
		s.workers[w.ID] = ws
	}
	ws.Worker = w
}

// RemoveWorker removes a worker that is gone. Its jobs are requeued by the
// planner with Requeue.
func (s *State) RemoveWorker(id string) { delete(s.workers, id) }

// SetAccounts replaces the accounts and their guarantees.
func (s *State) SetAccounts(accounts []Account) {
	s.accounts = make(map[string]Account, len(accounts))
	for _, a := range accounts {
		s.accounts[a.ID] = a
	}
}

// SetWeights sets what placement prefers.
func (s *State) SetWeights(w Weights) { s.weights = w }

// Submit queues a job. The error is of kind NeverFits and names the limit when
// the whole data centre, empty, could not hold the job.
func (s *State) Submit(j Job) error {
	places := 0
	for _, w := range s.workers {
		places += w.Accelerators / j.Accelerators
	}
	if places < j.Tasks {
		return fault.WithField(fault.NeverFits, "tasks",
			"%d tasks of %d accelerators; the data centre holds at most %d", j.Tasks, j.Accelerators, places)
	}
	s.add(j)
	return nil
}

func (s *State) add(j Job) *jobState {
	if s.jobs == nil {
		s.jobs = make(map[string]*jobState)
	}
	js, ok := s.jobs[j.ID]
	if !ok {
		js = &jobState{Job: j, reason: "waits for its turn"}
		s.jobs[j.ID] = js
	}
	return js
}

// Adopt records a gang that a former planner started.
func (s *State) Adopt(j Job, slots []Slot, _ time.Time) {
	js := s.add(j)
	js.running, js.slots, js.reason = true, slots, "adopted from a former planner"
	s.hold(j.ID, slots)
}

func (s *State) hold(id string, slots []Slot) {
	for _, sl := range slots {
		w, ok := s.workers[sl.Worker]
		if !ok {
			continue
		}
		for _, a := range sl.Accelerators {
			w.holder[a] = id
		}
	}
}

func (s *State) free(js *jobState) {
	s.hold("", js.slots)
	js.running, js.slots = false, nil
}

// Requeue puts a job back whole: after a failed start, a lost member or a
// pre-emption. remaining is the declared run time that is left.
func (s *State) Requeue(id string, remaining time.Duration, _ time.Time, reason string) {
	js, ok := s.jobs[id]
	if !ok {
		return
	}
	s.free(js)
	js.Declared, js.reason = remaining, reason
}

// Ended removes a job that ended or was cancelled and frees its place.
func (s *State) Ended(id string, _ time.Time) {
	js, ok := s.jobs[id]
	if !ok {
		return
	}
	s.free(js)
	delete(s.jobs, id)
}

// StartFailed attributes a failed start of a job to a worker.
func (s *State) StartFailed(_, _ string, _ time.Time) {}

// Plan returns the orders of one round. A job with a Start order holds its
// slots from then on.
func (s *State) Plan(_ time.Time) []Order {
	var orders []Order
	for _, js := range s.order() {
		slots := s.fit(js.Job)
		if slots == nil {
			js.reason = fmt.Sprintf("no room for %d x %d accelerators", js.Tasks, js.Accelerators)
			continue
		}
		js.running, js.slots, js.reason = true, slots, "first fit"
		s.hold(js.ID, slots)
		orders = append(orders, Order{Kind: Start, JobID: js.ID, Slots: slots, Reason: js.reason})
	}
	return orders
}

func (s *State) order() []*jobState {
	var waiting []*jobState
	for _, js := range s.jobs {
		if !js.running {
			waiting = append(waiting, js)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		if !a.Submitted.Equal(b.Submitted) {
			return a.Submitted.Before(b.Submitted)
		}
		return a.ID < b.ID
	})
	return waiting
}

func (s *State) fit(j Job) []Slot {
	ids := make([]string, 0, len(s.workers))
	for id := range s.workers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool {
		wa, wb := s.workers[ids[a]], s.workers[ids[b]]
		if wa.Rack != wb.Rack {
			return wa.Rack < wb.Rack
		}
		return wa.ID < wb.ID
	})
	var slots []Slot
	for _, id := range ids {
		w := s.workers[id]
		if w.Closed {
			continue
		}
		for a := 0; a+j.Accelerators <= len(w.holder) && len(slots) < j.Tasks; a += j.Accelerators {
			if run, ok := freeRun(w, a, j.Accelerators); ok {
				slots = append(slots, Slot{Task: len(slots), Worker: id, Accelerators: run})
			}
		}
	}
	if len(slots) < j.Tasks {
		return nil
	}
	return slots
}

func freeRun(w *workerState, from, n int) ([]int, bool) {
	run := make([]int, n)
	for i := range n {
		if w.holder[from+i] != "" {
			return nil, false
		}
		run[i] = from + i
	}
	return run, true
}

// Explain says why a job stands where it does; found is false for a job that
// is not known.
func (s *State) Explain(id string) (x Explanation, found bool) {
	js, ok := s.jobs[id]
	if !ok {
		return Explanation{}, false
	}
	state := "waiting"
	if js.running {
		state = "running"
	}
	return Explanation{JobID: id, State: state, Reason: js.reason}, true
}

// Accounts returns the status of all accounts, ordered by id.
func (s *State) Accounts() []AccountStatus {
	all := make([]AccountStatus, 0, len(s.accounts))
	for _, a := range s.accounts {
		all = append(all, AccountStatus{ID: a.ID, Guaranteed: a.Workers * a.Accelerators})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Measures returns the fleet's measures.
func (s *State) Measures() Measures {
	var m Measures
	for _, w := range s.workers {
		m.Accelerators += w.Accelerators
		for _, h := range w.holder {
			if h == "" {
				m.Free++
			}
		}
	}
	for _, js := range s.jobs {
		if js.running {
			m.Running++
		} else {
			m.Waiting++
		}
	}
	return m
}
