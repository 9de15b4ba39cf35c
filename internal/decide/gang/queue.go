package gang

import (
	"container/heap"
	"sort"
	"time"
)

// There is one queue of waiting jobs for each account, class, kind and shape.
// The queues of a shape form a group, a heap by the priority of their first
// jobs. A shape that fits nowhere thus costs a bounded number of searches in a
// round, however many of its jobs wait.

const (
	// classWait is the wait after which a job precedes new jobs of the next
	// higher class.
	classWait = 4 * time.Hour
	// shareWait is the wait that compensates for the use of one whole
	// guarantee.
	shareWait = time.Hour
	// maxShare bounds the share of the guarantee in use that counts.
	maxShare = 2.0
	// areaFactor is the wait, in seconds, that compensates for one expected
	// accelerator second when only completion time is weighed. Smaller jobs go
	// first, as in Carastan-Santos and de Camargo, "Obtaining dynamic
	// scheduling policies with simulation and machine learning" (SC 2017).
	areaFactor = 1.0 / 16
	// urgentOffset, in seconds, puts urgent jobs before all others.
	urgentOffset = 1e12
)

// shape is the set of properties that decide where a job fits.
type shape struct {
	tasks, accelerators  int
	adjacent, idempotent bool
}

// group holds the queues of one shape.
type group struct {
	shape  shape
	queues []*queue
	state  *State
}

// queue holds the waiting jobs of one account, class, kind and shape, in
// ascending order of their keys.
type queue struct {
	account *account
	group   *group
	rank    int
	kind    string
	// index is the position in the group's heap, -1 while the queue is empty or
	// skipped.
	index int
	// waiting holds the jobs, and sortKeys their keys.
	waiting  []*jobState
	sortKeys []float64
	// changed reports that the queue is in State.changed.
	changed bool
	// skipped reports that the queue was tried without success in this round
	// and is kept out of the heap.
	skipped bool
}

// Len implements heap.Interface.
func (g *group) Len() int { return len(g.queues) }

// Less implements heap.Interface.
func (g *group) Less(i, j int) bool { return g.state.before(g.queues[i], g.queues[j]) }

// Swap implements heap.Interface.
func (g *group) Swap(i, j int) {
	g.queues[i], g.queues[j] = g.queues[j], g.queues[i]
	g.queues[i].index, g.queues[j].index = i, j
}

// Push implements heap.Interface.
func (g *group) Push(x any) {
	q := x.(*queue)
	q.index = len(g.queues)
	g.queues = append(g.queues, q)
}

// Pop implements heap.Interface.
func (g *group) Pop() any {
	q := g.queues[len(g.queues)-1]
	g.queues = g.queues[:len(g.queues)-1]
	q.index = -1
	return q
}

// before reports whether a's first job goes before b's.
func (s *State) before(a, b *queue) bool {
	pa, pb := s.priority(a), s.priority(b)
	if pa != pb {
		return pa < pb
	}
	return a.waiting[0].ID < b.waiting[0].ID
}

// priority returns the value by which first jobs are ordered, the least first.
// It combines class, account share and age. Age enters as the time of
// submission, so that a job precedes new jobs of the next higher class after
// classWait.
func (s *State) priority(q *queue) float64 {
	return q.sortKeys[0] + q.account.guaranteeShare()*shareWait.Seconds()
}

// guaranteeShare returns the number of accelerators in use relative to the
// guarantee, at most maxShare.
func (a *account) guaranteeShare() float64 {
	return min(float64(a.occupied)/float64(max(a.Workers*a.Accelerators, 1)), maxShare)
}

// sortKey returns the key of a job in its queue, in seconds: the time of
// submission, delayed by the class and by the expected use of accelerators.
func (s *State) sortKey(js *jobState) float64 {
	sortKey := float64(js.Submitted.UnixMilli())/1000 + float64(js.Rank)*classWait.Seconds()
	if js.Rank == 0 {
		return sortKey - urgentOffset
	}
	area := s.expectedRunTime(js).Seconds() * float64(js.Tasks*js.Accelerators)
	return sortKey + areaFactor*s.completionWeight()*area
}

// completionWeight returns the relative weight of completion time, between 0
// and 1.
func (s *State) completionWeight() float64 {
	sum := s.weights.CompletionTime + s.weights.Fragmentation
	if sum <= 0 {
		return 0.5
	}
	return s.weights.CompletionTime / sum
}

// queueOf returns the queue for a job and creates it when it is missing.
func (s *State) queueOf(js *jobState) *queue {
	for _, q := range js.account.queues {
		if q.rank == js.Rank && q.kind == js.Kind && q.group.shape == js.shape() {
			return q
		}
	}
	q := &queue{account: js.account, group: s.groupOf(js.shape()), rank: js.Rank, kind: js.Kind, index: -1}
	js.account.queues = append(js.account.queues, q)
	return q
}

func (js *jobState) shape() shape {
	return shape{tasks: js.Tasks, accelerators: js.Accelerators, adjacent: js.Adjacent && js.Tasks > 1, idempotent: js.Idempotent}
}

// groupOf returns the group of a shape and creates it when it is missing.
func (s *State) groupOf(sh shape) *group {
	g, ok := s.groups[sh]
	if ok {
		return g
	}
	if s.groups == nil {
		s.groups = make(map[shape]*group)
	}
	g = &group{shape: sh, state: s}
	s.groups[sh] = g
	s.groupList = append(s.groupList, g)
	return g
}

// enqueue adds a job to its queue.
func (s *State) enqueue(js *jobState) {
	q := s.queueOf(js)
	sortKey := s.sortKey(js)
	i := q.search(sortKey, js.ID)
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = js
	q.sortKeys = append(q.sortKeys, 0)
	copy(q.sortKeys[i+1:], q.sortKeys[i:])
	q.sortKeys[i] = sortKey
	js.queue, js.sortKey = q, sortKey
	s.updateHeap(q)
	if i == 0 {
		s.markChanged(q)
	}
}

// search returns the position of a job in the queue, or where it is to be
// inserted.
func (q *queue) search(sortKey float64, id string) int {
	return sort.Search(len(q.waiting), func(i int) bool {
		return q.sortKeys[i] > sortKey || q.sortKeys[i] == sortKey && q.waiting[i].ID >= id
	})
}

// dequeue removes a job from its queue.
func (s *State) dequeue(js *jobState) {
	q := js.queue
	if q == nil {
		return
	}
	i := q.search(js.sortKey, js.ID)
	js.queue = nil
	if i == 0 {
		q.waiting[0] = nil
		q.waiting, q.sortKeys = q.waiting[1:], q.sortKeys[1:]
		s.markChanged(q)
	} else {
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.sortKeys = append(q.sortKeys[:i], q.sortKeys[i+1:]...)
	}
	s.updateHeap(q)
	if s.head == js {
		s.head = nil
		s.cancelNomination(js)
	}
	if js.account.blockedJob == js {
		js.account.blockedJob = nil
		s.markAllChanged(js.account)
	}
}

// updateHeap restores the position of a queue in the group's heap.
func (s *State) updateHeap(q *queue) {
	s.fleet.visits++
	switch {
	case len(q.waiting) == 0 && q.index >= 0:
		// An empty queue has no priority, so that heap.Remove cannot be used.
		s.removeEmpty(q)
	case q.skipped:
	case len(q.waiting) > 0 && q.index < 0:
		heap.Push(q.group, q)
	case len(q.waiting) > 0:
		heap.Fix(q.group, q.index)
	}
}

// removeEmpty removes an empty queue from the heap.
func (s *State) removeEmpty(q *queue) {
	g, i := q.group, q.index
	last := len(g.queues) - 1
	g.Swap(i, last)
	g.queues = g.queues[:last]
	q.index = -1
	if i < last {
		heap.Fix(g, i)
	}
}

// markChanged has the queue tried in the next round, or again in the current
// one.
func (s *State) markChanged(q *queue) {
	if q.changed || len(q.waiting) == 0 {
		return
	}
	q.changed = true
	s.changed = append(s.changed, q)
	if q.skipped {
		q.skipped = false
		s.updateHeap(q)
	}
}

// markAllChanged marks all queues of an account as changed.
func (s *State) markAllChanged(a *account) {
	for _, q := range a.queues {
		s.markChanged(q)
	}
}

// updateHeapsOf restores the heap positions of an account's queues after its
// share has changed.
func (s *State) updateHeapsOf(a *account) {
	for _, q := range a.queues {
		if len(q.waiting) > 0 {
			s.updateHeap(q)
		}
	}
}

// rebuildHeaps orders all queues again after a change of weights or guarantees.
func (s *State) rebuildHeaps() {
	for _, g := range s.groupList {
		heap.Init(g)
		for _, q := range g.queues {
			s.markChanged(q)
		}
	}
}
