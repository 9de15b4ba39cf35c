package runner

import (
	"bufio"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	target "github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// answer is the runner's response to one attempt.
type answer struct {
	id      string
	attempt string
	payload []byte
	leaving bool
}

// answerSwap swaps the answers of two requests.
type answerSwap struct {
	first  answer
	second chan answer
}

// swapTimeout bounds the wait for an answer to swap with.
const swapTimeout = 2 * time.Second

// duplicateLinger is how long a connection with a duplicated answer stays open.
const duplicateLinger = 200 * time.Millisecond

func (a answer) setHeader(h http.Header) {
	h.Set(target.HeaderRequestID, a.id)
	h.Set(target.HeaderAttempt, a.attempt)
	h.Set(target.HeaderLength, strconv.Itoa(len(a.payload)))
	h.Set(target.HeaderDigest, target.Digest(a.payload))
	if a.leaving {
		h.Set(target.HeaderLeaving, "true")
	}
}

func (a answer) notStarted(c echo.Context, reason string) error {
	a.setHeader(c.Response().Header())
	c.Response().Header().Set(target.HeaderNotStarted, reason)
	return c.NoContent(http.StatusServiceUnavailable)
}

// takeFault decreases the count of a fault and reports whether it must be injected.
func (r *Runner) takeFault(field func(o *faults.Orders) *int) bool {
	return r.Faults.Update(func(o *faults.Orders) bool { return faults.Countdown(field(o)) })
}

// leaveUnanswered keeps the connection open without an answer until the client closes
// it.
func leaveUnanswered(c echo.Context) error {
	<-c.Request().Context().Done()
	panic(http.ErrAbortHandler)
}

// answer writes an answer and injects the ordered faults.
func (r *Runner) answer(c echo.Context, a answer) error {
	a = r.swapAnswer(a)
	a.setHeader(c.Response().Header())
	if r.takeFault(func(o *faults.Orders) *int { return &o.Late }) {
		time.Sleep(time.Duration(r.Faults.Get().LateMS) * time.Millisecond)
	}
	switch {
	case r.takeFault(func(o *faults.Orders) *int { return &o.HangBeforeAnswer }):
		return leaveUnanswered(c)
	case r.takeFault(func(o *faults.Orders) *int { return &o.HangWithinAnswer }):
		if err := writeHalf(c, a); err != nil {
			return err
		}
		return leaveUnanswered(c)
	case r.takeFault(func(o *faults.Orders) *int { return &o.CutShort }):
		if err := writeHalf(c, a); err != nil {
			return err
		}
		panic(http.ErrAbortHandler)
	case r.takeFault(func(o *faults.Orders) *int { return &o.Duplicate }):
		return writeTwice(c, a)
	case r.takeFault(func(o *faults.Orders) *int { return &o.WrongDigest }):
		c.Response().Header().Set(target.HeaderDigest, target.Digest(append(a.payload, '!')))
	case r.takeFault(func(o *faults.Orders) *int { return &o.Truncate }):
		a.payload = a.payload[:len(a.payload)/2]
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, a.payload)
}

// swapAnswer swaps this answer with the next one if that fault is ordered. It returns
// a if no other answer arrives within swapTimeout.
func (r *Runner) swapAnswer(a answer) answer {
	r.mu.Lock()
	if x := r.pendingSwap; x != nil {
		r.pendingSwap = nil
		r.mu.Unlock()
		x.second <- a
		return x.first
	}
	ordered := r.Faults.Update(func(o *faults.Orders) bool {
		ordered := o.SwapAnswers
		o.SwapAnswers = false
		return ordered
	})
	if !ordered {
		r.mu.Unlock()
		return a
	}
	x := &answerSwap{first: a, second: make(chan answer, 1)}
	r.pendingSwap = x
	r.mu.Unlock()
	select {
	case other := <-x.second:
		return other
	case <-time.After(swapTimeout):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingSwap == x {
		r.pendingSwap = nil
		return a
	}
	return <-x.second
}

// writeHalf writes the header and the first half of the payload.
func writeHalf(c echo.Context, a answer) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentLength, strconv.Itoa(len(a.payload)))
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(a.payload[:len(a.payload)/2]); err != nil {
		return err
	}
	w.Flush()
	return nil
}

// writeTwice writes a complete answer twice on the same connection.
func writeTwice(c echo.Context, a answer) error {
	conn, rw, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		if err := writeRaw(rw.Writer, a); err != nil {
			return err
		}
	}
	time.Sleep(duplicateLinger)
	return nil
}

func writeRaw(w *bufio.Writer, a answer) error {
	h := make(http.Header)
	a.setHeader(h)
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(a.payload)))
	if _, err := w.WriteString("HTTP/1.1 200 OK\r\n"); err != nil {
		return err
	}
	if err := h.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(a.payload); err != nil {
		return err
	}
	return w.Flush()
}
