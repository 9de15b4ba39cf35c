// Package factory provides what the commands of dogwood depend on: the streams,
// the client of the daemons and the printing of results.
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
	// Terminal reports whether Out is a terminal. Tables are aligned on a
	// terminal and tab-separated elsewhere.
	Terminal bool
	// Getenv reads the environment.
	Getenv func(string) string
	// ReadFile reads a file.
	ReadFile func(string) ([]byte, error)
	HTTP     *http.Client
}

// Connection holds the flags that select the daemons and the output format.
type Connection struct {
	// Addresses are separated by commas and tried in order. The next one is
	// tried only if no byte of the call reached the one before.
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

// CallerFlags adds the flags of commands that call the callers' listener.
func (f *Factory) CallerFlags(fs *flag.FlagSet) *Connection {
	c := &Connection{}
	fs.StringVar(&c.Addresses, "address", f.getenvOr("DOGWOOD_ADDRESS", DefaultCallerAddress), "callers' `addresses` of the daemons, separated by commas (DOGWOOD_ADDRESS)")
	fs.Var(&c.JSON, "json", "print JSON; --json=FIELD,... prints only these fields")
	return c
}

// OperatorFlags adds the flags of commands that call the operators' listener.
func (f *Factory) OperatorFlags(fs *flag.FlagSet) *Connection {
	c := &Connection{operator: true}
	fs.StringVar(&c.Addresses, "operator-address", f.getenvOr("DOGWOOD_OPERATOR_ADDRESS", DefaultOperatorAddress), "operators' `addresses` of the daemons, separated by commas (DOGWOOD_OPERATOR_ADDRESS)")
	fs.StringVar(&c.TokenFile, "token-file", f.getenvOr("DOGWOOD_TOKEN_FILE", ""), "`file` with the operators' token (DOGWOOD_TOKEN_FILE)")
	fs.Var(&c.JSON, "json", "print JSON; --json=FIELD,... prints only these fields")
	return c
}

func (f *Factory) getenvOr(name, fallback string) string {
	if v := f.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// Call calls the first reachable daemon and decodes its response into out. It
// returns an Unreachable error if no daemon can be reached.
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

// Show prints a value as JSON if --json is given, and as a table otherwise.
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

// Build returns the ffcli command. Flags may follow arguments; what follows "--"
// is never a flag.
func (c Command) Build() *ffcli.Command {
	usage := strings.TrimSpace(fmt.Sprintf("dogwood %s %s [flags] %s", c.Noun, c.Verb, c.Args))
	return &ffcli.Command{
		Name: c.Verb, ShortUsage: usage, ShortHelp: c.Short,
		LongHelp: c.Short + ".\n\nEXAMPLES\n" + c.Examples,
		FlagSet:  c.Flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := c.parseArguments(args)
			if err != nil {
				return err
			}
			return c.Exec(ctx, args)
		},
	}
}

// parseArguments parses the flags that follow the first argument and returns the
// arguments. It returns a BadRequest error unless there are as many as c.Args
// names.
func (c Command) parseArguments(args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		// The flags before args[0] are already parsed, so args[0] is an argument.
		positional, args = append(positional, args[0]), args[1:]
		if len(args) > 0 && len(args[0]) > 1 && args[0][0] == '-' {
			if err := c.Flags.Parse(args); err != nil {
				return nil, fault.WithField(fault.BadRequest, "flags", "%v", err)
			}
			args = c.Flags.Args()
		}
	}
	if want := len(strings.Fields(c.Args)); len(positional) != want {
		return nil, fault.WithField(fault.BadRequest, "arguments", "%d given; accepted: %s", len(positional), acceptedArguments(c.Args))
	}
	return positional, nil
}

func acceptedArguments(args string) string {
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

// OS returns a factory with the streams, environment and files of the process.
func OS(terminal bool) *Factory {
	return &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal,
		Getenv: os.Getenv, ReadFile: os.ReadFile, HTTP: &http.Client{},
	}
}
