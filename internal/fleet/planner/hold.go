package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

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
	// maxRoundTrip bounds the time there and back that calls allow for.
	maxRoundTrip = time.Second
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

// semaphore bounds the calls of a kind that are under way.
type semaphore chan struct{}

// acquire waits for a call to end; it reports false when ctx ends first.
func (s semaphore) acquire(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s semaphore) release() { <-s }

// holdLimit returns what bounds the next hold of a worker, nil for nothing.
func (t *term) holdLimit(w *worker) semaphore {
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
		s := t.holdLimit(w)
		if s != nil && !s.acquire(t.ctx) {
			return
		}
		rest, more := t.holdOnce(w)
		if s != nil {
			s.release()
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
	var order LeaseRenewal
	var timeout time.Duration
	var client WorkerClient
	known := false
	t.locked(func() {
		if known = t.workers[w.id] == w; known {
			order, client = t.holdOrder(w, sent), w.client
			timeout = order.MaxWait + w.holdSlack()
		}
	})
	if !known {
		w.client.Close()
		return 0, false
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	rep, err := client.Renew(ctx, order)
	cancel()
	if t.ctx.Err() != nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	took := boottime.Since(sent)
	t.p.Meter.Time("hold_call_time", took)
	if err == nil && order.MaxWait == 0 {
		w.noteRoundTrip(took)
	}
	return t.held(w, order, sent, &rep, err), true
}

// holdSlack returns how long a hold may take besides its wait.
func (w *worker) holdSlack() time.Duration {
	if w.recv == 0 {
		return firstSlack
	}
	return holdSlack + 2*w.roundTrip
}

// noteRoundTrip notes how long a call took that the worker answers at once.
func (w *worker) noteRoundTrip(took time.Duration) {
	if w.roundTrip == 0 || took < w.roundTrip {
		w.roundTrip = min(took, maxRoundTrip)
	}
}

// holdOrder returns the next hold for a worker.
func (t *term) holdOrder(w *worker, now boottime.Time) LeaseRenewal {
	o := LeaseRenewal{Token: w.token, LastAcknowledged: w.kept, Incarnation: w.born}
	if t.p.off.endFirst {
		o.LastAcknowledged = w.seen
	}
	if w.recv == 0 || !w.heard || w.failing {
		// A hold that may not be answered must not put off the time at which the
		// leases of a silent worker are over.
		return o
	}
	lease := min(holdLease, t.p.Bounds.MaxLease)
	o.Deadline = w.now(now) + lease
	w.heldUntil = max(w.heldUntil, o.Deadline)
	o.MaxWait = idleWait
	if len(w.members) > 0 || len(w.strangers) > 0 {
		o.MaxWait = min(max(holdWait, holdWait*time.Duration(len(t.listed))/waitWorkers), idleWait)
	}
	o.MaxWait = min(o.MaxWait, time.Duration(float64(lease)*waitShare)).Truncate(time.Millisecond)
	return o
}

// held takes in the answer to a hold and returns how long to rest.
func (t *term) held(w *worker, o LeaseRenewal, sent boottime.Time, rep *WorkerReport, err error) time.Duration {
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
	if rep.Incarnation != w.born && w.born != 0 {
		t.reborn(w, rep.Incarnation)
		return 0
	}
	w.born = rep.Incarnation
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
	w.seen, w.kept, w.heldUntil, w.pending = 0, 0, 0, nil
	delete(t.unacked, w)
	clear(w.strangers)
	clear(w.failures)
	w.closedUntil = time.Time{}
}

// takeList takes in the ends and runs that a worker lists.
func (t *term) takeList(w *worker, o LeaseRenewal, sent boottime.Time, rep *WorkerReport) {
	for _, e := range rep.Results {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		t.takeEnd(w, e)
		t.addPending(w, e)
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
		shape = j.spec.Job.Steps[k.task.Step].CountedShape()
	}
	w.strangers[k] = shape
	t.p.Meter.Inc("run_unknown")
	t.p.Log.Info("run of unknown origin stopped", "job", k.task.Job, "task", k.task, "run", k.run, "worker", w.id)
	token, client, timeout := w.token, w.client, orderTimeout+2*w.roundTrip
	t.begin("stop", func() {
		if err := t.sendStop(client, k.task, k.run, token, timeout); err != nil {
			t.p.Log.Info("stop not carried out", "job", k.task.Job, "task", k.task, "run", k.run, "worker", w.id, "error", err)
		}
	})
}
