package dispatch

import (
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
)

// call is the state of one request while it is served. It has exactly one
// outcome.
type call struct {
	r    Request
	kind config.Kind
	// values are the settings in force for the request's account and kind.
	values  config.Effective
	arrived time.Time
	// awaitUntil is the time until which an answer is awaited.
	awaitUntil time.Time
	// done is closed when the outcome is set.
	done chan struct{}

	// The following fields are owned by the scheduler goroutine.
	item     queue.Item
	attempts int
	moves    int
	// queued reports that the call is in the queue or backing off before its next
	// attempt.
	queued  bool
	backoff time.Duration
	tried   map[string]bool
	// runnersDown is the number of attempts whose runner went down under them.
	runnersDown  int
	liveAttempts map[int]*attempt
	// freshConnection requests a new connection for the next attempt.
	freshConnection bool

	mu       sync.Mutex
	finished bool
	answer   Answer
	err      error
	// sending is the number of attempts that were sent and have not ended.
	sending int
	// mayHaveRun reports that an attempt without a complete answer may have run.
	mayHaveRun bool
}

// beginAttempt counts an attempt that is about to be sent. It returns false when
// the call is finished; then nothing may be sent.
func (c *call) beginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	c.sending++
	return true
}

// handleNotStarted removes an attempt that did not start from the count.
func (c *call) handleNotStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending--
}

// handleLost records that an attempt ended without a complete answer and may have
// run.
func (c *call) handleLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending--
	c.mayHaveRun = true
}

// setOutcome sets the outcome unless it is already set, and reports whether it
// did. The caller holds c.mu.
func (c *call) setOutcome(a Answer, err error) bool {
	if c.finished {
		return false
	}
	c.finished, c.answer, c.err = true, a, err
	close(c.done)
	return true
}

// complete sets an answer as the outcome and reports whether it did.
func (c *call) complete(a Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setOutcome(a, nil)
}

// fail sets an error as the outcome. An error whose outcome is "not run" is
// replaced by AnswerLost when an attempt may have run.
func (c *call) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.mayHaveRun || c.sending > 0) && fault.Lookup(fault.KindOf(err)).Outcome == fault.NotRun {
		err = fault.Wrap(fault.AnswerLost, err, "an attempt may have run")
	}
	c.setOutcome(Answer{}, err)
}

// abandon sets an error of the given kind as the outcome.
func (c *call) abandon(kind fault.Kind, message string) {
	c.fail(fault.New(kind, "%s", message))
}

// refuseUnsent sets err as the outcome if no attempt was sent, and reports
// whether the call is finished.
func (c *call) refuseUnsent(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return true
	}
	if c.mayHaveRun || c.sending > 0 {
		return false
	}
	return c.setOutcome(Answer{}, err)
}

func (c *call) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

// outcome returns the outcome. The call must be finished.
func (c *call) outcome() (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer, c.err
}
