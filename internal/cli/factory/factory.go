// Package factory holds what the commands of dogwood depend on: the streams,
// the clients of the daemon and the printing of results.
package factory

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
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
	JSON      bool
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
	fs.BoolVar(&c.JSON, "json", false, "print JSON")
	return c
}

// OperatorFlags adds the flags of commands that speak to the operators' listener.
func (f *Factory) OperatorFlags(fs *flag.FlagSet) *Connection {
	c := &Connection{operator: true}
	fs.StringVar(&c.Addresses, "operator-address", f.env("DOGWOOD_OPERATOR_ADDRESS", DefaultOperatorAddress), "operators' `addresses` of the daemons, separated by commas (DOGWOOD_OPERATOR_ADDRESS)")
	fs.StringVar(&c.TokenFile, "token-file", f.env("DOGWOOD_TOKEN_FILE", ""), "`file` with the operators' token (DOGWOOD_TOKEN_FILE)")
	fs.BoolVar(&c.JSON, "json", false, "print JSON")
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
	return strings.TrimSpace(string(b)), nil
}

// PrintJSON prints a value as indented JSON.
func (f *Factory) PrintJSON(v any) error {
	e := json.NewEncoder(f.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// PrintTable prints rows under a header on a terminal, and tab-separated
// without a header elsewhere.
func (f *Factory) PrintTable(header []string, rows [][]string) error {
	if !f.Terminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(f.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(f.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
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

// Build returns the command for the command line.
func (c Command) Build() *ffcli.Command {
	usage := strings.TrimSpace(fmt.Sprintf("dogwood %s %s [flags] %s", c.Noun, c.Verb, c.Args))
	return &ffcli.Command{
		Name: c.Verb, ShortUsage: usage, ShortHelp: c.Short,
		LongHelp: c.Short + ".\n\nEXAMPLES\n" + c.Examples,
		FlagSet:  c.Flags, Exec: c.Exec,
	}
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
