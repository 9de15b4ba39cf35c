package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

func TestForEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(pause.For(t.Context(), time.Second))
		is.Equal(time.Since(start), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!pause.For(ctx, time.Minute))
		is.Equal(time.Since(start), 2*time.Second)
	})
}

func TestForWithoutDuration(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	is.Equal(testing.AllocsPerRun(100, func() { pause.For(ctx, 0) }), 0.0) // no timer is created
	is.True(pause.For(ctx, 0))
	is.True(pause.For(ctx, -time.Second))
	cancel()
	is.True(!pause.For(ctx, 0))
}
