package dispatch

import (
	"context"
	"sync"

	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// attemptKey names one attempt of one request.
type attemptKey struct {
	id      string
	attempt int
}

// owner is who waits for the answer to an attempt.
type owner struct {
	call   *call
	runner string
}

// matcher knows who waits for which answer. The zero value is ready to use.
type matcher struct {
	mu     sync.Mutex
	owners map[attemptKey]owner
}

func (m *matcher) add(k attemptKey, o owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners == nil {
		m.owners = make(map[attemptKey]owner)
	}
	m.owners[k] = o
}

func (m *matcher) remove(k attemptKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.owners, k)
}

func (m *matcher) find(k attemptKey) (owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owners[k]
	return o, ok
}

// deliver puts an event into the matcher's ring.
func (d *Dispatcher) deliver(e runner.Event) {
	select {
	case d.events <- e:
	case <-d.ended:
	}
}

// match gives every answer to the request that it names, on whichever
// connection it came, and passes all events on to the scheduler.
func (d *Dispatcher) match(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			if !d.matchOne(e) {
				continue
			}
			select {
			case d.settled <- e:
			case <-ctx.Done():
				return
			}
		}
	}
}

// matchOne reports whether the scheduler needs the event.
func (d *Dispatcher) matchOne(e runner.Event) bool {
	o, ok := d.matcher.find(attemptKey{e.ID, e.Attempt})
	if !ok {
		if e.Kind == runner.Answered || e.Kind == runner.NotStarted || e.Kind == runner.BadAnswer {
			d.Meter.Inc("runner_answer_unowned")
			return false
		}
		return true
	}
	if e.Kind == runner.Answered {
		a := Answer{RequestID: e.ID, Payload: e.Payload, Runner: o.runner, Attempts: e.Attempt}
		if !o.call.complete(a) {
			d.Meter.Inc("runner_answer_unowned")
		}
	}
	return true
}
