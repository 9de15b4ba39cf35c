// Package runner is a stand-in for a runner.
package runner

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	target "github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// Runner is the stand-in. It answers each request with the runner's ID and the
// request's payload.
type Runner struct {
	ID     string
	Faults faults.Set
	Meter  meter.Meter
	// Slots is the number of requests served concurrently; 0 means 8.
	Slots int
	// ServiceTime is the duration of one request.
	ServiceTime time.Duration
	// Crash, if set, is called halfway through each request of kind DeadlyKind,
	// which then gets no answer. It must close the runner's address.
	Crash      func()
	DeadlyKind string

	mu          sync.Mutex
	running     int
	arrivals    map[string]int
	starts      map[string]int
	payloads    map[string]map[string]int // by kind and payload
	lastStart   time.Time
	pendingSwap *answerSwap
}

// DefaultSlots is the number of requests that a runner without Slots serves
// concurrently.
const DefaultSlots = 8

// Register adds the runner's HTTP routes.
func (r *Runner) Register(e faults.Router) {
	r.Faults.Install(e)
	e.POST(target.RunPath, r.run)
	e.GET("/standin/starts", r.listStarts)
}

// Starts returns the number of starts by request ID.
func (r *Runner) Starts() map[string]int { return r.copyCounts(&r.starts) }

// Arrivals returns the number of arrivals by request ID, started or not.
func (r *Runner) Arrivals() map[string]int { return r.copyCounts(&r.arrivals) }

// KindStarts returns the number of starts of requests of a kind, by payload.
func (r *Runner) KindStarts(kind string) map[string]int {
	r.mu.Lock()
	m := r.payloads[kind]
	r.mu.Unlock()
	return r.copyCounts(&m)
}

// LastStart returns the time of the latest start.
func (r *Runner) LastStart() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStart
}

func (r *Runner) copyCounts(m *map[string]int) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]int, len(*m))
	for id, n := range *m {
		all[id] = n
	}
	return all
}

func increment(m *map[string]int, id string) {
	if *m == nil {
		*m = make(map[string]int)
	}
	(*m)[id]++
}

// StartsByPayload returns the number of starts of requests of any kind, by payload.
func (r *Runner) StartsByPayload() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]int)
	for _, payloads := range r.payloads {
		for payload, n := range payloads {
			all[payload] += n
		}
	}
	return all
}

func (r *Runner) listStarts(c echo.Context) error {
	return c.JSON(http.StatusOK, r.Starts())
}

func (r *Runner) run(c echo.Context) error {
	in := c.Request().Header
	a := answer{id: in.Get(target.HeaderRequestID), attempt: in.Get(target.HeaderAttempt)}
	o := r.Faults.Get()
	payload, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	r.countArrival(a.id)
	a.leaving = o.Leaving || o.LeavingHeader
	if o.Leaving {
		return a.notStarted(c, target.NotStartedLeaving)
	}
	if r.takeFault(func(o *faults.Orders) *int { return &o.HangBeforeStart }) {
		return leaveUnanswered(c)
	}
	if !r.startRequest(a.id, in.Get(target.HeaderKind), string(payload)) {
		return a.notStarted(c, target.NotStartedBusy)
	}
	serviceTime := r.ServiceTime + time.Duration(o.SlowMS)*time.Millisecond
	if r.Crash != nil && in.Get(target.HeaderKind) == r.DeadlyKind {
		time.Sleep(serviceTime / 2)
		r.finishRequest()
		r.Crash()
		return leaveUnanswered(c)
	}
	time.Sleep(serviceTime)
	r.finishRequest()
	if o.FailStarts {
		a.setHeader(c.Response().Header())
		return c.NoContent(http.StatusInternalServerError)
	}
	a.payload = fmt.Appendf(nil, "%s: %s", r.ID, payload)
	return r.answer(c, a)
}

func (r *Runner) countArrival(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	increment(&r.arrivals, id)
}

func (r *Runner) startRequest(id, kind, payload string) bool {
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
	r.running++
	r.lastStart = time.Now()
	increment(&r.starts, id)
	if r.payloads == nil {
		r.payloads = make(map[string]map[string]int)
	}
	if r.payloads[kind] == nil {
		r.payloads[kind] = make(map[string]int)
	}
	r.payloads[kind][payload]++
	return true
}

func (r *Runner) finishRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
