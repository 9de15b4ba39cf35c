// Package logs writes structured log lines without ever making work wait: lines
// go through a bounded queue, and each kind of line has a rate.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 4096
	// kindRate is the number of lines with one message in a second.
	kindRate = 200
	// maxKinds bounds the messages that are counted by themselves.
	maxKinds = 512
	// closeTime bounds the writing of what waits when the process ends.
	closeTime = 300 * time.Millisecond
)

// Writer writes lines from a bounded queue. A line that finds the queue full is
// left out and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that found the queue full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Close writes what waits, as far as the reader takes it within a short time.
func (w *Writer) Close() {
	select {
	case w.lines <- nil:
	default:
		return
	}
	select {
	case <-w.done:
	case <-time.After(closeTime):
	}
}

// limiter counts the lines of each message in the present second.
type limiter struct {
	mu     sync.Mutex
	second int64
	counts map[string]int64
	left   map[string]int64
}

// allow reports whether a line may be written, and how many with its message
// were left out before it.
func (l *limiter) allow(message string, now time.Time) (ok bool, left int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second || l.counts == nil {
		l.second, l.counts = s, make(map[string]int64)
	}
	if len(l.counts) >= maxKinds {
		message = ""
	}
	l.counts[message]++
	if l.left == nil || len(l.left) >= maxKinds {
		l.left = make(map[string]int64)
	}
	if l.counts[message] > kindRate {
		l.left[message]++
		return false, 0
	}
	left = l.left[message]
	delete(l.left, message)
	return true, left
}

// handler limits the rate of each message.
type handler struct {
	slog.Handler
	limiter *limiter
}

// NewHandler returns a handler that writes JSON lines to w.
func NewHandler(w io.Writer, level slog.Leveler) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), limiter: &limiter{}}
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	ok, left := h.limiter.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if left > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("left_out_before", left))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}
