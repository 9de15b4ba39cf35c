package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
)

// lease lets the current attempt's leases be renewed. A lease may have been
// prolonged up to now. t.mu is held.
func (t *term) lease(e *entry) {
	for id := range partsByWorker(e.rec.Slots) {
		m, ok := t.members[id]
		if !ok {
			continue
		}
		if m.leases[e.part()] == nil {
			m.leases[e.part()] = &lease{entry: e}
		}
		m.leases[e.part()].lastExtended = time.Now()
	}
}

// releaseLeases stops the renewal of the current attempt's leases. t.mu is held.
func (t *term) releaseLeases(e *entry) {
	for id := range partsByWorker(e.rec.Slots) {
		if m, ok := t.members[id]; ok && m.leases[e.part()] != nil {
			m.leases[e.part()].released = true
		}
	}
}

// dropLeases forgets the current attempt's leases. t.mu is held.
func (t *term) dropLeases(e *entry) {
	for id := range partsByWorker(e.rec.Slots) {
		if m, ok := t.members[id]; ok {
			delete(m.leases, e.part())
		}
	}
}

// markForgettable lets the workers forget the current attempt once the record is kept.
// t.mu is held.
func (t *term) markForgettable(e *entry) {
	if e.rec.Attempt == "" {
		return
	}
	for id := range partsByWorker(e.rec.Slots) {
		e.forgettable = append(e.forgettable, workerPart{worker: id, part: e.part()})
	}
}

// partSlots are the slots of a gang at one worker.
type partSlots struct {
	tasks        []int
	accelerators []int
}

func partsByWorker(slots []gang.Slot) map[string]partSlots {
	m := make(map[string]partSlots)
	for _, sl := range slots {
		g := m[sl.Worker]
		g.tasks = append(g.tasks, sl.Task)
		g.accelerators = append(g.accelerators, sl.Accelerators...)
		m[sl.Worker] = g
	}
	return m
}
