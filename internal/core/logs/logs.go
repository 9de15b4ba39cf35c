// Package logs writes structured log lines without blocking the caller. Lines pass
// through a bounded queue, and the rate of lines with the same message is limited.
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
	// queueSize is the largest number of lines that wait for a slow reader.
	queueSize = 4096
	// messageRate is the largest number of lines per second with one message.
	messageRate = 200
	// maxMessages bounds the number of messages that are counted separately.
	// Once it is reached, all lines until the next second share one rate.
	maxMessages = 512
	// closeTimeout bounds the writing of queued lines when the process ends.
	closeTimeout = 300 * time.Millisecond
)

// Writer writes lines asynchronously from a bounded queue. It drops and counts
// lines while the queue is full.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were not written, because the queue
// was full or the output returned an error.
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

// Close stops the writer after it has written the queued lines, or after
// closeTimeout if the reader is slow. It does nothing if the queue is full.
func (w *Writer) Close() {
	select {
	case w.lines <- nil:
	default:
		return
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// limiter limits the number of lines with the same message per second.
type limiter struct {
	mu         sync.Mutex
	second     int64
	counts     map[string]int64
	suppressed map[string]int64
}

// allow reports whether a line may be written and how many lines with its
// message were suppressed since the last one that was written.
func (l *limiter) allow(message string, now time.Time) (ok bool, suppressed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second || l.counts == nil {
		l.second, l.counts = s, make(map[string]int64)
	}
	if len(l.counts) >= maxMessages {
		message = ""
	}
	l.counts[message]++
	if l.suppressed == nil || len(l.suppressed) >= maxMessages {
		l.suppressed = make(map[string]int64)
	}
	if l.counts[message] > messageRate {
		l.suppressed[message]++
		return false, 0
	}
	suppressed = l.suppressed[message]
	delete(l.suppressed, message)
	return true, suppressed
}

// handler is a slog.Handler that limits the rate of lines with the same message.
type handler struct {
	slog.Handler
	limiter *limiter
}

// NewHandler returns a handler that writes JSON lines to w and limits the rate of
// lines with the same message.
func NewHandler(w io.Writer, level slog.Leveler) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), limiter: &limiter{}}
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	ok, suppressed := h.limiter.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("left_out_before", suppressed))
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
