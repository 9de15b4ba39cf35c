package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

const (
	// orderTimeout bounds one attempt of a start or a stop, besides the way there and
	// back on a new connection.
	orderTimeout = 350 * time.Millisecond
	// startWindow is how long a start may take effect: an order that is carried
	// out later comes late at the worker. The way comes on top, as for startTime.
	startWindow = 1500 * time.Millisecond
	// startTime bounds the attempts of a start.
	startTime = 1300 * time.Millisecond
	// stopRetry is the time after which a run that is still listed is told to
	// stop again.
	stopRetry = 300 * time.Millisecond
	// unhealthyTime is how long a worker that refused a start gets no new work.
	unhealthyTime = 2 * time.Second
)

// start sends the start of a member whose placement is kept.
func (t *term) start(m *member) {
	w := t.workers[m.worker]
	if w == nil || w.client == nil || m.stopping || w.born != m.born {
		// Nothing was sent, so nothing can begin.
		m.sent = true
		t.forgo(m, "the worker is gone or the run is no longer wanted")
		return
	}
	now := boottime.Now()
	order := StartOrder{
		Task: m.task(), Run: m.run, Specification: m.unit.job.spec.Job.Specification,
		Deadline: w.now(now) + startWindow + 2*w.roundTrip, Token: m.token, Checkpoint: m.unit.saved,
	}
	w.heldUntil = max(w.heldUntil, order.Deadline)
	m.sent, m.starting = true, true
	client, roundTrip := w.client, w.roundTrip
	t.begin("start", func() { t.sendStart(m, client, order, now.Add(startTime+2*roundTrip), orderTimeout+2*roundTrip) })
}

// sendStart repeats a start until it is answered or its time is over.
func (t *term) sendStart(m *member, client WorkerClient, order StartOrder, until boottime.Time, timeout time.Duration) {
	unanswered := false
	began := time.Now()
	for t.ctx.Err() == nil && t.valid() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		err := client.Start(ctx, order)
		cancel()
		if err == nil {
			t.p.Meter.Time("start_call_time", time.Since(began))
			t.started(m)
			return
		}
		t.p.Meter.Inc("start_" + string(fault.KindOf(err)))
		if t.ctx.Err() != nil {
			return
		}
		if settled(err, unanswered) {
			t.refused(m, err, unanswered)
			return
		}
		unanswered = unanswered || fault.Is(err, fault.AnswerLost)
		if boottime.Now() >= until || t.isOver(m) {
			break
		}
		pause.For(t.ctx, orderRetry)
		if t.isOver(m) {
			break
		}
	}
	t.unanswered(m, unanswered)
}

// isOver reports whether a run is not to begin any more, or has ended already.
func (t *term) isOver(m *member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return m.stopping || m.gone
}

// orderRetry is the pause between two attempts of an order.
const orderRetry = 30 * time.Millisecond

// settled reports whether a refusal proves that the run does not begin any
// more. After an attempt without an answer only those do that refuse the
// earlier one too; it may have begun before.
func settled(err error, unanswered bool) bool {
	switch fault.KindOf(err) {
	case fault.Fenced, fault.Deadline, fault.Conflict:
		return true
	case fault.Overloaded, fault.NotStarted, fault.BadRequest:
		return !unanswered
	}
	return false
}

// started takes in that a start was answered.
func (t *term) started(m *member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.starting = false
	if m.gone {
		return
	}
	m.answered = boottime.Now()
	t.p.Meter.Inc("start_ok")
	t.p.Log.Debug("started", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker, "token", m.token)
	if m.stopping {
		t.stop(m)
	}
}

// refused takes in a refusal. After an attempt without an answer the worker's
// next list tells whether that one began.
func (t *term) refused(m *member, err error, unanswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.starting = false
	w := t.workers[m.worker]
	t.p.Log.Info("start refused", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker, "kind", fault.KindOf(err), "error", err)
	switch {
	case fault.Is(err, fault.Fenced) && w != nil && m.token >= w.token:
		t.fail("a worker has seen a higher token")
		return
	case fault.Is(err, fault.NotStarted) && w != nil:
		t.closeWorker(w, "refuses starts", unhealthyTime)
	}
	if unanswered && !m.gone {
		m.voided = boottime.Now()
		t.broken(m.unit)
	} else {
		t.forgo(m, "refused")
	}
	t.poke()
}

// forgo drops a member that has not begun and can't any more.
func (t *term) forgo(m *member, reason string) {
	if m.gone {
		return
	}
	w := t.workers[m.worker]
	if w == nil {
		w = t.workerOf(m.worker)
	}
	t.p.Log.Info("start given up", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker, "reason", reason)
	t.drop(w, m)
	t.broken(m.unit)
	t.release(m.unit)
}

// unanswered stops a run that may or may not have begun. A stop that is
// answered keeps it from beginning later. A run of which nothing was sent is
// given up.
func (t *term) unanswered(m *member, sent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.starting = false
	if m.gone || t.ctx.Err() != nil {
		return
	}
	if !sent {
		t.forgo(m, "could not be sent")
		t.poke()
		return
	}
	t.p.Log.Warn("start not answered", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker)
	t.broken(m.unit)
	t.stop(m)
	t.poke()
}

// stop tells a worker to stop a run, and again while it goes on. A run whose
// start is still on its way is stopped once that is settled.
func (t *term) stop(m *member) {
	m.stopping = true
	w := t.workers[m.worker]
	if m.gone || m.starting || !m.sent || w == nil || w.client == nil || time.Since(m.stopSent) < stopRetry {
		return
	}
	m.stopSent = time.Now()
	client, token, timeout := w.client, w.token, orderTimeout+2*w.roundTrip
	task, run := m.task(), m.run
	t.begin("stop", func() {
		err := t.sendStop(client, task, run, token, timeout)
		if err != nil {
			t.p.Log.Info("stop not carried out", "job", task.Job, "task", task, "run", run, "worker", m.worker, "error", err)
			return
		}
		t.locked(func() {
			if m.voided == 0 {
				m.voided = boottime.Now()
			}
		})
	})
}

// sendStop makes one attempt of a stop. Nothing is sent while the lock may be lost: what
// the stop was decided on may no longer hold.
func (t *term) sendStop(client WorkerClient, task TaskID, run, token int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	var err error = fault.New(fault.NotReady, "the lock may be lost")
	if t.valid() {
		err = client.Stop(ctx, task, run, token)
	}
	if err != nil {
		t.p.Meter.Inc("stop_" + string(fault.KindOf(err)))
	}
	return err
}
