// Package wire counts the bytes that benchmarks send and receive.
package wire

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Counter counts the bytes of TCP connections, HTTP headers included. The zero
// value is ready to use, also by several goroutines.
type Counter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Bytes returns the number of bytes sent and received so far.
func (c *Counter) Bytes() int64 { return c.sent.Load() + c.received.Load() }

// Client returns an HTTP client whose connections the counter counts.
func (c *Counter) Client() *http.Client {
	var d net.Dialer
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, counter: c}, nil
		},
	}}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}
