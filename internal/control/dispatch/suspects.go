package dispatch

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
)

// maxRunnersDown is the number of runners that may go down under one request
// before it is given up. After the first one the request is a suspect: it is
// sent again only to a runner at which this VM has no other request.
const maxRunnersDown = 2

// recordRunnerDown counts a runner that went down under an attempt, and reports
// whether it did. A runner that was leaving has stopped as planned.
func (s *scheduler) recordRunnerDown(a *attempt, now time.Time) bool {
	c := a.call
	if _, leaving := s.d.Leaving()[a.target.vm.ID]; leaving || !a.awaitingAnswer || c.isFinished() {
		return false
	}
	c.runnersDown++
	s.d.Meter.Inc("runner_down")
	s.d.Log.Warn("runner down under request", "request", c.r.ID, "kind", c.r.Kind, "account", c.r.Account,
		"runner", a.target.vm.ID, "alone", a.alone, "ran_ms", now.Sub(a.sent).Milliseconds(), "runners_down", c.runnersDown)
	return true
}

// unqueue keeps a queued request from being sent again.
func (s *scheduler) unqueue(c *call) {
	c.queued = false
	if q, ok := s.queues[c.kind.Service]; ok {
		q.Remove(c.r.ID)
	}
}

// sendSuspects sends the suspects of a service to free runners. While one of
// them waits, a runner is held until it is free.
func (s *scheduler) sendSuspects(service string, q *queue.Queue, now time.Time) {
	states, targets := s.states(service, now)
	need := route.Requirements{Service: service, LocalWait: s.localWait(q, states), MayProbe: true}
	location := route.Location{DataCentre: s.d.DataCentre, Region: s.d.Region}
	var waiting []*call
	for _, c := range s.suspects[service] {
		if !c.queued || c.isFinished() || s.refuseLate(c, now) {
			q.CorrectCharge(c.item, 0)
			continue
		}
		need.Tried, need.Bytes = c.tried, 2*len(c.r.Payload)
		i := s.pickFree(states, location, need)
		if i < 0 {
			waiting = append(waiting, c)
			continue
		}
		if !s.send(c, targets[i], now) {
			q.CorrectCharge(c.item, 0)
			continue
		}
		states[i].InUse++
	}
	s.suspects[service] = waiting
	if len(waiting) > 0 {
		need.Tried, need.Bytes = waiting[0].tried, 2*len(waiting[0].r.Payload)
	}
	s.hold(states, targets, len(waiting) > 0, func() int { return route.Pick(states, location, need) })
}

// pickFree returns the index of a runner without requests of this VM, or -1.
// Among equals it picks at random, so that the suspects of several VMs seldom
// meet.
func (s *scheduler) pickFree(states []route.Runner, location route.Location, need route.Requirements) int {
	order := s.rand.Perm(len(states))
	free := make([]route.Runner, len(states))
	for i, j := range order {
		free[i] = states[j]
		if free[i].InUse > 0 {
			free[i].Limit = 0
		}
	}
	i := route.Pick(free, location, need)
	if i < 0 {
		return -1
	}
	return order[i]
}

// hold holds the runner that pick returns if a suspect waits and no runner is
// held for or used by a suspect yet, and releases it when none waits.
func (s *scheduler) hold(states []route.Runner, targets []*target, needed bool, pick func() int) {
	reserved := false
	for i, t := range targets {
		usable := states[i].Limit > 0 && !states[i].Leaving && !states[i].Cordoned && !states[i].Ejected
		t.held = t.held && needed && usable
		reserved = reserved || t.held || t.isolated > 0
	}
	if !needed || reserved {
		return
	}
	if i := pick(); i >= 0 {
		targets[i].held = true
	}
}
