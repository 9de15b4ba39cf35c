// Package intake bounds the memory and the connections that the clients of a process
// hold. Bytes are counted as they arrive, before a header is parsed. When a limit is
// reached, the connections with the least progress are closed first.
package intake

import (
	"log/slog"
	"math"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

const (
	// connCost is the memory of a connection without a request: its goroutine, two
	// buffers of 4 KiB, and the structures of net/http and of the kernel.
	connCost = 16 << 10
	// lineCost is the memory of a parsed header line besides its bytes. 3,180 lines of
	// 5 bytes took about 290 KB of the process, most of it map entries.
	lineCost = 96
	// bodyFactor is the memory of a received byte of a body: the handlers read bodies into
	// buffers that grow up to twofold, and keep the decoded body for a while.
	bodyFactor = 2

	// minConns is the least number of connections of a listener.
	minConns = 2
	// openShare is the share of the connections whose reads don't fail. The server closes the
	// others within a second.
	openShare = 0.67

	// heapShare is the share of the process's memory that the Go runtime may use, and
	// minHeapShare that with little memory. The rest is for the program's text, which takes
	// textMemory, and for kernelShare.
	heapShare    = 0.65
	minHeapShare = 0.4
	textMemory   = 24 << 20
	// kernelShare is the share of the process's memory for bytes that have been received and
	// not read, which count to the memory of a VM, and for answers that are not sent.
	kernelShare = 0.2
	// clientShare is the share of the process's memory that clients may hold. The planner
	// of 350 workers needs the rest of the heap.
	clientShare = 0.2
)

// Budget is what the clients of a process may hold. A zero Memory or Descriptors is no
// limit. Its fields are set before Share.
type Budget struct {
	// Memory is the memory of the process in bytes.
	Memory int64
	// Descriptors is the number of file descriptors for clients.
	Descriptors int
	Log         *slog.Logger
	Meter       *meter.Meter
}

// SetRuntimeLimit sets the memory limit of the Go runtime, unless a lower one is set.
func (b *Budget) SetRuntimeLimit() {
	memory := float64(b.Memory)
	limit := int64(max(minHeapShare*memory, min(heapShare*memory, (1-kernelShare)*memory-textMemory)))
	if b.Memory > 0 && limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}

// Share returns the share of one listener: fractions of the budget's memory and of its
// descriptors. The fractions of a process add up to at most 1, so that the clients of one
// listener leave the others theirs.
func (b *Budget) Share(name string, memory, descriptors float64) *Share {
	s := &Share{
		Name: name, maxHeld: math.MaxInt64, maxConns: math.MaxInt32, maxOpen: math.MaxInt32, log: b.Log, meter: b.Meter,
		conns: make(map[*conn]struct{}), causes: make(map[string]int64),
	}
	if b.Memory > 0 {
		s.maxHeld = int64(float64(b.Memory) * clientShare * memory)
	}
	if b.Descriptors > 0 {
		s.maxConns = max(minConns, int(descriptors*float64(b.Descriptors)))
	}
	s.kernel = int64(float64(b.Memory) * kernelShare * memory)
	return s
}

// Share is the share of one listener. The exported fields are set before Listen; zero
// fields select the defaults.
type Share struct {
	// Name is the listener's name in log lines and counters.
	Name string
	// Account returns the account of a request, empty if it is not known. It only
	// influences which connections are closed first.
	Account func(r *http.Request) string
	// BodyTime returns the time in which the body of a request must arrive.
	BodyTime func(r *http.Request) time.Duration
	// TrustReaders leaves the size of the send buffers to the kernel, which enlarges them for
	// fast links, as the clients read what they are sent.
	TrustReaders bool

	maxHeld int64
	// kernel is what the kernel may hold for the connections, in bytes; 0 for no bound.
	kernel int64
	// maxConns bounds the connections, and maxOpen those whose reads don't fail.
	maxConns, maxOpen int
	// queue is the largest number of connections that are not accepted yet.
	queue int
	// buffer is the size of the kernel's buffers of a connection in bytes.
	buffer int
	log    *slog.Logger
	meter  *meter.Meter

	// mu guards the fields below and those of the connections.
	mu    sync.Mutex
	conns map[*conn]struct{}
	// held is the sum of what the connections hold.
	held int64
	// aborted counts the connections whose reads fail and that are not closed yet.
	aborted int
	// victims is reused by evict.
	victims []victim
	// causes counts the connections closed since the last log line, by cause.
	causes map[string]int64
}

// charge adds to what a connection holds, and closes others while the share is exceeded.
// s.mu is held.
func (s *Share) charge(c *conn, bytes int64, now time.Time) {
	if c.err != nil {
		return
	}
	c.held += bytes
	s.held += bytes
	if s.held > s.maxHeld {
		s.evict(causeMemory, now, func() bool { return s.held <= s.maxHeld-s.maxHeld/evictMargin })
	}
	if s.held > s.maxHeld && c.err == nil && c.state != running {
		s.abort(c, causeMemory, errOverloaded)
	}
}

// abort ends the request of a connection and returns what it holds. Its reads fail with
// err from now on; the handler or the server then closes it. s.mu is held.
func (s *Share) abort(c *conn, cause string, err error) {
	s.held -= c.held
	c.held, c.err = 0, err
	s.aborted++
	s.causes[cause]++
	// Ends a read or write in progress.
	_ = c.Conn.SetReadDeadline(past)
	if !c.writing.IsZero() {
		_ = c.SetWriteDeadline(past)
	}
}

// release returns what a connection holds when it is closed. It may be called again.
// s.mu is held.
func (s *Share) release(c *conn) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	s.held -= c.held
	c.held = 0
	if c.err != nil {
		s.aborted--
	}
}
