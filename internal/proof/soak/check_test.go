package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// workerHistory reports what the stand-in workers ran.
type workerHistory interface {
	Begun(id string) (tasks int, last time.Time)
	Finished(id string) bool
	FailedRuns(id string) int
}

const (
	// visibleTime is the platform's visible_ms, applyTime its config_apply_ms and
	// rollbackTime its rollback_slack_ms.
	visibleTime  = 3 * time.Second
	applyTime    = 2500 * time.Millisecond
	rollbackTime = 250 * time.Millisecond
	// leaveTime is how long the balancer still sends new connections to a VM that
	// is stopping: it probes once a second and removes a VM after two misses.
	leaveTime = 2500 * time.Millisecond
	// unexpectedExitLimit is the number of unexpected exits of one daemon that
	// the platform counts as a fault.
	unexpectedExitLimit = 3
	// minAttempts is the smallest max_attempts of the queues.
	minAttempts = 3
)

// observedJob is the state of a job as its callers observed it.
type observedJob struct {
	path     string
	accepted time.Time
	// refused counts the responses that say that the job did not run, and
	// unknownOutcome those that leave it open.
	refused, unknownOutcome int
	cancelSent              bool
	terminal                bool
}

// checker compares what callers observe with the history of the workers. Callers
// report concurrently and in any order.
type checker struct {
	history workerHistory

	mu   sync.Mutex
	jobs map[string]*observedJob
	// inForce is the highest configuration version that each incarnation of a
	// daemon has shown, with the time at which it was first observed.
	inForce map[string]shownVersion
	// acked is the time at which each configuration version was acknowledged.
	acked map[int64]time.Time
	// faultFreeSince is the time at which all faults were healed; zero before.
	faultFreeSince time.Time
	found          []string
	counts         map[string]int
}

type shownVersion struct {
	version int64
	at      time.Time
}

func newChecker(h workerHistory) *checker {
	return &checker{
		history: h, jobs: make(map[string]*observedJob), inForce: make(map[string]shownVersion), acked: make(map[int64]time.Time),
		counts: make(map[string]int),
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(format, args...)
}

// addLocked records a violation. The caller holds c.mu.
func (c *checker) addLocked(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf(format, args...))
}

func (c *checker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if n, _ := c.history.Begun(id); n > 0 && j.accepted.IsZero() && j.unknownOutcome == 0 {
			c.addLocked("REFUSED: %s ran although all %d responses said that it would not", id, j.refused)
			j.unknownOutcome++
		}
	}
	return append([]string(nil), c.found...)
}

func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.counts)
}

// count counts an event for the summary.
func (c *checker) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// setFaultFree records whether all faults are healed.
func (c *checker) setFaultFree(faultFree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultFreeSince = time.Time{}
	if faultFree {
		c.faultFreeSince = time.Now()
	}
}

// recordSubmit records the response to a submission.
func (c *checker) recordSubmit(id, path string, status int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		j = &observedJob{path: path}
		c.jobs[id] = j
	}
	c.counts[fmt.Sprintf("submit_%d", status)]++
	switch status {
	case http.StatusOK:
		if j.accepted.IsZero() {
			j.accepted = at
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		j.refused++
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		j.unknownOutcome++
	default:
		c.addLocked("REFUSED: submission of %s got the unexpected status %d", id, status)
	}
}

// recordUnexpectedExit records that a daemon exited without being stopped. A
// signal that arrives before the process has installed its handler ends it, so
// only unexpectedExitLimit such exits are a violation.
func (c *checker) recordUnexpectedExit(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["own_end "+vm]++
	if c.counts["own_end "+vm] >= unexpectedExitLimit {
		c.addLocked("FAULT: %s exited unexpectedly %d times", vm, unexpectedExitLimit)
	}
}

func (c *checker) recordCancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		j.cancelSent = true
	}
}

// recordState records the response to a query of a job's state.
func (c *checker) recordState(id string, status int, state string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	c.counts[fmt.Sprintf("state_%d%s", status, state)]++
	switch {
	case j == nil || j.accepted.IsZero():
		return
	case status == http.StatusGone && sent.After(j.accepted.Add(visibleTime)):
		c.addLocked("LOST: %s was accepted and is reported as unknown", id)
	case state == "completed" && !c.history.Finished(id):
		c.addLocked("MIXED: %s is reported as completed, but its tasks have not finished", id)
	case state == "cancelled" && !j.cancelSent:
		c.addLocked("LOST: %s is reported as cancelled, but no caller cancelled it", id)
	case state == "failed" && c.history.FailedRuns(id) < minAttempts:
		c.addLocked("LOST: %s is reported as failed after only %d failed runs", id, c.history.FailedRuns(id))
	case j.terminal && (state == "queued" || state == "running"):
		c.addLocked("LOST: %s was in a terminal state and is reported as %s", id, state)
	}
	j.terminal = j.terminal || state == "completed" || state == "failed" || state == "cancelled"
}

// unfinished returns the paths of the accepted jobs that were not yet observed in
// a terminal state, by job id.
func (c *checker) unfinished() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	unfinished := make(map[string]string)
	for id, j := range c.jobs {
		if !j.accepted.IsZero() && !j.terminal {
			unfinished[id] = j.path
		}
	}
	return unfinished
}

// accepted returns the paths of the accepted jobs by job id.
func (c *checker) accepted() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted := make(map[string]string)
	for id, j := range c.jobs {
		if !j.accepted.IsZero() {
			accepted[id] = j.path
		}
	}
	return accepted
}

// recordAnswer records the time in which a caller learned a job's state.
func (c *checker) recordAnswer(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprintf("answered_within_%v", took.Truncate(500*time.Millisecond)+500*time.Millisecond)]++
}

// recordUnanswered records that a caller did not learn a job's state within callTimeout.
// due says that the VMs that were asked could have answered.
func (c *checker) recordUnanswered(id string, asked []string, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !due {
		c.counts["unanswered_stopped"]++
		return
	}
	c.addLocked("LOST: no answer came in time about job %s, asked for at %v", id, asked)
}

// recordConfigAck records when a configuration version was acknowledged.
func (c *checker) recordConfigAck(version int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked[version] = at
}

// recordProbe records the response to a call that is authorized only if the given
// configuration version, or a later one, is in force.
func (c *checker) recordProbe(incarnation string, version int64, status int, sent, answered time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprintf("probe_%d", status)]++
	highest := c.inForce[incarnation]
	switch status {
	case http.StatusGone:
		if version > highest.version {
			c.inForce[incarnation] = shownVersion{version, answered}
		}
	case http.StatusUnauthorized:
		if version <= highest.version && sent.After(highest.at.Add(rollbackTime)) {
			c.addLocked("CONFIG: %s went back from version %d to a version below %d", incarnation, highest.version, version)
		}
		acked, ok := c.acked[version]
		if ok && !c.faultFreeSince.IsZero() && sent.After(c.faultFreeSince) && sent.After(acked.Add(applyTime)) {
			c.addLocked("CONFIG: version %d is not in force at %s %v after it was acknowledged", version, incarnation, sent.Sub(acked).Round(time.Millisecond))
		}
	}
}

// recordBrokenCall records that a call got no complete response. stopBegan is
// when an undisturbed planned stop of the VM began; zero if there was none.
func (c *checker) recordBrokenCall(vm string, stopBegan, sent, at time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["broken_off"]++
	if !stopBegan.IsZero() && at.After(stopBegan) && sent.Before(stopBegan.Add(leaveTime)) && at.Sub(sent) < callTimeout-rollbackTime {
		c.addLocked("LOST: a call to %s, sent %v after its planned stop began, got no complete response: %v", vm, sent.Sub(stopBegan).Round(time.Millisecond), err)
	}
}

// checkReclaimed checks that all tasks of an urgent job within a guarantee began
// within reclaimTime of its acceptance.
func (c *checker) checkReclaimed(id string, tasks int, accepted time.Time) {
	n, last := c.history.Begun(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n < tasks || last.After(accepted.Add(reclaimTime)) {
		c.addLocked("RECLAIM: %s has begun %d of %d tasks %v after its acceptance", id, n, tasks, reclaimTime)
	}
	c.counts["reclaimed"]++
}
