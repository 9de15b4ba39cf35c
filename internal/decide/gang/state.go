package gang

import (
	"slices"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// State is the state from which the planner decides for one data centre. The
// zero value is an empty data centre. It is not safe for concurrent use.
type State struct {
	fleet    fleet
	accounts map[string]*account
	// configured is the last list passed to SetAccounts.
	configured []Account
	jobs       map[string]*jobState
	groups     map[shape]*group
	// groupList lists the groups in the order of their creation.
	groupList []*group
	weights   Weights
	// limits caches the capacity of the whole empty fleet by the number of
	// accelerators of a task.
	limits map[int]limits
	// reallocate reports that the blocks may no longer back the guarantees and
	// are to be allocated again.
	reallocate bool
	// ready are the jobs whose nominated accelerators have all become free.
	ready []*jobState
	// head is the waiting job that owns the reservation; nil for none.
	head *jobState
	// changed are the queues whose first job is to be tried in the next round.
	changed []*queue
	// toFail are the waiting jobs that get a Fail order.
	toFail      []*jobState
	quarantined []*node
	avoidances  []avoidance
	now         time.Time
	off         guards
}

// guards switches off single checks, so that tests can show that each is
// needed.
type guards struct {
	// wholeGang lets a gang start with fewer tasks than it has.
	wholeGang bool
	// exclusiveUse lets a job use occupied accelerators.
	exclusiveUse bool
	// preemptibleOnly lets jobs that are not idempotent borrow.
	preemptibleOnly bool
	// reclaim leaves borrowers in the block of an account.
	reclaim bool
	// reallocate leaves the blocks as they were first allocated.
	reallocate bool
}

// account is a client account with its block.
type account struct {
	Account
	// pieces are the pieces of the block, in fleet order.
	pieces    []guarantee.Piece
	shortfall int
	// occupied is the number of accelerators that the account's jobs occupy,
	// and occupiedInBlock the part of them in its block.
	occupied, occupiedInBlock int
	queues                    []*queue
	// blockedJob is the first waiting job that fits into the block but for the
	// account's own jobs; nil for none.
	blockedJob *jobState
	// blockedUntil is when the last of these jobs is expected to end.
	blockedUntil time.Time
	// history holds the observed run times by the kind of job.
	history map[string]*history
}

// jobState is a job that waits or runs.
type jobState struct {
	Job
	account *account
	queue   *queue
	// sortKey is the job's key in its queue.
	sortKey float64
	running bool
	// preempting reports that a Preempt order was given and is not yet carried
	// out.
	preempting bool
	slots      []Slot
	// nomination is the set of accelerators nominated for a waiting job; nil
	// for none.
	nomination *nomination
	// totalRunTime is the declared run time of the whole job.
	totalRunTime time.Duration
	// started is the time of the last Start order.
	started time.Time
	// reservationOwner is the job on whose reservation this one runs as
	// backfill; nil for none.
	reservationOwner *jobState
	// failedOn holds the workers on which the start failed, and avoidedWorkers
	// those that the job avoids at present.
	failedOn       map[string]bool
	avoidedWorkers map[string]bool
	// unstartable reports that the start failed on several healthy workers.
	unstartable bool
	reason      string
}

// SetWorker adds or changes a worker.
func (s *State) SetWorker(w Worker) {
	w.Accelerators = min(w.Accelerators, maxAccelerators)
	n, ok := s.fleet.byID[w.ID]
	if !ok {
		s.cancelAllNominations()
		s.fleet.add(w)
		s.limits = nil
		s.clearBlocks()
		s.reallocate = true
		return
	}
	if n.Worker == w && !n.removed {
		return
	}
	if n.Accelerators != w.Accelerators || n.Rack != w.Rack {
		s.replaceNode(n, w)
		return
	}
	n.Worker, n.removed = w, false
	s.limits = nil
	s.nodeChanged(n)
}

// maxAccelerators is the largest number of accelerators of a worker.
const maxAccelerators = 64

// replaceNode changes the size or the rack of a worker. Jobs keep the
// accelerators that still exist.
func (s *State) replaceNode(n *node, w Worker) {
	s.cancelAllNominations()
	for _, occupant := range n.occupants[min(w.Accelerators, len(n.occupants)):] {
		if occupant != nil {
			occupant.account.occupied--
		}
	}
	n.Worker, n.removed = w, false
	n.resize()
	s.limits = nil
	s.fleet.sortNodes()
	s.clearBlocks()
	s.reallocate = true
}

// clearBlocks removes the blocks of all accounts, whose positions are no longer
// valid.
func (s *State) clearBlocks() {
	for _, n := range s.fleet.nodes {
		for i, o := range n.owners {
			if o != nil {
				n.owners[i] = nil
			}
		}
	}
	for _, a := range s.accounts {
		a.pieces = nil
	}
}

// nodeChanged updates the state after a worker was opened, closed, added back
// or removed, or may be tried again.
func (s *State) nodeChanged(n *node) {
	if n.schedulable() == 0 {
		for _, js := range distinctJobs(n.nominees) {
			s.cancelAndRequeue(js)
		}
	}
	s.fleet.index(n)
	s.fleet.markFreed(n.rack)
	s.reallocate = s.reallocate || s.shortfall() > 0 || n.owned(nil) != guarantee.LowMask(n.Accelerators)
}

// shortfall returns the number of guaranteed accelerators that no block backs.
func (s *State) shortfall() int {
	sum := 0
	for _, a := range s.configured {
		sum += s.accounts[a.ID].shortfall
	}
	return sum
}

// RemoveWorker removes a worker. The planner requeues its jobs with Requeue.
func (s *State) RemoveWorker(id string) {
	n, ok := s.fleet.byID[id]
	if !ok || n.removed {
		return
	}
	n.removed = true
	s.limits = nil
	s.nodeChanged(n)
}

// SetAccounts replaces the accounts and their guarantees.
func (s *State) SetAccounts(accounts []Account) {
	if slices.Equal(s.configured, accounts) {
		return
	}
	for _, a := range s.accounts {
		a.Account = Account{ID: a.ID}
	}
	s.configured = slices.Clone(accounts)
	for _, a := range accounts {
		s.account(a.ID).Account = a
	}
	s.reallocate = true
}

// account returns the account with an id. An account that is not configured has
// no guarantee.
func (s *State) account(id string) *account {
	a, ok := s.accounts[id]
	if ok {
		return a
	}
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}
	a = &account{Account: Account{ID: id}}
	s.accounts[id] = a
	return a
}

// SetWeights sets the weights of the objectives.
func (s *State) SetWeights(w Weights) {
	if s.weights == w {
		return
	}
	s.weights = w
	s.rebuildHeaps()
}

// Submit queues a job. The error is of kind NeverFits and names the limit when
// the job would not fit even in the empty data centre.
func (s *State) Submit(j Job) error {
	if err := s.checkFits(j); err != nil {
		return err
	}
	s.Restore(j)
	return nil
}

// Restore queues a job that was admitted before, even if the workers known at
// present could not run it.
func (s *State) Restore(j Job) {
	if _, ok := s.jobs[j.ID]; ok {
		return
	}
	s.enqueue(s.addJob(j))
}

// addJob returns the state of a job and creates it when it is missing.
func (s *State) addJob(j Job) *jobState {
	js, ok := s.jobs[j.ID]
	if ok {
		return js
	}
	if s.jobs == nil {
		s.jobs = make(map[string]*jobState)
	}
	js = &jobState{Job: j, account: s.account(j.Account), totalRunTime: j.DeclaredRunTime, reason: "waits for its turn"}
	s.jobs[j.ID] = js
	return js
}

// Adopt records a gang that a former planner started on slots.
func (s *State) Adopt(j Job, slots []Slot, now time.Time) {
	js := s.addJob(j)
	if js.running {
		return
	}
	s.dequeue(js)
	s.cancelNomination(js)
	s.occupy(js, slots, now)
	js.reason = "adopted from a former planner"
}

// Requeue returns a running job with all its tasks to the queue: after a failed
// start, the loss of a member or a pre-emption. remaining is the declared run
// time that is left.
func (s *State) Requeue(id string, remaining time.Duration, _ time.Time, reason string) {
	js, ok := s.jobs[id]
	if !ok || !js.running {
		return
	}
	s.release(js)
	js.DeclaredRunTime, js.reason = remaining, reason
	s.enqueue(js)
}

// Ended removes a job that ran to its end and frees its slots. Its run time
// corrects the account's later declarations.
func (s *State) Ended(id string, now time.Time) {
	js, ok := s.jobs[id]
	if !ok {
		return
	}
	if js.running {
		s.recordRunTime(js, now)
		s.recordSuccess(js)
	}
	s.remove(js)
}

// Cancelled removes a job that was cancelled or failed and frees its slots. Its
// run time corrects no declarations.
func (s *State) Cancelled(id string, _ time.Time) {
	if js, ok := s.jobs[id]; ok {
		s.remove(js)
	}
}

// remove removes a job from its queue or its slots and from the state.
func (s *State) remove(js *jobState) {
	s.dequeue(js)
	s.cancelNomination(js)
	s.release(js)
	delete(s.jobs, js.ID)
}

// occupy makes a job the occupant of slots.
func (s *State) occupy(js *jobState, slots []Slot, now time.Time) {
	js.running, js.preempting = true, false
	js.slots, js.started = slots, now
	s.setOccupant(js, js, nil)
}

// release frees the slots of a running job.
func (s *State) release(js *jobState) {
	if !js.running {
		return
	}
	s.setOccupant(js, nil, js)
	js.running, js.preempting = false, false
	js.slots, js.reservationOwner = nil, nil
	s.markAllChanged(js.account)
}

// setOccupant sets the occupant of those slots of js that previous occupies;
// nil stands for free.
func (s *State) setOccupant(js, occupant, previous *jobState) {
	for _, sl := range js.slots {
		n, ok := s.fleet.byID[sl.Worker]
		if !ok {
			continue
		}
		for _, a := range sl.Accelerators {
			if a < len(n.occupants) && n.occupants[a] == previous {
				s.setOccupantAt(n, a, js, occupant)
			}
		}
		s.fleet.index(n)
		if occupant == nil {
			s.fleet.markFreed(n.rack)
		}
	}
	s.updateHeapsOf(js.account)
}

// setOccupantAt sets the occupant of one accelerator of js.
func (s *State) setOccupantAt(n *node, a int, js, occupant *jobState) {
	delta := 1
	if occupant == nil {
		delta = -1
		n.occupied &^= 1 << a
		if nominee := n.nominees[a]; nominee != nil {
			s.recordFreed(nominee)
		}
	} else {
		n.occupied |= 1 << a
		if nominee := n.nominees[a]; nominee != nil {
			nominee.nomination.pending++
		}
	}
	n.occupants[a] = occupant
	js.account.occupied += delta
	if n.owners[a] == js.account {
		js.account.occupiedInBlock += delta
	}
}

// allocateBlocks allocates the blocks of all accounts again, after a change of
// guarantees or capacity.
func (s *State) allocateBlocks() {
	s.reallocate = false
	if s.off.reallocate && s.hasBlocks() {
		return
	}
	workers := make([]guarantee.Worker, len(s.fleet.nodes))
	for i, n := range s.fleet.nodes {
		s.fleet.visits++
		workers[i].Rack = n.rack.index
		if n.schedulable() != 0 {
			workers[i].Accelerators = n.Accelerators
		}
	}
	shapes := make([]guarantee.Shape, len(s.configured))
	for i, a := range s.configured {
		shapes[i] = guarantee.Shape{Workers: a.Workers, Accelerators: a.Accelerators, Current: s.accounts[a.ID].pieces}
	}
	blocks := guarantee.Allocate(workers, shapes, func(worker, shape int) uint64 {
		return s.allocatable(s.fleet.nodes[worker], s.accounts[s.configured[shape].ID])
	})
	s.clearBlocks()
	for i, a := range s.configured {
		s.assignBlock(s.accounts[a.ID], blocks[i])
	}
	s.recountOccupied()
}

// hasBlocks reports whether an account has a block.
func (s *State) hasBlocks() bool {
	return slices.ContainsFunc(s.configured, func(a Account) bool { return len(s.accounts[a.ID].pieces) > 0 })
}

// allocatable returns the accelerators of a node that may be allocated to a:
// those that are neither occupied by nor nominated for a job of another account
// that cannot be pre-empted.
func (s *State) allocatable(n *node, a *account) uint64 {
	m := guarantee.LowMask(n.Accelerators)
	for i := range n.occupants {
		if notPreemptibleFor(n.occupants[i], a) || notPreemptibleFor(n.nominees[i], a) {
			m &^= 1 << i
		}
	}
	return m
}

// notPreemptibleFor reports whether a may not pre-empt js, a job of another
// account.
func notPreemptibleFor(js *jobState, a *account) bool {
	return js != nil && !js.Idempotent && js.account != a
}

// assignBlock assigns a block to an account.
func (s *State) assignBlock(a *account, b guarantee.Block) {
	a.pieces, a.shortfall = b.Pieces, b.Shortfall
	sort.Slice(a.pieces, func(i, j int) bool { return a.pieces[i].Worker < a.pieces[j].Worker })
	for _, p := range a.pieces {
		n := s.fleet.nodes[p.Worker]
		for i := range n.owners {
			if p.Mask&(1<<i) != 0 {
				n.owners[i] = a
			}
		}
	}
}

// recountOccupied counts the occupied accelerators inside the blocks again, and
// has every queue tried.
func (s *State) recountOccupied() {
	for _, a := range s.accounts {
		a.occupiedInBlock, a.blockedJob = 0, nil
		for _, q := range a.queues {
			s.markChanged(q)
		}
	}
	for _, n := range s.fleet.nodes {
		for i, occupant := range n.occupants {
			if occupant != nil && n.owners[i] == occupant.account {
				occupant.account.occupiedInBlock++
			}
		}
		s.fleet.index(n)
	}
	for _, r := range s.fleet.racks {
		s.fleet.markFreed(r)
	}
	s.rebuildHeaps()
}

// Accounts returns the status of all configured accounts, by descending
// shortfall and then by id.
func (s *State) Accounts() []AccountStatus {
	if s.reallocate {
		s.allocateBlocks()
	}
	all := make([]AccountStatus, 0, len(s.configured))
	for _, c := range s.configured {
		a := s.accounts[c.ID]
		all = append(all, AccountStatus{
			ID: a.ID, Guaranteed: a.Workers * a.Accelerators, InUse: a.occupiedInBlock, Borrowed: a.occupied - a.occupiedInBlock,
			Reclaimable: s.reclaimable(a), Shortfall: a.shortfall,
		})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Shortfall != all[j].Shortfall {
			return all[i].Shortfall > all[j].Shortfall
		}
		return all[i].ID < all[j].ID
	})
	return all
}

// reclaimable counts the accelerators of a's block that are free or occupied by
// borrowers that can be pre-empted.
func (s *State) reclaimable(a *account) int {
	sum := 0
	for _, p := range a.pieces {
		n := s.fleet.nodes[p.Worker]
		for i, occupant := range n.occupants {
			if p.Mask&(1<<i) != 0 && (occupant == nil || occupant.account != a && occupant.Idempotent) {
				sum++
			}
		}
	}
	return sum
}
