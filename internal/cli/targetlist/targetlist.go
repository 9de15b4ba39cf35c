// Package targetlist is the command "dogwood target list".
package targetlist

import (
	"context"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood target list")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	return factory.Command{
		Noun: "target", Verb: "list", Args: "", Short: "List the runners and workers known to one VM",
		Examples: "  dogwood target list\n  dogwood target list --json=id,leaving",
		Flags:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var a operator.TargetsAnswer
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/targets", nil, nil, &a); err != nil {
		return err
	}
	return o.Factory.Show(o.Connection, a, factory.TargetTable(a.Targets...))
}
