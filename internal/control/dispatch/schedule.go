package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/health"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// Bounds of one request's attempts.
const (
	// maxAttempts bounds the attempts that may have run.
	maxAttempts = 4
	// maxMoves bounds the attempts that did not start.
	maxMoves = 16
	// minAllowance is the least wait for progress on a connection.
	minAllowance = time.Second
	// allowanceFactor is the wait for progress in expected service times.
	allowanceFactor = 8
	// lateGrace is the time in which a silent connection is still read after
	// another attempt was begun.
	lateGrace = 2 * time.Second
	// exchangeInterval is the time between two divisions of the slots.
	exchangeInterval = time.Second
	// pollInterval is the longest time until an ended pause or a due probe is
	// noticed.
	pollInterval = 20 * time.Millisecond
)

// attempt is one send of a request.
type attempt struct {
	call   *call
	number int
	target *target
	sent   time.Time
	cancel context.CancelFunc
	// held says that the attempt holds a place at its runner.
	held bool
	// open says that the attempt may still be answered.
	open   bool
	silent bool
}

// scheduler owns the queues and the runners; only its goroutine touches it.
type scheduler struct {
	d         *Dispatcher
	started   time.Time
	targets   []*target // by id
	byID      map[string]*target
	entries   []vmlist.VM
	peers     []Report
	own       []DemandRow
	waitingAt map[string]float64 // by data centre and service
	divisions map[string]*route.History
	queues    map[string]*queue.Queue
	calls     map[string]*call
	attempts  map[attemptKey]*attempt
	estimates queue.Estimator
	health    health.Tracker
	budgets   map[string]*route.Budget
	rand      *rand.Rand
	ctx       context.Context
}

func newScheduler(d *Dispatcher) *scheduler {
	return &scheduler{
		d: d, started: time.Now(),
		byID: make(map[string]*target), divisions: make(map[string]*route.History),
		queues: make(map[string]*queue.Queue), calls: make(map[string]*call),
		attempts: make(map[attemptKey]*attempt), budgets: make(map[string]*route.Budget),
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (s *scheduler) run(ctx context.Context) {
	s.ctx = ctx
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.d.orders:
			f(s)
		case c := <-s.d.cancels:
			s.forget(c)
		case c := <-s.d.intake:
			s.forgetCancelled()
			s.admit(c, time.Now())
		case e := <-s.d.settled:
			s.settle(e, time.Now())
		case <-tick.C:
			s.exchange(time.Now())
		case <-poll.C:
		}
		s.sendAll(time.Now())
	}
}

// forgetCancelled frees the places of all cancelled requests, so that a new one
// is not refused for their sake.
func (s *scheduler) forgetCancelled() {
	for {
		select {
		case c := <-s.d.cancels:
			s.forget(c)
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

// admit puts a request into its queue.
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
	c.live = make(map[int]*attempt)
	s.calls[c.r.ID] = c
	for _, it := range s.queue(c.kind.Service).Push(c.item, now) {
		s.fail(s.calls[it.ID], fault.New(fault.Overloaded, "the queue is too long"))
	}
}

// fail ends a request with an error.
func (s *scheduler) fail(c *call, err error) {
	c.fail(err)
	s.forget(c)
}

// forget drops a finished request: it leaves the queue, its attempts end, and
// answers that come later have no owner.
func (s *scheduler) forget(c *call) {
	delete(s.calls, c.r.ID)
	if q, ok := s.queues[c.kind.Service]; ok {
		q.Remove(c.r.ID)
	}
	c.queued = false
	for n, a := range c.live {
		s.d.matcher.remove(attemptKey{c.r.ID, n})
		if a.open {
			// What its connection tells from now on is no evidence.
			a.open = false
			a.cancel()
		}
	}
}

// sendAll sends what waits to the runners that have room.
func (s *scheduler) sendAll(now time.Time) {
	for service, q := range s.queues {
		if q.Len() > 0 {
			s.sendFrom(service, q, now)
		}
	}
}

func (s *scheduler) sendFrom(service string, q *queue.Queue, now time.Time) {
	states, targets := s.states(service, now)
	need := route.Requirements{Service: service, MayProbe: true}
	own := route.Location{DataCentre: s.d.DataCentre, Region: s.d.Region}
	for q.Len() > 0 {
		need.LocalWait, need.Tried, need.Bytes, need.MayProbe = s.localWait(q, states), nil, 0, true
		if route.Pick(states, own, need) < 0 {
			return
		}
		it, _ := q.Pop(now)
		c := s.calls[it.ID]
		if c == nil || c.isFinished() || s.refuseLate(c, now) {
			q.CorrectCharge(it, 0)
			continue
		}
		need.Tried, need.Bytes, need.MayProbe = c.tried, 2*len(c.r.Payload), c.kind.Idempotent
		i := route.Pick(states, own, need)
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

// refuseLate refuses a request whose deadline cannot be met any more, judged
// by the learnt service time.
func (s *scheduler) refuseLate(c *call, now time.Time) bool {
	least := time.Duration(0)
	if learnt, ok := s.estimates.Learned(c.r.Kind); ok {
		least = learnt / 2
	}
	if now.Add(least).Before(c.r.Deadline) {
		return false
	}
	s.fail(c, fault.New(fault.Deadline, "the deadline cannot be met any more"))
	return true
}

// send begins an attempt. It is false when the request is already finished.
func (s *scheduler) send(c *call, t *target, now time.Time) bool {
	if !c.begin() {
		s.forget(c)
		return false
	}
	c.queued = false
	c.attempts++
	ctx, cancel := context.WithDeadline(s.ctx, c.until)
	a := &attempt{call: c, number: c.attempts, target: t, sent: now, cancel: cancel, held: true, open: true}
	k := attemptKey{c.r.ID, a.number}
	c.live[a.number] = a
	s.attempts[k] = a
	s.d.matcher.add(k, owner{call: c, runner: t.vm.ID})
	t.state.InUse++
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
		Fresh: c.fresh || probe || !c.kind.Idempotent, Allowance: s.allowance(c),
	})
	return true
}

// allowance returns the longest wait for progress on a connection.
func (s *scheduler) allowance(c *call) time.Duration {
	return max(minAllowance, allowanceFactor*s.estimates.Cost(c.r.Kind, c.kind.Expected.Duration))
}

func (s *scheduler) countCrossing(t *target, n int) {
	if t.vm.Region != s.d.Region {
		s.d.Meter.Add("bytes_across_regions", int64(n))
	}
}
