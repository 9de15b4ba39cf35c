package intake

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// serve serves a share on loopback. The handler reads the body and answers its error.
func serve(t *testing.T, s *Share) string {
	l, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, err.Error())
		}
	})}
	s.Configure(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func newShare(memory int64, descriptors int) *Share {
	return (&Budget{Memory: memory, Descriptors: descriptors, Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{}}).Share("callers", 1, 1)
}

func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// status returns the status of the answer, and 0 if the connection is closed without one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *Share) snapshot() (conns, aborted int, held int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.aborted, s.held
}

const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"

// TestHeldIsReleased guards against accounts that grow with requests that were answered,
// refused or cut off, until nobody is served.
func TestHeldIsReleased(t *testing.T) {
	is := is.New(t)
	s := newShare(4<<20, 40)
	address := serve(t, s)
	for i := range 200 {
		switch i % 3 {
		case 0:
			c := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.Equal(status(c), http.StatusOK)
			_ = c.Close()
		case 1:
			_ = send(t, address, post+strings.Repeat("x", 50000)).Close()
		case 2:
			send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3000))
		}
	}
	_, _, held := s.snapshot()
	is.True(held <= s.maxHeld)
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conns, aborted, held := s.snapshot()
		if conns == 0 && aborted == 0 && held == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections, %d aborted, %d bytes are left", conns, aborted, held)
		}
	}
}

// TestLeastProgressIsClosedFirst guards against closing a request that advances, or one
// that runs, instead of connections that wait.
func TestLeastProgressIsClosedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(-d) }
	s := newShare(0, 0)
	add := func(c *conn) *conn {
		a, b := net.Pipe()
		_ = b.Close()
		c.Conn, c.share, c.held = a, s, connCost
		s.conns[c] = struct{}{}
		return c
	}
	order := []*conn{
		add(&conn{state: idle, since: at(20 * time.Second)}),
		add(&conn{state: idle, since: at(time.Second)}),
		add(&conn{state: body, since: at(5 * time.Second), lastByte: at(4 * time.Second), received: 1000}),
		add(&conn{state: header, since: at(2 * time.Second), lastByte: at(time.Second), received: 16000}),
		add(&conn{state: body, since: at(5 * time.Second), lastByte: now, received: 50}),
		add(&conn{state: body, since: at(time.Second), lastByte: now, received: 200000}),
		add(&conn{state: header, since: at(100 * time.Millisecond), lastByte: now, received: 16000}),
		add(&conn{state: header, since: now, lastByte: now, received: 100}),
		add(&conn{state: header, since: now, lastByte: now}),
	}
	order[6].held = 300 << 10 // many header lines
	runs := add(&conn{state: running, since: at(time.Minute)})
	for i, c := range order {
		s.mu.Lock()
		s.evict(causeMemory, now, func() bool { return s.aborted == i+1 })
		s.mu.Unlock()
		is.True(c.err != nil) // closed in this order
	}
	is.NoErr(runs.err)
}

// TestUnreadAnswerMakesPlace guards against clients that read no answers and keep others out,
// and against closing a connection whose request runs or whose answer was just written.
func TestUnreadAnswerMakesPlace(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newShare(0, 0)
	add := func(c *conn) *conn {
		c.Conn, _ = net.Pipe()
		c.share, c.held, c.state, c.since = s, connCost, running, now.Add(-time.Minute)
		s.conns[c] = struct{}{}
		s.held += c.held
		return c
	}
	runs, writes := add(&conn{}), add(&conn{writing: now.Add(-unreadEvictTime / 2)})
	unread := add(&conn{writing: now.Add(-unreadEvictTime)})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(causeConnections, now, func() bool { return false })
	is.NoErr(runs.err)
	is.NoErr(writes.err)
	is.True(unread.err != nil)
	is.Equal(s.held, int64(2*connCost))
}

// TestLargeHolderIsClosedFirst guards against closing the slow request of one client for
// the many requests of another.
func TestLargeHolderIsClosedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newShare(0, 0)
	add := func(address string, c *conn) *conn {
		c.Conn, _ = net.Pipe()
		c.share, c.held, c.state, c.since, c.address = s, 100<<10, body, now.Add(-3*time.Second), netip.MustParseAddr(address)
		s.conns[c] = struct{}{}
		s.held += c.held
		return c
	}
	slow := add("10.0.0.1", &conn{lastByte: now.Add(-time.Second), received: 1000})
	other := add("10.0.0.2", &conn{lastByte: now, received: 100000, account: 1})
	named := add("10.0.0.2", &conn{lastByte: now, received: 100000, account: 2})
	add("10.0.0.2", &conn{lastByte: now, received: 200000, account: 2})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(causeMemory, now, func() bool { return s.aborted == 1 })
	is.True(named.err != nil) // of the address and the account that hold most
	s.evict(causeMemory, now, func() bool { return s.held <= slow.held+other.held })
	is.NoErr(slow.err)
}

// TestClientThatReadsNothingIsClosed guards against connections of requests that were
// answered, which are never closed for others.
func TestClientThatReadsNothingIsClosed(t *testing.T) {
	s := newShare(0, 0)
	a, _ := net.Pipe()
	c := s.admit(a)
	failed := make(chan error)
	go func() {
		_, err := c.Write([]byte("x"))
		failed <- err
	}()
	for done := false; !done; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		done = !c.writing.IsZero()
		s.mu.Unlock()
	}
	s.closeLate(time.Now().Add(unreadTime / 2))
	select {
	case err := <-failed:
		t.Fatal(err)
	case <-time.After(10 * time.Millisecond):
	}
	s.closeLate(time.Now().Add(2 * unreadTime))
	is.New(t).True(<-failed != nil)
}

// TestSlowReaderHasProgress guards against cutting large answers to clients that read them
// slowly.
func TestSlowReaderHasProgress(t *testing.T) {
	is := is.New(t)
	s := newShare(0, 0)
	a, b := net.Pipe()
	c := s.admit(a)
	done := make(chan int)
	go func() {
		n, _ := c.Write(make([]byte, 2*writePiece))
		done <- n
	}()
	_, err := io.ReadFull(b, make([]byte, writePiece/2))
	is.NoErr(err)
	s.mu.Lock()
	c.writing = time.Now().Add(-time.Hour)
	s.mu.Unlock()
	_, err = io.ReadFull(b, make([]byte, writePiece))
	is.NoErr(err)
	s.mu.Lock()
	is.True(!c.isUnread(time.Now())) // the second piece is being written
	s.mu.Unlock()
	_, err = io.ReadFull(b, make([]byte, writePiece/2))
	is.NoErr(err)
	is.Equal(<-done, 2*writePiece)
}

// zeros is a connection that always has bytes.
type zeros struct{ net.Conn }

func (zeros) Read(p []byte) (int, error)      { return len(p), nil }
func (zeros) Write(p []byte) (int, error)     { return len(p), nil }
func (zeros) RemoteAddr() net.Addr            { return nil }
func (zeros) SetReadDeadline(time.Time) error { return nil }

// TestReadsDoNotAllocate guards against garbage for every read, as processor time and
// memory of a VM are scarce.
func TestReadsDoNotAllocate(t *testing.T) {
	c := newShare(1<<40, 0).admit(zeros{})
	b := make([]byte, 4096)
	is.New(t).Equal(testing.AllocsPerRun(1000, func() {
		_, _ = c.Read(b)
		_, _ = c.Write(b)
	}), 0.0)
}

// TestRequestOverShareIsRefused guards against an answer that does not say that the
// request was not run, and against a lost connection limit.
func TestRequestOverShareIsRefused(t *testing.T) {
	is := is.New(t)
	s := newShare(1<<20, 0) // holds 200 KB
	address := serve(t, s)
	is.Equal(status(send(t, address, strings.Replace(post, "100000", "200000", 1)+strings.Repeat("x", 150000))), http.StatusServiceUnavailable)
	few := newShare(0, 2)
	address = serve(t, few)
	idle := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(status(idle), http.StatusOK)
	for range 5 {
		answered := false
		// Until the server has noticed that another connection is idle.
		for until := time.Now().Add(5 * time.Second); !answered && time.Now().Before(until); {
			answered = status(send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")) == http.StatusOK
		}
		is.True(answered)
	}
	is.Equal(status(idle), 0) // closed for the others
}

// TestLateBodyIsRefused guards against connections that stay open for good.
func TestLateBodyIsRefused(t *testing.T) {
	is := is.New(t)
	s := newShare(0, 0)
	s.BodyTime = func(*http.Request) time.Duration { return 100 * time.Millisecond }
	is.Equal(status(send(t, serve(t, s), post+"x")), http.StatusServiceUnavailable)
}
