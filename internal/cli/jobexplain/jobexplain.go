// Package jobexplain is the command "dogwood job explain".
package jobexplain

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

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
	fs := f.Flags("dogwood job explain")
	o := &Options{Factory: f, Connection: f.CallerFlags(fs)}
	return factory.Command{
		Noun: "job", Verb: "explain", Args: "JOB", Short: "Show why a job is in its state and which jobs occupy its place",
		Examples: "  dogwood job explain 1f0c",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			o.ID = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var j job.View
	path := "/v1/jobs/" + url.PathEscape(o.ID) + "?explain=1"
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, path, nil, nil, &j); err != nil {
		return err
	}
	rows := [][]string{{"state", string(j.State)}, {"reason", j.Reason}}
	if x := j.Explanation; x != nil {
		rows = append(rows, []string{"decision", x.Reason}, []string{"place", strings.Join(x.Workers, ", ")},
			[]string{"held by", strings.Join(x.Occupants, ", ")})
	}
	for _, d := range j.Decisions {
		rows = append(rows, []string{time.UnixMilli(d.UnixMS).UTC().Format(time.RFC3339), d.Reason})
	}
	return o.Factory.Show(o.Connection, j, factory.Table{Header: []string{"what", "value"}, Rows: rows})
}
