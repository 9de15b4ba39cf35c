package runner

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connection is one connection to a runner. It carries one attempt at a time.
type connection struct {
	net.Conn

	client *Client
	// id is unique among the connections of the client.
	id uint64
	// attempts is the number of attempts that were sent on the connection.
	attempts int
	reader   *bufio.Reader
	// written is the number of bytes written.
	written atomic.Int64
	// lastRead is the time in Unix nanoseconds of the last read byte, or of the
	// start of the current attempt if that is later.
	lastRead atomic.Int64
	// stalled is set once an attempt made no progress within its allowed time.
	// A stalled connection carries no further attempt.
	stalled atomic.Bool
	// watchDone receives the error that ended the watch of the idle connection.
	watchDone chan error
	closeOnce sync.Once
}

func (c *connection) start() {
	c.reader = bufio.NewReader(c)
}

// Read implements io.Reader and records the time of the last byte.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements io.Writer and counts the bytes.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		if c.Conn != nil {
			_ = c.Close()
		}
		c.client.remove(c)
	})
}

// watch reads an idle connection in the background, so that its end and
// unsolicited answers are detected immediately.
func (c *connection) watch() {
	watchDone := make(chan error, 1)
	c.watchDone = watchDone
	go func() {
		_, err := c.reader.Peek(1)
		if err == nil {
			c.client.readUnsolicited(c)
		}
		if !isTimeout(err) {
			c.close()
		}
		watchDone <- err
	}()
}

// resume ends the watch and reports whether the connection is still open with no
// unread data.
func (c *connection) resume() bool {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	err := <-c.watchDone
	if !isTimeout(err) || c.reader.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error) //nolint:errorlint // errors of net.Conn are not wrapped
	return ok && ne.Timeout()
}
