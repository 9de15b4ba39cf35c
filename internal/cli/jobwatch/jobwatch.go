// Package jobwatch is the command "dogwood job watch".
package jobwatch

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	ID         string
	// Interval is the time between two polls.
	Interval time.Duration
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood job watch")
	o := &Options{Factory: f, Connection: f.CallerFlags(fs)}
	fs.DurationVar(&o.Interval, "interval", time.Second, "time between two polls")
	return factory.Command{
		Noun: "job", Verb: "watch", Args: "JOB", Short: "Show each change of a job until it ends",
		Examples: "  dogwood job watch 1f0c\n  dogwood job watch --interval 5s 1f0c",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			o.ID = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var last string
	for {
		var j job.View
		if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/jobs/"+url.PathEscape(o.ID), nil, nil, &j); err != nil {
			return err
		}
		if line := progress(&j.Record); line != last {
			last = line
			if err := show(o, &j, line); err != nil {
				return err
			}
		}
		if j.State.Final() {
			return outcome(&j.Record)
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Cancelled, "job %s is %s", o.ID, j.State)
		case <-time.After(o.Interval):
		}
	}
}

func progress(r *job.Record) string {
	return fmt.Sprintf("%s\t%d attempts\t%v kept\t%s", r.State, r.Attempts, time.Duration(r.CheckpointMS)*time.Millisecond, r.Reason)
}

func show(o *Options, j *job.View, line string) error {
	if o.Connection.JSON.On {
		return o.Factory.PrintJSON(o.Connection.JSON, j)
	}
	_, err := fmt.Fprintln(o.Factory.Out, line)
	return err
}

// outcome returns nil for a done job, and an error for any other terminal state.
func outcome(r *job.Record) error {
	switch r.State {
	case job.Done:
		return nil
	case job.Cancelled:
		return fault.New(fault.Cancelled, "job %s was cancelled", r.ID)
	}
	return fault.New(fault.JobFailed, "job %s ended %s: %s", r.ID, r.State, r.Reason)
}
