// Package faults injects faults into a stand-in, as tests order them over HTTP.
package faults

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
)

// Orders lists the faults that a stand-in injects. The zero value injects none.
type Orders struct {
	// DelayMS delays every answer.
	DelayMS int64 `json:"delay_ms"`
	// Refuse rejects every call without executing it.
	Refuse bool `json:"refuse"`
	// DropAnswers executes that many calls and closes their connections without an
	// answer.
	DropAnswers int `json:"drop_answers"`
	// Freeze keeps connections open, executes nothing and never answers.
	Freeze bool `json:"freeze"`
	// FreezeAnswers executes that many calls and never answers them.
	FreezeAnswers int `json:"freeze_answers"`
	// SwapAnswers swaps the next two answers of a runner.
	SwapAnswers bool `json:"cross"`
	// Truncate sends only the first half of the payload of that many answers.
	Truncate int `json:"truncate"`
	// WrongDigest sends a wrong digest with that many answers.
	WrongDigest int `json:"wrong_digest"`
	// Duplicate writes that many answers twice.
	Duplicate int `json:"duplicate"`
	// FailStarts makes every start fail.
	FailStarts bool `json:"fail_starts"`
	// StopRenewing makes a worker reject renewals.
	StopRenewing bool `json:"stop_renewing"`
	// Leaving makes a target report that it is leaving and reject new work.
	Leaving bool `json:"leaving"`
	// ExpireLeases makes all current leases of a worker expire immediately.
	ExpireLeases bool `json:"lapse_leases"`
	// LeavingHeader makes a runner report that it is leaving while it still serves.
	LeavingHeader bool `json:"leaving_header"`
	// SlowMS is added to the service time of every request of a runner.
	SlowMS int64 `json:"slow_ms"`
	// Late runs that many requests of a runner and delays their answers by LateMS.
	Late   int   `json:"late"`
	LateMS int64 `json:"late_ms"`
	// CutShort closes the connection halfway through that many answers of a runner.
	CutShort int `json:"cut_short"`
	// HangBeforeStart keeps the connections of that many requests open without
	// starting them.
	HangBeforeStart int `json:"silent_accept"`
	// HangBeforeAnswer runs that many requests and keeps their connections open without
	// an answer.
	HangBeforeAnswer int `json:"silent_request"`
	// HangWithinAnswer stops sending halfway through that many answers and keeps their
	// connections open.
	HangWithinAnswer int `json:"silent_answer"`
}

// Set holds the current orders. The zero value is ready to use.
type Set struct {
	mu     sync.Mutex
	orders Orders
}

// Path is the path that accepts orders. No faults are injected into its calls.
const Path = "/standin/faults"

// Get returns the current orders.
func (s *Set) Get() Orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

// Replace replaces the current orders.
func (s *Set) Replace(o Orders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = o
}

// Update runs f on the orders under the lock, so that f may decrease a count, and
// returns its result.
func (s *Set) Update(f func(o *Orders) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f(&s.orders)
}

// Countdown reports whether *n is positive and decreases it.
func Countdown(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Router is an echo instance or one of its groups.
type Router interface {
	Use(middleware ...echo.MiddlewareFunc)
	GET(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route
	POST(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route
}

// Install adds the route that accepts orders and the middleware that injects faults.
func (s *Set) Install(e Router) {
	e.Use(s.middleware)
	e.POST(Path, func(c echo.Context) error {
		var o Orders
		if err := jsonhttp.Decode(c, &o); err != nil {
			return err
		}
		s.Replace(o)
		return c.NoContent(http.StatusNoContent)
	})
}

func (s *Set) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if strings.HasSuffix(c.Path(), Path) {
			return next(c)
		}
		o := s.Get()
		if o.Refuse {
			return fault.New(fault.StoreUnavailable, "stand-in is set to refuse calls")
		}
		if o.Freeze {
			<-c.Request().Context().Done()
			return nil
		}
		if !sleep(c, time.Duration(o.DelayMS)*time.Millisecond) {
			return nil
		}
		if s.Update(func(o *Orders) bool { return Countdown(&o.DropAnswers) }) {
			return handleAndClose(c, next)
		}
		if s.Update(func(o *Orders) bool { return Countdown(&o.FreezeAnswers) }) {
			return handleAndHang(c, next)
		}
		return next(c)
	}
}

func sleep(c echo.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func handleWithoutResponse(c echo.Context, next echo.HandlerFunc) {
	original := c.Response().Writer
	c.Response().Writer = discardWriter{header: make(http.Header)}
	_ = next(c)
	c.Response().Writer = original
}

// handleAndClose executes the call and closes the connection without an answer.
func handleAndClose(c echo.Context, next echo.HandlerFunc) error {
	handleWithoutResponse(c, next)
	panic(http.ErrAbortHandler)
}

// handleAndHang executes the call and keeps the connection open without an answer.
func handleAndHang(c echo.Context, next echo.HandlerFunc) error {
	handleWithoutResponse(c, next)
	<-c.Request().Context().Done()
	return nil
}
