package dispatch

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/health"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// settle takes what happened to an attempt.
func (s *scheduler) settle(e runner.Event, now time.Time) {
	a := s.find(e)
	if a == nil {
		return
	}
	switch e.Kind {
	case runner.Answered:
		s.answered(a, e, now)
	case runner.NotStarted:
		s.notStarted(a, e, now)
	case runner.Unreachable:
		s.blame(a, e, now)
		s.unsent(a, fault.Unreachable, e.Err)
	case runner.Lost:
		s.blame(a, e, now)
		s.lost(a, fault.AnswerLost, e.Err)
	case runner.BadAnswer:
		s.blame(a, e, now)
		s.lost(a, fault.BadAnswer, e.Err)
	case runner.Silent:
		s.blame(a, e, now)
		s.silent(a)
	case runner.Ended:
		s.ended(a)
	}
}

// find returns the attempt of an event; an answer may come after the end of its
// attempt.
func (s *scheduler) find(e runner.Event) *attempt {
	if a, ok := s.attempts[attemptKey{e.ID, e.Attempt}]; ok {
		return a
	}
	if c, ok := s.calls[e.ID]; ok {
		return c.live[e.Attempt]
	}
	return nil
}

// blame adds evidence against a runner.
func (s *scheduler) blame(a *attempt, e runner.Event, now time.Time) {
	if e.Err == nil && e.Kind != runner.Silent || !a.open {
		return
	}
	f := health.Failure{Connection: e.Connection, FirstUse: e.Fresh, Answered: e.Failed, At: now}
	if s.health.RecordFailure(a.target.vm.ID, f) {
		s.d.Meter.Inc("runner_ejected")
		s.d.Log.Warn("runner ejected", "runner", a.target.vm.ID, "reason", string(e.Kind))
		s.setLimits()
	}
}

func (s *scheduler) answered(a *attempt, e runner.Event, now time.Time) {
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
	if a.silent || !a.open {
		s.d.Meter.Inc("runner_answer_late")
	}
	if e.Crossed && a.open {
		// The connection of this attempt may still bring the answer to another.
		s.release(a)
		time.AfterFunc(lateGrace, a.cancel)
	}
	a.open = false
	s.forget(c)
}

func (s *scheduler) notStarted(a *attempt, e runner.Event, now time.Time) {
	if e.Reason == runner.NotStartedBusy {
		a.target.refusals++
		a.target.pausedUntil = now.Add(route.BusyPause(a.target.refusals))
	}
	if e.Reason == runner.NotStartedLeaving {
		s.d.addLeaving(a.target.vm.ID, now)
		s.refreshLeaving()
	}
	s.unsent(a, fault.NotStarted, fault.New(fault.NotStarted, "%s", e.Reason))
}

// unsent moves a request to another runner after an attempt that did not start.
func (s *scheduler) unsent(a *attempt, kind fault.Kind, err error) {
	if !a.open {
		return
	}
	a.open = false
	c := a.call
	c.notStarted()
	s.d.matcher.remove(attemptKey{c.r.ID, a.number})
	if q, ok := s.queues[c.kind.Service]; ok {
		q.CorrectCharge(c.item, 0)
	}
	if c.isFinished() {
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

// lost handles an attempt that ended without a whole answer.
func (s *scheduler) lost(a *attempt, kind fault.Kind, err error) {
	if !a.open {
		return
	}
	a.open = false
	c := a.call
	c.lost()
	if c.isFinished() {
		return
	}
	c.tried[a.target.vm.ID] = true
	if s.retry(c, string(kind)) || s.awaited(c) {
		return
	}
	s.fail(c, fault.Wrap(kind, err, "runner %s", a.target.vm.ID))
}

// silent handles an attempt without progress. Its connection is read on, for a
// short time when another attempt was begun.
func (s *scheduler) silent(a *attempt) {
	a.silent = true
	c := a.call
	if !a.open || c.isFinished() {
		return
	}
	c.tried[a.target.vm.ID] = true
	if !s.retry(c, "silent") {
		return
	}
	s.release(a)
	time.AfterFunc(lateGrace, a.cancel)
}

// awaited reports whether a request is queued or has an attempt that may still
// be answered.
func (s *scheduler) awaited(c *call) bool {
	if c.queued {
		return true
	}
	for _, a := range c.live {
		if a.open {
			return true
		}
	}
	return false
}

// retry begins another attempt of an idempotent request if its account's
// budget allows, unless one is at work already.
func (s *scheduler) retry(c *call, reason string) bool {
	if !c.kind.Idempotent {
		return false
	}
	if c.queued {
		return true
	}
	for _, a := range c.live {
		if a.open && !a.silent {
			return true
		}
	}
	if c.attempts-c.moves >= maxAttempts {
		s.d.Meter.Inc("retry_refused_attempts")
		return false
	}
	if !s.budget(c.r.Account).Take() {
		s.d.Meter.Inc("retry_refused_budget")
		return false
	}
	s.d.Meter.Inc("retry_" + reason)
	c.fresh = true
	s.requeue(c, true)
	return true
}

// requeue puts a request back into the queue, after a wait when asked for.
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

// release gives an attempt's place back.
func (s *scheduler) release(a *attempt) {
	if a.held {
		a.held = false
		a.target.state.InUse--
	}
}

// ended handles an attempt that uses its connection no longer.
func (s *scheduler) ended(a *attempt) {
	s.release(a)
	a.cancel()
	delete(s.attempts, attemptKey{a.call.r.ID, a.number})
	if a.call.isFinished() {
		s.forget(a.call)
	}
}
