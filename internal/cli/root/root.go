// Package root builds the root command of dogwood and runs command lines.
package root

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/accountlist"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/accountview"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/configapply"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/configcheck"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/configlog"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/configview"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/daemonstatus"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/fleetstatus"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/jobcancel"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/jobexplain"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/joblist"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/jobsubmit"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/jobview"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/jobwatch"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/requestsend"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/targetlist"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/targetview"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// New returns the root command.
func New(f *factory.Factory) *ffcli.Command {
	return group(f, "dogwood", "Send requests, run jobs and operate the fleet",
		group(f, "request", "Send requests", requestsend.New(f)),
		group(f, "job", "Submit and follow jobs",
			jobsubmit.New(f), joblist.New(f), jobview.New(f), jobwatch.New(f), jobexplain.New(f), jobcancel.New(f)),
		group(f, "config", "Read and change the configuration",
			configview.New(f), configcheck.New(f), configapply.New(f), configlog.New(f)),
		group(f, "target", "Read the state of runners and workers", targetlist.New(f), targetview.New(f)),
		group(f, "account", "Read the guarantees of client accounts and their use", accountlist.New(f), accountview.New(f)),
		group(f, "fleet", "Read the state of the fleet", fleetstatus.New(f)),
		group(f, "daemon", "Read the status of a daemon", daemonstatus.New(f)),
	)
}

// group returns a command that only has subcommands.
func group(f *factory.Factory, name, short string, subcommands ...*ffcli.Command) *ffcli.Command {
	usage := name + " <command> [flags]"
	if name != "dogwood" {
		usage = "dogwood " + usage
	}
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: short, Subcommands: subcommands, FlagSet: f.Flags(name),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			return fault.WithField(fault.BadRequest, "command", "%q is not known; known: %s", args[0], commandNames(subcommands))
		},
	}
}

func commandNames(commands []*ffcli.Command) string {
	all := make([]string, len(commands))
	for i, c := range commands {
		all[i] = c.Name
	}
	return strings.Join(all, ", ")
}

// Run runs a command line and returns the exit code.
func Run(ctx context.Context, f *factory.Factory, args []string) int {
	cmd := New(f)
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
	row := fault.Lookup(fault.KindOf(err))
	_, _ = fmt.Fprintf(f.Err, "dogwood: %s (%s): %v\n", row.Kind, row.Outcome, err)
	if row.Hint != "" {
		_, _ = fmt.Fprintf(f.Err, "hint: %s\n", row.Hint)
	}
	return row.ExitCode
}
