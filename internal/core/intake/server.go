package intake

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// defaultBodyTime is the time in which a body must arrive if Share.BodyTime is nil.
	defaultBodyTime = 10 * time.Second
	// silentTime is how long a body may be waited for without a byte. A slow link
	// delivers some bytes in each second.
	silentTime = 5 * time.Second
	// unreadTime is how long a write may wait for a client that reads nothing.
	unreadTime = 20 * time.Second
	// sweepInterval is the time between two checks of all connections and the shortest
	// time between two log lines of one cause.
	sweepInterval = time.Second
)

type connKey struct{}

// Configure sets up a server whose handler is set, and which serves only the connections
// of the share's listener.
func (s *Share) Configure(server *http.Server) {
	h := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.beginRequest(r)
		}
		h.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
}

// listener counts the connections of a listener.
type listener struct {
	net.Listener
	share  *Share
	once   sync.Once
	closed chan struct{}
}

// Close closes the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection that fits in the share.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.share.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = nc.Write(refusal)
		_ = nc.Close()
	}
}

// admit counts a new connection. It returns nil if there is no capacity for it.
func (s *Share) admit(nc net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: nc, share: s, since: now, lastByte: now}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		address, _ := netip.AddrFromSlice(a.IP)
		c.address = address.Unmap()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open() >= s.maxOpen {
		s.evict(causeConnections, now, func() bool { return s.open() < s.maxOpen-s.maxOpen/evictMargin })
	}
	if s.open() >= s.maxOpen || len(s.conns) >= s.maxConns {
		s.causes[causeConnections]++
		return nil
	}
	s.conns[c] = struct{}{}
	s.charge(c, connCost, now)
	if c.err != nil {
		s.release(c)
		return nil
	}
	return c
}

// open returns the number of connections whose reads don't fail. s.mu is held.
func (s *Share) open() int { return len(s.conns) - s.aborted }

// sweep closes late connections and logs what was closed, until the listener is closed.
func (l *listener) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
			now := time.Now()
			// After a pause of the process, what has arrived meanwhile is read first.
			if now.Sub(last) < 2*sweepInterval {
				l.share.closeLate(now)
			}
			last = now
			l.share.report()
		}
	}
}

// closeLate closes connections whose body is late or whose client reads nothing.
func (s *Share) closeLate(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		switch {
		case !c.writing.IsZero() && now.Sub(c.writing) > unreadTime:
			s.causes[causeUnread]++
			// Ends the write; the server then closes the connection.
			_ = c.SetWriteDeadline(past)
		case c.err != nil:
		case c.state == body && now.After(c.bodyUntil):
			s.abort(c, causeLate, errLate)
		case c.state == body && c.reading && now.Sub(c.lastByte) > silentTime:
			s.abort(c, causeSilent, errLate)
		}
	}
}

// report counts the connections closed since the last report, and logs one line by cause.
func (s *Share) report() {
	s.mu.Lock()
	conns, held := len(s.conns), s.held
	var closed map[string]int64
	if len(s.causes) > 0 {
		closed, s.causes = s.causes, make(map[string]int64)
	}
	s.mu.Unlock()
	s.meter.Set("intake_connections_"+s.Name, int64(conns))
	s.meter.Set("intake_held_bytes_"+s.Name, held)
	for cause, n := range closed {
		s.meter.Add("intake_closed_"+cause, n)
		s.log.Warn("connections closed", "listener", s.Name, "cause", cause, "closed", n, "connections", conns,
			"max_connections", s.maxOpen, "held_bytes", held, "max_held_bytes", s.maxHeld)
	}
}
