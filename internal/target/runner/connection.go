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
	// id differs for every connection of the client.
	id uint64
	// uses is the number of attempts that were sent on it.
	uses   int
	reader *bufio.Reader
	// written is the number of bytes that were written.
	written atomic.Int64
	// progress is the time of the last read byte in Unix nanoseconds.
	progress atomic.Int64
	// silent is set once an attempt made no progress; it is never used again.
	silent  atomic.Bool
	watched chan error
	once    sync.Once
}

func (c *connection) start() {
	c.reader = bufio.NewReader(c)
}

// Read reads and notes the progress.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes and counts the bytes.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c *connection) close() {
	c.once.Do(func() {
		if c.Conn != nil {
			_ = c.Close()
		}
		c.client.forget(c)
	})
}

// watch reads an idle connection, so that its end and answers that nobody
// asked for are seen at once.
func (c *connection) watch() {
	watched := make(chan error, 1)
	c.watched = watched
	go func() {
		_, err := c.reader.Peek(1)
		if err == nil {
			c.client.stray(c)
		}
		if !isTimeout(err) {
			c.close()
		}
		watched <- err
	}()
}

// resume ends the watch and reports whether the connection is still clean.
func (c *connection) resume() bool {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	err := <-c.watched
	if !isTimeout(err) || c.reader.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error) //nolint:errorlint // errors of net.Conn are not wrapped
	return ok && ne.Timeout()
}
