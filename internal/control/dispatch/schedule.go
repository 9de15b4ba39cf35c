package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/health"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// Limits and intervals of scheduling.
const (
	// maxAttempts is the maximum number of attempts of a request that may have
	// run.
	maxAttempts = 4
	// maxMoves is the maximum number of attempts of a request that did not start.
	maxMoves = 16
	// minProgressTimeout is the minimum time to wait for progress on a connection.
	minProgressTimeout = time.Second
	// progressTimeoutFactor is the time to wait for progress in multiples of the
	// expected service time.
	progressTimeoutFactor = 8
	// lateAnswerGrace is the time for which a stalled connection is still read
	// after another attempt has started.
	lateAnswerGrace = 2 * time.Second
	// redistributeInterval is the time between redistributions of the slots.
	redistributeInterval = time.Second
	// pollInterval is the maximum delay until the end of a pause or a due health
	// probe is noticed.
	pollInterval = 20 * time.Millisecond
)

// attempt is one transmission of a request to a runner.
type attempt struct {
	call   *call
	number int
	target *target
	sent   time.Time
	cancel context.CancelFunc
	// occupiesSlot reports that the attempt occupies a slot of its runner.
	occupiesSlot bool
	// awaitingAnswer reports that an answer to the attempt may still arrive.
	awaitingAnswer bool
	stalled        bool
	// alone reports that this VM sends no other request to the runner meanwhile.
	alone bool
}

// scheduler owns the queues and the runners. Only its goroutine accesses it.
type scheduler struct {
	d                   *Dispatcher
	started             time.Time
	targets             []*target // sorted by ID
	byID                map[string]*target
	entries             []vmlist.VM
	peers               []DemandReport
	localDemand         []DemandRow
	waitingByDataCentre map[string]float64 // keyed by "data centre/service"
	divisions           map[string]*route.History
	queues              map[string]*queue.Queue
	suspects            map[string][]*call // by service; they wait for a runner of their own
	calls               map[string]*call
	attempts            map[attemptKey]*attempt
	estimates           queue.Estimator
	health              health.Tracker
	budgets             map[string]*route.Budget
	rand                *rand.Rand
	ctx                 context.Context
}

func newScheduler(d *Dispatcher) *scheduler {
	return &scheduler{
		d: d, started: time.Now(),
		byID: make(map[string]*target), divisions: make(map[string]*route.History),
		queues: make(map[string]*queue.Queue), suspects: make(map[string][]*call), calls: make(map[string]*call),
		attempts: make(map[attemptKey]*attempt), budgets: make(map[string]*route.Budget),
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (s *scheduler) run(ctx context.Context) {
	s.ctx = ctx
	tick := time.NewTicker(redistributeInterval)
	defer tick.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.d.commands:
			f(s)
		case c := <-s.d.cancels:
			s.drop(c)
		case c := <-s.d.intake:
			s.dropCancelled()
			s.admit(c, time.Now())
		case e := <-s.d.matched:
			s.handleEvent(e, time.Now())
		case <-tick.C:
			s.redistribute(time.Now())
		case <-poll.C:
		}
		s.sendAll(time.Now())
	}
}

// dropCancelled frees the queue places of all cancelled requests, so that they
// do not cause a new request to be refused.
func (s *scheduler) dropCancelled() {
	for {
		select {
		case c := <-s.d.cancels:
			s.drop(c)
		default:
			return
		}
	}
}

func (s *scheduler) queue(service string) *queue.Queue {
	q, ok := s.queues[service]
	if !ok {
		q = &queue.Queue{}
		s.queues[service] = q
		s.setLimits()
	}
	return q
}

func (s *scheduler) serves(service string) bool {
	for _, t := range s.targets {
		if t.vm.Service == service {
			return true
		}
	}
	return false
}

// admit puts a request into the queue of its service.
func (s *scheduler) admit(c *call, now time.Time) {
	if c.isFinished() {
		return
	}
	if !s.serves(c.kind.Service) {
		c.fail(fault.New(fault.NoTarget, "no runner serves %q", c.kind.Service))
		return
	}
	c.item = queue.Item{
		ID: c.r.ID, Account: c.r.Account, Kind: c.r.Kind, Rank: c.kind.Class.Rank(), Arrived: c.arrived,
		Deadline: c.r.Deadline, Cost: s.estimates.Cost(c.r.Kind, c.kind.Expected.Duration),
		AgeingLimit: c.values.AgeingLimit.Duration,
	}
	c.queued = true
	c.tried = make(map[string]bool)
	c.liveAttempts = make(map[int]*attempt)
	s.calls[c.r.ID] = c
	for _, it := range s.queue(c.kind.Service).Push(c.item, now) {
		s.fail(s.calls[it.ID], fault.New(fault.Overloaded, "the queue is full or the expected wait of the client account is too long"))
	}
}

// fail sets an error as a request's outcome and removes the request.
func (s *scheduler) fail(c *call, err error) {
	c.fail(err)
	s.drop(c)
}

// drop removes a finished request from the queue and cancels its attempts.
// Answers that arrive later have no owner.
func (s *scheduler) drop(c *call) {
	delete(s.calls, c.r.ID)
	if q, ok := s.queues[c.kind.Service]; ok {
		q.Remove(c.r.ID)
	}
	c.queued = false
	for n, a := range c.liveAttempts {
		s.d.matcher.remove(attemptKey{c.r.ID, n})
		if a.awaitingAnswer {
			// Errors caused by the cancellation must not count against the runner.
			a.awaitingAnswer = false
			a.cancel()
		}
	}
}

// sendAll sends queued requests to runners with free capacity.
func (s *scheduler) sendAll(now time.Time) {
	for service, q := range s.queues {
		if len(s.suspects[service]) > 0 {
			s.sendSuspects(service, q, now)
		}
		if q.Len() > 0 {
			s.sendFrom(service, q, now)
		}
	}
}

func (s *scheduler) sendFrom(service string, q *queue.Queue, now time.Time) {
	states, targets := s.states(service, now)
	all := slices.Clone(states)
	for i, t := range targets {
		if t.held || t.isolated > 0 {
			states[i].Limit = 0
		}
	}
	need := route.Requirements{Service: service, MayProbe: true}
	location := route.Location{DataCentre: s.d.DataCentre, Region: s.d.Region}
	for q.Len() > 0 {
		need.LocalWait, need.Tried, need.Bytes, need.MayProbe = s.localWait(q, all), nil, 0, true
		if route.Pick(states, location, need) < 0 {
			return
		}
		it, _ := q.Pop(now)
		c := s.calls[it.ID]
		if c == nil || c.isFinished() || s.refuseLate(c, now) {
			q.CorrectCharge(it, 0)
			continue
		}
		if c.runnersDown > 0 {
			s.suspects[service] = append(s.suspects[service], c)
			continue
		}
		need.Tried, need.Bytes, need.MayProbe = c.tried, 2*len(c.r.Payload), c.kind.Idempotent
		i := route.Pick(states, location, need)
		if i < 0 {
			q.Requeue(it)
			q.CorrectCharge(it, 0)
			return
		}
		if !s.send(c, targets[i], now) {
			q.CorrectCharge(it, 0)
			continue
		}
		states[i].InUse++
		states[i].Probe = false
	}
}

// refuseLate refuses a request if less than half the learned service time is left
// until its deadline.
func (s *scheduler) refuseLate(c *call, now time.Time) bool {
	minDuration := time.Duration(0)
	if learned, ok := s.estimates.Learned(c.r.Kind); ok {
		minDuration = learned / 2
	}
	if now.Add(minDuration).Before(c.r.Deadline) {
		return false
	}
	s.fail(c, fault.New(fault.Deadline, "the deadline can no longer be met"))
	return true
}

// send starts an attempt. It returns false when the request is already finished.
func (s *scheduler) send(c *call, t *target, now time.Time) bool {
	if !c.beginAttempt() {
		s.drop(c)
		return false
	}
	c.queued = false
	c.attempts++
	ctx, cancel := context.WithDeadline(s.ctx, c.awaitUntil)
	a := &attempt{call: c, number: c.attempts, target: t, sent: now, cancel: cancel, occupiesSlot: true, awaitingAnswer: true, alone: c.runnersDown > 0}
	k := attemptKey{c.r.ID, a.number}
	c.liveAttempts[a.number] = a
	s.attempts[k] = a
	s.d.matcher.add(k, owner{call: c, runner: t.vm.ID})
	t.state.InUse++
	if a.alone {
		t.isolated++
	}
	probe := t.state.Ejected
	if probe {
		s.d.Meter.Inc("runner_probe")
		s.health.ProbeStarted(t.vm.ID, now)
	}
	s.countCrossing(t, len(c.r.Payload))
	if t.vm.DataCentre != s.d.DataCentre {
		s.d.Meter.Inc("request_sent_across")
	}
	s.d.Meter.Inc("request_sent")
	go t.client.Send(ctx, runner.Request{
		ID: c.r.ID, Attempt: a.number, Kind: c.r.Kind, Payload: c.r.Payload,
		NewConnection: c.freshConnection || probe || !c.kind.Idempotent, StallTimeout: s.progressTimeout(c),
	})
	return true
}

// progressTimeout returns the maximum time to wait for progress on a connection.
func (s *scheduler) progressTimeout(c *call) time.Duration {
	return max(minProgressTimeout, progressTimeoutFactor*s.estimates.Cost(c.r.Kind, c.kind.Expected.Duration))
}

func (s *scheduler) countCrossing(t *target, n int) {
	if t.vm.Region != s.d.Region {
		s.d.Meter.Add("bytes_across_regions", int64(n))
	}
}
