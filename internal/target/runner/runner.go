// Package runner is the HTTP client for runners, the targets that serve requests.
//
// It writes HTTP/1.1 on connections that it manages itself instead of using
// http.Transport, because it has to know whether any byte of an attempt was
// written, to continue reading after an attempt was abandoned, and to read
// unsolicited answers on a connection. It never sends an attempt twice.
package runner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// Headers of the runner protocol.
const (
	HeaderRequestID  = "Request-Id"
	HeaderAttempt    = "Attempt"
	HeaderKind       = "Request-Kind"
	HeaderDigest     = "Answer-Digest"
	HeaderLength     = "Answer-Length"
	HeaderNotStarted = "Not-Started"
	HeaderLeaving    = "Target-Leaving"
)

// RunPath is the path at which a runner accepts requests.
const RunPath = "/v1/run"

// MaxAnswerBytes is the largest accepted payload of an answer.
const MaxAnswerBytes = 4 << 20

// Reasons with which a runner refuses to start a request.
const (
	NotStartedBusy    = "busy"
	NotStartedLeaving = "leaving"
)

// Request is one attempt of one request.
type Request struct {
	ID string
	// Attempt is unique among the attempts of a request.
	Attempt int
	Kind    string
	Payload []byte
	// NewConnection requires a new connection.
	NewConnection bool
	// StallTimeout is the longest time without progress on the connection; 0
	// selects the default.
	StallTimeout time.Duration
}

// EventKind is the kind of an event of an attempt.
type EventKind string

// The kinds of events.
const (
	// Answered carries the complete payload of the answer.
	Answered EventKind = "answered"
	// NotStarted means that the runner did not start the attempt.
	NotStarted EventKind = "not_started"
	// Unreachable means that no byte of the attempt was written.
	Unreachable EventKind = "unreachable"
	// ConnectionLost means that the connection failed before a complete answer was read.
	ConnectionLost EventKind = "lost"
	// BadAnswer means that the answer was an error status, was truncated or had
	// a wrong digest.
	BadAnswer EventKind = "bad_answer"
	// Stalled means that the connection made no progress within the allowed
	// time. The client continues to read it.
	Stalled EventKind = "silent"
	// Ended means that the attempt no longer uses its connection. It is the
	// last event of every attempt.
	Ended EventKind = "ended"
)

// Event describes what happened to the attempt identified by ID and Attempt.
type Event struct {
	Kind    EventKind
	ID      string
	Attempt int
	// Runner is the address of the runner.
	Runner string
	// Connection is unique among the connections of the client.
	Connection uint64
	// FirstUse reports that the attempt was the first on its connection.
	FirstUse bool
	// WrongConnection reports that the answer was read on a connection on which no such
	// attempt was waiting.
	WrongConnection bool
	// RunnerFailed reports that the runner answered with an error status.
	RunnerFailed bool
	// RunnerDown reports that the connection broke and the runner's host then
	// refused a new one.
	RunnerDown bool
	Payload    []byte
	Reason     string
	Err        error
}

// Client sends attempts to one runner. It is safe for concurrent use.
type Client struct {
	// Address is the runner's IP address and port.
	Address string
	Meter   *meter.Meter
	// OnEvent is called with the events of all attempts and with unsolicited
	// answers. It must not block for long.
	OnEvent func(Event)
	// OnLeaving is called when an answer announces that the runner is leaving.
	OnLeaving func()
	// LocalAddr is the source address of the connections; nil for any.
	LocalAddr net.Addr

	mu     sync.Mutex
	limit  int
	open   map[*connection]struct{}
	idle   []*connection
	lastID uint64
	closed bool
}

// DefaultStallTimeout is the default limit of the time without progress on a
// connection.
const DefaultStallTimeout = 30 * time.Second

const (
	dialTimeout = 2 * time.Second
	// downCheckTimeout bounds the check of a runner whose connection broke.
	downCheckTimeout = 250 * time.Millisecond
)

var errNoConnection = errors.New("all connections of this VM to the runner are in use")

// SetLimit sets the number of connections that may be open to the runner; 0
// means no limit.
func (c *Client) SetLimit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Close closes idle connections. Connections in use are closed when their
// attempts end.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// Send sends one attempt and reads its connection until the attempt ends or ctx
// is done. It reports the outcome as events; an event of kind Ended is the last.
func (c *Client) Send(ctx context.Context, r Request) {
	conn, err := c.acquire(ctx, r.NewConnection)
	if err != nil {
		c.Meter.Inc("runner_unreachable")
		e := Event{Kind: Unreachable, ID: r.ID, Attempt: r.Attempt, Runner: c.Address, Err: err}
		if conn != nil {
			e.Connection, e.FirstUse = conn.id, true
		}
		c.OnEvent(e)
		c.OnEvent(Event{Kind: Ended, ID: r.ID, Attempt: r.Attempt, Runner: c.Address})
		return
	}
	a := attempt{client: c, conn: conn, r: r, newConnection: conn.attempts == 0}
	conn.attempts++
	reusable := a.run(ctx)
	c.release(conn, reusable)
	c.OnEvent(a.event(Ended))
}

// acquire returns an idle connection or opens a new one. If dialing fails, it
// returns the unopened connection with the error; at the connection limit the
// returned connection is nil.
func (c *Client) acquire(ctx context.Context, newOnly bool) (*connection, error) {
	for !newOnly {
		conn := c.popIdle()
		if conn == nil {
			break
		}
		if conn.resume() {
			return conn, nil
		}
		conn.close()
	}
	conn, err := c.register()
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: c.LocalAddr}
	conn.Conn, err = d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		c.remove(conn)
		return conn, err
	}
	conn.start()
	return conn, nil
}

// refusesConnections reports whether nothing listens at the runner's address. A
// check without a response is no evidence.
func (c *Client) refusesConnections(ctx context.Context) bool {
	conn, err := c.register()
	if err != nil {
		return false
	}
	defer conn.close()
	d := net.Dialer{Timeout: downCheckTimeout, LocalAddr: c.LocalAddr}
	conn.Conn, err = d.DialContext(ctx, "tcp", c.Address)
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Client) popIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// register adds a connection that is about to be opened. At the limit it first
// closes an idle connection or, if there is none, a stalled one.
func (c *Client) register() (*connection, error) {
	evicted := c.connectionToClose()
	if evicted != nil {
		evicted.close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && len(c.open) >= c.limit {
		c.Meter.Inc("runner_connection_limit")
		return nil, errNoConnection
	}
	if c.open == nil {
		c.open = make(map[*connection]struct{})
	}
	c.lastID++
	conn := &connection{client: c, id: c.lastID}
	c.open[conn] = struct{}{}
	return conn, nil
}

// connectionToClose returns the connection to close before another is opened; nil
// below the limit or if all connections are in use.
func (c *Client) connectionToClose() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 || len(c.open) < c.limit {
		return nil
	}
	if len(c.idle) > 0 {
		conn := c.idle[0]
		c.idle = c.idle[1:]
		return conn
	}
	for conn := range c.open {
		if conn.stalled.Load() {
			return conn
		}
	}
	return nil
}

func (c *Client) release(conn *connection, reusable bool) {
	if !reusable {
		conn.close()
		return
	}
	c.mu.Lock()
	reuse := !c.closed && (c.limit == 0 || len(c.open) <= c.limit)
	if reuse {
		// Start the watch before another attempt can acquire the connection.
		conn.watch()
		c.idle = append(c.idle, conn)
	}
	c.mu.Unlock()
	if !reuse {
		conn.close()
	}
}

// remove removes a closed connection from the open and the idle ones.
func (c *Client) remove(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	for i, x := range c.idle {
		if x == conn {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			return
		}
	}
}

// Digest returns the hexadecimal SHA-256 of an answer's payload.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
