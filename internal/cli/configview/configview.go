// Package configview is the command "dogwood config view".
package configview

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	Scope      config.Scope
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood config view")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	fs.StringVar(&o.Scope.DataCentre, "data-centre", "", "show the values in force in a data centre")
	fs.StringVar(&o.Scope.Account, "account", "", "show the values in force for an account")
	fs.StringVar(&o.Scope.Target, "target", "", "show the values in force for a target")
	fs.StringVar(&o.Scope.Kind, "kind", "", "show the values in force for a kind")
	return factory.Command{
		Noun: "config", Verb: "view", Args: "", Short: "Show the configuration, or the values in force within a scope",
		Examples: "  dogwood config view >fleet.toml\n" +
			"  dogwood config view --account st-anne --kind render\n" +
			"  dogwood config view --json=version,author",
		Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	if o.Scope != (config.Scope{}) {
		return showEffective(ctx, o)
	}
	var h config.Head
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/config", nil, nil, &h); err != nil {
		return err
	}
	if o.Connection.JSON.On {
		return o.Factory.PrintJSON(o.Connection.JSON, h)
	}
	if _, err := fmt.Fprintf(o.Factory.Out, "# version %d by %q: %q\n", h.Version, h.Author, h.Reason); err != nil {
		return err
	}
	return toml.NewEncoder(o.Factory.Out).Encode(h.Document)
}

// showEffective prints the values in force within the scope and the exceptions that
// they come from.
func showEffective(ctx context.Context, o *Options) error {
	q := url.Values{
		"data_centre": {o.Scope.DataCentre}, "account": {o.Scope.Account},
		"target": {o.Scope.Target}, "kind": {o.Scope.Kind},
	}
	var e config.Effective
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/config/effective?"+q.Encode(), nil, nil, &e); err != nil {
		return err
	}
	t := factory.Table{Header: []string{"key", "value", "from", "reason"}}
	for _, s := range e.Sources {
		from := "defaults"
		if s.Scope != (config.Scope{}) {
			from = s.Scope.String()
		}
		t.Rows = append(t.Rows, []string{s.Key, s.Value, from, s.Reason})
	}
	return o.Factory.Show(o.Connection, e, t)
}
