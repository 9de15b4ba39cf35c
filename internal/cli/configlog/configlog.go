// Package configlog is the command "dogwood config log".
package configlog

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	Limit      uint
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood config log")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	fs.UintVar(&o.Limit, "limit", operator.DefaultLogLimit, "number of changes")
	return factory.Command{
		Noun: "config", Verb: "log", Args: "", Short: "List configuration changes, newest first",
		Examples: "  dogwood config log\n  dogwood config log --limit 5",
		Flags:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var log operator.Log
	path := "/v1/config/log?limit=" + strconv.FormatUint(uint64(o.Limit), 10)
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, path, nil, nil, &log); err != nil {
		return err
	}
	t := factory.Table{Header: []string{"version", "time", "author", "reason", "sections"}}
	for _, c := range log.Changes {
		t.Rows = append(t.Rows, []string{
			strconv.FormatUint(c.Version, 10), time.UnixMilli(c.TimeUnixMS).UTC().Format(time.RFC3339),
			c.Author, c.Reason, strings.Join(c.Sections, ","),
		})
	}
	return o.Factory.Show(o.Connection, log, t)
}
