// Package joblist is the command "dogwood job list".
package joblist

import (
	"context"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
)

// Options are the flags of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood job list")
	o := &Options{Factory: f, Connection: f.CallerFlags(fs)}
	return factory.Command{
		Noun: "job", Verb: "list", Short: "List the jobs of a data centre",
		Examples: "  dogwood job list\n  dogwood job list --json=id,state",
		Flags:    fs,
		Exec:     func(ctx context.Context, _ []string) error { return run(ctx, o) },
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var list caller.JobList
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/jobs", nil, nil, &list); err != nil {
		return err
	}
	jobs := make([]job.Record, len(list.Jobs))
	for i, j := range list.Jobs {
		jobs[i] = j.Record
	}
	return o.Factory.Show(o.Connection, list, factory.JobTable(jobs...))
}
