// Command dogwood is the command-line client for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"

	"golang.org/x/term"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	f := factory.OS(term.IsTerminal(int(os.Stdout.Fd())))
	code := root.Run(ctx, f, os.Args[1:])
	stop()
	os.Exit(code)
}
