// Package faults lets tests order faults from a stand-in over HTTP.
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

// Orders says which faults a stand-in shows. The zero value shows none.
type Orders struct {
	// DelayMS delays every answer.
	DelayMS int64 `json:"delay_ms"`
	// Refuse answers every call with a refusal that took no effect.
	Refuse bool `json:"refuse"`
	// DropAnswers cuts that many answers after the effect.
	DropAnswers int `json:"drop_answers"`
	// Freeze keeps connections open and never answers.
	Freeze bool `json:"freeze"`
	// FreezeAnswers freezes that many calls after the effect.
	FreezeAnswers int `json:"freeze_answers"`
	// SwapAnswers exchanges the next two answers of a runner.
	SwapAnswers bool `json:"cross"`
	// Truncate cuts that many answers short.
	Truncate int `json:"truncate"`
	// WrongDigest spoils the digest of that many answers.
	WrongDigest int `json:"wrong_digest"`
	// Duplicate writes that many answers twice.
	Duplicate int `json:"duplicate"`
	// FailStarts makes every start fail.
	FailStarts bool `json:"fail_starts"`
	// StopRenewing makes a worker refuse renewals.
	StopRenewing bool `json:"stop_renewing"`
	// Leaving makes a target say that it leaves.
	Leaving bool `json:"leaving"`
	// LapseLeases lapses all leases at once.
	LapseLeases bool `json:"lapse_leases"`
	// LeavingHeader makes a runner say that it leaves while it still serves.
	LeavingHeader bool `json:"leaving_header"`
	// SlowMS prolongs the service time of every request at a runner.
	SlowMS int64 `json:"slow_ms"`
	// Late delays that many answers of a runner by LateMS after the effect.
	Late   int   `json:"late"`
	LateMS int64 `json:"late_ms"`
	// CutShort closes the connection within that many answers of a runner.
	CutShort int `json:"cut_short"`
	// HangBeforeStart keeps that many requests unstarted on a silent connection.
	HangBeforeStart int `json:"silent_accept"`
	// SilentRequest runs that many requests and leaves their connections silent.
	SilentRequest int `json:"silent_request"`
	// HangWithinAnswer falls silent within that many answers.
	HangWithinAnswer int `json:"silent_answer"`
}

// Set holds the current orders. The zero value is ready to use.
type Set struct {
	mu     sync.Mutex
	orders Orders
}

// Path is the path that takes orders; it shows no faults itself.
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

// Take runs f on the orders under the lock; f may count a fault down.
func (s *Set) Take(f func(o *Orders) bool) bool {
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

// Install adds the path that takes orders and the middleware that shows faults.
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
			return fault.New(fault.StoreUnavailable, "stand-in refuses")
		}
		if o.Freeze {
			<-c.Request().Context().Done()
			return nil
		}
		if !sleep(c, time.Duration(o.DelayMS)*time.Millisecond) {
			return nil
		}
		if s.Take(func(o *Orders) bool { return Countdown(&o.DropAnswers) }) {
			return handleAndClose(c, next)
		}
		if s.Take(func(o *Orders) bool { return Countdown(&o.FreezeAnswers) }) {
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

// discard is a response writer that drops the answer.
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

// runAndCut runs the call and closes the connection without an answer.
func handleAndClose(c echo.Context, next echo.HandlerFunc) error {
	handleWithoutResponse(c, next)
	panic(http.ErrAbortHandler)
}

// runAndFreeze runs the call and leaves the connection silent.
func handleAndHang(c echo.Context, next echo.HandlerFunc) error {
	handleWithoutResponse(c, next)
	<-c.Request().Context().Done()
	return nil
}
