package duty_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/duty"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

func TestSuperviseRestartsAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		m, runs := &meter.Meter{}, 0
		duty.Supervise(t.Context(), slog.New(slog.NewTextHandler(&out, nil)), m, "follow", func(context.Context) {
			if runs++; runs < 3 {
				panic("odd input")
			}
		})
		is.Equal(runs, 3)
		is.Equal(m.Count("panic_recovered"), int64(2))
		is.True(strings.Contains(out.String(), "odd input"))
	})
}

func TestRunReturnsPanicAsError(t *testing.T) {
	is := is.New(t)
	m := &meter.Meter{}
	is.NoErr(duty.Run(slog.New(slog.DiscardHandler), m, "x", func() {}))
	err := duty.Run(slog.New(slog.DiscardHandler), m, "x", func() { var p *int; *p = 1 })
	is.True(fault.Is(err, fault.Internal))
}
