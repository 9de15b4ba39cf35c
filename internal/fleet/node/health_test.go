package node

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// logBuffer holds the log lines of several goroutines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// take returns what has been written since the last call.
func (b *logBuffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.buf.Reset()
	return b.buf.String()
}

// TestLogsTellWhyReadinessFails checks that a VM that is not ready, one whose process does
// not run and one that is not reached by readiness checks leave different lines.
func TestLogsTellWhyReadinessFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Suspension is simulated by a clock that goes on while timers do not.
		var suspended atomic.Int64
		epoch := time.Now().Add(-time.Hour)
		boottime.SetSource(func() boottime.Time { return boottime.Time(time.Since(epoch).Nanoseconds() + suspended.Load()) })
		var out logBuffer
		var reason atomic.Value
		reason.Store("")
		m := &meter.Meter{}
		h := &health{log: slog.New(slog.NewTextHandler(&out, nil)), meter: m, notReady: func() string { return reason.Load().(string) }}
		ctx, cancel := context.WithCancel(t.Context())
		go h.run(ctx)
		// checkFor makes a readiness check each second.
		checkFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				is.Equal(h.check(), reason.Load() == "")
			}
		}
		// logged returns what has been logged since the last call.
		logged := func() string {
			synctest.Wait()
			return out.take()
		}
		checkFor(3 * time.Second)
		is.Equal(logged(), "")

		reason.Store(reasonIsolated)
		checkFor(2 * time.Second)
		reason.Store("")
		checkFor(2 * time.Second)
		lines := logged()
		is.True(strings.Contains(lines, `msg="not ready" reason=isolated`))
		is.True(strings.Contains(lines, "msg=ready"))
		is.Equal(strings.Count(lines, "\n"), 2)

		time.Sleep(3 * time.Second)
		checkFor(time.Second)
		lines = logged()
		is.True(strings.Contains(lines, "no readiness check arrives"))
		is.True(strings.Contains(lines, "readiness is checked again"))
		is.Equal(strings.Count(lines, "\n"), 2)

		synctest.Wait()
		suspended.Add(int64(time.Second))
		time.Sleep(healthInterval)
		is.True(strings.Contains(logged(), `msg="the process did not run" stalled_ms=`))
		is.Equal(m.Count("not_ready_isolated"), int64(1))
		is.Equal(m.Count("readiness_unchecked"), int64(1))
		is.Equal(m.Count("process_stalled"), int64(1))
		cancel()
	})
}
