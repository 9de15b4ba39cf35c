// Package configcheck is the command "dogwood config check".
package configcheck

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	File       string
	// Offline skips the checks that need the list of known workers.
	Offline bool
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood config check")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	fs.BoolVar(&o.Offline, "offline", false, "do not call a daemon; skips the check of guarantees against the known workers")
	return factory.Command{
		Noun: "config", Verb: "check", Args: "FILE", Short: "Check a configuration without applying it",
		Examples: "  dogwood config check fleet.toml\n  dogwood config check --offline fleet.toml",
		Flags:    fs,
		Exec: func(ctx context.Context, args []string) error {
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
	if o.Offline {
		_, err = config.ParseAt(o.File, b, time.Now(), nil)
	} else {
		in := operator.CheckBody{File: o.File, TOML: string(b)}
		err = o.Factory.Call(ctx, o.Connection, http.MethodPost, "/v1/config/check", nil, in, nil)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.Factory.Out, "ok")
	return err
}
