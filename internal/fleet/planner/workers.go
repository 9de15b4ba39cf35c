package planner

import (
	"context"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
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
			t.p.Log.Info("worker drains", "worker", w.id, "leaves_ms", info.Leaves.Milliseconds(), "runs", len(w.members))
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

const (
	// holdWait is how long a worker with work may keep the answer to a hold
	// back until a run ends. In a fleet of over waitWorkers it grows with the number
	// of workers, up to idleWait: each hold is paid for.
	holdWait    = 1000 * time.Millisecond
	waitWorkers = 500
	// idleWait is the same for a worker without work.
	idleWait = 2000 * time.Millisecond
	// waitShare is the share of a lease that a hold may wait: a lost answer must not
	// cost the lease.
	waitShare = 0.4
	// holdSlack is added to that for the answer, besides the way there and back.
	holdSlack = 600 * time.Millisecond
	// firstSlack is that of a worker that was not heard of yet.
	firstSlack = 1200 * time.Millisecond
	// maxWay bounds the way to a worker and back that calls allow for.
	maxWay = time.Second
	// unheardCalls bounds the holds that are under way to workers that were not heard
	// of yet, and to those that did not answer the last: all at once would take the
	// processor and the link from the others.
	unheardCalls = 64
	// holdLease is how long work runs on when the planner is not heard of. It
	// outlasts the change of a planner and a short outage of the store. A new
	// term waits as long for workers that it never hears of: a version that
	// lengthens it must first wait for the longer one everywhere.
	holdLease = 5500 * time.Millisecond
	// holdRetry is the pause after a hold that was not answered.
	holdRetry = 200 * time.Millisecond
	// keepWait bounds the wait for the ends to be kept before the next hold.
	keepWait = 300 * time.Millisecond
)

// turnstile bounds the calls of a kind that are under way.
type turnstile chan struct{}

// enter waits for a turn; it reports false when ctx ends first.
func (s turnstile) enter(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s turnstile) leave() { <-s }

// turnstileOf returns what bounds the next hold of a worker, nil for nothing.
func (t *term) turnstileOf(w *worker) turnstile {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case w.failing:
		return t.again
	case w.recv == 0:
		return t.first
	}
	return nil
}

// holdLoop prolongs the leases of a worker and takes in what it lists.
func (t *term) holdLoop(w *worker) {
	for t.ctx.Err() == nil {
		s := t.turnstileOf(w)
		if s != nil && !s.enter(t.ctx) {
			return
		}
		rest, more := t.holdOnce(w)
		if s != nil {
			s.leave()
		}
		if !more {
			return
		}
		t.poke()
		if rest > 0 {
			select {
			case <-t.ctx.Done():
			case <-w.wake:
			case <-time.After(rest):
			}
		}
	}
}

// holdOnce makes one hold and returns how long to rest; more is false when the worker
// is forgotten or the term has ended.
func (t *term) holdOnce(w *worker) (rest time.Duration, more bool) {
	if !t.valid() {
		return retryPause, true
	}
	sent := boottime.Now()
	var order HoldOrder
	var timeout time.Duration
	var client WorkerClient
	known := false
	t.locked(func() {
		if known = t.workers[w.id] == w; known {
			order, client = t.holdOrder(w, sent), w.client
			timeout = order.Wait + w.holdSlack()
		}
	})
	if !known {
		w.client.Close()
		return 0, false
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	rep, err := client.Hold(ctx, order)
	cancel()
	if t.ctx.Err() != nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	took := boottime.Since(sent)
	t.p.Meter.Time("hold_call_time", took)
	if err == nil && order.Wait == 0 {
		w.noteWay(took)
	}
	return t.held(w, order, sent, &rep, err), true
}

// holdSlack returns how long a hold may take besides its wait.
func (w *worker) holdSlack() time.Duration {
	if w.recv == 0 {
		return firstSlack
	}
	return holdSlack + 2*w.way
}

// noteWay notes how long a call took that the worker answers at once.
func (w *worker) noteWay(took time.Duration) {
	if w.way == 0 || took < w.way {
		w.way = min(took, maxWay)
	}
}

// holdOrder returns the next hold for a worker.
func (t *term) holdOrder(w *worker, now boottime.Time) HoldOrder {
	o := HoldOrder{Token: w.token, LastSeen: w.kept, Born: w.born}
	if t.p.off.endFirst {
		o.LastSeen = w.seen
	}
	if w.recv == 0 || !w.heard || w.failing {
		// A hold that may not be answered must not put off the time at which the
		// leases of a silent worker are over.
		return o
	}
	lease := min(holdLease, t.p.Bounds.MaxHold)
	o.Deadline = w.now(now) + lease
	w.heldUntil = max(w.heldUntil, o.Deadline)
	o.Wait = idleWait
	if len(w.members) > 0 || len(w.strangers) > 0 {
		o.Wait = min(max(holdWait, holdWait*time.Duration(len(t.listed))/waitWorkers), idleWait)
	}
	o.Wait = min(o.Wait, time.Duration(float64(lease)*waitShare)).Truncate(time.Millisecond)
	return o
}

// held takes in the answer to a hold and returns how long to rest.
func (t *term) held(w *worker, o HoldOrder, sent boottime.Time, rep *Report, err error) time.Duration {
	switch {
	case fault.Is(err, fault.Fenced) && o.Token >= w.token:
		t.fail("a worker has seen a higher token")
		return holdRetry
	case fault.Is(err, fault.Fenced):
		return 0
	case err != nil:
		if !w.failing {
			t.p.Log.Info("worker not reached", "worker", w.id, "runs", len(w.members), "error", err)
		}
		t.p.Meter.Inc("hold_" + string(fault.KindOf(err)))
		w.failing, w.unansweredSince = true, sent
		return holdRetry
	}
	if w.failing {
		t.p.Log.Info("worker reached again", "worker", w.id)
	}
	w.failing, w.clock, w.recv = false, rep.Clock, boottime.Now()
	if rep.Born != w.born && w.born != 0 {
		t.reborn(w, rep.Born)
		return 0
	}
	w.born = rep.Born
	w.heard = w.heard || o.Token == w.token
	if !w.heard {
		return 0
	}
	t.takeList(w, o, sent, rep)
	if w.seen > w.kept {
		return keepWait
	}
	return 0
}

// reborn notes that a worker began a new life. What an old life was told may
// still begin in the new one until it has seen a higher token.
func (t *term) reborn(w *worker, born int64) {
	t.p.Log.Warn("worker started anew", "worker", w.id, "born", born, "before", w.born, "runs", len(w.members))
	t.p.Meter.Inc("worker_reborn")
	w.born, w.heard, w.bornSeen = born, false, boottime.Now()
	w.token++
	w.seen, w.kept, w.heldUntil, w.unkept = 0, 0, 0, nil
	delete(t.owing, w)
	clear(w.strangers)
	clear(w.failures)
	w.closedUntil = time.Time{}
}

// takeList takes in the ends and runs that a worker lists.
func (t *term) takeList(w *worker, o HoldOrder, sent boottime.Time, rep *Report) {
	for _, e := range rep.Ends {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		t.takeEnd(w, e)
		t.owe(w, e)
	}
	t.keepEnds(w)
	listed := make(map[runKey]bool, len(rep.Running))
	clear(w.strangers)
	for _, r := range rep.Running {
		k := runKey{r.Task, r.Run}
		listed[k] = true
		if m := w.members[k]; m != nil {
			t.takeRunning(w, m, r, sent)
			continue
		}
		t.stranger(w, k)
	}
	t.judge(w)
	for _, m := range w.sorted() {
		if listed[runKey{m.task(), m.run}] || !m.sent {
			continue
		}
		switch {
		case m.answered != 0 && sent >= m.answered:
			t.lost(w, m, "not listed")
		case m.voided != 0 && sent >= m.voided:
			t.lost(w, m, "stopped before it began")
		case m.token < o.Token && !m.starting:
			t.lost(w, m, "can't begin any more")
		case m.stopping:
			t.stop(m)
		}
	}
}

// takeRunning takes in that a worker lists a run.
func (t *term) takeRunning(w *worker, m *member, r RunReport, sent boottime.Time) {
	if m.answered == 0 {
		m.answered = sent
	}
	m.born, m.listed = w.born, true
	if r.Checkpoint != "" {
		m.saved = r.Checkpoint
	}
	m.percent = r.Percent
	t.gauge(w, m)
	if m.stopping || m.unit.breaking || m.unit.job.ended() {
		t.stop(m)
	}
}

// stranger stops a run that this term did not place or has given up.
func (t *term) stranger(w *worker, k runKey) {
	shape := w.info.Capacity
	if j := t.jobs[k.task.Job]; j != nil && k.task.Step < len(j.spec.Job.Steps) {
		shape = j.spec.Job.Steps[k.task.Step].Counted()
	}
	w.strangers[k] = shape
	t.p.Meter.Inc("run_unknown")
	t.p.Log.Info("run of unknown origin stopped", "job", k.task.Job, "task", k.task, "run", k.run, "worker", w.id)
	token, client, timeout := w.token, w.client, orderTimeout+2*w.way
	t.begin("stop", func() {
		if err := t.sendStop(client, k.task, k.run, token, timeout); err != nil {
			t.p.Log.Info("stop not carried out", "job", k.task.Job, "task", k.task, "run", k.run, "worker", w.id, "error", err)
		}
	})
}
