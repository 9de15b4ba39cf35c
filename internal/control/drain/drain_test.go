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

// fake notes the steps of a stop; its drain takes a time.
type fake struct {
	steps []string
	takes time.Duration
}

func (f *fake) Drain(ctx context.Context) error {
	f.steps = append(f.steps, "drain")
	select {
	case <-time.After(f.takes):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fake) Shutdown(context.Context) error {
	f.steps = append(f.steps, "shutdown")
	return nil
}

func plan(f *fake) drain.Plan {
	return drain.Plan{
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Minute, Requests: f,
		Leave: func() { f.steps = append(f.steps, "leave") }, Listeners: []drain.Listener{f},
	}
}

func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{takes: 10 * time.Second}
		p := plan(f)
		began := time.Now()
		is.NoErr(p.Run())
		is.Equal(f.steps, []string{"leave", "drain", "shutdown"})
		is.Equal(time.Since(began), drain.DefaultNotice+f.takes)
	})
}

func TestStopThatTakesTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{takes: time.Hour}
		p := plan(f)
		is.True(p.Run() != nil)
		is.Equal(f.steps, []string{"leave", "drain", "shutdown"})
	})
}
