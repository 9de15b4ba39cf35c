// Package entry serves the callers at every VM: it admits jobs, reports their state
// and cancels them.
package entry

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/follow"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
)

// Call is a call of a client.
type Call struct {
	Host, Path, Key, Method string
}

// Target is the queue or job that a call addresses.
type Target struct {
	Call  Call
	Queue model.Queue
	// Account is empty for a public queue called without a key.
	Account string
	// JobID is empty when the call addresses the queue.
	JobID string
	// Version is the version of the configuration that allowed the call.
	Version int64
	// MaxBodyBytes bounds the call's body; 0 when the configuration has no bound.
	MaxBodyBytes int64
}

// RetryLaterError wraps the error of a call that may succeed if the caller repeats it
// after a time.
type RetryLaterError struct {
	Err   error
	After time.Duration
}

// Error returns the message of the wrapped error.
func (r *RetryLaterError) Error() string { return r.Err.Error() }

// Unwrap returns the wrapped error.
func (r *RetryLaterError) Unwrap() error { return r.Err }

// Config provides the operators' configuration.
type Config interface {
	// Current returns the configuration in force, nil before the first one.
	Current() *model.Config
	// Age returns the time since the configuration was last confirmed as the newest.
	Age() time.Duration
	// Refresh reads the configuration again.
	Refresh(ctx context.Context) error
}

// Planner notifies and queries the planner, at whichever VM it runs. Its errors mean
// that the planner could not be reached.
type Planner interface {
	Submit(ctx context.Context, id string, record []byte) error
	Cancel(ctx context.Context, id string) error
	State(ctx context.Context, id string) (s model.JobState, known bool, err error)
	Summary(ctx context.Context) (model.PlannerSummary, error)
}

// JobService serves the calls of clients. Its exported fields are set before use.
type JobService struct {
	Config  Config
	Store   path.Access
	Planner Planner
	// Disabled are the mechanisms that are switched off for an experiment.
	Disabled policy.Disabled
	// MaxValueBytes is the largest value that the store accepts, in bytes; 0 for no limit.
	MaxValueBytes int
	// StoreWrites is the number of writes per second that the store accepts from all VMs
	// together; 0 if the platform specifies none. VMs returns the number of VMs; nil for one.
	StoreWrites float64
	VMs         func() int
	// MaxJobMemory is the memory in bytes that the jobs may take at the planner, until the
	// planner says it; 0 for no bound.
	MaxJobMemory int64
	// MaxCalls bounds the calls in progress, with notifications of the planner; 0 for no
	// bound.
	MaxCalls int
	// RollbackSlack is how much later than another a call may be sent and still be handled by
	// an older configuration.
	RollbackSlack time.Duration
	Log           *slog.Logger
	Meter         *meter.Meter

	calls       callLimit
	refreshes   refreshes
	memory      memoryLimit
	withdrawals withdrawalLimit

	mu      sync.Mutex
	summary model.PlannerSummary
	// summaryAt is when the query for the summary was sent; zero for none.
	summaryAt time.Time
	// query is closed when the query in progress ends; nil for none.
	query chan struct{}
}

// retryAfter is the delay suggested to clients when the store or the planner can't be
// reached.
const retryAfter = time.Second

// refreshTimeout bounds a read of the configuration during a call.
const refreshTimeout = 1000 * time.Millisecond

// maxConfigAge is the age from which the configuration is read again before any call
// is served. It gets this old only if the VM was suspended or cut off from the store.
const maxConfigAge = 2 * time.Second

// Find returns the queue and job that a call addresses. Before it refuses a call, it
// reads the configuration again unless that is younger than follow.FreshAge; if the
// read fails, the present configuration decides. A call does not overtake one that waits for
// such a read and arrived earlier by more than RollbackSlack allows.
func (js *JobService) Find(ctx context.Context, c Call) (Target, error) {
	arrived := time.Now()
	t, err := js.find(c)
	age := js.Config.Age()
	if err == nil && age < maxConfigAge || age < follow.FreshAge {
		if js.awaitEarlierCall(ctx, arrived) {
			return js.find(c)
		}
		return t, err
	}
	js.refreshes.add(arrived)
	defer js.refreshes.remove(arrived)
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if refreshErr := js.Config.Refresh(ctx); refreshErr != nil {
		js.Meter.Inc("served_by_older_config")
		js.Log.Debug("can't refresh the configuration; using the present one", "host", c.Host, "age_ms", js.Config.Age().Milliseconds(), "error", refreshErr)
	}
	return js.find(c)
}

// awaitEarlierCall waits for the read of the configuration that a call waits for which arrived long
// before, until that call stops waiting. It returns false at once if there is none.
func (js *JobService) awaitEarlierCall(ctx context.Context, arrived time.Time) bool {
	first, waits := js.refreshes.first()
	// The other half of the slack is for the time that the two calls took to arrive.
	if !waits || arrived.Sub(first) < js.RollbackSlack/2 {
		return false
	}
	js.Meter.Inc("call_kept_in_order")
	ctx, cancel := context.WithDeadline(ctx, first.Add(refreshTimeout))
	defer cancel()
	if err := js.Config.Refresh(ctx); err != nil {
		js.Log.Debug("can't refresh the configuration for a call that waited for an earlier one", "waited_ms", time.Since(arrived).Milliseconds(), "error", err)
	}
	return true
}

// recheck returns an error if a newer configuration came into force during the call
// and does not allow it: no call may be answered by an older configuration after
// another was answered by a newer one.
func (js *JobService) recheck(t *Target) error {
	if cfg := js.Config.Current(); cfg.Version == t.Version {
		return nil
	}
	_, err := js.find(t.Call)
	return err
}

func (js *JobService) find(c Call) (Target, error) {
	cfg := js.Config.Current()
	if cfg == nil {
		return Target{}, &RetryLaterError{fault.New(fault.NotReady, "the configuration has not been read yet"), retryAfter}
	}
	q := longestPrefix(cfg, c)
	if q == nil {
		return Target{}, fault.New(fault.NotFound, "no queue at this host and path (version %d)", cfg.Version)
	}
	t := Target{Call: c, Queue: *q, JobID: strings.TrimPrefix(c.Path, q.Prefix), Version: cfg.Version, MaxBodyBytes: cfg.MaxBodyBytes}
	a := cfg.AccountByKey(c.Key)
	if a == nil && !q.Public {
		return Target{}, fault.New(fault.Unauthorized, "the key is not known (version %d)", cfg.Version)
	}
	if a != nil {
		t.Account = a.Name
	}
	if t.JobID != "" && !isJobID(t.JobID) {
		return Target{}, fault.WithField(fault.BadRequest, "id", "a job's id has 16 hexadecimal digits")
	}
	return t, nil
}

// longestPrefix returns the queue of a call: of those that match its host and path, the
// one with the longest prefix. It returns nil for none.
func longestPrefix(cfg *model.Config, c Call) *model.Queue {
	var best *model.Queue
	for i := range cfg.Queues {
		q := &cfg.Queues[i]
		if q.Host == c.Host && strings.HasPrefix(c.Path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

const jobIDLength = 16

func isJobID(s string) bool {
	if len(s) != jobIDLength {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

const (
	// maxSpecification bounds a job's specification, in bytes.
	maxSpecification = 4000
	// maxTasks bounds the tasks of a step.
	maxTasks = 2000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// maxOccurrences bounds the occurrences of a timed job.
	maxOccurrences = 10_000
)

// Check validates a job without regard to the fleet's capacity. Its errors are of
// kind BadRequest and name the field.
func Check(j *model.Job) error {
	invalid := func(field, format string, args ...any) error {
		return fault.WithField(fault.BadRequest, field, format, args...)
	}
	switch {
	case len(j.Specification) > maxSpecification:
		return invalid("specification", "has %d bytes, at most %d are accepted", len(j.Specification), maxSpecification)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return invalid("steps", "%d given, 1 to %d are accepted", len(j.Steps), MaxSteps)
	case j.Occurrences < 0 || j.Occurrences > maxOccurrences:
		return invalid("repetitions", "%d given, 0 to %d are accepted", j.Occurrences, maxOccurrences)
	case j.Interval < 0:
		return invalid("interval", "is negative")
	}
	for i := range j.Steps {
		if err := checkStep(j, i); err != nil {
			return err
		}
	}
	return nil
}

func checkStep(j *model.Job, i int) error {
	s := &j.Steps[i]
	invalid := func(field, format string, args ...any) error {
		return fault.WithField(fault.BadRequest, fmt.Sprintf("steps[%d].%s", i, field), format, args...)
	}
	switch {
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return invalid("count", "%d given, 1 to %d are accepted", s.Tasks, maxTasks)
	case s.Shape.MilliCPU < 0 || s.Shape.MemoryMB < 0 || s.Shape.Accelerators < 0:
		return invalid("shape", "is negative")
	case s.Estimate < 0 || s.PerWorker < 0 || s.MaxUnavailable < 0:
		return invalid("estimate, per_worker or may_miss", "is negative")
	}
	for _, k := range s.After {
		if k < 0 || k >= i {
			return invalid("after", "%d is not an earlier step", k)
		}
	}
	return nil
}
