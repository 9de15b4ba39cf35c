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
	// Wait is the longest time to wait until the version is in force; 0 means no wait.
	Wait Wait
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood config apply")
	o := &Options{Factory: f, Connection: f.OperatorFlags(fs)}
	fs.Uint64Var(&o.Edit.BaseVersion, "base", 0, "configuration version that the file is based on")
	fs.StringVar(&o.Edit.Author, "author", f.Getenv("USER"), "author of the change")
	fs.StringVar(&o.Edit.Reason, "reason", "", "reason for the change")
	fs.StringVar(&o.Edit.EditID, "edit-id", "", "id of an earlier attempt of the same edit whose outcome is unknown")
	fs.Var(&o.Wait, "wait", "wait until every reachable VM has the version; --wait=DURATION sets the longest wait (default 10s)")
	return factory.Command{
		Noun: "config", Verb: "apply", Args: "FILE", Short: "Apply a configuration",
		Examples: "  dogwood config apply --base 12 --reason 'festival week' --wait fleet.toml\n" +
			"  dogwood config view >fleet.toml  # the first line shows the base version",
		Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			o.Edit.File = args[0]
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	b, err := o.Factory.ReadFile(o.Edit.File)
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "read the configuration")
	}
	o.Edit.TOML = string(b)
	if o.Edit.EditID == "" {
		o.Edit.EditID = uuid.NewString()
	}
	var h config.Head
	if err := o.Factory.Call(ctx, o.Connection, http.MethodPost, "/v1/config", nil, o.Edit, &h); err != nil {
		return o.retryHint(err)
	}
	if o.Wait > 0 {
		if err := wait(ctx, o, h.Version); err != nil {
			return err
		}
	}
	if o.Connection.JSON.On {
		return o.Factory.PrintJSON(o.Connection.JSON, h)
	}
	_, err = fmt.Fprintf(o.Factory.Out, "version %d\n", h.Version)
	return err
}

// retryHint returns err, and prints how to resend the edit if its outcome is
// unknown.
func (o *Options) retryHint(err error) error {
	if fault.Lookup(fault.KindOf(err)).Outcome == fault.Unknown {
		_, _ = fmt.Fprintf(o.Factory.Err, "the edit may have been accepted; to send it again: --edit-id %s\n", o.Edit.EditID)
	}
	return err
}
