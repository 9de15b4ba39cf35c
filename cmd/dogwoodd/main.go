// Command dogwoodd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/dogwoodd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ctx.Done()
		// stop restores the default handling, so that a second signal ends the process.
		stop()
	}()
	os.Exit(dogwoodd.Run(ctx, os.Stdout, os.Stderr, os.Args[1:]))
}
