// Package fleet starts a small fleet for tests. The stand-ins run in the test's
// process and every daemon in its own process. Each VM has its own loopback address,
// and relays can close or freeze its connections.
package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/dogwoodd"
	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/platform"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/runner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/worker"
)

const daemonEnv = "DOGWOODWORKS_TEST_DAEMON"

// Main must be called by TestMain of a package whose tests start a fleet. In a child
// process it runs the daemon instead of the tests.
func Main(m *testing.M) {
	if os.Getenv(daemonEnv) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	go func() {
		<-ctx.Done()
		// A second signal ends the process at once, as in the daemon's own main.
		stop()
	}()
	code := dogwoodd.Run(ctx, os.Stdout, os.Stderr, os.Args[1:])
	stop()
	os.Exit(code)
}

// VM describes an entry VM of a fleet.
type VM struct {
	ID         string
	DataCentre string
	Region     string
}

// Spec describes a fleet.
type Spec struct {
	VMs []VM
	// Runners and Workers describe the targets; Start sets their roles and addresses.
	Runners []vmlist.VM
	Workers []vmlist.VM
	// ServiceTime is the time that a runner takes for one request.
	ServiceTime time.Duration
	// Config is the initial configuration in TOML; empty for none.
	Config string
}

// Daemon is one daemon process.
type Daemon struct {
	VM VM
	// IP is the source address of all its connections.
	IP              string
	CallerAddress   string
	OperatorAddress string
	// PeerListener is the address of the peer listener behind the relay.
	PeerListener string
	// PeerAddress is the advertised peer address, which is the relay's.
	PeerAddress string
	// Relay forwards to the daemon's peer listener.
	Relay *relay.Relay

	fleet        *Fleet
	settingsFile string
	cmd          *exec.Cmd
	log          *lockedBuffer
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *platform.Platform
	// PlatformRelay forwards to the platform.
	PlatformRelay *relay.Relay
	Runners       map[string]*runner.Runner
	RunnerRelays  map[string]*relay.Relay
	Workers       map[string]*worker.Worker
	WorkerRelays  map[string]*relay.Relay
	Daemons       map[string]*Daemon

	t     testing.TB
	dir   string
	token string
	// index is unique among the fleets of this process.
	index int32
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the buffer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Start starts a fleet and stops it at the end of the test. It returns when all
// daemons are ready.
func Start(t testing.TB, spec Spec) *Fleet {
	t.Helper()
	f := &Fleet{
		Platform: &platform.Platform{}, Runners: make(map[string]*runner.Runner), Workers: make(map[string]*worker.Worker),
		RunnerRelays: make(map[string]*relay.Relay), WorkerRelays: make(map[string]*relay.Relay),
		Daemons: make(map[string]*Daemon), t: t, dir: t.TempDir(), token: "test-token",
		index: fleetCount.Add(1),
	}
	if err := os.WriteFile(filepath.Join(f.dir, "token"), []byte(f.token), 0o600); err != nil {
		t.Fatal(err)
	}
	f.PlatformRelay = f.serveBehindRelay(func(e *echo.Echo) { f.Platform.Register(e) })
	vms := f.startTargets(spec)
	for i, vm := range spec.VMs {
		d := f.prepareDaemon(i, vm)
		vms = append(vms, vmlist.VM{ID: vm.ID, Role: vmlist.Entry, DataCentre: vm.DataCentre, Region: vm.Region, Address: d.PeerAddress})
	}
	f.Platform.SetVMs(vms)
	for _, vm := range spec.VMs {
		f.Daemons[vm.ID].Start()
	}
	if spec.Config != "" && len(spec.VMs) > 0 {
		f.Apply(f.Daemons[spec.VMs[0].ID], 0, spec.Config)
	}
	for _, vm := range spec.VMs {
		f.Daemons[vm.ID].WaitReady()
	}
	if spec.Config != "" {
		f.waitForConfig(1)
	}
	return f
}

func (f *Fleet) startTargets(spec Spec) []vmlist.VM {
	var vms []vmlist.VM
	for _, vm := range spec.Runners {
		r := &runner.Runner{ID: vm.ID, Slots: vm.Slots, ServiceTime: spec.ServiceTime}
		f.Runners[vm.ID] = r
		f.RunnerRelays[vm.ID] = f.serveBehindRelay(func(e *echo.Echo) { r.Register(e) })
		vm.Role, vm.Address = vmlist.Runner, f.RunnerRelays[vm.ID].Address()
		vms = append(vms, vm)
	}
	for _, vm := range spec.Workers {
		w := &worker.Worker{ID: vm.ID, Accelerators: vm.Accelerators}
		f.Workers[vm.ID] = w
		f.WorkerRelays[vm.ID] = f.serveBehindRelay(func(e *echo.Echo) { w.Register(e) })
		vm.Role, vm.Address = vmlist.Worker, f.WorkerRelays[vm.ID].Address()
		vms = append(vms, vm)
	}
	return vms
}

// serveBehindRelay starts a stand-in and a relay that forwards to it.
func (f *Fleet) serveBehindRelay(register func(e *echo.Echo)) *relay.Relay {
	f.t.Helper()
	e := jsonhttp.NewEcho(jsonhttp.Limits{MaxBodyBytes: jsonhttp.MaxAnswerBytes}, &f.Platform.Meter)
	register(e)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = jsonhttp.Serve(e, l) }()
	r, err := relay.Listen("127.0.0.1:0", l.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		r.Close()
		_ = e.Server.Close()
	})
	return r
}

// freeAddresses returns n different addresses with unused ports.
func (f *Fleet) freeAddresses(ip string, n int) []string {
	f.t.Helper()
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			f.t.Fatal(err)
		}
		// All listeners stay open until the end, so that no two ports are equal.
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return addresses
}

// fleetCount counts the fleets of this process. Each uses its own range of loopback
// addresses.
var fleetCount atomic.Int32

// prepareDaemon writes a daemon's settings file and starts its relay.
func (f *Fleet) prepareDaemon(i int, vm VM) *Daemon {
	f.t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+f.index%250, os.Getpid()%250, i+1)
	addresses := f.freeAddresses(ip, 3)
	d := &Daemon{VM: vm, IP: ip, fleet: f, CallerAddress: addresses[0], OperatorAddress: addresses[1]}
	peerAddress := addresses[2]
	d.PeerListener = peerAddress
	r, err := relay.Listen("127.0.0.1:0", peerAddress)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	d.Relay, d.PeerAddress = r, r.Address()
	d.settingsFile = filepath.Join(f.dir, vm.ID+".toml")
	s := fmt.Sprintf("vm_id = %q\ndata_centre = %q\nregion = %q\n[listen]\ncallers = %q\noperators = %q\npeers = %q\nadvertise_peers = %q\n[platform]\naddress = %q\n[operators]\ntoken_file = %q\n",
		vm.ID, vm.DataCentre, vm.Region, d.CallerAddress, d.OperatorAddress, peerAddress, d.PeerAddress, f.PlatformRelay.Address(), filepath.Join(f.dir, "token"))
	if err := os.WriteFile(d.settingsFile, []byte(s), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.Daemons[vm.ID] = d
	return d
}

// Start starts the daemon's process. It may be called again after the process has
// ended, to restart the daemon on the same VM.
func (d *Daemon) Start() {
	t := d.fleet.t
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	d.cmd = exec.Command(executable, "--settings", d.settingsFile)
	d.cmd.Env = append(os.Environ(), daemonEnv+"=1")
	d.log = &lockedBuffer{}
	d.cmd.Stderr = d.log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, log := d.cmd, d.log
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			t.Logf("log of %s:\n%s", d.VM.ID, log)
		}
	})
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.fleet.t.Helper()
	if err := d.cmd.Process.Signal(s); err != nil {
		d.fleet.t.Fatal(err)
	}
}

// Kill kills the process and waits until it has ended.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
}

// Stop runs a planned stop of the process and returns its exit code.
func (d *Daemon) Stop() int {
	d.Signal(syscall.SIGTERM)
	_ = d.cmd.Wait()
	return d.cmd.ProcessState.ExitCode()
}

// PID returns the process ID.
func (d *Daemon) PID() int { return d.cmd.Process.Pid }

// Log returns the log output of the latest process.
func (d *Daemon) Log() string { return d.log.String() }

// CallerClient returns a client of the daemon's listener for callers.
func (d *Daemon) CallerClient() *jsonhttp.Client {
	return &jsonhttp.Client{BaseURL: "http://" + d.CallerAddress}
}

// OperatorClient returns a client of the daemon's listener for operators.
func (d *Daemon) OperatorClient() *jsonhttp.Client {
	return &jsonhttp.Client{BaseURL: "http://" + d.OperatorAddress, Token: d.fleet.token}
}

// WaitReady waits until the daemon reports that it is ready. The test fails if this
// takes more than 20 s.
func (d *Daemon) WaitReady() {
	d.fleet.t.Helper()
	d.fleet.Until(readyTimeout, d.VM.ID+" is ready", func() bool {
		return d.CallerClient().Call(context.Background(), http.MethodGet, "/readyz", nil, nil) == nil
	})
}

// Until waits until condition returns true and fails the test if it does not within
// limit.
func (f *Fleet) Until(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met after %v: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
}

// Apply applies a configuration through a daemon and retries until the daemon accepts
// it.
func (f *Fleet) Apply(d *Daemon, base uint64, toml string) {
	f.t.Helper()
	edit := config.Edit{BaseVersion: base, EditID: fmt.Sprintf("edit-%d", base), Author: "test", Reason: "test", TOML: toml}
	var err error
	f.Until(readyTimeout, "configuration applied", func() bool {
		err = d.OperatorClient().Call(context.Background(), http.MethodPost, "/v1/config", edit, nil)
		return err == nil
	})
}

// FleetStatus returns the fleet status that the daemon reports.
func (d *Daemon) FleetStatus() (operator.Fleet, error) {
	var fleet operator.Fleet
	err := d.OperatorClient().Call(context.Background(), http.MethodGet, "/v1/fleet", nil, &fleet)
	return fleet, err
}

// waitForConfig waits until every daemon reports that all VMs have at least a
// configuration version.
func (f *Fleet) waitForConfig(version uint64) {
	f.t.Helper()
	for _, d := range f.Daemons {
		f.Until(readyTimeout, d.VM.ID+" sees all VMs", func() bool {
			fleet, err := d.FleetStatus()
			if err != nil || len(fleet.VMs) != len(f.Daemons) {
				return false
			}
			for _, vm := range fleet.VMs {
				if vm.ConfigVersion < version {
					return false
				}
			}
			return true
		})
	}
}

// Metrics returns the daemon's metrics as text; "" if the call fails.
func (d *Daemon) Metrics() string {
	var b []byte
	_ = d.OperatorClient().Call(context.Background(), http.MethodGet, "/metrics", nil, &b)
	return string(b)
}
