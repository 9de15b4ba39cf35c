package dispatch

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/health"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// handleEvent processes an event of an attempt.
func (s *scheduler) handleEvent(e runner.Event, now time.Time) {
	a := s.findAttempt(e)
	if a == nil {
		return
	}
	switch e.Kind {
	case runner.Answered:
		s.handleAnswer(a, e, now)
	case runner.NotStarted:
		s.handleNotStarted(a, e, now)
	case runner.Unreachable:
		s.recordFailure(a, e, now)
		s.reroute(a, fault.Unreachable, e.Err)
	case runner.ConnectionLost:
		s.recordFailure(a, e, now)
		reason := string(fault.AnswerLost)
		if e.RunnerDown && s.recordRunnerDown(a, now) {
			reason = "runner_down"
		}
		s.handleLost(a, fault.AnswerLost, reason, e.Err)
	case runner.BadAnswer:
		s.recordFailure(a, e, now)
		s.handleLost(a, fault.BadAnswer, string(fault.BadAnswer), e.Err)
	case runner.Stalled:
		s.recordFailure(a, e, now)
		s.stalled(a)
	case runner.Ended:
		s.handleEnded(a)
	}
}

// findAttempt returns the attempt that an event belongs to, or nil. An answer
// can arrive after its attempt has ended.
func (s *scheduler) findAttempt(e runner.Event) *attempt {
	if a, ok := s.attempts[attemptKey{e.ID, e.Attempt}]; ok {
		return a
	}
	if c, ok := s.calls[e.ID]; ok {
		return c.liveAttempts[e.Attempt]
	}
	return nil
}

// recordFailure attributes the failure of an attempt to its runner.
func (s *scheduler) recordFailure(a *attempt, e runner.Event, now time.Time) {
	if e.Err == nil && e.Kind != runner.Stalled || !a.awaitingAnswer {
		return
	}
	f := health.Failure{Connection: e.Connection, FirstUse: e.FirstUse, RunnerAnswered: e.RunnerFailed, At: now}
	if s.health.RecordFailure(a.target.vm.ID, f) {
		s.d.Meter.Inc("runner_ejected")
		s.d.Log.Warn("runner ejected", "runner", a.target.vm.ID, "reason", string(e.Kind))
		s.setLimits()
	}
}

func (s *scheduler) handleAnswer(a *attempt, e runner.Event, now time.Time) {
	c := a.call
	took := now.Sub(a.sent)
	s.estimates.Observe(c.r.Kind, took)
	if q, ok := s.queues[c.kind.Service]; ok {
		q.CorrectCharge(c.item, took)
	}
	if s.health.State(a.target.vm.ID, now).Ejected {
		s.d.Meter.Inc("runner_readmitted")
		s.d.Log.Info("runner readmitted", "runner", a.target.vm.ID)
	}
	s.health.RecordSuccess(a.target.vm.ID)
	a.target.refusals = 0
	s.budget(c.r.Account).AddSuccess(c.values.RetryShare)
	s.countCrossing(a.target, len(e.Payload))
	if a.stalled || !a.awaitingAnswer {
		s.d.Meter.Inc("runner_answer_late")
	}
	if e.WrongConnection && a.awaitingAnswer {
		// The answer to another attempt may still arrive on this connection.
		s.releaseSlot(a)
		time.AfterFunc(lateAnswerGrace, a.cancel)
	}
	a.awaitingAnswer = false
	s.drop(c)
}

func (s *scheduler) handleNotStarted(a *attempt, e runner.Event, now time.Time) {
	if e.Reason == runner.NotStartedBusy {
		a.target.refusals++
		a.target.pausedUntil = now.Add(route.BusyPause(a.target.refusals))
	}
	if e.Reason == runner.NotStartedLeaving {
		s.d.addLeaving(a.target.vm.ID, now)
		s.refreshLeaving()
	}
	s.reroute(a, fault.NotStarted, fault.New(fault.NotStarted, "%s", e.Reason))
}

// reroute sends a request to another runner after an attempt that did not start.
func (s *scheduler) reroute(a *attempt, kind fault.Kind, err error) {
	if !a.awaitingAnswer {
		return
	}
	a.awaitingAnswer = false
	c := a.call
	c.handleNotStarted()
	s.d.matcher.remove(attemptKey{c.r.ID, a.number})
	if q, ok := s.queues[c.kind.Service]; ok {
		q.CorrectCharge(c.item, 0)
	}
	if c.isFinished() {
		return
	}
	if c.runnersDown >= maxRunnersDown {
		if !s.answerPossible(c) {
			s.fail(c, fault.Wrap(fault.RunnerCrashed, err, "runner %s", a.target.vm.ID))
		}
		return
	}
	c.tried[a.target.vm.ID] = true
	c.moves++
	if c.moves > maxMoves {
		s.fail(c, fault.Wrap(kind, err, "runner %s", a.target.vm.ID))
		return
	}
	s.d.Meter.Inc("move_" + string(kind))
	s.requeue(c, c.moves > 1)
}

// handleLost handles an attempt that ended without a complete answer. reason is
// counted if the request is sent again.
func (s *scheduler) handleLost(a *attempt, kind fault.Kind, reason string, err error) {
	if !a.awaitingAnswer {
		return
	}
	a.awaitingAnswer = false
	c := a.call
	c.handleLost()
	if c.isFinished() {
		return
	}
	c.tried[a.target.vm.ID] = true
	if s.retry(c, reason) || s.answerPossible(c) {
		return
	}
	if c.runnersDown >= maxRunnersDown {
		kind = fault.RunnerCrashed
	}
	s.fail(c, fault.Wrap(kind, err, "runner %s", a.target.vm.ID))
}

// stalled handles an attempt without progress. Its connection is still read, but
// only for lateAnswerGrace if another attempt has started.
func (s *scheduler) stalled(a *attempt) {
	a.stalled = true
	c := a.call
	if !a.awaitingAnswer || c.isFinished() {
		return
	}
	c.tried[a.target.vm.ID] = true
	if !s.retry(c, "silent") {
		return
	}
	s.releaseSlot(a)
	time.AfterFunc(lateAnswerGrace, a.cancel)
}

// answerPossible reports whether a request is queued or has an attempt whose
// answer may still arrive.
func (s *scheduler) answerPossible(c *call) bool {
	if c.queued {
		return true
	}
	for _, a := range c.liveAttempts {
		if a.awaitingAnswer {
			return true
		}
	}
	return false
}

// retry requeues an idempotent request if its account's retry budget allows it.
// It reports whether the request is queued or has an attempt in progress.
func (s *scheduler) retry(c *call, reason string) bool {
	if !c.kind.Idempotent {
		return false
	}
	if c.runnersDown >= maxRunnersDown {
		s.d.Meter.Inc("retry_refused_crashes")
		s.unqueue(c)
		return false
	}
	if c.queued {
		return true
	}
	for _, a := range c.liveAttempts {
		if a.awaitingAnswer && !a.stalled {
			return true
		}
	}
	if c.attempts-c.moves >= maxAttempts {
		s.d.Meter.Inc("retry_refused_attempts")
		return false
	}
	if !s.budget(c.r.Account).Spend() {
		s.d.Meter.Inc("retry_refused_budget")
		return false
	}
	s.d.Meter.Inc("retry_" + reason)
	c.freshConnection = true
	s.requeue(c, true)
	return true
}

// requeue puts a request back into the queue, after a backoff if wait is set.
func (s *scheduler) requeue(c *call, wait bool) {
	c.queued = true
	if !wait {
		s.queue(c.kind.Service).Requeue(c.item)
		return
	}
	c.backoff = route.Backoff(c.backoff, s.rand)
	time.AfterFunc(c.backoff, func() {
		s.d.post(func(s *scheduler) {
			if c.queued && !c.isFinished() {
				s.queue(c.kind.Service).Requeue(c.item)
			}
		})
	})
}

func (s *scheduler) budget(account string) *route.Budget {
	b, ok := s.budgets[account]
	if !ok {
		b = &route.Budget{}
		s.budgets[account] = b
	}
	return b
}

// releaseSlot frees the slot that an attempt occupies.
func (s *scheduler) releaseSlot(a *attempt) {
	if a.occupiesSlot {
		a.occupiesSlot = false
		a.target.state.InUse--
		if a.alone {
			a.target.isolated--
		}
	}
}

// handleEnded handles an attempt that no longer uses its connection.
func (s *scheduler) handleEnded(a *attempt) {
	s.releaseSlot(a)
	a.cancel()
	delete(s.attempts, attemptKey{a.call.r.ID, a.number})
	if a.call.isFinished() {
		s.drop(a.call)
	}
}
