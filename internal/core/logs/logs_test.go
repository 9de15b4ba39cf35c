package logs_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/logs"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockingWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	is := is.New(t)
	s := &blockingWriter{release: make(chan struct{})}
	w := logs.NewWriter(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing waited for the reader")
	}
	is.True(w.Dropped() > 0) // lines written to the full queue are counted
	close(s.release)
	w.Close()
}

func TestRateOfRepeatedMessageIsLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(logs.NewHandler(&out, slog.LevelInfo))
	until := time.Now().Add(1200 * time.Millisecond)
	written := 0
	for time.Now().Before(until) {
		log.Info("again", "n", written)
		written++
		time.Sleep(20 * time.Microsecond)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.True(len(lines) < written)
	suppressed := 0.0
	for _, l := range lines {
		var fields map[string]any
		is.NoErr(json.Unmarshal([]byte(l), &fields))
		if n, ok := fields["left_out_before"].(float64); ok {
			suppressed += n
		}
	}
	is.True(suppressed > 0) // the next written line has the number of suppressed ones
}
