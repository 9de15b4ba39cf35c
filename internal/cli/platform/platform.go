// Package platform is the command that serves on the users' platform.
package platform

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/logs"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/platform"
)

// Options are the flags of the command.
type Options struct {
	Out io.Writer
	// File is the platform's settings file.
	File string
	// Level is debug, info, warn or error.
	Level string
	// List prints the mechanisms that can be switched off, and serves nothing.
	List bool
	// Disable is a comma-separated list of the mechanisms to switch off.
	Disable string
	// Enable is a comma-separated list of the mechanisms to switch on that are off by default.
	Enable string
}

// New returns the command.
func New(out, errOut io.Writer, options []ff.Option) *ffcli.Command {
	o := &Options{Out: out}
	fs := flag.NewFlagSet("dogwoodd platform", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&o.File, "node-file", platform.SettingsFile(), "settings `file` of the platform")
	fs.StringVar(&o.Level, "log-level", "info", "lowest `level` to log: debug, info, warn or error")
	fs.StringVar(&o.Disable, "experiments-disable", "", "comma-separated `mechanisms` of scheduling to switch off, for experiments")
	fs.StringVar(&o.Enable, "mechanisms-enable", "", "comma-separated `mechanisms` of scheduling to switch on that are off by default")
	fs.BoolVar(&o.List, "experiments-list", false, "print the mechanisms that can be switched off")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "dogwoodd platform [flags]", ShortHelp: "Serve on the users' platform",
		LongHelp: "Serve on the users' platform.\n\nEXAMPLES\n  dogwoodd platform --node-file /etc/dogwoodworks/node.toml",
		FlagSet:  fs, Options: options,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.WithField(fault.BadSettings, "arguments", "%q is not accepted", args[0])
			}
			if o.List {
				return o.list()
			}
			return o.run(ctx)
		},
	}
}

// list prints the mechanisms that can be switched off.
func (o *Options) list() error {
	for _, m := range policy.Mechanisms() {
		if _, err := fmt.Fprintln(o.Out, m); err != nil {
			return fault.Wrap(fault.Internal, err, "print the mechanisms")
		}
	}
	return nil
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
	disabled, err := policy.Select(o.Disable, o.Enable)
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(o.File)
	if err != nil {
		return err
	}
	if s.Disabled = disabled; o.Disable != "" {
		log.Warn("mechanisms of scheduling are switched off for an experiment", "disabled", o.Disable)
	}
	n := platform.NewNode(s, log)
	go platform.Reload(ctx, n, o.File, reload, log)
	return n.Run(ctx)
}
