package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
)

const (
	// orderTimeout bounds one attempt of a start or a stop, besides the round trips on a
	// new connection: two for a stop, and a third that identifies the incarnation for a
	// start.
	orderTimeout = 350 * time.Millisecond
	// startWindow is how long a start may take effect; the worker rejects it later than
	// that. Round trips are added, as for startRetryTime.
	startWindow = 1500 * time.Millisecond
	// startRetryTime bounds the time for repeated attempts of a start.
	startRetryTime = 1300 * time.Millisecond
	// stopRetryInterval is the time after which a stop is repeated for a run that is
	// still listed.
	stopRetryInterval = 300 * time.Millisecond
	// refusedStartCloseTime is how long a worker that refused a start gets no new units.
	refusedStartCloseTime = 2 * time.Second
)

// start sends the start of a member whose placement is persisted.
func (t *term) start(m *member) {
	w := t.workers[m.worker]
	if w == nil || w.client == nil || m.stopping || w.incarnation != m.incarnation || t.forbidsStart(m) {
		// Nothing was sent, so nothing can start.
		m.startSent = true
		t.abandonStart(m, "the worker is gone or the run is no longer wanted")
		return
	}
	if t.postponesStart(m) {
		return
	}
	now := boottime.Now()
	order := StartOrder{
		Task: m.task(), Run: m.run, Specification: m.unit.job.spec.Job.Specification,
		Deadline: t.confirmedDeadline(w, t.startDeadline(w, now)), Token: m.token, Checkpoint: m.unit.checkpoint, Incarnation: m.incarnation,
		MaySend: func() bool { return t.maySendStart(m) },
	}
	if t.p.disabled.restartCheck {
		order.Incarnation = 0
	}
	w.leaseUntil = max(w.leaseUntil, order.Deadline)
	m.startSent, m.startInFlight = true, true
	if !m.unit.aborting {
		m.unit.ledger.Switch(cause.Start, time.Now())
	}
	client, roundTrip := w.client, w.roundTrip
	t.goTask("start", func() { t.sendStart(m, client, order, now.Add(startRetryTime+2*roundTrip), orderTimeout+3*roundTrip) })
}

// sendStart sends a start and repeats it until the incarnation for which it is meant
// responds, another one does, or the time is over.
func (t *term) sendStart(m *member, client WorkerClient, order StartOrder, deadline boottime.Time, timeout time.Duration) {
	maybeStarted, reason := false, "could not be sent"
	start := time.Now()
	for t.ctx.Err() == nil && t.valid() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		err := client.Start(ctx, order)
		cancel()
		if err == nil {
			t.p.Meter.Time("start_call_time", time.Since(start))
			t.applyStarted(m)
			return
		}
		t.p.Meter.Inc("start_" + string(fault.KindOf(err)))
		if t.ctx.Err() != nil {
			return
		}
		if provesNotStarted(err, maybeStarted) {
			t.applyRefusal(m, err, maybeStarted)
			return
		}
		maybeStarted = maybeStarted || fault.Is(err, fault.AnswerLost)
		if fault.Is(err, fault.NoTarget) {
			// The incarnation for which the start was meant never responds again.
			reason = "another incarnation of the worker responded"
			break
		}
		if boottime.Now() >= deadline || t.startObsolete(m) {
			break
		}
		pause.For(t.ctx, orderRetryPause)
		if t.startObsolete(m) {
			break
		}
	}
	t.handleUnansweredStart(m, maybeStarted, reason)
}

// startObsolete reports whether a run must not start any more, or has already ended.
func (t *term) startObsolete(m *member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return m.stopping || m.removed || t.forbidsStart(m)
}

// orderRetryPause is the pause between two attempts of an order.
const orderRetryPause = 30 * time.Millisecond

// provesNotStarted reports whether a refusal proves that the run will not start. After an
// earlier attempt without a response, which may have started the run, only a refusal that
// also covers that attempt is proof.
func provesNotStarted(err error, maybeStarted bool) bool {
	switch fault.KindOf(err) {
	case fault.Fenced, fault.Deadline, fault.Conflict:
		return true
	case fault.Overloaded, fault.NotStarted, fault.BadRequest:
		return !maybeStarted
	}
	return false
}

// applyStarted records that the worker acknowledged a start.
func (t *term) applyStarted(m *member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.startInFlight = false
	if m.removed {
		return
	}
	m.startAckedAt, m.unit.job.begun = boottime.Now(), true
	t.p.Meter.Inc("start_ok")
	t.p.Log.Debug("started", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker, "token", m.token)
	m.unit.recordStarted(time.Now())
	if m.stopping {
		t.stop(m)
	}
}

// applyRefusal handles a refused start. After an attempt without a response, the worker's
// next report shows whether that attempt started the run.
func (t *term) applyRefusal(m *member, err error, maybeStarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.startInFlight = false
	w := t.workers[m.worker]
	t.p.Log.Info("start refused", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker, "kind", fault.KindOf(err), "error", err)
	switch {
	case fault.Is(err, fault.Fenced) && w != nil && m.token >= w.token:
		t.fail("a worker has seen a higher token")
		return
	case fault.Is(err, fault.NotStarted) && w != nil:
		t.closeWorker(w, "refuses starts", refusedStartCloseTime)
	}
	if maybeStarted && !m.removed {
		m.stopAckedAt = boottime.Now()
		t.abortRun(m.unit, cause.StartFailed)
	} else {
		t.abandonStart(m, "refused")
	}
	t.notify()
}

// abandonStart removes a member that has not started and cannot start any more.
func (t *term) abandonStart(m *member, reason string) {
	if m.removed {
		return
	}
	w := t.workers[m.worker]
	if w == nil {
		w = t.workerOf(m.worker)
	}
	c, reason := t.abandonCause(m, reason)
	t.p.Log.Info("start abandoned", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker, "reason", reason)
	t.dropMember(w, m)
	m.unit.excuseStart()
	t.abortRun(m.unit, c)
	t.releaseIfStopped(m.unit)
}

// handleUnansweredStart stops a run that may have started. An acknowledged stop prevents
// it from starting later. A run for which nothing was sent is abandoned for a reason.
func (t *term) handleUnansweredStart(m *member, sent bool, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.startInFlight = false
	if m.removed || t.ctx.Err() != nil {
		return
	}
	if !sent {
		t.abandonStart(m, reason)
		t.notify()
		return
	}
	t.p.Log.Warn("no response to start", "job", m.unit.job.id, "task", m.task(), "run", m.run, "worker", m.worker)
	t.abortRun(m.unit, cause.StartFailed)
	t.stop(m)
	t.notify()
}

// stop sends a stop for a run, at most once per stopRetryInterval. If its start is still
// in flight, the stop is sent once that has finished.
func (t *term) stop(m *member) {
	m.stopping = true
	w := t.workers[m.worker]
	if m.removed || m.startInFlight || !m.startSent || w == nil || w.client == nil || time.Since(m.stopSentAt) < stopRetryInterval {
		return
	}
	m.stopSentAt = time.Now()
	client, token, timeout := w.client, w.token, orderTimeout+2*w.roundTrip
	task, run := m.task(), m.run
	t.goTask("stop", func() {
		err := t.sendStop(client, task, run, token, timeout)
		if err != nil {
			t.p.Log.Info("stop failed", "job", task.Job, "task", task, "run", run, "worker", m.worker, "error", err)
			return
		}
		t.locked(func() {
			if m.stopAckedAt == 0 {
				m.stopAckedAt = boottime.Now()
			}
		})
	})
}

// sendStop makes one attempt of a stop. It sends nothing while the lock may be lost,
// since the state that the stop was based on may be out of date.
func (t *term) sendStop(client WorkerClient, task TaskID, run, token int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	var err error = fault.New(fault.NotReady, "the planner lock may be lost")
	if t.valid() {
		err = client.Stop(ctx, task, run, token)
	}
	if err != nil {
		t.p.Meter.Inc("stop_" + string(fault.KindOf(err)))
	}
	return err
}
