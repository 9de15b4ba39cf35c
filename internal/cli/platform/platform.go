// Package platform is the command that serves on the users' platform.
package platform

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/logs"
	"github.com/dogwoodworks/dogwoodworks/platform"
)

// Options are the flags of the command.
type Options struct {
	Out io.Writer
	// File is the platform's settings file.
	File string
	// Level is debug, info, warn or error.
	Level string
}

// New returns the command.
func New(out, errOut io.Writer, options []ff.Option) *ffcli.Command {
	o := &Options{Out: out}
	fs := flag.NewFlagSet("dogwoodd platform", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&o.File, "node-file", platform.SettingsFile(), "settings `file` of the platform")
	fs.StringVar(&o.Level, "log-level", "info", "lowest `level` to log: debug, info, warn or error")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "dogwoodd platform [flags]", ShortHelp: "Serve on the users' platform",
		LongHelp: "Serve on the users' platform.\n\nEXAMPLES\n  dogwoodd platform --node-file /etc/dogwoodworks/node.toml",
		FlagSet:  fs, Options: options,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.WithField(fault.BadSettings, "arguments", "%q is not accepted", args[0])
			}
			return o.run(ctx)
		},
	}
}

func (o *Options) run(ctx context.Context) error {
	// Before anything else, as SIGHUP ends the process until Notify is called.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.Level)); err != nil {
		return fault.WithField(fault.BadSettings, "--log-level", "%q; accepted: debug, info, warn, error", o.Level)
	}
	w := logs.NewWriter(o.Out)
	defer w.Close()
	log := slog.New(logs.NewHandler(w, level))
	s, err := platform.ReadSettings(o.File)
	if err != nil {
		return err
	}
	n := platform.NewNode(s, log)
	go platform.Reload(ctx, n, o.File, reload, log)
	return n.Run(ctx)
}
