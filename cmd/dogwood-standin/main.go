// Command dogwood-standin runs the stand-ins for the platform and the targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := standin.New(os.Stderr).ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "dogwood-standin:", err)
		os.Exit(1) //nolint:gocritic // The process ends, so the signal handling needs no reset.
	}
}
