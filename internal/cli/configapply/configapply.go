// Package configapply is the command "dogwood config apply".
package configapply

import (
	"context"
	"fmt"
	"net/http"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	Edit       config.Edit
	File       string
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood config apply")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	fs.Uint64Var(&o.Edit.BaseVersion, "base", 0, "version that the file was made from")
	fs.StringVar(&o.Edit.Author, "author", f.Getenv("USER"), "who makes the change")
	fs.StringVar(&o.Edit.Reason, "reason", "", "why the change is made")
	return factory.Command{
		Noun: "config", Verb: "apply", Args: "FILE", Short: "Apply a configuration",
		Examples: "  dogwood config apply --base 12 --reason 'festival week' fleet.toml",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return fault.WithField(fault.BadRequest, "FILE", "give exactly one file")
			}
			o.File = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	b, err := o.Factory.ReadFile(o.File)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "read the configuration")
	}
	o.Edit.TOML, o.Edit.EditID = string(b), uuid.NewString()
	var h config.Head
	if err := o.Factory.Call(ctx, o.Connection, http.MethodPost, "/v1/config", nil, o.Edit, &h); err != nil {
		return err
	}
	if o.Connection.JSON {
		return o.Factory.PrintJSON(h)
	}
	_, err = fmt.Fprintf(o.Factory.Out, "version %d\n", h.Version)
	return err
}
