// Package runner is the client of the runners, the targets that serve requests.
//
// It writes HTTP/1.1 on connections of its own instead of through
// http.Transport, because it has to know whether a byte of an attempt was
// written, to keep reading an attempt that was given up, and to read answers
// that nobody asked for on a connection. Nothing is ever sent twice by itself.
package runner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"sync"
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

// RunPath is the path of a runner that takes requests.
const RunPath = "/v1/run"

// MaxAnswerBytes bounds the size of an answer.
const MaxAnswerBytes = 4 << 20

// Reasons that a runner gives for not starting a request.
const (
	NotStartedBusy    = "busy"
	NotStartedLeaving = "leaving"
)

// Request is one attempt of one request.
type Request struct {
	ID string
	// Attempt differs for every send of the same request.
	Attempt int
	Kind    string
	Payload []byte
	// Fresh asks for a new connection.
	Fresh bool
	// Allowance is the longest wait without progress on the connection;
	// DefaultAllowance when 0.
	Allowance time.Duration
}

// EventKind says what happened to an attempt.
type EventKind string

// The kinds of events.
const (
	// Answered carries the whole answer.
	Answered EventKind = "answered"
	// NotStarted means that the runner did not start the attempt.
	NotStarted EventKind = "not_started"
	// Unreachable means that no byte of the attempt was written.
	Unreachable EventKind = "unreachable"
	// Lost means that the connection ended without a whole answer.
	Lost EventKind = "lost"
	// BadAnswer means that an answer was not a whole and sound one.
	BadAnswer EventKind = "bad_answer"
	// Silent means that there was no progress for the allowance. The
	// connection is still read.
	Silent EventKind = "silent"
	// Ended means that the attempt uses its connection no longer. It is the
	// last event of every attempt.
	Ended EventKind = "ended"
)

// Event tells what happened to the attempt that ID and Attempt name.
type Event struct {
	Kind    EventKind
	ID      string
	Attempt int
	// Runner is the address of the runner.
	Runner string
	// Connection differs for every connection of the client.
	Connection uint64
	// Fresh says that the attempt was the first on its connection.
	Fresh bool
	// Crossed says that an answer came on the connection of another attempt.
	Crossed bool
	// Failed says that the runner answered with a failure of its own.
	Failed  bool
	Payload []byte
	Reason  string
	Err     error
}

// Client sends attempts to one runner. It is safe for concurrent use.
type Client struct {
	// Address is the runner's IP address and port.
	Address string
	Meter   *meter.Meter
	// Deliver takes the events of all attempts, and answers that nobody waits
	// for. It must not block for long.
	Deliver func(Event)
	// OnLeaving is called when an answer says that the runner leaves.
	OnLeaving func()
	// LocalAddr is the source of the connections; nil for any.
	LocalAddr net.Addr

	mu     sync.Mutex
	limit  int
	open   map[*connection]struct{}
	idle   []*connection
	next   uint64
	closed bool
}

// DefaultAllowance bounds the wait on a connection without progress.
const DefaultAllowance = 30 * time.Second

const dialTimeout = 2 * time.Second

var errNoConnection = errors.New("all connections of this VM to the runner are in use")

// SetLimit bounds the connections that this VM opens to the runner.
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

// Close closes idle connections; those in use are closed when they end.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// Send sends one attempt and reads until its connection is free or ctx ends.
// What happens is told by events, the last of which is Ended.
func (c *Client) Send(ctx context.Context, r Request) {
	conn, err := c.acquire(ctx, r.Fresh)
	if err != nil {
		c.Meter.Inc("runner_unreachable")
		e := Event{Kind: Unreachable, ID: r.ID, Attempt: r.Attempt, Runner: c.Address, Err: err}
		if conn != nil {
			e.Connection, e.Fresh = conn.id, true
		}
		c.Deliver(e)
		c.Deliver(Event{Kind: Ended, ID: r.ID, Attempt: r.Attempt, Runner: c.Address})
		return
	}
	a := attempt{client: c, conn: conn, r: r, fresh: conn.uses == 0}
	conn.uses++
	reusable := a.run(ctx)
	c.release(conn, reusable)
	c.Deliver(a.event(Ended))
}

// acquire returns an idle connection or opens one. With an error it returns the
// connection that could not be opened, or nil when none may be opened.
func (c *Client) acquire(ctx context.Context, fresh bool) (*connection, error) {
	for !fresh {
		conn := c.takeIdle()
		if conn == nil {
			break
		}
		if conn.resume() {
			return conn, nil
		}
		conn.close()
	}
	conn, err := c.reserve()
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: c.LocalAddr}
	conn.Conn, err = d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		c.forget(conn)
		return conn, err
	}
	conn.start()
	return conn, nil
}

func (c *Client) takeIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// reserve counts a connection that is about to be opened. At the limit it
// closes an idle connection, or else one that is silent.
func (c *Client) reserve() (*connection, error) {
	victim := c.takeIdleAtLimit()
	if victim != nil {
		victim.close()
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
	c.next++
	conn := &connection{client: c, id: c.next}
	c.open[conn] = struct{}{}
	return conn, nil
}

func (c *Client) takeIdleAtLimit() *connection {
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
		if conn.silent.Load() {
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
	keep := !c.closed && (c.limit == 0 || len(c.open) <= c.limit)
	if keep {
		// The watch begins before the connection can be taken again.
		conn.watch()
		c.idle = append(c.idle, conn)
	}
	c.mu.Unlock()
	if !keep {
		conn.close()
	}
}

// forget removes a closed connection.
func (c *Client) forget(conn *connection) {
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
