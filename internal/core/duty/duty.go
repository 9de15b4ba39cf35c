// Package duty supervises background tasks of a process, so that a panic in one
// of them does not end the others.
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

// restartDelay is the time between the panic of a background task and its restart.
const restartDelay = time.Second

// maxStack bounds the part of a stack that is logged, in bytes.
const maxStack = 4 << 10

// Run calls f. If f panics, Run logs the panic with the name of the task and
// returns an error of kind Internal.
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

// Supervise calls f until it returns without a panic or ctx is done. It waits a
// second after each panic.
func Supervise(ctx context.Context, log *slog.Logger, m *meter.Meter, name string, f func(ctx context.Context)) {
	for ctx.Err() == nil && Run(log, m, name, func() { f(ctx) }) != nil {
		pause.For(ctx, restartDelay)
	}
}
