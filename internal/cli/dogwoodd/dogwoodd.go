// Package dogwoodd is the command line of the daemon.
package dogwoodd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/control/daemon"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

// Options are the flags of the daemon; they go before the environment, which
// goes before the file.
type Options struct {
	Out, Err io.Writer
	File     string
	Print    bool
	Level    string
	Format   string
}

// New returns the command line.
func New(out, errOut io.Writer) *ffcli.Command {
	o := &Options{Out: out, Err: errOut}
	runFlags := o.flags("dogwoodd")
	checkFlags := o.flags("dogwoodd check")
	checkFlags.BoolVar(&o.Print, "print", false, "print the settings in force")
	options := []ff.Option{ff.WithEnvVarPrefix("DOGWOODD")}
	check := &ffcli.Command{
		Name: "check", ShortUsage: "dogwoodd check [flags] FILE", ShortHelp: "Check a settings file and start nothing",
		FlagSet: checkFlags, Options: options,
		Exec: func(_ context.Context, args []string) error { return o.check(args) },
	}
	return &ffcli.Command{
		Name: "dogwoodd", ShortUsage: "dogwoodd --settings FILE", ShortHelp: "Serve callers, operators and peers",
		LongHelp: "Serve callers, operators and peers.\n\nEXAMPLES\n  dogwoodd --settings /etc/dogwoodd.toml\n  dogwoodd check --print /etc/dogwoodd.toml",
		FlagSet:  runFlags, Options: options, Subcommands: []*ffcli.Command{check},
		Exec: func(ctx context.Context, _ []string) error { return o.run(ctx) },
	}
}

func (o *Options) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(o.Err)
	fs.StringVar(&o.File, "settings", "", "settings `file` (DOGWOODD_SETTINGS)")
	fs.StringVar(&o.Level, "log-level", "", "log level; the file's when empty (DOGWOODD_LOG_LEVEL)")
	fs.StringVar(&o.Format, "log-format", "", "log format; the file's when empty (DOGWOODD_LOG_FORMAT)")
	return fs
}

func (o *Options) load() (settings.Settings, error) {
	b, err := os.ReadFile(o.File)
	if err != nil {
		return settings.Settings{}, fault.WithField(fault.BadSettings, "--settings", "%v", err)
	}
	s, problems := settings.Parse(o.File, b)
	if o.Level != "" {
		s.Log.Level = o.Level
	}
	if o.Format != "" {
		s.Log.Format = o.Format
	}
	if len(problems) == 0 {
		problems = s.Check(o.File)
	}
	return s, settings.Error(problems)
}

func (o *Options) check(args []string) error {
	if len(args) == 1 {
		o.File = args[0]
	}
	s, err := o.load()
	if err != nil {
		return err
	}
	if !o.Print {
		_, err = fmt.Fprintln(o.Out, "ok")
		return err
	}
	return toml.NewEncoder(o.Out).Encode(s)
}

func (o *Options) run(ctx context.Context) error {
	s, err := o.load()
	if err != nil {
		return err
	}
	b, err := os.ReadFile(s.Operators.TokenFile)
	if err != nil {
		return fault.WithField(fault.BadSettings, "operators.token_file", "%v", err)
	}
	token := daemon.Token(b)
	if token == "" {
		return fault.WithField(fault.BadSettings, "operators.token_file", "%s is empty", s.Operators.TokenFile)
	}
	return daemon.New(s, token, newLog(o.Err, s.Log)).Run(ctx)
}

func newLog(w io.Writer, l settings.Log) *slog.Logger {
	options := &slog.HandlerOptions{Level: l.SlogLevel()}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// Run runs a command line and returns the exit code.
func Run(ctx context.Context, out, errOut io.Writer, args []string) int {
	cmd := New(out, errOut)
	if err := cmd.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return fault.ExitOK
		}
		return fault.ExitBadInput
	}
	err := cmd.Run(ctx)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return fault.ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "dogwoodd: %v\n", err)
	return fault.Lookup(fault.KindOf(err)).ExitCode
}
