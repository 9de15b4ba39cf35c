package intake

import (
	"bytes"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// state is what a connection is doing.
type state int

const (
	// header reads a header, or waits for the first request of the connection.
	header state = iota
	// body has a request whose body has not fully arrived.
	body
	// running has a request that was received.
	running
	// idle waits for another request.
	idle
)

// Causes for which connections are closed, as in log lines and counters.
const (
	causeMemory      = "memory"
	causeConnections = "connections"
	causeLate        = "late_body"
	causeSilent      = "silent_body"
	causeUnread      = "unread_answer"
)

// readError ends the reads of a connection. Its cause tells the handler what to answer.
// The server answers nothing to a net.OpError of a read in a header.
func readError(kind fault.Kind, message string) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: fault.New(kind, "%s", message)}
}

var (
	errOverloaded = readError(fault.Overloaded, "the process has no memory or connections left for the request")
	errLate       = readError(fault.Deadline, "the body did not arrive in time")

	past = time.Unix(1, 0)
	seed = maphash.MakeSeed()
	// refusal is the answer to a request that is refused before its header was read.
	refusal = newRefusal()
)

func newRefusal() []byte {
	const text = `{"outcome":"not_run","kind":"overloaded","message":"the process has no memory or connections left for the request","retryable":true}` + "\n"
	return []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(text)) + "\r\n\r\n" + text)
}

// conn counts what a connection holds. The fields below share are guarded by share.mu.
type conn struct {
	net.Conn
	share   *Share
	address netip.Addr

	state state
	// since is when the connection was accepted, became idle or began to receive the
	// present request.
	since time.Time
	// lastByte is when the last byte of the request arrived, or when the handler began to
	// wait for the next one.
	lastByte time.Time
	// reading says that the server waits for bytes.
	reading bool
	// writing is when a write began that has not ended; zero if there is none.
	writing time.Time
	// bodyUntil is when the body must have arrived.
	bodyUntil time.Time
	received  int64
	lines     int64
	held      int64
	account   uint64
	// err is why the reads fail; nil if the connection is not to be closed.
	err error
}

// Read reads and counts bytes.
func (c *conn) Read(p []byte) (int, error) {
	s := c.share
	s.mu.Lock()
	if c.err != nil {
		defer s.mu.Unlock()
		return 0, c.readFailure()
	}
	c.reading = true
	if c.state == body {
		c.lastByte = time.Now()
	}
	s.mu.Unlock()
	n, err := c.Conn.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.reading = false
	if n > 0 && c.err == nil {
		c.count(p[:n])
	}
	if c.err != nil {
		return 0, c.readFailure()
	}
	return n, err
}

// readFailure returns why a read fails, and answers a request that has begun and of which
// no handler knows.
func (c *conn) readFailure() error {
	if c.state == header && c.received > 0 && errors.Is(c.err, errOverloaded) {
		c.received = 0
		// It fits in the empty send buffer and so does not wait.
		_ = c.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = c.Conn.Write(refusal)
	}
	return c.err
}

// count counts received bytes.
func (c *conn) count(b []byte) {
	now := time.Now()
	if c.state == idle {
		c.state, c.since = header, now
	}
	c.lastByte = now
	c.received += int64(len(b))
	cost := int64(len(b))
	if c.state == header {
		lines := int64(bytes.Count(b, []byte{'\n'}))
		c.lines += lines
		cost += lines * lineCost
	} else {
		cost *= bodyFactor
	}
	c.share.charge(c, cost, now)
}

// writePiece is how much is written at a time, so that a client which reads a large answer
// slowly is told from one that reads nothing.
const writePiece = 16 << 10

// Write writes, and keeps since when the client has read nothing.
func (c *conn) Write(p []byte) (n int, err error) {
	s := c.share
	for first := true; err == nil && (first || n < len(p)); first = false {
		s.mu.Lock()
		c.writing = time.Now()
		s.mu.Unlock()
		var written int
		written, err = c.Conn.Write(p[n:min(n+writePiece, len(p))])
		n += written
	}
	s.mu.Lock()
	c.writing = time.Time{}
	s.mu.Unlock()
	return n, err
}

// SetReadDeadline sets the deadline of reads. It does not restore reads that abort ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.share.mu.Lock()
	defer c.share.mu.Unlock()
	if c.err != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and returns what it holds.
func (c *conn) Close() error {
	c.share.mu.Lock()
	c.share.release(c)
	c.share.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http close a connection so that the client gets the last answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// manyLines is the number of counted header lines from which they are counted again after
// parsing, as the first read may include chunks of a body.
const manyLines = 64

// beginRequest is called with a parsed header, before the handler.
func (c *conn) beginRequest(r *http.Request) {
	s := c.share
	now := time.Now()
	account := uint64(0)
	if s.Account != nil {
		if a := s.Account(r); a != "" {
			account = maphash.String(seed, a)
		}
	}
	until := now.Add(defaultBodyTime)
	if s.BodyTime != nil {
		until = now.Add(s.BodyTime(r))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.account, c.bodyUntil, c.lastByte = account, until, now
	if c.lines > manyLines {
		parsed := int64(1)
		for _, values := range r.Header {
			parsed += int64(len(values))
		}
		if excess := c.lines - parsed; excess > 0 {
			c.lines = parsed
			s.charge(c, -min(excess*lineCost, c.held), now)
		}
	}
	if c.state == idle {
		// The header arrived together with the previous request.
		c.since = now
	}
	c.state = running
	if r.Body != nil && r.Body != http.NoBody {
		c.state = body
		r.Body = &bodyReader{ReadCloser: r.Body, conn: c}
	}
}

// bodyReceived is called when the body has fully arrived.
func (c *conn) bodyReceived() {
	c.share.mu.Lock()
	defer c.share.mu.Unlock()
	if c.state == body {
		c.state = running
	}
}

// endRequest returns what the request held. The connection waits for the next one.
func (c *conn) endRequest() {
	c.share.mu.Lock()
	defer c.share.mu.Unlock()
	if c.err == nil {
		c.share.held -= c.held - connCost
		c.held = connCost
	}
	c.state, c.since, c.received, c.lines, c.account = idle, time.Now(), 0, 0, 0
}

// bodyReader notes the end of a body.
type bodyReader struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.bodyReceived()
	}
	return n, err
}
