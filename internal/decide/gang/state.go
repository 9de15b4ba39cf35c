package gang

import (
	"slices"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// State is the planner's knowledge of one data centre. The zero value is an
// empty data centre. It is not safe for concurrent use.
type State struct {
	fleet    fleet
	accounts map[string]*account
	// configured is the last list given to SetAccounts.
	configured []Account
	jobs       map[string]*jobState
	groups     map[shape]*group
	// groupList lists the groups in the groupList in which they were made.
	groupList []*group
	weights   Weights
	// limits holds what the whole fleet could hold, by the accelerators of a
	// task.
	limits map[int]limits
	// blocksStale says that the blocks may no longer back the guarantees.
	reallocate bool
	// ready are the jobs whose claimed place has become free.
	ready []*jobState
	// head is the waiting job with a reservation.
	head *jobState
	// changedQueues are the queues to look at in the next round.
	changed []*queue
	// unstartable are the waiting jobs to be ended as unstartable.
	toFail      []*jobState
	quarantined []*node
	avoidances  []avoidance
	now         time.Time
	off         guards
}

// guards are the checks that tests turn off, one by one, to show their worth.
type guards struct {
	wholeGang       bool
	exclusiveUse    bool
	preemptibleOnly bool
	reclaim         bool
	reallocate      bool
}

// account is a client account with its block.
type account struct {
	Account
	// pieces is the block, in fleet order.
	pieces    []guarantee.Piece
	shortfall int
	// occupied is the number of accelerators that its jobs hold; occupiedInBlock of them are
	// in its block.
	occupied, occupiedInBlock int
	queues                    []*queue
	// blockedJob is the first waiting job that needs accelerators of the block
	// which the account's own jobs hold.
	blockedJob *jobState
	// blockedUntil is when the last of these jobs is expected to end.
	blockedUntil time.Time
	history      map[string]*history
}

// jobState is a job that waits or runs.
type jobState struct {
	Job
	account *account
	queue   *queue
	// sortKey is the job's place in its queue.
	sortKey float64
	running bool
	// preempting says that a Preempt order was given and not yet carried out.
	preempting bool
	slots      []Slot
	// claim is the place that is kept for a waiting job; nil for none.
	nomination *nomination
	// full is the declared run time of the whole job.
	totalRunTime time.Duration
	// started is the time of the last Start order.
	started time.Time
	// guest is the job on whose reservation this one runs; nil for none.
	reservationOwner *jobState
	// failedOn names the workers where its start failed, and avoids those that
	// it avoids at present.
	failedOn       map[string]bool
	avoidedWorkers map[string]bool
	// bad says that its start failed on several sound workers.
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

// replace gives a worker another size or rack. Jobs keep the accelerators that
// are still there.
func (s *State) replaceNode(n *node, w Worker) {
	s.cancelAllNominations()
	for _, h := range n.occupants[min(w.Accelerators, len(n.occupants)):] {
		if h != nil {
			h.account.occupied--
		}
	}
	n.Worker, n.removed = w, false
	n.resize()
	s.limits = nil
	s.fleet.sortNodes()
	s.clearBlocks()
	s.reallocate = true
}

// forgetPieces drops the blocks, whose positions no longer hold.
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

// changed follows up a worker that opened, closed, came or went.
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

func (s *State) shortfall() int {
	sum := 0
	for _, a := range s.configured {
		sum += s.accounts[a.ID].shortfall
	}
	return sum
}

// RemoveWorker removes a worker that is gone. Its jobs are requeued by the
// planner with Requeue.
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

// account returns the account of an id; one without a guarantee when it is
// not configured.
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

// SetWeights sets what placement prefers.
func (s *State) SetWeights(w Weights) {
	if s.weights == w {
		return
	}
	s.weights = w
	s.rebuildHeaps()
}

// Submit queues a job. The error is of kind NeverFits and names the limit when
// the whole data centre, empty, could not hold the job.
func (s *State) Submit(j Job) error {
	if err := s.checkFits(j); err != nil {
		return err
	}
	s.Restore(j)
	return nil
}

// Restore queues a job that was admitted before, also when the workers that
// are known now could not hold it.
func (s *State) Restore(j Job) {
	if _, ok := s.jobs[j.ID]; ok {
		return
	}
	s.enqueue(s.addJob(j))
}

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

// Adopt records a gang that a former planner started.
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

// Requeue puts a job back whole: after a failed start, a lost member or a
// pre-emption. remaining is the declared run time that is left.
func (s *State) Requeue(id string, remaining time.Duration, _ time.Time, reason string) {
	js, ok := s.jobs[id]
	if !ok || !js.running {
		return
	}
	s.release(js)
	js.DeclaredRunTime, js.reason = remaining, reason
	s.enqueue(js)
}

// Ended removes a job that ended and frees its place. The account's later
// declarations are corrected by its run time.
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

// Cancelled removes a job that was cancelled or failed and frees its place.
// Nothing is learnt from its run time.
func (s *State) Cancelled(id string, _ time.Time) {
	if js, ok := s.jobs[id]; ok {
		s.remove(js)
	}
}

func (s *State) remove(js *jobState) {
	s.dequeue(js)
	s.cancelNomination(js)
	s.release(js)
	delete(s.jobs, js.ID)
}

// run makes a job hold its slots.
func (s *State) occupy(js *jobState, slots []Slot, now time.Time) {
	js.running, js.preempting = true, false
	js.slots, js.started = slots, now
	s.setOccupant(js, js, nil)
}

// release frees the slots of a job and counts down the claims on them.
func (s *State) release(js *jobState) {
	if !js.running {
		return
	}
	s.setOccupant(js, nil, js)
	js.running, js.preempting = false, false
	js.slots, js.reservationOwner = nil, nil
	s.markAllChanged(js.account)
}

// mark sets the holder of the slots of js, where it was from before.
func (s *State) setOccupant(js, holder, from *jobState) {
	for _, sl := range js.slots {
		n, ok := s.fleet.byID[sl.Worker]
		if !ok {
			continue
		}
		for _, a := range sl.Accelerators {
			if a < len(n.occupants) && n.occupants[a] == from {
				s.setOccupantAt(n, a, js, holder)
			}
		}
		s.fleet.index(n)
		if holder == nil {
			s.fleet.markFreed(n.rack)
		}
	}
	s.updateHeapsOf(js.account)
}

func (s *State) setOccupantAt(n *node, a int, js, holder *jobState) {
	delta := 1
	if holder == nil {
		delta = -1
		n.occupied &^= 1 << a
		if c := n.nominees[a]; c != nil {
			s.recordFreed(c)
		}
	} else {
		n.occupied |= 1 << a
		if c := n.nominees[a]; c != nil {
			c.nomination.pending++
		}
	}
	n.occupants[a] = holder
	js.account.occupied += delta
	if n.owners[a] == js.account {
		js.account.occupiedInBlock += delta
	}
}

// allocateBlocks carves the blocks again after a change of guarantees or capacity.
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

func (s *State) hasBlocks() bool {
	return slices.ContainsFunc(s.configured, func(a Account) bool { return len(s.accounts[a.ID].pieces) > 0 })
}

// allocatable returns the accelerators that may be carved for a: those that no
// other account's job holds or claims for good.
func (s *State) allocatable(n *node, a *account) uint64 {
	m := guarantee.LowMask(n.Accelerators)
	for i := range n.occupants {
		if notPreemptibleFor(n.occupants[i], a) || notPreemptibleFor(n.nominees[i], a) {
			m &^= 1 << i
		}
	}
	return m
}

func notPreemptibleFor(js *jobState, a *account) bool {
	return js != nil && !js.Idempotent && js.account != a
}

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

// recount counts again what stands inside and outside the blocks.
func (s *State) recountOccupied() {
	for _, a := range s.accounts {
		a.occupiedInBlock, a.blockedJob = 0, nil
		for _, q := range a.queues {
			s.markChanged(q)
		}
	}
	for _, n := range s.fleet.nodes {
		for i, h := range n.occupants {
			if h != nil && n.owners[i] == h.account {
				h.account.occupiedInBlock++
			}
		}
		s.fleet.index(n)
	}
	for _, r := range s.fleet.racks {
		s.fleet.markFreed(r)
	}
	s.rebuildHeaps()
}

// Accounts returns the status of all configured accounts: the largest
// shortfall first, then by id.
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

// reclaimable counts the accelerators of a's block that are free or held by
// borrowers that can be pre-empted.
func (s *State) reclaimable(a *account) int {
	sum := 0
	for _, p := range a.pieces {
		n := s.fleet.nodes[p.Worker]
		for i, h := range n.occupants {
			if p.Mask&(1<<i) != 0 && (h == nil || h.account != a && h.Idempotent) {
				sum++
			}
		}
	}
	return sum
}
