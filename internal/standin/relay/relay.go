// Package relay is a TCP relay for tests that closes and freezes connections.
package relay

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode says how a relay handles the connections from one source.
type Mode int

// The modes of a relay.
const (
	// Pass forwards in both directions.
	Pass Mode = iota
	// Refuse closes connections.
	Refuse
	// Blackhole accepts connections and forwards nothing.
	Blackhole
	// DropResponses forwards to the target but nothing back: requests arrive and their
	// responses are lost.
	DropResponses
)

// Relay forwards connections to a target address. It distinguishes sources by their
// IP address, so every VM of a test needs its own loopback address.
type Relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	modes       map[netip.Addr]Mode
	defaultMode Mode
	delay       time.Duration
	// bytesPerSecond is the bandwidth that all connections share; 0 for no bound. The
	// bytes forwarded so far occupy it until busyUntil.
	bytesPerSecond int
	busyUntil      time.Time
	// forwarded counts the bytes that were read from either end.
	forwarded   int64
	connections map[*connection]struct{}
}

// connection is one relayed connection.
type connection struct {
	source netip.Addr
	client net.Conn
	server net.Conn
	// mu guards frozen and dropResponses, and is locked while bytes are written.
	mu     sync.Mutex
	frozen bool
	// dropResponses discards all bytes from the server.
	dropResponses bool
}

// Listen starts a relay on an address that forwards to target. The error is that of
// net.Listen.
func Listen(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, modes: make(map[netip.Addr]Mode), connections: make(map[*connection]struct{})}
	go r.accept()
	return r, nil
}

// Address returns the relay's own address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Target returns the address to which the relay forwards.
func (r *Relay) Target() string { return r.target }

// Close closes the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.connections {
		l.close()
	}
}

// Delay sets the delay of the bytes of all connections, in each direction.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetBandwidth bounds the bytes per second of all connections together; 0 removes the
// bound.
func (r *Relay) SetBandwidth(bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytesPerSecond = bytesPerSecond
}

// Forwarded returns the number of bytes read from either end of all connections so far.
func (r *Relay) Forwarded() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarded
}

// forwardDelay counts n bytes and returns the time after which they are forwarded.
func (r *Relay) forwardDelay(n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwarded += int64(n)
	if r.bytesPerSecond == 0 {
		return r.delay
	}
	now := time.Now()
	if r.busyUntil.Before(now) {
		r.busyUntil = now
	}
	r.busyUntil = r.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(r.bytesPerSecond))
	return r.delay + r.busyUntil.Sub(now)
}

// SetAll sets the mode of all sources without a mode of their own. Refuse closes open
// connections. A mode that stops forwarding affects open connections permanently, also
// after a later change of the mode.
func (r *Relay) SetAll(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultMode = m
	for l := range r.connections {
		r.apply(l)
	}
}

// Set sets the mode of one source, with the same effect on open connections as SetAll.
func (r *Relay) Set(source string, m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[netip.MustParseAddr(source)] = m
	for l := range r.connections {
		r.apply(l)
	}
}

// FreezeOpen stops forwarding on all open connections permanently. New connections are
// not affected.
func (r *Relay) FreezeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.connections {
		l.freeze()
	}
}

// Open returns the number of open connections from a source.
func (r *Relay) Open(source string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for l := range r.connections {
		if l.source.String() == source {
			n++
		}
	}
	return n
}

// mode returns the mode of a source. The caller must hold r.mu.
func (r *Relay) mode(source netip.Addr) Mode {
	m, ok := r.modes[source]
	if !ok {
		return r.defaultMode
	}
	return m
}

// apply applies the mode of a connection's source to it. The caller must hold r.mu.
func (r *Relay) apply(l *connection) {
	switch r.mode(l.source) {
	case Refuse:
		l.close()
	case Blackhole:
		l.freeze()
	case DropResponses:
		l.stopResponses()
	case Pass:
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(client net.Conn) {
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	r.mu.Lock()
	m := r.mode(source)
	r.mu.Unlock()
	if m == Refuse {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &connection{source: source, client: client, server: server, frozen: m == Blackhole, dropResponses: m == DropResponses}
	r.mu.Lock()
	r.connections[l] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(l, server, client) })
	wg.Go(func() { r.copy(l, client, server) })
	wg.Wait()
	r.mu.Lock()
	delete(r.connections, l)
	r.mu.Unlock()
}

const copyBufferBytes = 32 << 10

// copy forwards bytes and closes both ends when one ends. It reads and discards the
// bytes of a frozen connection, so that the sender sees an open connection without a
// response.
func (r *Relay) copy(l *connection, to, from net.Conn) {
	b := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(b)
		time.Sleep(r.forwardDelay(n))
		if n > 0 && !l.forward(to, b[:n]) {
			break
		}
		if err != nil {
			break
		}
	}
	if l.isFrozen() {
		_, _ = io.Copy(io.Discard, from)
	}
	l.close()
}

func (l *connection) forward(to net.Conn, b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen || l.dropResponses && to == l.client {
		return true
	}
	_, err := to.Write(b)
	return err == nil
}

func (l *connection) isFrozen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.frozen
}

func (l *connection) stopResponses() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropResponses = true
}

func (l *connection) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
}

func (l *connection) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
