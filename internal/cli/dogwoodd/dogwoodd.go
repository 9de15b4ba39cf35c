// Package dogwoodd is the command line of the daemon.
package dogwoodd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/platform"
	"github.com/dogwoodworks/dogwoodworks/internal/control/daemon"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

// Options are the flags of the daemon. A flag takes precedence over the
// environment, which takes precedence over the settings file.
type Options struct {
	Out, Err io.Writer
	File     string
	Print    bool
	// Overrides are the settings given by a flag or the environment, by name.
	Overrides map[string]string
	// Args is the command line; it shows which overrides come from a flag.
	Args []string
}

const environmentPrefix = "DOGWOODD"

// New returns the command line.
func New(out, errOut io.Writer, args []string) *ffcli.Command {
	o := &Options{Out: out, Err: errOut, Overrides: make(map[string]string), Args: args}
	runFlags := o.flags("dogwoodd")
	checkFlags := o.flags("dogwoodd check")
	checkFlags.BoolVar(&o.Print, "print", false, "print the settings in force and where they come from")
	options := []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
	check := &ffcli.Command{
		Name: "check", ShortUsage: "dogwoodd check [flags] FILE", ShortHelp: "Check a settings file without starting the daemon",
		LongHelp: "Check a settings file without starting the daemon.\n\nEXAMPLES\n  dogwoodd check /etc/dogwoodd.toml\n  dogwoodd check --print --log-level debug /etc/dogwoodd.toml",
		FlagSet:  checkFlags, Options: options,
		Exec: func(_ context.Context, args []string) error { return o.check(args) },
	}
	return &ffcli.Command{
		Name: "dogwoodd", ShortUsage: "dogwoodd --settings FILE", ShortHelp: "Serve callers, operators and peers",
		LongHelp: "Serve callers, operators and peers.\n\nEXAMPLES\n  dogwoodd --settings /etc/dogwoodd.toml\n  dogwoodd check --print /etc/dogwoodd.toml",
		FlagSet:  runFlags, Options: options, Subcommands: []*ffcli.Command{check, platform.New(out, errOut, options)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.WithField(fault.BadSettings, "arguments", "%q is not a command; accepted: check, platform", args[0])
			}
			return o.run(ctx)
		},
	}
}

func (o *Options) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(o.Err)
	fs.StringVar(&o.File, "settings", "", "settings `file` (DOGWOODD_SETTINGS)")
	for _, setting := range settings.Names() {
		usage := fmt.Sprintf("overrides %s of the settings file (%s)", setting, environmentVariable(setting))
		fs.Func(settings.FlagName(setting), usage, func(v string) error {
			o.Overrides[setting] = v
			return nil
		})
	}
	return fs
}

// environmentVariable returns the name of the environment variable of a setting.
func environmentVariable(setting string) string {
	return environmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(settings.FlagName(setting), "-", "_"))
}

// source returns the flag or the environment variable that gave an override.
func (o *Options) source(setting string) settings.Source {
	name := settings.FlagName(setting)
	for _, a := range o.Args {
		flagName, _, _ := strings.Cut(strings.TrimLeft(a, "-"), "=")
		if strings.HasPrefix(a, "-") && flagName == name {
			return settings.Source("--" + name)
		}
	}
	return settings.Source(environmentVariable(setting))
}

// load reads and checks the settings.
func (o *Options) load() (settings.Settings, settings.Sources, error) {
	b, err := os.ReadFile(o.File)
	if err != nil {
		return settings.Settings{}, nil, fault.WithField(fault.BadSettings, "--settings", "%v", err)
	}
	s, problems := settings.Parse(o.File, b)
	sources := make(settings.Sources)
	for _, name := range slices.Sorted(maps.Keys(o.Overrides)) {
		sources[name] = o.source(name)
		if err := s.Set(name, o.Overrides[name]); err != nil {
			problems = append(problems, settings.Problem{File: string(sources[name]), Field: name, Message: fmt.Sprintf("%q: %v", o.Overrides[name], err)})
		}
	}
	if len(problems) == 0 {
		problems = s.Check(o.File, settings.FindLines(b), sources)
	}
	return s, sources, settings.Error(problems)
}

func (o *Options) check(args []string) error {
	switch {
	case len(args) == 1:
		o.File = args[0]
	case len(args) > 1:
		return fault.WithField(fault.BadSettings, "arguments", "%d given; accepted: [flags] FILE", len(args))
	}
	s, sources, err := o.load()
	if err != nil {
		return err
	}
	if o.Print {
		return o.print(&s, sources)
	}
	_, err = fmt.Fprintln(o.Out, "ok")
	return err
}

// print prints the settings in force as TOML, each with its source.
func (o *Options) print(s *settings.Settings, sources settings.Sources) error {
	b, err := os.ReadFile(o.File)
	if err != nil {
		return fault.WithField(fault.BadSettings, "--settings", "%v", err)
	}
	lines := settings.FindLines(b)
	for _, name := range settings.Names() {
		source, overridden := sources[name]
		if !overridden {
			source = "default"
			if lines.Has(name) {
				source = settings.Source(fmt.Sprintf("%s:%d", o.File, lines.Of(name)))
			}
		}
		if _, err := fmt.Fprintf(o.Out, "%s = %s # %s\n", name, s.Text(name), source); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) run(ctx context.Context) error {
	s, _, err := o.load()
	if err != nil {
		return err
	}
	b, err := os.ReadFile(s.Operators.TokenFile)
	if err != nil {
		return fault.WithField(fault.BadSettings, "operators.token_file", "%v", err)
	}
	token, err := settings.ParseToken(b)
	if err != nil {
		return fault.WithField(fault.BadSettings, "operators.token_file", "%s %v", s.Operators.TokenFile, err)
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
	cmd := New(out, errOut, args)
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
