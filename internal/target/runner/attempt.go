package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is one request on one connection.
type attempt struct {
	client *Client
	conn   *connection
	r      Request
	fresh  bool
}

func (a *attempt) event(kind EventKind) Event {
	return Event{
		Kind: kind, ID: a.r.ID, Attempt: a.r.Attempt, Runner: a.client.Address,
		Connection: a.conn.id, Fresh: a.fresh,
	}
}

func (a *attempt) fail(kind EventKind, err error) {
	e := a.event(kind)
	e.Err = err
	a.client.Deliver(e)
}

// run sends the attempt and reads answers until its own has come. It reports
// whether the connection can carry another attempt.
func (a *attempt) run(ctx context.Context) bool {
	release := context.AfterFunc(ctx, a.conn.close)
	before := a.conn.written.Load()
	stop := a.watchSilence()
	defer stop()
	err := a.write()
	if err != nil && a.conn.written.Load() == before {
		a.client.Meter.Inc("runner_unreachable")
		a.fail(Unreachable, err)
		return false
	}
	// A runner may refuse and close before it has read the whole request, so
	// that its answer is read also after a failed write.
	reusable := a.read()
	return release() && reusable && err == nil
}

func (a *attempt) write() error {
	req, err := http.NewRequest(http.MethodPost, "http://"+a.client.Address+RunPath, bytes.NewReader(a.r.Payload))
	if err != nil {
		return err
	}
	req.Header.Set(HeaderRequestID, a.r.ID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(a.r.Attempt))
	req.Header.Set(HeaderKind, a.r.Kind)
	return req.Write(a.conn)
}

// read reads answers until the attempt's own has come.
func (a *attempt) read() bool {
	for {
		e, whole, err := readEvent(a.client, a.conn)
		e.Fresh = a.fresh
		if err != nil && e.ID == "" {
			a.client.Meter.Inc("runner_answer_lost")
			a.fail(Lost, err)
			return false
		}
		if e.ID == "" {
			// An answer that names no attempt can only be this one's.
			e.ID, e.Attempt = a.r.ID, a.r.Attempt
		}
		own := e.ID == a.r.ID && e.Attempt == a.r.Attempt
		e.Crossed = !own
		a.client.Deliver(e)
		if !own {
			a.client.Meter.Inc("runner_answer_crossed")
		}
		switch {
		case err != nil && !own:
			a.fail(Lost, err)
			return false
		case err != nil:
			return false
		case own:
			sound := e.Kind == Answered || e.Kind == NotStarted
			return whole && sound && !a.conn.silent.Load()
		}
	}
}

// watchSilence delivers Silent once when there is no progress for the
// allowance. The connection is read on, but carries no other attempt.
func (a *attempt) watchSilence() (stop func()) {
	allowance := a.r.Allowance
	if allowance <= 0 {
		allowance = DefaultAllowance
	}
	a.conn.progress.Store(time.Now().UnixNano())
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		idle := time.Since(time.Unix(0, a.conn.progress.Load()))
		if idle < allowance {
			timer.Reset(allowance - idle)
			return
		}
		a.conn.silent.Store(true)
		a.client.Meter.Inc("runner_silent")
		a.client.Deliver(a.event(Silent))
	}
	mu.Lock()
	timer = time.AfterFunc(allowance, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

var errTooLarge = errors.New("the answer is too large")

// readEvent reads one answer. The event names the attempt that the answer
// names; whole says that the connection can be read on. The error is that of
// the connection, and then the event is Lost.
func readEvent(c *Client, conn *connection) (e Event, whole bool, err error) {
	e = Event{Kind: Lost, Runner: c.Address, Connection: conn.id}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		e.Err = err
		return e, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	e.ID = resp.Header.Get(HeaderRequestID)
	e.Attempt, err = strconv.Atoi(resp.Header.Get(HeaderAttempt))
	if err != nil {
		e.ID = ""
	}
	if resp.Header.Get(HeaderLeaving) != "" && c.OnLeaving != nil {
		c.OnLeaving()
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(b) > MaxAnswerBytes {
		err = errTooLarge
	}
	if err != nil {
		c.Meter.Inc("runner_answer_cut_short")
		e.Err = err
		return e, false, err
	}
	e.judge(c, resp, b)
	return e, !resp.Close, nil
}

// judge sets the kind of a fully read answer.
func (e *Event) judge(c *Client, resp *http.Response, b []byte) {
	if reason := resp.Header.Get(HeaderNotStarted); reason != "" {
		e.Kind, e.Reason = NotStarted, reason
		c.Meter.Inc("runner_not_started_" + notStartedReason(reason))
		return
	}
	e.Kind = BadAnswer
	switch {
	case resp.StatusCode != http.StatusOK:
		e.Failed = true
		e.Err = fmt.Errorf("status %d", resp.StatusCode)
		c.Meter.Inc("runner_answer_failed")
	case resp.Header.Get(HeaderLength) != strconv.Itoa(len(b)):
		e.Err = errors.New("the answer is cut short")
		c.Meter.Inc("runner_answer_cut_short")
	case resp.Header.Get(HeaderDigest) != Digest(b):
		e.Err = errors.New("the answer has a wrong digest")
		c.Meter.Inc("runner_answer_wrong_digest")
	default:
		e.Kind, e.Payload = Answered, b
	}
}

func notStartedReason(reason string) string {
	if reason == NotStartedBusy || reason == NotStartedLeaving {
		return reason
	}
	return "other"
}

// stray reads an answer that came on an idle connection.
func (c *Client) stray(conn *connection) {
	e, _, err := readEvent(c, conn)
	if err != nil || e.ID == "" {
		return
	}
	e.Crossed = true
	c.Deliver(e)
}
