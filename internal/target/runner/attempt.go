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

// attempt is one attempt of a request on one connection.
type attempt struct {
	client        *Client
	conn          *connection
	r             Request
	newConnection bool
}

func (a *attempt) event(kind EventKind) Event {
	return Event{
		Kind: kind, ID: a.r.ID, Attempt: a.r.Attempt, Runner: a.client.Address,
		Connection: a.conn.id, FirstUse: a.newConnection,
	}
}

func (a *attempt) deliverError(kind EventKind, err error) {
	e := a.event(kind)
	e.Err = err
	a.client.OnEvent(e)
}

func (a *attempt) deliverLost(err error, runnerDown bool) {
	e := a.event(ConnectionLost)
	e.Err, e.RunnerDown = err, runnerDown
	a.client.OnEvent(e)
}

// runnerDown reports whether the runner refuses connections now that the
// attempt's connection has failed.
func (a *attempt) runnerDown(ctx context.Context) bool {
	a.conn.close()
	return ctx.Err() == nil && a.client.refusesConnections(ctx)
}

// run sends the attempt and reads answers until it receives its own. It reports
// whether the connection can carry another attempt.
func (a *attempt) run(ctx context.Context) bool {
	release := context.AfterFunc(ctx, a.conn.close)
	before := a.conn.written.Load()
	stop := a.watchProgress()
	defer stop()
	err := a.write()
	if err != nil && a.conn.written.Load() == before {
		a.client.Meter.Inc("runner_unreachable")
		a.deliverError(Unreachable, err)
		return false
	}
	// Read the answer even after a failed write: a runner may refuse the request
	// and close the connection before it has read the whole request.
	reusable := a.read(ctx)
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

// read reads answers until it receives that of the attempt. It reports whether
// the connection can carry another attempt.
func (a *attempt) read(ctx context.Context) bool {
	for {
		e, open, err := readEvent(a.client, a.conn)
		e.FirstUse = a.newConnection
		e.RunnerDown = err != nil && a.runnerDown(ctx)
		if err != nil && e.ID == "" {
			a.client.Meter.Inc("runner_answer_lost")
			a.deliverLost(err, e.RunnerDown)
			return false
		}
		if e.ID == "" {
			// An answer without an attempt can only belong to this one.
			e.ID, e.Attempt = a.r.ID, a.r.Attempt
		}
		own := e.ID == a.r.ID && e.Attempt == a.r.Attempt
		e.WrongConnection = !own
		a.client.OnEvent(e)
		if !own {
			a.client.Meter.Inc("runner_answer_crossed")
		}
		switch {
		case err != nil && !own:
			a.deliverLost(err, e.RunnerDown)
			return false
		case err != nil:
			return false
		case own:
			valid := e.Kind == Answered || e.Kind == NotStarted
			return open && valid && !a.conn.stalled.Load()
		}
	}
}

// watchProgress delivers one event if the connection makes no progress within the
// allowed time. The client continues to read the connection but sends no other
// attempt on it.
func (a *attempt) watchProgress() (stop func()) {
	timeout := a.r.StallTimeout
	if timeout <= 0 {
		timeout = DefaultStallTimeout
	}
	a.conn.lastRead.Store(time.Now().UnixNano())
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		idle := time.Since(time.Unix(0, a.conn.lastRead.Load()))
		if idle < timeout {
			timer.Reset(timeout - idle)
			return
		}
		a.conn.stalled.Store(true)
		a.client.Meter.Inc("runner_silent")
		a.client.OnEvent(a.event(Stalled))
	}
	mu.Lock()
	timer = time.AfterFunc(timeout, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

var errTooLarge = errors.New("the answer exceeds the size limit")

// readEvent reads one answer and returns its event, with the ID and attempt from
// the answer's headers. open reports whether the connection stays open after the
// answer. err is an error of the connection; the event then reports it too.
func readEvent(c *Client, conn *connection) (e Event, open bool, err error) {
	e = Event{Kind: ConnectionLost, Runner: c.Address, Connection: conn.id}
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
	e.classify(c, resp, b)
	return e, !resp.Close, nil
}

// classify sets the kind of the event from a fully read answer.
func (e *Event) classify(c *Client, resp *http.Response, b []byte) {
	if reason := resp.Header.Get(HeaderNotStarted); reason != "" {
		e.Kind, e.Reason = NotStarted, reason
		c.Meter.Inc("runner_not_started_" + notStartedReason(reason))
		return
	}
	e.Kind = BadAnswer
	switch {
	case resp.StatusCode != http.StatusOK:
		e.RunnerFailed = true
		e.Err = fmt.Errorf("status %d", resp.StatusCode)
		c.Meter.Inc("runner_answer_failed")
	case resp.Header.Get(HeaderLength) != strconv.Itoa(len(b)):
		e.Err = errors.New("the answer is truncated")
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

// readUnsolicited reads an answer that arrived on an idle connection.
func (c *Client) readUnsolicited(conn *connection) {
	e, _, err := readEvent(c, conn)
	if err != nil || e.ID == "" {
		return
	}
	e.WrongConnection = true
	c.OnEvent(e)
}
