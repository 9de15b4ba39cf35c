// Package daemonstatus is the command "dogwood daemon status".
package daemonstatus

import (
	"context"
	"net/http"
	"strconv"
	"time"

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
	fs := f.Flags("dogwood daemon status")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	return factory.Command{
		Noun: "daemon", Verb: "status", Args: "", Short: "Show the status of a daemon",
		Examples: "  dogwood daemon status --operator-address 127.0.0.1:7002",
		Flags:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var s operator.Status
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/daemon", nil, nil, &s); err != nil {
		return err
	}
	rows := [][]string{
		{"vm", s.VMID},
		{"data centre", s.DataCentre},
		{"region", s.Region},
		{"started", time.UnixMilli(s.StartedUnixMS).UTC().Format(time.RFC3339)},
		{"ready", strconv.FormatBool(s.Ready)},
		{"draining", strconv.FormatBool(s.Draining)},
		{"planner", strconv.FormatBool(s.Planner)},
		{"configuration", strconv.FormatUint(s.ConfigVersion, 10)},
		{"live peers", strconv.Itoa(s.Peers)},
	}
	if s.NotReadyReason != "" {
		rows = append(rows, []string{"lacking", s.NotReadyReason})
	}
	for _, a := range s.Alarms {
		rows = append(rows, []string{a.Name, strconv.FormatInt(a.Value, 10)})
	}
	return o.Factory.Show(o.Connection, s, factory.Table{Header: []string{"what", "value"}, Rows: rows})
}
