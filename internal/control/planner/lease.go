package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
)

// lease makes the leases of the current attempt renewable, and records that
// they may have been extended until now. t.mu must be held.
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

// releaseLeases stops the renewal of the current attempt's leases. t.mu must be
// held.
func (t *term) releaseLeases(e *entry) {
	for id := range partsByWorker(e.rec.Slots) {
		if m, ok := t.members[id]; ok && m.leases[e.part()] != nil {
			m.leases[e.part()].released = true
		}
	}
}

// dropLeases removes the current attempt's leases. t.mu must be held.
func (t *term) dropLeases(e *entry) {
	for id := range partsByWorker(e.rec.Slots) {
		if m, ok := t.members[id]; ok {
			delete(m.leases, e.part())
		}
	}
}

// markForgettable lets the workers forget the current attempt's parts once the
// record is persisted. t.mu must be held.
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

// partsByWorker groups slots by worker.
func partsByWorker(slots []gang.Slot) map[string]partSlots {
	m := make(map[string]partSlots)
	for _, sl := range slots {
		p := m[sl.Worker]
		p.tasks = append(p.tasks, sl.Task)
		p.accelerators = append(p.accelerators, sl.Accelerators...)
		m[sl.Worker] = p
	}
	return m
}
