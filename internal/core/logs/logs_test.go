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

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

func TestAStuckReaderHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	s := &stuck{release: make(chan struct{})}
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
	is.True(w.Dropped() > 0) // what found the queue full is counted
	close(s.release)
	w.Close()
}

func TestARepeatedMessageIsLimitedAndCounted(t *testing.T) {
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
	left := 0.0
	for _, l := range lines {
		var fields map[string]any
		is.NoErr(json.Unmarshal([]byte(l), &fields))
		if n, ok := fields["left_out_before"].(float64); ok {
			left += n
		}
	}
	is.True(left > 0) // the next line says how many were left out
}
