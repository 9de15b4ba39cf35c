// Package baseline implements two published scheduling policies with which the
// planner's decisions are compared: first-come first-served with first fit, and
// best fit with EASY backfill. They support neither guarantees nor pre-emption,
// and regard classes only when Policy.ByClass is set.
package baseline

import (
	"math/bits"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// Policy is one of the two policies. The zero value is first-come first-served
// with first fit on an empty data centre. It is not safe for concurrent use.
type Policy struct {
	// Backfill selects best fit with EASY backfill: the first waiting job has
	// a reservation and later jobs run when they do not delay it, as in Lifka,
	// "The ANL/IBM SP scheduling system" (JSSPP 1995) and Mu'alem and
	// Feitelson, "Utilization, predictability, workloads, and user runtime
	// estimates in scheduling the IBM SP2 with backfilling" (IEEE TPDS 2001).
	Backfill bool
	// ByClass orders the waiting jobs by class before the time of submission.
	ByClass bool

	workers []*worker
	byID    map[string]*worker
	waiting []*job
	jobs    map[string]*job
	// rackSize is the number of accelerators of the first rack.
	rackSize int
	// upToDate reports that nothing has changed since the last call of Plan.
	upToDate bool
}

type worker struct {
	gang.Worker
	// index is the position in Policy.workers.
	index int
	// occupied has one bit set for each occupied accelerator.
	occupied uint64
}

type job struct {
	gang.Job
	slots []gang.Slot
	// declaredEnd is the time at which a running job ends by its declaration.
	declaredEnd time.Time
}

// SetWorker adds or changes a worker.
func (p *Policy) SetWorker(w gang.Worker) {
	if p.byID == nil {
		p.byID = make(map[string]*worker)
	}
	p.upToDate = false
	if existing, ok := p.byID[w.ID]; ok {
		existing.Worker = w
		return
	}
	n := &worker{Worker: w}
	p.byID[w.ID] = n
	p.workers = append(p.workers, n)
	sort.Slice(p.workers, func(i, j int) bool {
		a, b := p.workers[i], p.workers[j]
		return a.Rack < b.Rack || a.Rack == b.Rack && a.ID < b.ID
	})
	p.rackSize = 0
	for i, w := range p.workers {
		w.index = i
		if w.Rack == p.workers[0].Rack {
			p.rackSize += w.Accelerators
		}
	}
}

// Submit queues a job. The error is always nil.
func (p *Policy) Submit(j gang.Job) error {
	if p.jobs == nil {
		p.jobs = make(map[string]*job)
	}
	p.jobs[j.ID] = &job{Job: j}
	p.enqueue(p.jobs[j.ID])
	return nil
}

func (p *Policy) enqueue(j *job) {
	p.upToDate = false
	i := sort.Search(len(p.waiting), func(i int) bool { return p.before(j, p.waiting[i]) })
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = j
}

// before reports whether a is planned before b.
func (p *Policy) before(a, b *job) bool {
	if p.ByClass && a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.ID < b.ID
}

// Requeue returns a running job to the queue. remaining is the declared run
// time that is left.
func (p *Policy) Requeue(id string, remaining time.Duration, _ time.Time, _ string) {
	if j, ok := p.jobs[id]; ok && j.slots != nil {
		p.release(j)
		j.DeclaredRunTime = remaining
		p.enqueue(j)
	}
}

// Ended removes a job that ended and frees its slots.
func (p *Policy) Ended(id string, _ time.Time) {
	j, ok := p.jobs[id]
	if !ok {
		return
	}
	p.release(j)
	delete(p.jobs, id)
	for i, w := range p.waiting {
		if w == j {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
}

// Cancelled removes a job that was cancelled and frees its slots.
func (p *Policy) Cancelled(id string, now time.Time) { p.Ended(id, now) }

// release frees the slots of a job.
func (p *Policy) release(j *job) {
	p.upToDate = false
	for _, s := range j.slots {
		p.byID[s.Worker].occupied &^= mask(s.Accelerators)
	}
	j.slots = nil
}

// mask returns a mask of accelerators given by their indices.
func mask(accelerators []int) uint64 {
	m := uint64(0)
	for _, a := range accelerators {
		m |= 1 << a
	}
	return m
}

// Plan returns Start orders for the waiting jobs that the policy starts at now.
// It returns nothing when nothing has changed since the last call.
func (p *Policy) Plan(now time.Time) []gang.Order {
	if p.upToDate {
		return nil
	}
	p.upToDate = true
	var orders []gang.Order
	available := p.available(time.Time{}, now)
	for len(p.waiting) > 0 {
		slots := p.place(p.waiting[0], available)
		if slots == nil {
			break
		}
		orders = append(orders, p.start(0, slots, now, available))
	}
	if !p.Backfill || len(p.waiting) < 2 {
		return orders
	}
	return append(orders, p.backfill(now, available)...)
}

// start starts the i-th waiting job on slots and removes them from available.
func (p *Policy) start(i int, slots []gang.Slot, now time.Time, available []uint64) gang.Order {
	j := p.waiting[i]
	p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
	j.slots, j.declaredEnd = slots, now.Add(j.DeclaredRunTime)
	for _, s := range slots {
		w := p.byID[s.Worker]
		w.occupied |= mask(s.Accelerators)
		available[w.index] &^= w.occupied
	}
	return gang.Order{Kind: gang.Start, JobID: j.ID, Slots: slots}
}

// available returns the mask of free accelerators of each worker: now when at
// is zero, and otherwise at that time if the running jobs end as declared.
func (p *Policy) available(at, now time.Time) []uint64 {
	available := make([]uint64, len(p.workers))
	for i, w := range p.workers {
		if !w.Unschedulable {
			available[i] = guarantee.LowMask(w.Accelerators) &^ w.occupied
		}
	}
	if at.IsZero() {
		return available
	}
	for _, j := range p.jobs {
		if j.slots == nil || j.expectedEnd(now).After(at) {
			continue
		}
		for _, s := range j.slots {
			if w := p.byID[s.Worker]; !w.Unschedulable {
				available[w.index] |= mask(s.Accelerators)
			}
		}
	}
	return available
}

// expectedEnd returns the declared end, or one minute from now for a job that
// has exceeded it.
func (j *job) expectedEnd(now time.Time) time.Time {
	if j.declaredEnd.After(now) {
		return j.declaredEnd
	}
	return now.Add(time.Minute)
}

// backfill starts later jobs that end before the reservation of the first
// waiting job begins, or that use none of the reserved accelerators.
func (p *Policy) backfill(now time.Time, available []uint64) []gang.Order {
	reservedFrom, reserved := p.reservation(now)
	var orders []gang.Order
	failed := make(map[[4]int]bool)
	for i := 1; i < len(p.waiting); {
		j := p.waiting[i]
		endsInTime := !now.Add(j.DeclaredRunTime).After(reservedFrom)
		key := [4]int{j.Tasks, j.Accelerators, toInt(j.Adjacent), toInt(endsInTime)}
		if failed[key] {
			i++
			continue
		}
		usable := available
		if !endsInTime {
			usable = make([]uint64, len(available))
			for k := range available {
				usable[k] = available[k] &^ reserved[k]
			}
		}
		slots := p.place(j, usable)
		if slots == nil {
			failed[key] = true
			i++
			continue
		}
		orders = append(orders, p.start(i, slots, now, available))
	}
	return orders
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// reservation returns when the first waiting job can start if the running jobs
// end as declared, and the mask of the accelerators that it then occupies on
// each worker.
func (p *Policy) reservation(now time.Time) (time.Time, []uint64) {
	var ends []time.Time
	for _, j := range p.jobs {
		if j.slots != nil {
			ends = append(ends, j.expectedEnd(now))
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	head := p.waiting[0]
	reserved := make([]uint64, len(p.workers))
	i := sort.Search(len(ends), func(i int) bool { return p.place(head, p.available(ends[i], now)) != nil })
	if i == len(ends) {
		return now, reserved
	}
	for _, s := range p.place(head, p.available(ends[i], now)) {
		reserved[p.byID[s.Worker].index] |= mask(s.Accelerators)
	}
	return ends[i], reserved
}

// place returns the slots for a gang, or nil when it does not fit.
func (p *Policy) place(j *job, available []uint64) []gang.Slot {
	if j.Adjacent && j.Tasks > 1 {
		return p.placeAdjacent(j, available)
	}
	if j.Tasks == 1 {
		return p.placeSingle(j, available)
	}
	order := make([]int, len(available))
	for i := range available {
		order[i] = i
	}
	if p.Backfill {
		sort.SliceStable(order, func(a, b int) bool {
			return bits.OnesCount64(available[order[a]]) < bits.OnesCount64(available[order[b]])
		})
	}
	var slots []gang.Slot
	for _, i := range order {
		slots = p.fill(slots, j, i, available[i])
		if len(slots) == j.Tasks {
			return slots
		}
	}
	return nil
}

// placeSingle returns the slot for a gang of one task: on the first worker on
// which it fits, or with best fit on the one with the fewest free accelerators.
func (p *Policy) placeSingle(j *job, available []uint64) []gang.Slot {
	var best []gang.Slot
	least := 0
	for i, m := range available {
		free := bits.OnesCount64(m)
		if free < j.Accelerators || best != nil && free >= least {
			continue
		}
		slots := p.fill(nil, j, i, m)
		if slots == nil {
			continue
		}
		best, least = slots, free
		if !p.Backfill {
			break
		}
	}
	return best
}

// fill appends slots on worker i, each on the first free range of adjacent
// accelerators that is long enough, until the gang is complete.
func (p *Policy) fill(slots []gang.Slot, j *job, i int, available uint64) []gang.Slot {
	for off := 0; off+j.Accelerators <= p.workers[i].Accelerators && len(slots) < j.Tasks; {
		m := guarantee.LowMask(j.Accelerators) << off
		if available&m != m {
			off++
			continue
		}
		indices := make([]int, j.Accelerators)
		for k := range indices {
			indices[k] = off + k
		}
		slots = append(slots, gang.Slot{Task: len(slots), Worker: p.workers[i].ID, Accelerators: indices})
		off += j.Accelerators
	}
	return slots
}

// placeAdjacent returns slots on neighbouring workers: the first that fit, or
// with best fit those that leave the fewest free accelerators on and beside
// them.
func (p *Policy) placeAdjacent(j *job, available []uint64) []gang.Slot {
	var best []gang.Slot
	least := 0
	for i := range available {
		slots, leftover := p.window(j, available, i)
		if slots == nil || best != nil && leftover >= least {
			continue
		}
		best, least = slots, leftover
		if !p.Backfill {
			break
		}
	}
	return best
}

// window returns slots on neighbouring workers from first on, and the number of
// accelerators that stay free on them and on the worker at either side. It
// spans racks only when the gang is larger than the first rack.
func (p *Policy) window(j *job, available []uint64, first int) (slots []gang.Slot, leftover int) {
	if available[first] == 0 {
		return nil, 0
	}
	if first > 0 {
		leftover = bits.OnesCount64(available[first-1])
	}
	cross := j.Tasks*j.Accelerators > p.rackSize
	for i := first; i < len(available); i++ {
		if !cross && p.workers[i].Rack != p.workers[first].Rack {
			return nil, 0
		}
		before := len(slots)
		slots = p.fill(slots, j, i, available[i])
		if len(slots) == before {
			return nil, 0
		}
		leftover += bits.OnesCount64(available[i]) - (len(slots)-before)*j.Accelerators
		if len(slots) < j.Tasks {
			continue
		}
		if i+1 < len(available) {
			leftover += bits.OnesCount64(available[i+1])
		}
		return slots, leftover
	}
	return nil, 0
}
