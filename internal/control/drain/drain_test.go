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

func (r *recorder) Drain(ctx context.Context) error {
	r.steps = append(r.steps, "drain")
	select {
	case <-time.After(r.drainTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *recorder) Shutdown(context.Context) error {
	r.steps = append(r.steps, "shutdown")
	return nil
}

func plan(r *recorder) drain.Plan {
	return drain.Plan{
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Minute, Requests: r,
		Leave: func() { r.steps = append(r.steps, "leave") }, Listeners: []drain.Listener{r},
	}
}

func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &recorder{drainTime: 10 * time.Second}
		p := plan(r)
		start := time.Now()
		is.NoErr(p.Run())
		is.Equal(r.steps, []string{"leave", "drain", "shutdown"})
		is.Equal(time.Since(start), drain.DefaultNotice+r.drainTime)
	})
}

func TestStopTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &recorder{drainTime: time.Hour}
		p := plan(r)
		is.True(p.Run() != nil)
		is.Equal(r.steps, []string{"leave", "drain", "shutdown"})
	})
}
