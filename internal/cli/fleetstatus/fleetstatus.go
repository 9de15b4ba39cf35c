// Package fleetstatus is the command "dogwood fleet status".
package fleetstatus

import (
	"context"
	"net/http"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// Options are the flags of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood fleet status")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	return factory.Command{
		Noun: "fleet", Verb: "status", Short: "Show the VMs as listed by one of them",
		Examples: "  dogwood fleet status",
		Flags:    fs,
		Exec:     func(ctx context.Context, _ []string) error { return run(ctx, o) },
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var fleet operator.FleetAnswer
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/fleet", nil, nil, &fleet); err != nil {
		return err
	}
	rows := make([][]string, len(fleet.VMs))
	for i, vm := range fleet.VMs {
		rows[i] = []string{
			vm.VMID, vm.DataCentre, vm.Region, strconv.FormatBool(vm.Planner),
			strconv.FormatBool(vm.Leaving), strconv.FormatUint(vm.ConfigVersion, 10),
		}
	}
	header := []string{"vm", "data centre", "region", "planner", "leaving", "config"}
	return o.Factory.Show(o.Connection, fleet, factory.Table{Header: header, Rows: rows})
}
