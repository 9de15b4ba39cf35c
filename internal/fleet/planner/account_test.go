package planner_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// accountChecker checks that the time by cause that is logged at the end of each job adds
// up to the job's age. The zero value is ready to use.
type accountChecker struct {
	mu    sync.Mutex
	wrong []string
	// ended has the logged parts of each job, in milliseconds.
	ended map[string]map[string]int64
}

func (c *accountChecker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrong
}

// parts returns the logged time of a job by cause, in milliseconds.
func (c *accountChecker) parts(job string) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[job]
}

// maxAccountError is the largest difference, in milliseconds, between a job's age and the
// sum of its parts. Both are rounded to milliseconds.
const maxAccountError = 2

// noParts are the attributes in milliseconds that are not a part of the age.
var noParts = []string{"age_ms", "objective_ms", "critical_path_ms", "measured_objective_ms", "path_error_ms"}

func (c *accountChecker) check(r slog.Record) {
	var job string
	parts := make(map[string]int64)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "job" {
			job = a.Value.String()
		}
		if strings.HasSuffix(a.Key, "_ms") {
			parts[a.Key] = a.Value.Int64()
		}
		return true
	})
	sum := int64(0)
	for key, ms := range parts {
		if slices.Contains(noParts, key) {
			continue
		}
		sum += ms
		if ms < 0 {
			sum = -maxAccountError - 1
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil {
		c.ended = make(map[string]map[string]int64)
	}
	c.ended[job] = parts
	if d := sum - parts["age_ms"]; d < -maxAccountError || d > maxAccountError {
		c.wrong = append(c.wrong, fmt.Sprintf("ACCOUNT: the parts of job %s add up to %d ms: %v", job, sum, parts))
	}
}

// accountHandler passes the ends of jobs to a checker and all records on.
type accountHandler struct {
	slog.Handler
	checker *accountChecker
}

func (h *accountHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h *accountHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &accountHandler{h.Handler.WithAttrs(attrs), h.checker}
}

func (h *accountHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == "job ended" {
		h.checker.check(r)
	}
	if !h.Handler.Enabled(ctx, r.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// TestCausesOfLateness shows that the time of a job is attributed to what it waited for.
func TestCausesOfLateness(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := newTestFleet(t, 1, 1)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		const longRun = 4 * time.Second
		// The first job fills the worker, the second waits for it, the third pre-empts the second.
		fleet.submit(jobID(1), "solve", longRun, step(1, 8, false))
		fleet.submit(jobID(2), "solve", longRun, step(1, 8, false))
		time.Sleep(longRun + time.Second)
		fleet.submit(jobID(3), "urgent", time.Second, step(1, 8, false))
		if unfinished := fleet.waitForEnd(time.Minute); len(unfinished) > 0 {
			t.Fatalf("jobs not ended: %v", unfinished)
		}
		if wrong := fleet.allViolations(); len(wrong) > 0 {
			t.Fatal(wrong)
		}
		// A job's end is logged when the response to its write has come.
		time.Sleep(100 * time.Millisecond)
		for _, want := range []struct {
			job   int
			part  string
			least time.Duration
		}{
			{1, "run_ms", longRun},
			{2, "no_capacity_ms", longRun / 2},
			{2, "preempted_ms", time.Second / 2},
			{2, "run_ms", longRun},
			{3, "freeing_ms", testBounds.StopTimeout},
		} {
			if got := fleet.accounts.parts(jobID(want.job))[want.part]; got < want.least.Milliseconds() {
				t.Errorf("%s of job %d: got %d, want at least %d; all: %v", want.part, want.job, got, want.least.Milliseconds(), fleet.accounts.parts(jobID(want.job)))
			}
		}
	})
}
