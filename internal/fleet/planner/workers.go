package planner

import (
	"context"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// listPause is the time between two readings of the workers' list; a
	// draining worker must get no new work within seconds.
	listPause = 700 * time.Millisecond
	// listTimeout bounds one reading of the list.
	listTimeout = time.Second
	// forgetTime is how long an unlisted worker is still asked.
	forgetTime = 15 * time.Second
)

// followWorkers reads the list of workers until the term ends.
func (t *term) followWorkers() {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, listTimeout)
		items, _, err := t.p.Store.Range(ctx, t.p.WorkerPrefix)
		cancel()
		if err != nil {
			t.p.Meter.Inc("worker_list_retry")
			pause.For(t.ctx, retryPause)
			continue
		}
		var all []model.Worker
		for _, it := range items {
			w, err := t.p.DecodeWorker(it)
			if err != nil {
				t.p.Meter.Inc("worker_entry_unusable")
				t.p.Log.Debug("a worker's entry is not usable", "key", it.Key, "error", err)
				continue
			}
			all = append(all, w)
		}
		t.locked(func() { t.takeWorkers(all) })
		t.poke()
		pause.For(t.ctx, listPause)
	}
}

// takeWorkers takes the platform's list of workers.
func (t *term) takeWorkers(all []model.Worker) {
	listed := make(map[string]bool, len(all))
	// Those that hold work are asked first: its leases run out.
	sort.SliceStable(all, func(i, j int) bool { return t.holdsWork(all[i].ID) && !t.holdsWork(all[j].ID) })
	for _, info := range all {
		listed[info.ID] = true
		w := t.workerOf(info.ID)
		if info.Draining && !w.info.Draining {
			t.p.Log.Info("worker drains", "worker", w.id, "leaves_ms", info.TimeLeft.Milliseconds(), "runs", len(w.members))
		}
		moved := w.client != nil && w.info.Address != info.Address
		w.info, w.listed = info, true
		if moved {
			w.client.Close()
			w.client = t.p.Dial(w.id, info.Address, t.valid)
		}
		if w.client == nil {
			w.client = t.p.Dial(w.id, info.Address, t.valid)
			t.p.Log.Debug("worker known", "worker", w.id, "rack", info.Rack, "address", info.Address)
			t.begin("hold", func() { t.holdLoop(w) })
		}
	}
	for id, w := range t.workers {
		if listed[id] {
			continue
		}
		if w.listed {
			w.listed, w.unlistedAt = false, time.Now()
			t.p.Log.Info("worker no longer listed", "worker", id, "runs", len(w.members))
		}
		if len(w.members) == 0 && time.Since(w.unlistedAt) > forgetTime {
			delete(t.workers, id)
		}
	}
	t.listWorkers()
}

// holdsWork reports whether work is placed on a worker.
func (t *term) holdsWork(id string) bool {
	w := t.workers[id]
	return w != nil && len(w.members) > 0
}
