// Package dispatch carries requests from the callers' listener to the runners:
// check, claim, queue, route, send, match, answer.
package dispatch

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// Request is a caller's request.
type Request struct {
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

// Dispatcher serves requests. Its exported fields are set before use.
type Dispatcher struct {
	DataCentre string
	Config     func() config.Head
	Claims     Claimer
	Meter      *meter.Meter
	Log        *slog.Logger

	mu      sync.Mutex
	targets map[string]*target
	drained bool
	active  sync.WaitGroup
}

type target struct {
	vm     vmlist.VM
	client *runner.Client
	state  route.Runner
}

const maxAttempts = 4

// Do serves one request. The kind of its error tells whether it may have run.
func (d *Dispatcher) Do(ctx context.Context, r Request) (Answer, error) {
	kind, err := d.check(&r)
	if err != nil {
		return Answer{}, err
	}
	if !d.begin() {
		return Answer{}, fault.New(fault.Draining, "this VM is stopping")
	}
	defer d.active.Done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if kind.Idempotent {
		return d.send(ctx, r, kind)
	}
	return d.sendClaimed(ctx, r, kind)
}

func (d *Dispatcher) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained {
		return false
	}
	d.active.Add(1)
	return true
}

// Drain refuses new requests and waits for those in flight.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	d.drained = true
	d.mu.Unlock()
	d.active.Wait()
}

func (d *Dispatcher) check(r *Request) (config.Kind, error) {
	head := d.Config()
	kind, ok := head.Document.KindNamed(r.Kind)
	if !ok || kind.Service == "" {
		return kind, fault.WithField(fault.BadRequest, "kind", "%q is not a kind of request", r.Kind)
	}
	account, ok := head.Document.AccountNamed(r.Account)
	if !ok {
		return kind, fault.WithField(fault.BadRequest, "client_account", "%q is not known", r.Account)
	}
	if !kind.Idempotent && r.Key == "" {
		return kind, fault.WithField(fault.KeyRequired, "Idempotency-Key", "is required for kind %q", r.Kind)
	}
	if r.Home == "" {
		r.Home = account.Home
	}
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(head.Document.Defaults.RequestTimeout.Duration)
	}
	return kind, nil
}

// sendClaimed sends a non-idempotent request under a claim.
func (d *Dispatcher) sendClaimed(ctx context.Context, r Request, kind config.Kind) (Answer, error) {
	digest := sha256.Sum256(append([]byte(r.Kind+"\x00"), r.Payload...))
	t, recorded, err := d.Claims.Claim(ctx, claim.Request{
		Account: r.Account, Key: r.Key, Home: r.Home, Digest: digest[:],
	})
	if err != nil {
		return Answer{}, err
	}
	if recorded != nil {
		return Answer{RequestID: r.ID, Payload: recorded.Result, Recorded: true}, nil
	}
	a, err := d.send(ctx, r, kind)
	// The record is written even when the caller has gone.
	after := context.WithoutCancel(ctx)
	switch {
	case err == nil:
		d.Claims.Finish(after, t, a.Payload)
	case fault.Lookup(fault.KindOf(err)).Outcome == fault.NotRun:
		d.Claims.Abandon(after, t)
	}
	return a, err
}

func (d *Dispatcher) send(ctx context.Context, r Request, kind config.Kind) (Answer, error) {
	tried := make(map[string]bool)
	var last error
	sentOnce := false
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		t, err := d.place(ctx, kind.Service, tried)
		if err != nil {
			return Answer{}, worst(last, err, sentOnce)
		}
		a, err := t.client.Send(ctx, runner.Request{ID: r.ID, Attempt: attempt, Kind: r.Kind, Payload: r.Payload})
		d.release(t)
		if err == nil {
			return Answer{RequestID: r.ID, Payload: a.Payload, Runner: t.vm.ID, Attempts: attempt}, nil
		}
		last = err
		tried[t.vm.ID] = true
		d.Meter.Inc("retry_" + string(fault.KindOf(err)))
		if fault.Lookup(fault.KindOf(err)).Outcome == fault.Unknown {
			sentOnce = true
			if !kind.Idempotent {
				return Answer{}, err
			}
		}
	}
	return Answer{}, worst(last, last, sentOnce)
}

// worst returns an error whose kind is true of all attempts.
func worst(last, err error, sentOnce bool) error {
	if !sentOnce || fault.Lookup(fault.KindOf(err)).Outcome == fault.Unknown {
		return err
	}
	return fault.Wrap(fault.AnswerLost, last, "an attempt may have run")
}

const placeRetryDelay = 5 * time.Millisecond

// place waits for a place at a runner.
func (d *Dispatcher) place(ctx context.Context, service string, tried map[string]bool) (*target, error) {
	for {
		t, known := d.tryPlace(service, tried)
		if t != nil {
			return t, nil
		}
		if !known {
			return nil, fault.New(fault.NoTarget, "no runner serves %q", service)
		}
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(fault.Deadline, ctx.Err(), "waiting for a runner")
		case <-time.After(placeRetryDelay):
		}
	}
}

func (d *Dispatcher) tryPlace(service string, tried map[string]bool) (t *target, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []route.Runner
	var candidates []*target
	for _, t := range d.targets {
		states = append(states, t.state)
		candidates = append(candidates, t)
		known = known || (t.state.Service == service && !tried[t.vm.ID])
	}
	i := route.Pick(states, service, tried)
	if i < 0 {
		return nil, known
	}
	candidates[i].state.InUse++
	return candidates[i], true
}

func (d *Dispatcher) release(t *target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.state.InUse--
}

// SetRunners replaces the list of runners.
func (d *Dispatcher) SetRunners(vms []vmlist.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.targets
	d.targets = make(map[string]*target)
	for _, vm := range vms {
		t, ok := old[vm.ID]
		if !ok || t.vm.Address != vm.Address {
			t = &target{client: &runner.Client{Address: vm.Address, MaxConnections: vm.Connections, Meter: d.Meter}}
			t.client.OnLeaving = func() { d.MarkLeaving(vm.ID) }
		}
		t.vm = vm
		t.state.ID, t.state.Service = vm.ID, vm.Service
		t.state.DataCentre, t.state.Region = vm.DataCentre, vm.Region
		t.state.Limit = vm.Slots
		t.state.Leaving = t.state.Leaving || vm.Leaving
		d.targets[vm.ID] = t
	}
}

// MarkLeaving stops new work at a runner.
func (d *Dispatcher) MarkLeaving(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.targets[id]; ok {
		t.state.Leaving = true
	}
}

// Runners returns the state of all runners.
func (d *Dispatcher) Runners() []route.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]route.Runner, 0, len(d.targets))
	for _, t := range d.targets {
		all = append(all, t.state)
	}
	return all
}
