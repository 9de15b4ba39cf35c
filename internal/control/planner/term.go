package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
)

// Sizes of the channels between the duties.
const (
	operationBuffer = 256
	reportBuffer    = 256
	// maxOperations bounds the operations that are in flight at once.
	maxOperations = 256
	// maxDecisions bounds the decisions that are kept of each job.
	maxDecisions = 20
)

// term is the time during which this VM plans under one epoch. It owns the
// state; a new term starts with a state of its own, so that what is left over
// of an earlier one can change nothing.
type term struct {
	p          *Planner
	epoch      uint64
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// operations leads from the duties that decide to the one that executes.
	operations chan operation
	// reports leads from the renewal of leases to the settling.
	reports chan report
	// wakePlan tells the planning duty that something has changed.
	wakePlan chan struct{}
	// wakePersist tells the record duty that a record has changed.
	wakePersist chan struct{}
	// wakeReload tells the reloading duty to read the kept records now.
	wakeReload chan struct{}

	// mu guards all below. It is never held during a call.
	mu      sync.Mutex
	state   gang.State
	jobs    map[string]*entry
	members map[string]*member
	// configuredAt is the time of the last look at the configuration, of which
	// configVersion is in force.
	configuredAt  time.Time
	configVersion uint64
	// loaded says that the kept records have been read in this term.
	loaded bool
}

func newTerm(ctx context.Context, p *Planner) *term {
	ctx, cancel := context.WithCancel(ctx)
	return &term{
		p: p, ctx: ctx, cancel: cancel,
		operations:  make(chan operation, operationBuffer),
		reports:     make(chan report, reportBuffer),
		wakePlan:    make(chan struct{}, 1),
		wakePersist: make(chan struct{}, 1),
		wakeReload:  make(chan struct{}, 1),
		jobs:        make(map[string]*entry),
		members:     make(map[string]*member),
	}
}

// run starts the duties; loaded says that the kept records have been read.
func (t *term) run(loaded bool) {
	t.loaded = loaded
	for _, duty := range []func(){t.planLoop, t.executeLoop, t.renewLoop, t.reportLoop, t.persistLoop, t.checkpointLoop, t.reloadLoop} {
		t.background.Go(duty)
	}
}

// shutdown ends the term and waits for its duties. Claims of attempts that never
// began are given back.
func (t *term) shutdown() {
	t.cancel()
	t.background.Wait()
	t.mu.Lock()
	var unused []*claim.Ticket
	for _, e := range t.jobs {
		if e.ticket != nil && !e.mayHaveStarted {
			unused = append(unused, e.ticket)
			e.ticket = nil
		}
	}
	t.mu.Unlock()
	if len(unused) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	for _, ticket := range unused {
		t.p.Claims.Abandon(ctx, ticket)
	}
}

// stepDown ends the term because a worker has seen a higher epoch.
func (t *term) stepDown() {
	t.p.Meter.Inc("planner_epoch_refused")
	t.cancel()
}

func (t *term) recordsLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
