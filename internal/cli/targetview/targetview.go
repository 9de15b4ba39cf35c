// Package targetview is the command "dogwood target view".
package targetview

import (
	"context"
	"net/http"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	ID         string
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood target view")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	return factory.Command{
		Noun: "target", Verb: "view", Args: "TARGET", Short: "Show a runner or worker",
		Examples: "  dogwood target view r1",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			o.ID = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var a operator.TargetsAnswer
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/targets", nil, nil, &a); err != nil {
		return err
	}
	i := slices.IndexFunc(a.Targets, func(t operator.Target) bool { return t.ID == o.ID })
	if i < 0 {
		return fault.WithField(fault.NotFound, "TARGET", "%q is not known", o.ID)
	}
	return o.Factory.Show(o.Connection, a.Targets[i], factory.TargetTable(a.Targets[i]))
}
