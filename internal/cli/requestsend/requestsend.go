// Package requestsend is the command "dogwood request send".
package requestsend

import (
	"context"
	"fmt"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
)

// Options are the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	Connection *factory.Connection
	Body       caller.RequestBody
	Key        string
	Home       string
}

// New returns the command.
func New(f *factory.Factory) *ffcli.Command {
	fs := f.Flags("dogwood request send")
	o := &Options{Factory: f, Connection: f.CallerFlags(fs)}
	fs.StringVar(&o.Body.Account, "account", "", "client account")
	fs.StringVar(&o.Body.Kind, "kind", "", "kind of request")
	fs.Int64Var(&o.Body.TimeoutMS, "timeout-ms", 0, "time to wait in milliseconds; 0 means the configured time")
	fs.StringVar(&o.Key, "key", "", "Idempotency-Key; required for kinds that must run at most once")
	fs.StringVar(&o.Home, "home", "", "home data centre of the key; the account's home when empty")
	return factory.Command{
		Noun: "request", Verb: "send", Args: "PAYLOAD", Short: "Send a request and print its answer",
		Examples: "  dogwood request send --account st-anne --kind clash_check 'draft 7'\n" +
			"  dogwood request send --account counters --kind reprint --key erf-1204 'certificate 1204'",
		Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			o.Body.Payload = []byte(args[0])
			return run(ctx, o)
		},
	}.Build()
}

func run(ctx context.Context, o *Options) error {
	header := http.Header{}
	if o.Key != "" {
		header.Set(caller.HeaderKey, o.Key)
	}
	if o.Home != "" {
		header.Set(caller.HeaderHome, o.Home)
	}
	var a caller.AnswerBody
	if err := o.Factory.Call(ctx, o.Connection, http.MethodPost, "/v1/requests", header, o.Body, &a); err != nil {
		return err
	}
	if o.Connection.JSON.On {
		return o.Factory.PrintJSON(o.Connection.JSON, a)
	}
	_, err := fmt.Fprintln(o.Factory.Out, string(a.Payload))
	return err
}
