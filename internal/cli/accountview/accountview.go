// Package accountview is the command "dogwood account view".
package accountview

import (
	"context"
	"net/http"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	ID         string
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood account view")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	return factory.Command{
		Noun: "account", Verb: "view", Args: "ACCOUNT", Short: "Show a client account with its exceptions",
		Examples: "  dogwood account view st-anne",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			o.ID = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	var a operator.AccountsAnswer
	if err := o.Factory.Call(ctx, o.Connection, http.MethodGet, "/v1/accounts", nil, nil, &a); err != nil {
		return err
	}
	i := slices.IndexFunc(a.Accounts, func(x operator.Account) bool { return x.ID == o.ID })
	if i < 0 {
		return fault.WithField(fault.NotFound, "ACCOUNT", "%q is not known", o.ID)
	}
	t := factory.AccountTable(a.Accounts[i])
	for _, e := range a.Accounts[i].Exceptions {
		t.Rows = append(t.Rows, []string{"exception", e.Scope.String(), e.Reason})
	}
	return o.Factory.Show(o.Connection, a.Accounts[i], t)
}
