package dispatch

import (
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
)

// call is one request on its way. It has exactly one outcome.
type call struct {
	r    Request
	kind config.Kind
	// values are those in force for the call's account and kind.
	values  config.Effective
	arrived time.Time
	// until is the time up to which an answer is awaited.
	until time.Time
	// done is closed when the outcome is set.
	done chan struct{}

	// The following belong to the scheduler.
	item     queue.Item
	attempts int
	moves    int
	// queued says that the call is in the queue or waits for its next attempt.
	queued  bool
	backoff time.Duration
	tried   map[string]bool
	live    map[int]*attempt
	// fresh asks for a new connection.
	fresh bool

	mu       sync.Mutex
	finished bool
	answer   Answer
	err      error
	// sending is the number of attempts that may be running.
	sending int
	// ran says that an attempt without a whole answer may have run.
	ran bool
}

// begin counts an attempt that is about to be sent. It is false when the call
// is finished, and then nothing may be sent.
func (c *call) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	c.sending++
	return true
}

// notStarted takes back an attempt that did not start.
func (c *call) notStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending--
}

// lost says that an attempt ended and may have run.
func (c *call) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending--
	c.ran = true
}

// settle sets the outcome unless there is one. c.mu is held.
func (c *call) settle(a Answer, err error) bool {
	if c.finished {
		return false
	}
	c.finished, c.answer, c.err = true, a, err
	close(c.done)
	return true
}

// complete sets an answer as the outcome.
func (c *call) complete(a Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settle(a, nil)
}

// fail sets an error as the outcome. One that says "not run" is replaced when
// an attempt may have run.
func (c *call) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.ran || c.sending > 0) && fault.Lookup(fault.KindOf(err)).Outcome == fault.NotRun {
		err = fault.Wrap(fault.AnswerLost, err, "an attempt may have run")
	}
	c.settle(Answer{}, err)
}

// giveUp ends the wait for an outcome for a reason.
func (c *call) giveUp(kind fault.Kind, message string) {
	c.fail(fault.New(kind, "%s", message))
}

// refuseUnsent sets err as the outcome when nothing was sent, and reports
// whether the call is finished.
func (c *call) refuseUnsent(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return true
	}
	if c.ran || c.sending > 0 {
		return false
	}
	return c.settle(Answer{}, err)
}

func (c *call) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

// outcome returns the outcome of a finished call.
func (c *call) outcome() (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer, c.err
}
