// Package jobsubmit is the command "dogwood job submit".
package jobsubmit

import (
	"context"
	"fmt"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
)

// Options are the flags of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	Body       caller.JobBody
	Key        string
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood job submit")
	o := &Options{Factory: f, Connection: f.CallerFlags(fs)}
	fs.StringVar(&o.Body.Account, "account", "", "client account")
	fs.StringVar(&o.Body.Kind, "kind", "", "kind of job")
	fs.IntVar(&o.Body.Tasks, "tasks", 1, "number of tasks")
	fs.IntVar(&o.Body.Accelerators, "accelerators", 1, "accelerators of each task")
	fs.BoolVar(&o.Body.Adjacent, "adjacent", false, "place the tasks on neighbouring workers")
	fs.Int64Var(&o.Body.DeclaredMS, "declared-ms", 0, "expected run time in milliseconds")
	fs.StringVar(&o.Key, "key", "", "Idempotency-Key; submitting again with the same key returns the same job")
	fs.Int64Var(&o.Body.RunMS, "run-ms", 0, "run time at stand-in workers in milliseconds; 0 means the expected run time")
	return factory.Command{
		Noun: "job", Verb: "submit", Short: "Submit a job and print its id",
		Examples: "  dogwood job submit --account st-anne --kind season_solve --tasks 8 --accelerators 8 --adjacent --declared-ms 3600000 --key season-1204",
		Flags:    fs,
		Exec:     func(ctx context.Context, _ []string) error { return run(ctx, o) },
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	header := http.Header{}
	if o.Key != "" {
		header.Set(caller.HeaderKey, o.Key)
	}
	var a caller.JobAnswer
	if err := o.Factory.Call(ctx, o.Connection, http.MethodPost, "/v1/jobs", header, o.Body, &a); err != nil {
		return err
	}
	if o.Connection.JSON.On {
		return o.Factory.PrintJSON(o.Connection.JSON, a)
	}
	_, err := fmt.Fprintln(o.Factory.Out, a.JobID)
	return err
}
