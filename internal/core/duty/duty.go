// Package duty keeps a panic in one duty of a daemon from ending the others.
package duty

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

// restartPause is the time between the panic of a duty and its next start.
const restartPause = time.Second

// maxStack bounds the part of a stack that is logged, in bytes.
const maxStack = 4 << 10

// Run runs f. It returns an error of kind Internal when f panics, after a line in the
// log that names the duty.
func Run(log *slog.Logger, m *meter.Meter, name string, f func()) (err error) {
	defer func() {
		x := recover()
		if x == nil {
			return
		}
		stack := debug.Stack()
		m.Inc("panic_recovered")
		log.Error("panic", "duty", name, "error", fmt.Sprint(x), "stack", string(stack[:min(len(stack), maxStack)]))
		err = fault.New(fault.Internal, "panic in %s: %v", name, x)
	}()
	f()
	return nil
}

// Supervise runs f until it returns without a panic, or ctx ends.
func Supervise(ctx context.Context, log *slog.Logger, m *meter.Meter, name string, f func(ctx context.Context)) {
	for ctx.Err() == nil && Run(log, m, name, func() { f(ctx) }) != nil {
		pause.For(ctx, restartPause)
	}
}
