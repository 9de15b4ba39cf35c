// Package factory holds what the commands of dogwood depend on: the streams,
// the clients of the daemon and the printing of results.
package factory

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

// Factory is passed to the constructor of every command.
type Factory struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal says that Out is a terminal; tables are aligned there and
	// tab-separated elsewhere.
	Terminal bool
	// Getenv reads the environment.
	Getenv func(string) string
	// ReadFile reads a file.
	ReadFile func(string) ([]byte, error)
	HTTP     *http.Client
}

// Connection holds the flags that say where the daemons are.
type Connection struct {
	// Addresses are tried in order; the next is tried only when no byte
	// reached the one before.
	Addresses string
	TokenFile string
	JSON      JSON
	operator  bool
}

// Default addresses of a daemon on this machine.
const (
	DefaultCallerAddress   = "127.0.0.1:7001"
	DefaultOperatorAddress = "127.0.0.1:7002"
)

// CallerFlags adds the flags of commands that speak to the callers' listener.
func (f *Factory) CallerFlags(fs *flag.FlagSet) *Connection {
	c := &Connection{}
	fs.StringVar(&c.Addresses, "address", f.env("DOGWOOD_ADDRESS", DefaultCallerAddress), "callers' `addresses` of the daemons, separated by commas (DOGWOOD_ADDRESS)")
	fs.Var(&c.JSON, "json", "print JSON; --json=FIELD,... prints just these fields")
	return c
}

// OperatorFlags adds the flags of commands that speak to the operators' listener.
func (f *Factory) OperatorFlags(fs *flag.FlagSet) *Connection {
	c := &Connection{operator: true}
	fs.StringVar(&c.Addresses, "operator-address", f.env("DOGWOOD_OPERATOR_ADDRESS", DefaultOperatorAddress), "operators' `addresses` of the daemons, separated by commas (DOGWOOD_OPERATOR_ADDRESS)")
	fs.StringVar(&c.TokenFile, "token-file", f.env("DOGWOOD_TOKEN_FILE", ""), "`file` with the operators' token (DOGWOOD_TOKEN_FILE)")
	fs.Var(&c.JSON, "json", "print JSON; --json=FIELD,... prints just these fields")
	return c
}

func (f *Factory) env(name, otherwise string) string {
	if v := f.Getenv(name); v != "" {
		return v
	}
	return otherwise
}

// Call calls the first daemon that can be reached.
func (f *Factory) Call(ctx context.Context, c *Connection, method, path string, header http.Header, in, out any) error {
	token, err := f.token(c)
	if err != nil {
		return err
	}
	for _, address := range strings.Split(c.Addresses, ",") {
		client := jsonhttp.Client{
			BaseURL: "http://" + strings.TrimSpace(address), Token: token, HTTP: f.HTTP, Header: header,
		}
		err = client.Call(ctx, method, path, in, out)
		if !fault.Is(err, fault.Unreachable) {
			return err
		}
	}
	return err
}

func (f *Factory) token(c *Connection) (string, error) {
	if !c.operator {
		return "", nil
	}
	if c.TokenFile == "" {
		return "", fault.WithField(fault.Unauthorized, "--token-file", "is missing")
	}
	b, err := f.ReadFile(c.TokenFile)
	if err != nil {
		return "", fault.Wrap(fault.Unauthorized, err, "read the token")
	}
	token, err := settings.ParseToken(b)
	if err != nil {
		return "", fault.WithField(fault.Unauthorized, "--token-file", "%s %v", c.TokenFile, err)
	}
	return token, nil
}

// Show prints a value as JSON when the flag asks for it, else as a table.
func (f *Factory) Show(c *Connection, v any, t Table) error {
	if c.JSON.On {
		return f.PrintJSON(c.JSON, v)
	}
	return f.printTable(t)
}

// Command describes one command.
type Command struct {
	// Noun and Verb name the command.
	Noun, Verb string
	// Args names the arguments; empty for none.
	Args     string
	Short    string
	Examples string
	Flags    *flag.FlagSet
	Exec     func(ctx context.Context, args []string) error
}

// Build returns the command for the command line. Flags may stand after
// arguments; what follows "--" is never a flag.
func (c Command) Build() *ffcli.Command {
	usage := strings.TrimSpace(fmt.Sprintf("dogwood %s %s [flags] %s", c.Noun, c.Verb, c.Args))
	return &ffcli.Command{
		Name: c.Verb, ShortUsage: usage, ShortHelp: c.Short,
		LongHelp: c.Short + ".\n\nEXAMPLES\n" + c.Examples,
		FlagSet:  c.Flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := c.arguments(args)
			if err != nil {
				return err
			}
			return c.Exec(ctx, args)
		},
	}
}

// arguments parses the flags that stand after the first argument and returns
// the arguments, as many as the command names.
func (c Command) arguments(args []string) ([]string, error) {
	var all []string
	for len(args) > 0 {
		// The first one is an argument: the flags before it are parsed.
		all, args = append(all, args[0]), args[1:]
		if len(args) > 0 && len(args[0]) > 1 && args[0][0] == '-' {
			if err := c.Flags.Parse(args); err != nil {
				return nil, fault.WithField(fault.BadRequest, "flags", "%v", err)
			}
			args = c.Flags.Args()
		}
	}
	if want := len(strings.Fields(c.Args)); len(all) != want {
		return nil, fault.WithField(fault.BadRequest, "arguments", "%d given; accepted: %s", len(all), accepted(c.Args))
	}
	return all, nil
}

func accepted(args string) string {
	if args == "" {
		return "none"
	}
	return args
}

// Flags returns an empty flag set that reports errors to the caller.
func (f *Factory) Flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(f.Err)
	return fs
}

// OS returns the factory of a real process.
func OS(terminal bool) *Factory {
	return &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal,
		Getenv: os.Getenv, ReadFile: os.ReadFile, HTTP: &http.Client{},
	}
}
