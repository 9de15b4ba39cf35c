// Package baseline holds two published policies that the planner's decisions
// are compared with: first-come first-served with first fit, and best fit with
// EASY backfill. They know neither classes, guarantees nor pre-emption.
package baseline

import (
	"math/bits"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/guarantee"
)

// Policy is one of the two policies. The zero value is first-come first-served
// with first fit over an empty data centre.
type Policy struct {
	// Backfill selects best fit with EASY backfill: the first waiting job has
	// a reservation and later ones run when they do not delay it, as in Lifka,
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
	// planned says that nothing has changed since the last round.
	planned bool
}

type worker struct {
	gang.Worker
	index int
	held  uint64
}

type job struct {
	gang.Job
	slots []gang.Slot
	// end is the declared end of a running job.
	end time.Time
}

// SetWorker adds or changes a worker.
func (p *Policy) SetWorker(w gang.Worker) {
	if p.byID == nil {
		p.byID = make(map[string]*worker)
	}
	p.planned = false
	if known, ok := p.byID[w.ID]; ok {
		known.Worker = w
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

// Submit queues a job.
func (p *Policy) Submit(j gang.Job) error {
	if p.jobs == nil {
		p.jobs = make(map[string]*job)
	}
	p.jobs[j.ID] = &job{Job: j}
	p.enqueue(p.jobs[j.ID])
	return nil
}

func (p *Policy) enqueue(j *job) {
	p.planned = false
	i := sort.Search(len(p.waiting), func(i int) bool { return p.before(j, p.waiting[i]) })
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = j
}

func (p *Policy) before(a, b *job) bool {
	if p.ByClass && a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.ID < b.ID
}

// Requeue puts a job back that lost a member; remaining is the declared run
// time that is left.
func (p *Policy) Requeue(id string, remaining time.Duration, _ time.Time, _ string) {
	if j, ok := p.jobs[id]; ok && j.slots != nil {
		p.free(j)
		j.DeclaredRunTime = remaining
		p.enqueue(j)
	}
}

// Ended removes a job that ended and frees its place.
func (p *Policy) Ended(id string, _ time.Time) {
	j, ok := p.jobs[id]
	if !ok {
		return
	}
	p.free(j)
	delete(p.jobs, id)
	for i, w := range p.waiting {
		if w == j {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
}

// Cancelled removes a job that was cancelled and frees its place.
func (p *Policy) Cancelled(id string, now time.Time) { p.Ended(id, now) }

func (p *Policy) free(j *job) {
	p.planned = false
	for _, s := range j.slots {
		p.byID[s.Worker].held &^= mask(s.Accelerators)
	}
	j.slots = nil
}

func mask(accelerators []int) uint64 {
	m := uint64(0)
	for _, a := range accelerators {
		m |= 1 << a
	}
	return m
}

// Plan starts what the policy starts now.
func (p *Policy) Plan(now time.Time) []gang.Order {
	if p.planned {
		return nil
	}
	p.planned = true
	var orders []gang.Order
	open := p.open(time.Time{}, now)
	for len(p.waiting) > 0 {
		slots := p.place(p.waiting[0], open)
		if slots == nil {
			break
		}
		orders = append(orders, p.start(0, slots, now, open))
	}
	if !p.Backfill || len(p.waiting) < 2 {
		return orders
	}
	return append(orders, p.backfill(now, open)...)
}

func (p *Policy) start(i int, slots []gang.Slot, now time.Time, open []uint64) gang.Order {
	j := p.waiting[i]
	p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
	j.slots, j.end = slots, now.Add(j.DeclaredRunTime)
	for _, s := range slots {
		w := p.byID[s.Worker]
		w.held |= mask(s.Accelerators)
		open[w.index] &^= w.held
	}
	return gang.Order{Kind: gang.Start, JobID: j.ID, Slots: slots}
}

// open returns what is free now, or will be at a time by the declarations.
func (p *Policy) open(at, now time.Time) []uint64 {
	open := make([]uint64, len(p.workers))
	for i, w := range p.workers {
		if !w.Closed {
			open[i] = guarantee.LowMask(w.Accelerators) &^ w.held
		}
	}
	if at.IsZero() {
		return open
	}
	for _, j := range p.jobs {
		if j.slots == nil || j.expectedEnd(now).After(at) {
			continue
		}
		for _, s := range j.slots {
			if w := p.byID[s.Worker]; !w.Closed {
				open[w.index] |= mask(s.Accelerators)
			}
		}
	}
	return open
}

// expectedEnd is the declared end, or soon for a job that has outrun it.
func (j *job) expectedEnd(now time.Time) time.Time {
	if j.end.After(now) {
		return j.end
	}
	return now.Add(time.Minute)
}

// backfill starts later jobs that end before the reservation of the first one
// or stay off its place.
func (p *Policy) backfill(now time.Time, open []uint64) []gang.Order {
	shadow, reserved := p.reservation(now)
	var orders []gang.Order
	failed := make(map[[4]int]bool)
	for i := 1; i < len(p.waiting); {
		j := p.waiting[i]
		short := !now.Add(j.DeclaredRunTime).After(shadow)
		key := [4]int{j.Tasks, j.Accelerators, number(j.Adjacent), number(short)}
		if failed[key] {
			i++
			continue
		}
		avail := open
		if !short {
			avail = make([]uint64, len(open))
			for k := range open {
				avail[k] = open[k] &^ reserved[k]
			}
		}
		slots := p.place(j, avail)
		if slots == nil {
			failed[key] = true
			i++
			continue
		}
		orders = append(orders, p.start(i, slots, now, open))
	}
	return orders
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// reservation returns when the first waiting job can start by the
// declarations, and its place then.
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
	i := sort.Search(len(ends), func(i int) bool { return p.place(head, p.open(ends[i], now)) != nil })
	if i == len(ends) {
		return now, reserved
	}
	for _, s := range p.place(head, p.open(ends[i], now)) {
		reserved[p.byID[s.Worker].index] |= mask(s.Accelerators)
	}
	return ends[i], reserved
}

// place returns the slots of a gang, nil when it does not fit.
func (p *Policy) place(j *job, open []uint64) []gang.Slot {
	if j.Adjacent && j.Tasks > 1 {
		return p.adjacent(j, open)
	}
	if j.Tasks == 1 {
		return p.single(j, open)
	}
	order := make([]int, len(open))
	for i := range open {
		order[i] = i
	}
	if p.Backfill {
		sort.SliceStable(order, func(a, b int) bool {
			return bits.OnesCount64(open[order[a]]) < bits.OnesCount64(open[order[b]])
		})
	}
	var slots []gang.Slot
	for _, i := range order {
		slots = p.fill(slots, j, i, open[i])
		if len(slots) == j.Tasks {
			return slots
		}
	}
	return nil
}

// single places a gang of one task.
func (p *Policy) single(j *job, open []uint64) []gang.Slot {
	var best []gang.Slot
	least := 0
	for i, m := range open {
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

// fill adds slots at one worker, each at the first run that is long enough.
func (p *Policy) fill(slots []gang.Slot, j *job, i int, open uint64) []gang.Slot {
	for off := 0; off+j.Accelerators <= p.workers[i].Accelerators && len(slots) < j.Tasks; {
		m := guarantee.LowMask(j.Accelerators) << off
		if open&m != m {
			off++
			continue
		}
		run := make([]int, j.Accelerators)
		for k := range run {
			run[k] = off + k
		}
		slots = append(slots, gang.Slot{Task: len(slots), Worker: p.workers[i].ID, Accelerators: run})
		off += j.Accelerators
	}
	return slots
}

// adjacent returns neighbouring workers: the first that fit, or with best fit
// those whose racks keep the least free beside them.
func (p *Policy) adjacent(j *job, open []uint64) []gang.Slot {
	var best []gang.Slot
	least := 0
	for i := range open {
		slots, left := p.window(j, open, i)
		if slots == nil || best != nil && left >= least {
			continue
		}
		best, least = slots, left
		if !p.Backfill {
			break
		}
	}
	return best
}

// window fills neighbouring workers from one on and returns what stays free at
// them and at the two beside them. It stays in a rack when a rack can hold the
// gang.
func (p *Policy) window(j *job, open []uint64, first int) (slots []gang.Slot, left int) {
	if open[first] == 0 {
		return nil, 0
	}
	if first > 0 {
		left = bits.OnesCount64(open[first-1])
	}
	cross := j.Tasks*j.Accelerators > p.rackSize
	for i := first; i < len(open); i++ {
		if !cross && p.workers[i].Rack != p.workers[first].Rack {
			return nil, 0
		}
		before := len(slots)
		slots = p.fill(slots, j, i, open[i])
		if len(slots) == before {
			return nil, 0
		}
		left += bits.OnesCount64(open[i]) - (len(slots)-before)*j.Accelerators
		if len(slots) < j.Tasks {
			continue
		}
		if i+1 < len(open) {
			left += bits.OnesCount64(open[i+1])
		}
		return slots, left
	}
	return nil, 0
}
