// Package standin is the command line of the stand-ins.
package standin

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/platform"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/runner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/worker"
)

// Options are the flags of a stand-in.
type Options struct {
	Err         io.Writer
	Listen      string
	VMsFile     string
	ID          string
	Slots       int
	ServiceTime time.Duration
	Workers     int
	FirstNumber int
}

// New returns the command line.
func New(errOut io.Writer) *ffcli.Command {
	o := &Options{Err: errOut}
	platformFlags := o.flags("platform")
	platformFlags.StringVar(&o.VMsFile, "vms", "", "JSON `file` with the list of VMs")
	runnerFlags := o.flags("runner")
	runnerFlags.StringVar(&o.ID, "id", "", "runner id")
	runnerFlags.IntVar(&o.Slots, "slots", runner.DefaultSlots, "requests served concurrently")
	runnerFlags.DurationVar(&o.ServiceTime, "service-time", 10*time.Millisecond, "time to serve one request")
	workerFlags := o.flags("worker")
	workerFlags.StringVar(&o.ID, "id", "", "prefix of the worker ids")
	workerFlags.IntVar(&o.Workers, "workers", 1, "number of workers")
	workerFlags.IntVar(&o.FirstNumber, "first", 1, "number of the first worker")
	return &ffcli.Command{
		Name: "dogwood-standin", ShortUsage: "dogwood-standin <platform|runner|worker> [flags]",
		FlagSet: o.flags("dogwood-standin"),
		Subcommands: []*ffcli.Command{
			{Name: "platform", FlagSet: platformFlags, Exec: func(ctx context.Context, _ []string) error { return o.platform(ctx) }},
			{Name: "runner", FlagSet: runnerFlags, Exec: func(ctx context.Context, _ []string) error { return o.runner(ctx) }},
			{Name: "worker", FlagSet: workerFlags, Exec: func(ctx context.Context, _ []string) error { return o.workers(ctx) }},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (o *Options) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(o.Err)
	fs.StringVar(&o.Listen, "listen", "", "IP `address` and port")
	return fs
}

func (o *Options) platform(ctx context.Context) error {
	var p platform.Platform
	if o.VMsFile != "" {
		b, err := os.ReadFile(o.VMsFile)
		if err != nil {
			return err
		}
		var vms []vmlist.VM
		if err := json.Unmarshal(b, &vms); err != nil {
			return err
		}
		p.SetVMs(vms)
	}
	e := jsonhttp.NewEcho(jsonhttp.Limits{MaxBodyBytes: jsonhttp.MaxAnswerBytes}, &p.Meter)
	p.Register(e)
	return o.serve(ctx, e)
}

func (o *Options) runner(ctx context.Context) error {
	r := runner.Runner{ID: o.ID, Slots: o.Slots, ServiceTime: o.ServiceTime}
	e := jsonhttp.NewEcho(jsonhttp.Limits{}, &r.Meter)
	r.Register(e)
	return o.serve(ctx, e)
}

func (o *Options) workers(ctx context.Context) error {
	var m meter.Meter
	e := jsonhttp.NewEcho(jsonhttp.Limits{}, &m)
	for n := o.FirstNumber; n < o.FirstNumber+o.Workers; n++ {
		w := &worker.Worker{ID: fmt.Sprintf("%s%d", o.ID, n)}
		w.Register(e.Group("/" + w.ID))
	}
	return o.serve(ctx, e)
}

func (o *Options) serve(ctx context.Context, e *echo.Echo) error {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = e.Server.Close()
	}()
	return jsonhttp.Serve(e, l)
}
