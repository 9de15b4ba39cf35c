package intake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// evictMargin is the inverse of the part of the share that is freed at a time, so that
	// not every read under load looks for connections to close.
	evictMargin = 16
	// progressTime is the time without a byte from which a request counts as stalled.
	progressTime = 250 * time.Millisecond
	// unreadEvictTime is how long a write may wait for a client that reads nothing before the
	// connection may be closed for another.
	unreadEvictTime = 2 * time.Second
	// firstByteTime is how long a new connection is kept before others that wait.
	firstByteTime = time.Second
)

// Classes of connections, in the order in which they are closed.
const (
	classIdle = iota
	// classUnread connections have an answer that the client does not read.
	classUnread
	classStalled
	classProgressing
	// classYoung requests began less than progressTime ago, so that their rate says
	// nothing yet: a short request, which has received little, is about to run.
	classYoung
	// classNew connections hold nothing but their buffers.
	classNew
)

// victim is a connection that may be closed.
type victim struct {
	conn *conn
	// overAddress and overAccount say that its address or account holds more than its
	// share. Clients choose the account that they name, so it counts less than progress.
	overAddress, overAccount bool
	class                    int
	// order is the rate of an unfinished request in bytes per second, of a young one the
	// negative memory that it holds, and the negative age of other connections.
	order float64
}

// holdings is what the connections of each address and account hold.
type holdings struct {
	addresses map[netip.Addr]int64
	accounts  map[uint64]int64
	// fair is what each address and each account may hold.
	fairAddress, fairAccount int64
}

func (s *Share) holdings() holdings {
	h := holdings{addresses: make(map[netip.Addr]int64), accounts: make(map[uint64]int64)}
	var named int64
	for c := range s.conns {
		h.addresses[c.address] += c.held
		if c.account != 0 {
			h.accounts[c.account] += c.held
			named += c.held
		}
	}
	h.fairAddress = s.held / int64(max(1, len(h.addresses)))
	h.fairAccount = named / int64(max(1, len(h.accounts)))
	return h
}

// mark notes whether the address and the account of a connection hold more than their
// share. With a single address, as behind a load balancer, none does.
func (h *holdings) mark(v *victim) {
	v.overAddress = len(h.addresses) > 1 && h.addresses[v.conn.address] > h.fairAddress
	v.overAccount = v.conn.account != 0 && len(h.accounts) > 1 && h.accounts[v.conn.account] > h.fairAccount
}

func compareVictims(a, b victim) int {
	return cmp.Or(trueFirst(a.overAddress, b.overAddress), cmp.Compare(a.class, b.class),
		trueFirst(a.overAccount, b.overAccount), cmp.Compare(a.order, b.order))
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// evict closes connections, those with the least progress first, until done reports
// true or none is left that may be closed. Connections whose request runs are kept, as
// their outcome would not be known, unless the client does not read it. s.mu is held.
func (s *Share) evict(cause string, now time.Time, done func() bool) {
	h := s.holdings()
	s.victims = s.victims[:0]
	for c := range s.conns {
		if c.err == nil && (c.state != running || c.isUnread(now)) {
			v := c.victim(now)
			h.mark(&v)
			s.victims = append(s.victims, v)
		}
	}
	slices.SortFunc(s.victims, compareVictims)
	for i := range s.victims {
		if done() {
			break
		}
		s.abort(s.victims[i].conn, cause, errOverloaded)
	}
	// Closed connections are not kept in memory.
	clear(s.victims)
}

// isUnread reports whether the client has not read what the server writes.
func (c *conn) isUnread(now time.Time) bool {
	return !c.writing.IsZero() && now.Sub(c.writing) >= unreadEvictTime
}

func (c *conn) victim(now time.Time) victim {
	age := now.Sub(c.since)
	v := victim{conn: c, class: classProgressing, order: float64(c.received) / (age + progressTime).Seconds()}
	switch {
	case c.isUnread(now):
		v.class, v.order = classUnread, -now.Sub(c.writing).Seconds()
	case c.state == idle:
		v.class, v.order = classIdle, -age.Seconds()
	case c.received == 0 && age < firstByteTime:
		v.class, v.order = classNew, -age.Seconds()
	case now.Sub(c.lastByte) >= progressTime:
		v.class = classStalled
	case age < progressTime:
		v.class, v.order = classYoung, -float64(c.held)
	}
	return v
}
