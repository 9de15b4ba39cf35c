package planner

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
)

// Capacities of the channels between the background tasks, and other bounds.
const (
	operationBuffer = 256
	reportBuffer    = 256
	// maxOperations bounds the operations that are executed concurrently.
	maxOperations = 256
	// maxDecisions bounds the decisions that are recorded for each job.
	maxDecisions = 20
)

// term is the period in which this VM is the planner under one epoch. It owns
// the state. Each term starts with a state of its own, so that what is left
// over from an earlier term cannot change it.
type term struct {
	p          *Planner
	epoch      uint64
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// operations carries operations from the tasks that decide to executeLoop.
	operations chan operation
	// reports carries worker reports from the renewal of leases to reportLoop.
	reports chan report
	// wakePlan notifies planLoop of a change.
	wakePlan chan struct{}
	// wakePersist notifies persistLoop that a record has changed.
	wakePersist chan struct{}
	// wakeReload makes reloadLoop load the persisted records at once.
	wakeReload chan struct{}

	// mu guards the fields below. It is never held during a call to another
	// process.
	mu      sync.Mutex
	state   gang.State
	jobs    map[string]*entry
	members map[string]*member
	// configuredAt is the time of the last check of the configuration;
	// configVersion is the version that is in force.
	configuredAt  time.Time
	configVersion uint64
	// loaded reports whether the persisted records have been loaded in this
	// term.
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

// run starts the background tasks. loaded reports whether the persisted records
// have been loaded.
func (t *term) run(loaded bool) {
	t.loaded = loaded
	for _, task := range []func(){t.planLoop, t.executeLoop, t.renewLoop, t.reportLoop, t.persistLoop, t.checkpointLoop, t.reloadLoop} {
		t.background.Go(task)
	}
}

// shutdown ends the term and waits for its background tasks. It abandons the
// claims of attempts that were never started.
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

// notify wakes the receiver of c unless a notification is already pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
