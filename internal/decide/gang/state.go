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
	// order lists the groups in the order in which they were made.
	order   []*group
	weights Weights
	// limits holds what the whole fleet could hold, by the accelerators of a
	// task.
	limits map[int]limits
	// recarve says that the blocks may no longer back the guarantees.
	recarve bool
	// ready are the jobs whose claimed place has become free.
	ready []*jobState
	// head is the waiting job with a reservation.
	head *jobState
	// fresh are the queues to look at in the next round.
	fresh []*queue
	// failed are the waiting jobs to be ended as failed.
	failed      []*jobState
	quarantined []*node
	avoided     []avoidance
	now         time.Time
	off         guards
}

// guards are the checks that tests turn off, one by one, to show their worth.
type guards struct {
	wholeGang       bool
	heldOnce        bool
	preemptibleOnly bool
	reclaim         bool
	recarve         bool
}

// account is a client account with its block.
type account struct {
	Account
	// pieces is the block, in fleet order.
	pieces    []guarantee.Piece
	shortfall int
	// held is the number of accelerators that its jobs hold; own of them are
	// in its block.
	held, own int
	queues    []*queue
	// waits is the first waiting job that needs accelerators of the block
	// which the account's own jobs hold.
	waits *jobState
	// waitsUntil is when the last of these jobs is expected to end.
	waitsUntil time.Time
	history    map[string]*history
}

// jobState is a job that waits or runs.
type jobState struct {
	Job
	account *account
	queue   *queue
	// key is the job's place in its queue.
	key     float64
	running bool
	// preempting says that a Preempt order was given and not yet carried out.
	preempting bool
	slots      []Slot
	// claim is the place that is kept for a waiting job; nil for none.
	claim *claim
	// full is the declared run time of the whole job.
	full time.Duration
	// started is the time of the last Start order.
	started time.Time
	// guest is the job on whose reservation this one runs; nil for none.
	guest *jobState
	// failedOn names the workers where its start failed, and avoids those that
	// it avoids at present.
	failedOn map[string]bool
	avoids   map[string]bool
	// bad says that its start failed on several sound workers.
	bad    bool
	reason string
}

// SetWorker adds or changes a worker.
func (s *State) SetWorker(w Worker) {
	w.Accelerators = min(w.Accelerators, maxAccelerators)
	n, ok := s.fleet.byID[w.ID]
	if !ok {
		s.dropClaims()
		s.fleet.add(w)
		s.limits = nil
		s.forgetPieces()
		s.recarve = true
		return
	}
	if n.Worker == w && !n.gone {
		return
	}
	if n.Accelerators != w.Accelerators || n.Rack != w.Rack {
		s.replace(n, w)
		return
	}
	n.Worker, n.gone = w, false
	s.limits = nil
	s.changed(n)
}

// maxAccelerators is the largest number of accelerators of a worker.
const maxAccelerators = 64

// replace gives a worker another size or rack. Jobs keep the accelerators that
// are still there.
func (s *State) replace(n *node, w Worker) {
	s.dropClaims()
	for _, h := range n.holders[min(w.Accelerators, len(n.holders)):] {
		if h != nil {
			h.account.held--
		}
	}
	n.Worker, n.gone = w, false
	n.resize()
	s.limits = nil
	s.fleet.arrange()
	s.forgetPieces()
	s.recarve = true
}

// forgetPieces drops the blocks, whose positions no longer hold.
func (s *State) forgetPieces() {
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
func (s *State) changed(n *node) {
	if n.all() == 0 {
		for _, js := range distinct(n.claims) {
			s.unclaim(js)
		}
	}
	s.fleet.index(n)
	s.fleet.touch(n.rack)
	s.recarve = s.recarve || s.shortfall() > 0 || n.owned(nil) != guarantee.LowMask(n.Accelerators)
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
	if !ok || n.gone {
		return
	}
	n.gone = true
	s.limits = nil
	s.changed(n)
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
	s.recarve = true
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
	s.reorder()
}

// Submit queues a job. The error is of kind NeverFits and names the limit when
// the whole data centre, empty, could not hold the job.
func (s *State) Submit(j Job) error {
	if err := s.fits(j); err != nil {
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
	s.enqueue(s.add(j))
}

func (s *State) add(j Job) *jobState {
	js, ok := s.jobs[j.ID]
	if ok {
		return js
	}
	if s.jobs == nil {
		s.jobs = make(map[string]*jobState)
	}
	js = &jobState{Job: j, account: s.account(j.Account), full: j.DeclaredRunTime, reason: "waits for its turn"}
	s.jobs[j.ID] = js
	return js
}

// Adopt records a gang that a former planner started.
func (s *State) Adopt(j Job, slots []Slot, now time.Time) {
	js := s.add(j)
	if js.running {
		return
	}
	s.leave(js)
	s.dropClaim(js)
	s.run(js, slots, now)
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
		s.learn(js, now)
		s.succeeded(js)
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
	s.leave(js)
	s.dropClaim(js)
	s.release(js)
	delete(s.jobs, js.ID)
}

// run makes a job hold its slots.
func (s *State) run(js *jobState, slots []Slot, now time.Time) {
	js.running, js.preempting = true, false
	js.slots, js.started = slots, now
	s.mark(js, js, nil)
}

// release frees the slots of a job and counts down the claims on them.
func (s *State) release(js *jobState) {
	if !js.running {
		return
	}
	s.mark(js, nil, js)
	js.running, js.preempting = false, false
	js.slots, js.guest = nil, nil
	s.freshenAll(js.account)
}

// mark sets the holder of the slots of js, where it was from before.
func (s *State) mark(js, holder, from *jobState) {
	for _, sl := range js.slots {
		n, ok := s.fleet.byID[sl.Worker]
		if !ok {
			continue
		}
		for _, a := range sl.Accelerators {
			if a < len(n.holders) && n.holders[a] == from {
				s.markOne(n, a, js, holder)
			}
		}
		s.fleet.index(n)
		if holder == nil {
			s.fleet.touch(n.rack)
		}
	}
	s.shareChanged(js.account)
}

func (s *State) markOne(n *node, a int, js, holder *jobState) {
	delta := 1
	if holder == nil {
		delta = -1
		n.held &^= 1 << a
		if c := n.claims[a]; c != nil {
			s.countDown(c)
		}
	} else {
		n.held |= 1 << a
		if c := n.claims[a]; c != nil {
			c.claim.pending++
		}
	}
	n.holders[a] = holder
	js.account.held += delta
	if n.owners[a] == js.account {
		js.account.own += delta
	}
}

// carve carves the blocks again after a change of guarantees or capacity.
func (s *State) carve() {
	s.recarve = false
	if s.off.recarve && s.carved() {
		return
	}
	workers := make([]guarantee.Worker, len(s.fleet.nodes))
	for i, n := range s.fleet.nodes {
		s.fleet.steps++
		workers[i].Rack = n.rack.index
		if n.all() != 0 {
			workers[i].Accelerators = n.Accelerators
		}
	}
	shapes := make([]guarantee.Shape, len(s.configured))
	for i, a := range s.configured {
		shapes[i] = guarantee.Shape{Workers: a.Workers, Accelerators: a.Accelerators, Current: s.accounts[a.ID].pieces}
	}
	blocks := guarantee.Allocate(workers, shapes, func(worker, shape int) uint64 {
		return s.carvable(s.fleet.nodes[worker], s.accounts[s.configured[shape].ID])
	})
	s.forgetPieces()
	for i, a := range s.configured {
		s.own(s.accounts[a.ID], blocks[i])
	}
	s.recount()
}

func (s *State) carved() bool {
	return slices.ContainsFunc(s.configured, func(a Account) bool { return len(s.accounts[a.ID].pieces) > 0 })
}

// carvable returns the accelerators that may be carved for a: those that no
// other account's job holds or claims for good.
func (s *State) carvable(n *node, a *account) uint64 {
	m := guarantee.LowMask(n.Accelerators)
	for i := range n.holders {
		if fixed(n.holders[i], a) || fixed(n.claims[i], a) {
			m &^= 1 << i
		}
	}
	return m
}

func fixed(js *jobState, a *account) bool {
	return js != nil && !js.Idempotent && js.account != a
}

func (s *State) own(a *account, b guarantee.Block) {
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
func (s *State) recount() {
	for _, a := range s.accounts {
		a.own, a.waits = 0, nil
		for _, q := range a.queues {
			s.freshen(q)
		}
	}
	for _, n := range s.fleet.nodes {
		for i, h := range n.holders {
			if h != nil && n.owners[i] == h.account {
				h.account.own++
			}
		}
		s.fleet.index(n)
	}
	for _, r := range s.fleet.racks {
		s.fleet.touch(r)
	}
	s.reorder()
}

// Accounts returns the status of all configured accounts: the largest
// shortfall first, then by id.
func (s *State) Accounts() []AccountStatus {
	if s.recarve {
		s.carve()
	}
	all := make([]AccountStatus, 0, len(s.configured))
	for _, c := range s.configured {
		a := s.accounts[c.ID]
		all = append(all, AccountStatus{
			ID: a.ID, Guaranteed: a.Workers * a.Accelerators, InUse: a.own, Borrowed: a.held - a.own,
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
		for i, h := range n.holders {
			if p.Mask&(1<<i) != 0 && (h == nil || h.account != a && h.Idempotent) {
				sum++
			}
		}
	}
	return sum
}
