package runner

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// eventLog records the events of a client.
type eventLog struct {
	mu     sync.Mutex
	events []Event
}

func (l *eventLog) add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

func (l *eventLog) kinds() []EventKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []EventKind
	for _, e := range l.events {
		all = append(all, e.Kind)
	}
	return all
}

// serve starts a listener, passes every connection to handle and returns the
// listener's address.
func serve(t *testing.T, handle func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// closedPort returns an address at which nothing listens. Its port stays bound until the
// test ends, so that no other listener gets it.
func closedPort(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	is.NoErr(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	is.NoErr(err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}

func TestSendReportsWhetherBytesWereWritten(t *testing.T) {
	reset := func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	refuseEarly := func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte("HTTP/1.1 503 Busy\r\nRequest-Id: q1\r\nAttempt: 1\r\nNot-Started: busy\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(100 * time.Millisecond)
		_ = c.Close()
	}
	cases := []struct {
		name    string
		address string
		payload int
		want    []EventKind
	}{
		{"closed port", closedPort(t), 10, []EventKind{Unreachable, Ended}},
		{"reset within a large request", serve(t, reset), 8 << 20, []EventKind{ConnectionLost, Ended}},
		{"reset after a small request", serve(t, reset), 10, []EventKind{ConnectionLost, Ended}},
		{"refused before the whole request was read", serve(t, refuseEarly), 100 << 10, []EventKind{NotStarted, Ended}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l eventLog
			client := &Client{Address: c.address, Meter: &meter.Meter{}, OnEvent: l.add}
			client.Send(context.Background(), Request{ID: "q1", Attempt: 1, Kind: "check", Payload: bytes.Repeat([]byte{'x'}, c.payload)})
			is.Equal(l.kinds(), c.want)
			for client.Connections() > 0 { // closed by either end
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	var l eventLog
	address := serve(t, func(net.Conn) {}) // never answers
	client := &Client{Address: address, Meter: &meter.Meter{}, OnEvent: l.add}
	client.SetLimit(1)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { client.Send(ctx, Request{ID: "q1", Attempt: 1, StallTimeout: 100 * time.Millisecond}) })
	for client.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}
	client.Send(ctx, Request{ID: "q2", Attempt: 1, NewConnection: true})
	is.Equal(l.kinds(), []EventKind{Unreachable, Ended})
	// A stalled connection is closed in favour of the next attempt.
	for len(l.kinds()) < 3 {
		time.Sleep(time.Millisecond)
	}
	wg.Go(func() { client.Send(ctx, Request{ID: "q3", Attempt: 1}) })
	for len(l.kinds()) < 5 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(l.kinds()[2:5], []EventKind{Stalled, ConnectionLost, Ended})
	is.Equal(client.Connections(), 1)
	cancel()
	wg.Wait()
}
