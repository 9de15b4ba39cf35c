// Package dispatch carries requests from the callers' listener to the runners
// through a pipeline of filters: intake, check, claim, queue, route, send,
// match, answer.
//
// Each duty has its goroutine, joined to the next by a bounded channel: Run's
// scheduler owns the queue and the choice of runners, the matcher gives
// answers to the requests that they name, and every attempt has one goroutine
// while it uses a connection. Check and claim run on the goroutine of the
// caller, which otherwise only waits for the outcome. A full ring refuses the
// request as overloaded.
package dispatch

import (
	"context"
	"crypto/sha256"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// Request is a caller's request.
type Request struct {
	// ID differs for every submission.
	ID      string
	Account string
	Kind    string
	Key     string
	Home    string
	Payload []byte
	// Deadline is set by intake when the caller names none.
	Deadline time.Time
}

// Answer is the whole answer to a request.
type Answer struct {
	RequestID string
	Payload   []byte
	Runner    string
	Attempts  int
	// Recorded says that an earlier submission with the same key ran.
	Recorded bool
}

// Claimer claims keys.
type Claimer interface {
	Claim(ctx context.Context, r claim.Request) (*claim.Ticket, *claim.Recorded, error)
	Finish(ctx context.Context, t *claim.Ticket, result []byte)
	Abandon(ctx context.Context, t *claim.Ticket)
}

// Dispatcher serves requests. Its exported fields are set before use, and Run
// has to be called.
type Dispatcher struct {
	VM         string
	DataCentre string
	Region     string
	Config     func() config.Head
	Claims     Claimer
	Meter      *meter.Meter
	Log        *slog.Logger
	// Peers returns the reports of the live VMs without this one; nil when
	// there are none.
	Peers func() []Report
	// LocalAddr is the source of the connections to runners; nil for any.
	LocalAddr net.Addr

	once    sync.Once
	intake  chan *call
	cancels chan *call
	events  chan runner.Event
	settled chan runner.Event
	orders  chan func(*scheduler)
	ended   chan struct{}
	matcher matcher

	mu      sync.Mutex
	drained bool
	active  map[*call]struct{}
	idle    chan struct{}
	runners []route.Runner
	demand  []DemandRow
	leaving map[string]time.Time
	// known holds the listed runners; nil before the first list.
	known map[string]*target
}

const (
	// ringCapacity bounds the requests that one VM has at once.
	ringCapacity = 4096
	// orderCapacity bounds the orders that wait for the scheduler.
	orderCapacity = 256
	// endGrace is the time after the deadline in which the caller's own
	// goroutine ends the request, before its attempts end by themselves.
	endGrace = time.Second
	// recordGrace is the time after the deadline in which the answer to a
	// claimed request is still awaited, so that its result can be recorded.
	recordGrace = 30 * time.Second
)

func (d *Dispatcher) start() {
	d.once.Do(func() {
		d.intake = make(chan *call, ringCapacity)
		d.cancels = make(chan *call, ringCapacity)
		d.events = make(chan runner.Event, ringCapacity)
		d.settled = make(chan runner.Event, ringCapacity)
		d.orders = make(chan func(*scheduler), orderCapacity)
		d.ended = make(chan struct{})
		d.active = make(map[*call]struct{})
		d.leaving = make(map[string]time.Time)
	})
}

// Run runs the duties until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.start()
	defer close(d.ended)
	var duties sync.WaitGroup
	duties.Go(func() { d.match(ctx) })
	duties.Go(func() { newScheduler(d).run(ctx) })
	duties.Wait()
}

// Do serves one request. The kind of its error tells whether it may have run.
func (d *Dispatcher) Do(ctx context.Context, r Request) (Answer, error) {
	d.start()
	c, err := d.check(r)
	if err != nil {
		return Answer{}, err
	}
	if err := d.begin(c); err != nil {
		return Answer{}, err
	}
	if c.kind.Idempotent {
		defer d.finish(c)
		return d.serve(ctx, c)
	}
	return d.serveClaimed(ctx, c)
}

// begin counts an active request.
func (d *Dispatcher) begin(c *call) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained {
		return fault.New(fault.Draining, "this VM is stopping")
	}
	if len(d.active) >= ringCapacity {
		return fault.New(fault.Overloaded, "%d requests are being served", ringCapacity)
	}
	d.active[c] = struct{}{}
	return nil
}

func (d *Dispatcher) finish(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, c)
	if len(d.active) == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Drain refuses new requests and waits for those that are queued or in flight.
// When ctx ends first, it refuses those that were not sent, and returns an
// error when others are still in flight.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.start()
	d.mu.Lock()
	d.drained = true
	if len(d.active) == 0 {
		d.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	d.idle = idle
	d.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	d.refuseUnsent()
	return fault.Wrap(fault.Internal, ctx.Err(), "requests are still in flight")
}

func (d *Dispatcher) refuseUnsent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.active {
		c.refuseUnsent(fault.New(fault.Draining, "this VM is stopping"))
	}
}

func (d *Dispatcher) check(r Request) (*call, error) {
	head := d.Config()
	kind, ok := head.Document.KindNamed(r.Kind)
	if !ok || kind.Service == "" {
		return nil, fault.WithField(fault.BadRequest, "kind", "%q is not a kind of request", r.Kind)
	}
	account, ok := head.Document.AccountNamed(r.Account)
	if !ok {
		return nil, fault.WithField(fault.BadRequest, "client_account", "%q is not known", r.Account)
	}
	if !kind.Idempotent && r.Key == "" {
		return nil, fault.WithField(fault.KeyRequired, "Idempotency-Key", "is required for kind %q", r.Kind)
	}
	if r.Home == "" {
		r.Home = account.Home
	}
	now := time.Now()
	values := head.Document.Effective(config.Scope{DataCentre: d.DataCentre, Account: r.Account, Kind: r.Kind}, now)
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(values.RequestTimeout.Duration)
	}
	c := &call{r: r, kind: kind, values: values, arrived: now, done: make(chan struct{}), until: r.Deadline.Add(endGrace)}
	if !kind.Idempotent {
		c.until = r.Deadline.Add(recordGrace)
	}
	return c, nil
}

// serve takes a request through queue, route, send and match.
func (d *Dispatcher) serve(ctx context.Context, c *call) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.r.Deadline)
	defer cancel()
	if err := d.submit(c); err != nil {
		return Answer{}, err
	}
	select {
	case <-c.done:
	case <-d.ended:
		c.giveUp(fault.Draining, "this VM has stopped")
	case <-ctx.Done():
		c.giveUp(reasonOf(ctx), "while waiting")
		d.cancel(c)
	}
	return c.outcome()
}

func reasonOf(ctx context.Context) fault.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Deadline
	}
	return fault.Cancelled
}

// submit hands a request to the scheduler.
func (d *Dispatcher) submit(c *call) error {
	select {
	case d.intake <- c:
		return nil
	default:
		return fault.New(fault.Overloaded, "the intake is full")
	}
}

// cancel tells the scheduler that a request is finished. When the ring is full
// the scheduler meets the finished request by itself.
func (d *Dispatcher) cancel(c *call) {
	select {
	case d.cancels <- c:
	default:
		d.Meter.Inc("cancel_ring_full")
	}
}

// serveClaimed serves a non-idempotent request under a claim.
func (d *Dispatcher) serveClaimed(ctx context.Context, c *call) (Answer, error) {
	digest := sha256.Sum256(append([]byte(c.r.Kind+"\x00"), c.r.Payload...))
	claiming, cancel := context.WithDeadline(ctx, c.r.Deadline)
	defer cancel()
	t, recorded, err := d.Claims.Claim(claiming, claim.Request{
		Account: c.r.Account, Key: c.r.Key, Home: c.r.Home, Digest: digest[:],
	})
	if err != nil {
		d.finish(c)
		return Answer{}, err
	}
	if recorded != nil {
		d.finish(c)
		return Answer{RequestID: c.r.ID, Payload: recorded.Result, Recorded: true}, nil
	}
	return d.serveTicket(ctx, c, t)
}

func (d *Dispatcher) serveTicket(ctx context.Context, c *call, t *claim.Ticket) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.r.Deadline)
	defer cancel()
	if err := d.submit(c); err != nil {
		c.refuseUnsent(err)
	}
	select {
	case <-c.done:
	case <-d.ended:
		c.giveUp(fault.Draining, "this VM has stopped")
	case <-ctx.Done():
		if !c.refuseUnsent(fault.New(reasonOf(ctx), "before the request was sent")) {
			// The answer is still awaited, so that a retry gets the result.
			go func() { _, _ = d.record(context.WithoutCancel(ctx), c, t) }()
			return Answer{}, fault.New(fault.AnswerLost, "the request was sent and has no answer yet")
		}
		d.cancel(c)
	}
	// The outcome is recorded even when the caller has gone, but for an
	// answer that waits for nothing.
	return d.record(context.WithoutCancel(ctx), c, t)
}

// record waits for the end of a claimed request and spends its ticket.
func (d *Dispatcher) record(ctx context.Context, c *call, t *claim.Ticket) (Answer, error) {
	defer d.finish(c)
	timeout := time.NewTimer(time.Until(c.until))
	defer timeout.Stop()
	select {
	case <-c.done:
	case <-d.ended:
		c.giveUp(fault.Draining, "this VM has stopped")
	case <-timeout.C:
		c.giveUp(fault.Deadline, "while waiting")
		d.cancel(c)
	}
	a, err := c.outcome()
	switch {
	case err == nil:
		d.Claims.Finish(ctx, t, a.Payload)
	case fault.Lookup(fault.KindOf(err)).Outcome == fault.NotRun:
		d.Claims.Abandon(ctx, t)
	}
	return a, err
}
