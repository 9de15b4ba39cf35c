// Package jobview is the command "dogwood job view".
package jobview

import (
	"context"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	ID         string
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood job view")
	o := &Options{Factory: f, Connection: f.CallerFlags(fs)}
	return factory.Command{
		Noun: "job", Verb: "view", Args: "JOB", Short: "Show a job",
		Examples: "  dogwood job view 1f0c\n  dogwood job view --json=state,attempts 1f0c",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			o.ID = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var j job.View
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/jobs/"+url.PathEscape(o.ID), nil, nil, &j); err != nil {
		return err
	}
	return o.Factory.Show(o.Connection, j, factory.JobTable(j.Record))
}
