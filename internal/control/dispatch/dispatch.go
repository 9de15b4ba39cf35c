// Package dispatch routes callers' requests to runners through a pipeline of
// filters: intake, check, claim, queue, route, send, match, answer.
//
// The stages run in separate goroutines connected by bounded channels. The
// scheduler goroutine owns the queues and chooses the runners, the matcher
// goroutine assigns answers to requests, and each attempt has a goroutine while
// it uses a connection. Check and claim run on the caller's goroutine, which
// then waits for the outcome. When the intake channel is full, the request is
// refused as overloaded.
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
	// ID is unique for each submission.
	ID      string
	Account string
	Kind    string
	Key     string
	Home    string
	Payload []byte
	// Deadline defaults to the request timeout of the configuration.
	Deadline time.Time
}

// Answer is the complete answer to a request.
type Answer struct {
	RequestID string
	Payload   []byte
	Runner    string
	Attempts  int
	// Recorded reports that the payload is the recorded result of an earlier
	// submission with the same key.
	Recorded bool
}

// Claimer manages at-most-once claims of idempotency keys.
type Claimer interface {
	Claim(ctx context.Context, r claim.Request) (*claim.Ticket, *claim.RecordedResult, error)
	Finish(ctx context.Context, t *claim.Ticket, result []byte)
	Abandon(ctx context.Context, t *claim.Ticket)
}

// Dispatcher serves requests. Its exported fields must be set before use, and
// Run must be running for requests to be served.
type Dispatcher struct {
	VM         string
	DataCentre string
	Region     string
	Config     func() config.Head
	Claims     Claimer
	Meter      *meter.Meter
	Log        *slog.Logger
	// Peers returns the demand reports of the other live VMs; nil when there are
	// no peers.
	Peers func() []DemandReport
	// LocalAddr is the source address of the connections to runners; nil for any.
	LocalAddr net.Addr

	once     sync.Once
	intake   chan *call
	cancels  chan *call
	events   chan runner.Event
	matched  chan runner.Event
	commands chan func(*scheduler)
	stopped  chan struct{}
	matcher  matcher

	mu       sync.Mutex
	draining bool
	active   map[*call]struct{}
	idle     chan struct{}
	runners  []route.Runner
	demand   []DemandRow
	leaving  map[string]time.Time
	// targetsByID holds the runners of the current VM list; nil until the first
	// list has arrived.
	targetsByID map[string]*target
}

const (
	// maxRequests is the maximum number of requests that one VM serves at a time.
	maxRequests = 4096
	// commandCapacity is the maximum number of commands queued for the scheduler.
	commandCapacity = 256
	// attemptGrace is the time after the deadline at which the attempts of an
	// idempotent request are cancelled. It leaves the caller's goroutine time to
	// set the outcome first.
	attemptGrace = time.Second
	// recordGrace is the time after the deadline for which the answer to a
	// claimed request is still awaited, so that its result can be recorded.
	recordGrace = 30 * time.Second
)

func (d *Dispatcher) start() {
	d.once.Do(func() {
		d.intake = make(chan *call, maxRequests)
		d.cancels = make(chan *call, maxRequests)
		d.events = make(chan runner.Event, maxRequests)
		d.matched = make(chan runner.Event, maxRequests)
		d.commands = make(chan func(*scheduler), commandCapacity)
		d.stopped = make(chan struct{})
		d.active = make(map[*call]struct{})
		d.leaving = make(map[string]time.Time)
	})
}

// Run runs the matcher and the scheduler until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) {
	d.start()
	defer close(d.stopped)
	var wg sync.WaitGroup
	wg.Go(func() { d.match(ctx) })
	wg.Go(func() { newScheduler(d).run(ctx) })
	wg.Wait()
}

// Do serves one request. The outcome of the error's fault kind shows whether the
// request may have run.
func (d *Dispatcher) Do(ctx context.Context, r Request) (Answer, error) {
	d.start()
	c, err := d.check(r)
	if err != nil {
		return Answer{}, err
	}
	if err := d.register(c); err != nil {
		return Answer{}, err
	}
	if c.kind.Idempotent {
		defer d.unregister(c)
		return d.serve(ctx, c)
	}
	return d.serveClaimed(ctx, c)
}

// register adds an active request. It fails when the VM is draining or at
// capacity.
func (d *Dispatcher) register(c *call) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return fault.New(fault.Draining, "this VM is stopping")
	}
	if len(d.active) >= maxRequests {
		return fault.New(fault.Overloaded, "this VM already serves %d requests", maxRequests)
	}
	d.active[c] = struct{}{}
	return nil
}

func (d *Dispatcher) unregister(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, c)
	if len(d.active) == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Drain refuses new requests and waits for queued and in-flight requests. When
// ctx is done first, Drain refuses the requests that have not been sent and
// returns an error.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.start()
	d.mu.Lock()
	d.draining = true
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
		return nil, fault.WithField(fault.BadRequest, "kind", "%q is not a configured kind of request", r.Kind)
	}
	account, ok := head.Document.AccountNamed(r.Account)
	if !ok {
		return nil, fault.WithField(fault.BadRequest, "client_account", "%q is not a configured client account", r.Account)
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
	c := &call{r: r, kind: kind, values: values, arrived: now, done: make(chan struct{}), awaitUntil: r.Deadline.Add(attemptGrace)}
	if !kind.Idempotent {
		c.awaitUntil = r.Deadline.Add(recordGrace)
	}
	return c, nil
}

// serve queues a request and waits for its outcome.
func (d *Dispatcher) serve(ctx context.Context, c *call) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.r.Deadline)
	defer cancel()
	if err := d.submit(c); err != nil {
		return Answer{}, err
	}
	select {
	case <-c.done:
	case <-d.stopped:
		c.abandon(fault.Draining, "this VM has stopped")
	case <-ctx.Done():
		c.abandon(contextFaultKind(ctx), "the request ended while it waited for an answer")
		d.cancel(c)
	}
	return c.outcome()
}

func contextFaultKind(ctx context.Context) fault.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Deadline
	}
	return fault.Cancelled
}

// submit passes a request to the scheduler.
func (d *Dispatcher) submit(c *call) error {
	select {
	case d.intake <- c:
		return nil
	default:
		return fault.New(fault.Overloaded, "the intake queue of this VM is full")
	}
}

// cancel notifies the scheduler that a request is finished. When the channel is
// full, the scheduler drops the request once it reaches it in the queue.
func (d *Dispatcher) cancel(c *call) {
	select {
	case d.cancels <- c:
	default:
		d.Meter.Inc("cancel_ring_full")
	}
}

// serveClaimed serves a non-idempotent request under an at-most-once claim.
func (d *Dispatcher) serveClaimed(ctx context.Context, c *call) (Answer, error) {
	digest := sha256.Sum256(append([]byte(c.r.Kind+"\x00"), c.r.Payload...))
	claimCtx, cancel := context.WithDeadline(ctx, c.r.Deadline)
	defer cancel()
	t, recorded, err := d.Claims.Claim(claimCtx, claim.Request{
		Account: c.r.Account, Key: c.r.Key, Home: c.r.Home, Digest: digest[:],
	})
	if err != nil {
		d.unregister(c)
		return Answer{}, err
	}
	if recorded != nil {
		d.unregister(c)
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
	case <-d.stopped:
		c.abandon(fault.Draining, "this VM has stopped")
	case <-ctx.Done():
		if !c.refuseUnsent(fault.New(contextFaultKind(ctx), "the request ended before it was sent")) {
			// Keep waiting for the answer in the background, so that a retry
			// gets the recorded result.
			go func() { _, _ = d.awaitAndRecord(context.WithoutCancel(ctx), c, t) }()
			return Answer{}, fault.New(fault.AnswerLost, "the request was sent but no answer has arrived")
		}
		d.cancel(c)
	}
	// The outcome must be recorded even if the caller has cancelled its context.
	return d.awaitAndRecord(context.WithoutCancel(ctx), c, t)
}

// awaitAndRecord waits for the outcome of a claimed request and then finishes or
// abandons its claim. When the request may have run without an answer, the claim
// stays open.
func (d *Dispatcher) awaitAndRecord(ctx context.Context, c *call, t *claim.Ticket) (Answer, error) {
	defer d.unregister(c)
	timeout := time.NewTimer(time.Until(c.awaitUntil))
	defer timeout.Stop()
	select {
	case <-c.done:
	case <-d.stopped:
		c.abandon(fault.Draining, "this VM has stopped")
	case <-timeout.C:
		c.abandon(fault.Deadline, "no answer arrived in time")
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
