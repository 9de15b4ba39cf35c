// Package runner is a stand-in for a runner.
package runner

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	target "github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// Runner is the stand-in. It answers each request with its own payload behind
// the runner's name.
type Runner struct {
	ID     string
	Faults faults.Set
	Meter  meter.Meter
	// Slots is the number of requests served at once; 0 means 8.
	Slots int
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration

	mu      sync.Mutex
	running int
	starts  map[string]int
	// payloads counts the starts by payload.
	payloads map[string]int
}

// DefaultSlots is the number of requests that a runner serves at once.
const DefaultSlots = 8

// Register adds the paths of the runner.
func (r *Runner) Register(e faults.Router) {
	r.Faults.Install(e)
	e.POST(target.RunPath, r.run)
	e.GET("/standin/starts", r.listStarts)
}

// Starts returns how often each request id was started.
func (r *Runner) Starts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]int, len(r.starts))
	for id, n := range r.starts {
		all[id] = n
	}
	return all
}

// StartsByPayload returns how often each payload was started.
func (r *Runner) StartsByPayload() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]int, len(r.payloads))
	for payload, n := range r.payloads {
		all[payload] = n
	}
	return all
}

func (r *Runner) listStarts(c echo.Context) error {
	return c.JSON(http.StatusOK, r.Starts())
}

func (r *Runner) run(c echo.Context) error {
	in := c.Request().Header
	out := c.Response().Header()
	out.Set(target.HeaderRequestID, in.Get(target.HeaderRequestID))
	out.Set(target.HeaderAttempt, in.Get(target.HeaderAttempt))
	o := r.Faults.Get()
	if o.Leaving {
		out.Set(target.HeaderLeaving, "true")
		return notStarted(c, target.NotStartedLeaving)
	}
	payload, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	if !r.begin(in.Get(target.HeaderRequestID)) {
		return notStarted(c, target.NotStartedBusy)
	}
	defer r.end()
	r.countPayload(string(payload))
	time.Sleep(r.ServiceTime)
	if o.FailStarts {
		return c.NoContent(http.StatusInternalServerError)
	}
	return r.answer(c, fmt.Appendf(nil, "%s: %s", r.ID, payload))
}

func notStarted(c echo.Context, reason string) error {
	c.Response().Header().Set(target.HeaderNotStarted, reason)
	return c.NoContent(http.StatusServiceUnavailable)
}

func (r *Runner) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := r.Slots
	if slots == 0 {
		slots = DefaultSlots
	}
	if r.running >= slots {
		r.Meter.Inc("busy")
		return false
	}
	if r.starts == nil {
		r.starts = make(map[string]int)
	}
	r.running++
	r.starts[id]++
	return true
}

func (r *Runner) countPayload(payload string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.payloads == nil {
		r.payloads = make(map[string]int)
	}
	r.payloads[payload]++
}

func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Runner) answer(c echo.Context, payload []byte) error {
	out := c.Response().Header()
	out.Set(target.HeaderLength, strconv.Itoa(len(payload)))
	out.Set(target.HeaderDigest, target.Digest(payload))
	if r.Faults.Take(func(o *faults.Orders) bool { return faults.Countdown(&o.WrongDigest) }) {
		out.Set(target.HeaderDigest, target.Digest(append(payload, '!')))
	}
	if r.Faults.Take(func(o *faults.Orders) bool { return faults.Countdown(&o.Truncate) }) {
		payload = payload[:len(payload)/2]
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, payload)
}
