package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// renewalWait is how long a worker that runs tasks may delay its response to a
	// renewal until a run ends. In a fleet of more than renewalWaitWorkers workers it
	// increases in proportion to their number, up to idleRenewalWait, since each call has
	// a cost.
	renewalWait        = 1000 * time.Millisecond
	renewalWaitWorkers = 500
	// idleRenewalWait replaces renewalWait for a worker that runs nothing.
	idleRenewalWait = 2000 * time.Millisecond
	// maxWaitShare is the largest share of a lease that a renewal may wait, so that a
	// lost response does not let the lease expire.
	maxWaitShare = 0.4
	// renewalSlack is the additional time for the response, besides the round trips.
	renewalSlack = 600 * time.Millisecond
	// firstRenewalSlack is the additional time for a worker that has not responded yet.
	firstRenewalSlack = 1200 * time.Millisecond
	// maxRoundTrip bounds the round-trip time that timeouts allow for.
	maxRoundTrip = time.Second
	// maxLimitedRenewals bounds the concurrent renewals of workers that have not
	// responded yet, and of workers whose last renewal got no response. Without a bound
	// they would take CPU time and bandwidth from the other workers.
	maxLimitedRenewals = 64
	// leaseDuration is how long runs continue without a renewal. It outlasts a change of
	// the planner and a short outage of the store. A new term waits for a lease
	// of this duration to expire before it abandons runs on workers that never respond.
	// So before a version grants longer leases, all VMs must run a version that waits for
	// the longer duration.
	leaseDuration = 5500 * time.Millisecond
	// renewalRetryPause is the pause after a renewal that failed.
	renewalRetryPause = 200 * time.Millisecond
	// persistWait bounds the wait for run results to be persisted before the next
	// renewal.
	persistWait = 300 * time.Millisecond
)

// semaphore bounds the number of concurrent calls of a kind.
type semaphore chan struct{}

// acquire waits until a call is permitted. It returns false if ctx is cancelled first.
func (s semaphore) acquire(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s semaphore) release() { <-s }

// renewalLimit returns the semaphore that bounds the next renewal of a worker, or nil if
// there is no bound.
func (t *term) renewalLimit(w *worker) semaphore {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case w.unresponsive:
		return t.retryRenewals
	case w.respondedAt == 0:
		return t.firstRenewals
	}
	return nil
}

// renewLoop renews the leases of a worker and applies its reports until the worker is
// forgotten or the term ends.
func (t *term) renewLoop(w *worker) {
	for t.ctx.Err() == nil {
		sem := t.renewalLimit(w)
		if sem != nil && !sem.acquire(t.ctx) {
			return
		}
		delay, more := t.renewOnce(w)
		if sem != nil {
			sem.release()
		}
		if !more {
			return
		}
		t.notify()
		if delay > 0 {
			select {
			case <-t.ctx.Done():
			case <-w.wake:
			case <-time.After(delay):
			}
		}
	}
}

// renewOnce makes one renewal and returns the pause before the next. more is false if the
// worker is forgotten or the term has ended.
func (t *term) renewOnce(w *worker) (delay time.Duration, more bool) {
	if !t.valid() {
		return retryPause, true
	}
	sentAt := boottime.Now()
	var renewal LeaseRenewal
	var timeout time.Duration
	var client WorkerClient
	known := false
	t.locked(func() {
		if known = t.workers[w.id] == w; known {
			renewal, client = t.nextRenewal(w, sentAt), w.client
			timeout = renewal.MaxWait + w.renewalSlack()
		}
	})
	if !known {
		w.client.Close()
		return 0, false
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	report, err := client.Renew(ctx, renewal)
	cancel()
	if t.ctx.Err() != nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	took := boottime.Since(sentAt)
	t.p.Meter.Time("hold_call_time", took)
	if err == nil && renewal.MaxWait == 0 {
		w.recordRoundTrip(took)
	}
	return t.applyRenewal(w, renewal, sentAt, &report, err), true
}

// renewalSlack returns the additional time for the response to a renewal, besides its
// wait.
func (w *worker) renewalSlack() time.Duration {
	if w.respondedAt == 0 {
		return firstRenewalSlack
	}
	return renewalSlack + 2*w.roundTrip
}

// recordRoundTrip records the time of a call that the worker answered without delay.
func (w *worker) recordRoundTrip(took time.Duration) {
	if w.roundTrip == 0 || took < w.roundTrip {
		w.roundTrip = min(took, maxRoundTrip)
	}
}

// nextRenewal returns the next renewal for a worker.
func (t *term) nextRenewal(w *worker, now boottime.Time) LeaseRenewal {
	o := LeaseRenewal{Token: w.token, LastAcknowledged: w.lastPersistedResult, Incarnation: w.incarnation}
	if t.p.disabled.persistResultFirst {
		o.LastAcknowledged = w.lastResult
	}
	if w.respondedAt == 0 || !w.responded || w.unresponsive {
		// A renewal that may get no response must not extend the leases of an
		// unresponsive worker.
		return o
	}
	lease := min(leaseDuration, t.p.Bounds.MaxLease)
	o.Deadline = w.clockAt(now) + lease
	w.leaseUntil = max(w.leaseUntil, o.Deadline)
	o.MaxWait = idleRenewalWait
	if len(w.members) > 0 || len(w.unknownRuns) > 0 {
		o.MaxWait = min(max(renewalWait, renewalWait*time.Duration(len(t.listed))/renewalWaitWorkers), idleRenewalWait)
	}
	if t.p.Disabled[policy.WaitingRenewals] {
		o.MaxWait = 0
	}
	o.MaxWait = min(o.MaxWait, time.Duration(float64(lease)*maxWaitShare)).Truncate(time.Millisecond)
	return o
}

// applyRenewal applies the result of a renewal and returns the pause before the next.
func (t *term) applyRenewal(w *worker, o LeaseRenewal, sentAt boottime.Time, report *WorkerReport, err error) time.Duration {
	switch {
	case fault.Is(err, fault.Fenced) && o.Token >= w.token:
		t.fail("a worker has seen a higher token")
		return renewalRetryPause
	case fault.Is(err, fault.Fenced):
		return 0
	case err != nil:
		if !w.unresponsive {
			t.p.Log.Info("worker not reached", "worker", w.id, "runs", len(w.members), "error", err)
		}
		t.p.Meter.Inc("hold_" + string(fault.KindOf(err)))
		w.unresponsive, w.lastUnansweredAt = true, sentAt
		return renewalRetryPause
	}
	if w.unresponsive {
		t.p.Log.Info("worker reached again", "worker", w.id)
	}
	w.unresponsive, w.clock, w.respondedAt = false, report.Clock, boottime.Now()
	if report.Incarnation != w.incarnation && w.incarnation != 0 {
		t.applyRestart(w, report.Incarnation)
		return 0
	}
	w.incarnation = report.Incarnation
	w.responded = w.responded || o.Token == w.token
	if !w.responded {
		return 0
	}
	t.applyReport(w, o, sentAt, report)
	if w.lastResult > w.lastPersistedResult {
		return persistWait
	}
	return 0
}

// applyRestart records that a worker has restarted. Orders that were sent to the old
// incarnation may still take effect in the new one until it has seen a higher token.
func (t *term) applyRestart(w *worker, incarnation int64) {
	t.p.Log.Warn("worker restarted", "worker", w.id, "born", incarnation, "before", w.incarnation, "runs", len(w.members))
	t.p.Meter.Inc("worker_reborn")
	t.forgetSpeed(w)
	w.incarnation, w.responded, w.restartedAt = incarnation, false, boottime.Now()
	w.token++
	w.lastResult, w.lastPersistedResult, w.leaseUntil, w.pendingResults = 0, 0, 0, nil
	delete(t.unacked, w)
	clear(w.unknownRuns)
	clear(w.failedJobs)
	w.closedUntil = time.Time{}
}

// applyReport applies the run results and the running tasks that a worker reports.
func (t *term) applyReport(w *worker, o LeaseRenewal, sentAt boottime.Time, report *WorkerReport) {
	for _, result := range report.Results {
		if result.Number <= w.lastResult {
			continue
		}
		w.lastResult = result.Number
		t.applyResult(w, result)
		t.addPendingResult(w, result)
	}
	t.acknowledgeResults(w)
	listed := make(map[runKey]bool, len(report.Running))
	clear(w.unknownRuns)
	for _, r := range report.Running {
		k := runKey{r.Task, r.Run}
		listed[k] = true
		if m := w.members[k]; m != nil {
			t.applyRunning(w, m, r, sentAt)
			continue
		}
		t.stopUnknownRun(w, k)
	}
	t.checkSlow(w)
	t.observeInterference(w, report)
	w.listedResults = len(report.Results)
	undecided := 0
	for _, m := range w.sorted() {
		if listed[runKey{m.task(), m.run}] || !m.startSent {
			continue
		}
		reason := m.unlistedReason(o, sentAt)
		if reason != "" && (!report.MoreResults || t.p.disabled.awaitAllResults) {
			t.applyRunLost(w, m, reason)
			continue
		}
		if reason != "" {
			undecided++
		}
		if m.stopping {
			t.stop(m)
		}
	}
	if undecided > 0 {
		t.p.Meter.Inc("results_awaited")
		t.p.Log.Info("further run results awaited", "worker", w.id, "results_listed", w.listedResults, "last", w.lastResult, "runs_undecided", undecided)
	}
}

// unlistedReason returns why a run that the response to a renewal does not list as running
// can't be running, nor begin; "" if it may.
func (m *member) unlistedReason(o LeaseRenewal, sentAt boottime.Time) string {
	switch {
	case m.startAckedAt != 0 && sentAt >= m.startAckedAt:
		return "not listed"
	case m.stopAckedAt != 0 && sentAt >= m.stopAckedAt:
		return "stopped before it began"
	case m.token < o.Token && !m.startInFlight:
		return "can't begin any more"
	}
	return ""
}

// applyRunning applies the report of a running task.
func (t *term) applyRunning(w *worker, m *member, r RunReport, sentAt boottime.Time) {
	if m.startAckedAt == 0 {
		m.startAckedAt, m.pace.startUnknown = sentAt, true
		m.unit.recordStarted(time.Now())
	}
	if m.incarnation != w.incarnation {
		// An order that was carried out late has reached the next incarnation.
		t.recordLoss(w, m)
	}
	m.incarnation, m.reported, m.unit.job.begun = w.incarnation, true, true
	if r.Checkpoint != "" {
		m.checkpoint = r.Checkpoint
	}
	m.percent, m.load = r.Percent, r.Load
	m.readings.Observe(r.Percent, w.clock)
	t.endIsolation(m)
	t.trackProgress(w, m)
	if m.stopping || m.unit.aborting || m.unit.job.ended() {
		t.stop(m)
	}
}

// stopUnknownRun stops a run that this term did not place or has abandoned.
func (t *term) stopUnknownRun(w *worker, k runKey) {
	var shape model.Shape
	if j := t.jobs[k.task.Job]; j != nil && k.task.Step < len(j.spec.Job.Steps) {
		shape = j.spec.Job.Steps[k.task.Step].CountedShape()
	}
	w.unknownRuns[k] = shape
	t.recordBegun(k.task)
	for _, m := range w.members {
		m.shared = true
	}
	if !t.valid() {
		// Another VM may have placed the run.
		return
	}
	t.p.Meter.Inc("run_unknown")
	t.p.Log.Info("stopping unknown run", "job", k.task.Job, "task", k.task, "run", k.run, "worker", w.id)
	token, client, timeout := w.token, w.client, orderTimeout+2*w.roundTrip
	t.goTask("stop", func() {
		if err := t.sendStop(client, k.task, k.run, token, timeout); err != nil {
			t.p.Log.Info("stop failed", "job", k.task.Job, "task", k.task, "run", k.run, "worker", w.id, "error", err)
		}
	})
}
