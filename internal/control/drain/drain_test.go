package drain_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/control/drain"
)

// recorder records the steps of a stop. Its Drain takes drainTime.
type recorder struct {
	steps     []string
	drainTime time.Duration
}

func (f *recorder) Drain(ctx context.Context) error {
	f.steps = append(f.steps, "drain")
	select {
	case <-time.After(f.drainTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *recorder) Shutdown(context.Context) error {
	f.steps = append(f.steps, "shutdown")
	return nil
}

func plan(f *recorder) drain.Plan {
	return drain.Plan{
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Minute, Requests: f,
		Leave: func() { f.steps = append(f.steps, "leave") }, Listeners: []drain.Listener{f},
	}
}

func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &recorder{drainTime: 10 * time.Second}
		p := plan(f)
		start := time.Now()
		is.NoErr(p.Run())
		is.Equal(f.steps, []string{"leave", "drain", "shutdown"})
		is.Equal(time.Since(start), drain.DefaultNotice+f.drainTime)
	})
}

func TestStopTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &recorder{drainTime: time.Hour}
		p := plan(f)
		is.True(p.Run() != nil)
		is.Equal(f.steps, []string{"leave", "drain", "shutdown"})
	})
}
