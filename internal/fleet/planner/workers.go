package planner

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// listInterval is the interval between two readings of the list of workers. A
	// draining worker must get no new units within seconds.
	listInterval = 700 * time.Millisecond
	// listTimeout bounds one reading of the list, which may take many pages of a slow store.
	listTimeout = 4 * time.Second
	// listPatience is the time after which another reading begins beside one without a
	// response. After slow or failed ones it increases up to maxListPatience: the readings
	// may share a slow link.
	listPatience    = time.Second
	maxListPatience = 2 * time.Second
	// maxListReadings bounds the concurrent readings of the list.
	maxListReadings = 4
	// forgetTime is how long leases are still renewed on a worker that is no longer
	// listed and runs nothing.
	forgetTime = 15 * time.Second
)

// pollWorkers reads the list of workers repeatedly until the term ends. Beside a reading
// without a response it begins another, since the first may wait for a store that has lost it.
func (t *term) pollWorkers() {
	patience := listPatience
	for t.ctx.Err() == nil {
		sentAt := boottime.Now()
		done := make(chan error, 1)
		t.goTask("list workers", func() { done <- t.readWorkers() })
		select {
		case <-t.ctx.Done():
		case <-time.After(patience):
			patience = maxListPatience
		case err := <-done:
			if err != nil && !t.listedSince(sentAt) {
				patience = maxListPatience
				pause.For(t.ctx, retryPause)
				continue
			}
			patience = min(max(listPatience, 2*boottime.Since(sentAt)), maxListPatience)
			pause.For(t.ctx, t.listPause())
		}
	}
}

// listReading is a reading of the list of workers that is in progress.
type listReading struct {
	sentAt boottime.Time
	cancel context.CancelFunc
}

// readWorkers reads the list of workers and applies it. It ends the readings that were
// sent earlier and still wait.
func (t *term) readWorkers() error {
	ctx, cancel := context.WithTimeout(t.ctx, listTimeout)
	defer cancel()
	r := &listReading{boottime.Now(), cancel}
	t.locked(func() { t.listReadings = append(t.listReadings, r) })
	items, _, err := t.p.Store.Range(ctx, t.p.WorkerPrefix)
	var workers []model.Worker
	if err == nil {
		workers = t.decodeWorkers(items)
	}
	t.locked(func() {
		t.listReadings = slices.DeleteFunc(t.listReadings, func(x *listReading) bool { return x == r })
		if err != nil || t.listedAt > r.sentAt {
			return
		}
		t.applyWorkers(workers)
		if r.sentAt.Sub(t.listedAt) > 2*t.p.Bounds.HeartbeatInterval {
			t.listableSince = r.sentAt
		}
		t.listedAt = r.sentAt
		t.completeSizes()
		t.writeSizes()
		for _, x := range t.listReadings {
			if x.sentAt <= r.sentAt {
				x.cancel()
			}
		}
	})
	if err != nil {
		t.p.Meter.Inc("worker_list_retry")
		return err
	}
	t.notify()
	return nil
}

// decodeWorkers decodes the registrations that can be decoded.
func (t *term) decodeWorkers(items []store.Item) []model.Worker {
	var workers []model.Worker
	for _, it := range items {
		w, err := t.p.DecodeWorker(it)
		if err != nil {
			t.p.Meter.Inc("worker_entry_unusable")
			t.p.Log.Debug("worker entry could not be decoded", "key", it.Key, "error", err)
			continue
		}
		w.Revision = it.Revision
		workers = append(workers, w)
	}
	return workers
}

// relistWorkers begins another reading of the list of workers beside the one in progress,
// which may wait for a store that did not respond when it was sent.
func (t *term) relistWorkers() {
	if n := len(t.listReadings); n > 0 && n < maxListReadings {
		t.goTask("list workers", func() { _ = t.readWorkers() })
	}
}

// listedSince reports whether a reading of the list of workers that was sent at a time or
// later has succeeded.
func (t *term) listedSince(at boottime.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedAt >= at
}

// applyWorkers applies the platform's list of workers.
func (t *term) applyWorkers(infos []model.Worker) {
	listed := make(map[string]bool, len(infos))
	// Workers with runs come first, since their leases expire.
	sort.SliceStable(infos, func(i, j int) bool { return t.hasWork(infos[i].ID) && !t.hasWork(infos[j].ID) })
	for _, info := range infos {
		listed[info.ID] = true
		w := t.workerOf(info.ID)
		if info.Draining && !w.info.Draining {
			t.p.Log.Info("worker is draining", "worker", w.id, "leaves_ms", info.TimeLeft.Milliseconds(), "runs", len(w.members))
		}
		addressChanged := w.client != nil && w.info.Address != info.Address
		t.setInfo(w, info)
		w.listed = true
		if addressChanged {
			w.client.Close()
			w.client = t.p.Dial(w.id, info.Address, t.valid)
		}
		if w.client == nil {
			w.client = t.p.Dial(w.id, info.Address, t.valid)
			t.p.Log.Debug("worker added", "worker", w.id, "rack", info.Rack, "address", info.Address)
			t.goTask("hold", func() { t.renewLoop(w) })
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
	t.refreshListed()
	t.resolveAllLosses()
}

// hasWork reports whether tasks are placed on a worker.
func (t *term) hasWork(id string) bool {
	w := t.workers[id]
	return w != nil && len(w.members) > 0
}
