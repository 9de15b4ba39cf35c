// Package jobcancel is the command "dogwood job cancel".
package jobcancel

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	ID         string
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood job cancel")
	o := &Options{Factory: f, Connection: f.CallerFlags(fs)}
	return factory.Command{
		Noun: "job", Verb: "cancel", Args: "JOB", Short: "Cancel a job",
		Examples: "  dogwood job cancel 1f0c",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			o.ID = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	path := "/v1/jobs/" + url.PathEscape(o.ID) + "/cancel"
	if err := o.Factory.Call(ctx, o.Connection, http.MethodPost, path, nil, nil, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintln(o.Factory.Out, "cancelled", o.ID)
	return err
}
