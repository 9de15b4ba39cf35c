package dispatch

import (
	"context"
	"sync"

	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// attemptKey identifies one attempt of one request.
type attemptKey struct {
	id      string
	attempt int
}

// owner is the call that awaits the answer to an attempt.
type owner struct {
	call   *call
	runner string
}

// matcher maps attempts to the calls that await their answers. The zero value is
// ready to use.
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

// deliver passes an event to the matcher.
func (d *Dispatcher) deliver(e runner.Event) {
	select {
	case d.events <- e:
	case <-d.stopped:
	}
}

// match assigns each answer to the request that it names, regardless of the
// connection on which it arrived, and passes the events on to the scheduler.
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
			case d.matched <- e:
			case <-ctx.Done():
				return
			}
		}
	}
}

// matchOne completes the request that an answer names. It reports whether the
// scheduler must handle the event.
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
