package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"text/template"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/wire"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

var bounds = world.Bounds{DataCentres: dataCentres, MaxLease: 6 * time.Second, StopTimeout: 300 * time.Millisecond, GangTimeout: 3 * time.Second}

// The ports of a VM; every VM has its own address.
const (
	callersPort   = 18521
	readinessPort = 18523
	peerPort      = 18524
	// gracePeriod is the time between a planned stop and a kill.
	gracePeriod = 6 * time.Second
)

// vm is one entry VM.
type vm struct {
	name, ip string
	// store is the relay between this VM and the platform's store.
	store    *relay.Relay
	settings string
	log      *os.File

	// signals is locked while a fault signals the process.
	signals sync.Mutex
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	// stopRequested says that the process was told to exit.
	stopRequested bool
	// starts counts the starts of the process.
	starts int
	// stopBegan is when a planned stop began that no other signal disturbed;
	// zero otherwise.
	stopBegan time.Time
	// misses counts the consecutive readiness probes that failed.
	misses atomic.Int32
	// cpuShare is the share of the processor that the settings state.
	cpuShare float64
	// stops are the times in which the process did not run, besides those of its share.
	stops []span
}

type span struct{ from, to time.Time }

// fleet is the platform and its VMs.
type fleet struct {
	t      *testing.T
	dir    string
	world  *world.World
	wire   *wire.Wire
	relays map[string]*relay.Relay
	vms    []*vm
	check  *checker
	log    *slog.Logger
	cancel context.CancelFunc
	// mu guards unanswered.
	mu         sync.Mutex
	unanswered []unanswered
	// version is the version of the newest configuration.
	version atomic.Int64
}

// fleetCount numbers the fleets of this process, so that each has its own
// addresses.
var fleetCount atomic.Int32

// startFleet starts a fleet of count VMs. All but the first large ones are thin.
func startFleet(t *testing.T, seed uint64, count, large int) *fleet {
	t.Helper()
	dir, err := os.MkdirTemp(*logDir, fmt.Sprintf("soak-%d-", seed))
	fatal(t, err)
	log, err := os.Create(filepath.Join(dir, "soak.log"))
	fatal(t, err)
	w := world.New(seed, workers, bounds)
	w.SetEvacuationBound(evacuationTime)
	f := &fleet{
		t: t, dir: dir, world: w, relays: make(map[string]*relay.Relay), check: newChecker(w),
		log: slog.New(slog.NewJSONHandler(log, nil)),
	}
	t.Cleanup(func() {
		_ = log.Close()
		if !t.Failed() || *logDir == "" {
			_ = os.RemoveAll(dir)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	t.Cleanup(cancel)
	go w.Run(ctx)
	f.wire = &wire.Wire{World: w, PageSize: 500, AdvertisedAddress: f.relayFor}
	t.Cleanup(f.wire.Close)
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	fatal(t, f.wire.Listen(ids))
	go func() {
		if err := f.wire.Heartbeats(ctx); err != nil {
			t.Error(err)
		}
	}()
	f.configure()
	subnet := int(fleetCount.Add(1))
	for i := range count {
		// Test processes that run at the same time use different addresses.
		v := &vm{name: fmt.Sprintf("vm%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, subnet, i+1), cpuShare: 1}
		if i >= large {
			v.cpuShare = thinCPU
		}
		v.store, err = relay.Listen("127.0.0.1:0", f.wire.StoreAddress)
		fatal(t, err)
		t.Cleanup(v.store.Close)
		v.settings = filepath.Join(dir, v.name+".toml")
		v.log, err = os.Create(filepath.Join(dir, v.name+".log"))
		fatal(t, err)
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		f.writeSettings(v, 0)
		f.start(v)
		t.Cleanup(func() { f.kill(v) })
	}
	for _, v := range f.vms {
		f.awaitReady(v)
	}
	return f
}

func fatal(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// logEvent writes a line to the log of the soak test.
func (f *fleet) logEvent(msg string, args ...any) { f.log.Info(msg, args...) }

// relayFor puts a relay in front of a worker and returns the relay's address.
func (f *fleet) relayFor(id, address string) (string, error) {
	r, err := relay.Listen("127.0.0.1:0", address)
	if err != nil {
		return "", err
	}
	f.t.Cleanup(r.Close)
	f.relays[id] = r
	return r.Address(), nil
}

var settings = template.Must(template.New("").Parse(`node_name = "{{.Name}}"
ip_address = "{{.IP}}"
zone = "z"
region = "r"
internal_ports = [{{.Peer}}, {{.Peer}}]
heartbeat_interval_ms = {{.Heartbeat}}
seeds = [{{range .Seeds}}"{{.}}:{{$.Peer}}",{{end}}]
[listen]
front = "{{.IP}}:{{.Callers}}"
readiness = "{{.IP}}:{{.Readiness}}"
[limits]
cpu_share = {{.CPUShare}}
cores = 1
[bounds]
max_hold_ms = 6000
stable_window_ms = {{.StableWindow}}
gang_timeout_ms = 3000
config_apply_ms = 2500
evacuation_ms = {{.Evacuation}}
grace_period_s = 6
[platform]
address = "{{.Store}}"
`))

// writeSettings writes a VM's settings; shift selects the VM with which the list
// of seeds begins.
func (f *fleet) writeSettings(v *vm, shift int) {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, f.vms[(i+shift)%len(f.vms)].ip)
	}
	var b bytes.Buffer
	err := settings.Execute(&b, map[string]any{
		"Name": v.name, "IP": v.ip, "Peer": peerPort, "Callers": callersPort, "Readiness": readinessPort, "Seeds": seeds, "Store": v.store.Address(), "CPUShare": v.cpuShare,
		"Heartbeat": world.HeartbeatInterval.Milliseconds(), "StableWindow": world.StableWindow.Milliseconds(), "Evacuation": evacuationTime.Milliseconds(),
	})
	if err == nil {
		err = os.WriteFile(v.settings+".new", b.Bytes(), 0o600)
	}
	if err == nil {
		err = os.Rename(v.settings+".new", v.settings)
	}
	if err != nil {
		f.t.Error(err)
	}
}

// start starts the daemon of a VM.
func (f *fleet) start(v *vm) {
	cmd := exec.Command(os.Args[0], "platform", "--node-file", v.settings)
	cmd.Env = append(os.Environ(), daemonVariable+"=1")
	cmd.Stdout, cmd.Stderr = v.log, v.log
	exited := make(chan struct{})
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := cmd.Start(); err != nil {
		f.t.Error(err)
		return
	}
	v.cmd, v.exited, v.stopBegan, v.stopRequested = cmd, exited, time.Time{}, false
	v.starts++
	start := v.starts
	go func() {
		err := cmd.Wait()
		close(exited)
		f.restartAfterExit(v, start, err)
	}()
}

// restartDelay is the delay after which the platform restarts a process that
// exited unexpectedly.
const restartDelay = 200 * time.Millisecond

// restartAfterExit restarts a daemon if the given start of it exited
// unexpectedly.
func (f *fleet) restartAfterExit(v *vm, start int, err error) {
	if !v.exitedUnexpectedly(start) {
		return
	}
	f.logEvent("daemon exited unexpectedly", "vm", v.name, "error", fmt.Sprint(err))
	f.check.recordUnexpectedExit(v.name)
	time.Sleep(restartDelay)
	// A fault may be restarting it at the same time.
	v.signals.Lock()
	defer v.signals.Unlock()
	if v.exitedUnexpectedly(start) {
		f.start(v)
	}
}

// exitedUnexpectedly reports whether the given start is the latest and the process
// was not told to exit.
func (v *vm) exitedUnexpectedly(start int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts == start && !v.stopRequested
}

// signal signals the process of a VM. Any signal but SIGTERM disturbs a planned
// stop, whose calls are then no longer checked.
func (f *fleet) signal(v *vm, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopBegan = time.Time{}
	v.stopRequested = v.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	if s == syscall.SIGTERM {
		v.stopBegan = time.Now()
	}
	if err := v.cmd.Process.Signal(s); err != nil {
		f.logEvent("signal not sent", "vm", v.name, "signal", s.String(), "error", err.Error())
	}
}

func (f *fleet) kill(v *vm) {
	f.signal(v, syscall.SIGKILL)
	<-v.exited
}

// stop performs a planned stop of a VM and kills it after gracePeriod.
func (f *fleet) stop(v *vm) {
	f.signal(v, syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(gracePeriod):
		f.check.addViolation("LOST: %s did not stop within %v", v.name, gracePeriod)
		f.kill(v)
	}
}

// plannedStop returns when an undisturbed planned stop of an incarnation of a VM began, or the
// zero time if there was none. A call that an earlier incarnation received may be reported
// only after the next one is being stopped.
func (v *vm) plannedStop(incarnation string) time.Time {
	if v.incarnation() != incarnation {
		return time.Time{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopBegan
}

// incarnation names the current incarnation of a VM's daemon.
func (v *vm) incarnation() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("%s#%d", v.name, v.starts)
}

const readyTimeout = 20 * time.Second

func (f *fleet) awaitReady(v *vm) {
	f.t.Helper()
	for until := time.Now().Add(readyTimeout); !v.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			f.t.Fatalf("%s is not ready", v.name)
		}
	}
}

var readiness = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (v *vm) ready() bool {
	resp, err := readiness.Get("http://" + net.JoinHostPort(v.ip, fmt.Sprint(readinessPort)) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// balance probes readiness as the platform's balancer does, until ctx is done.
func (f *fleet) balance(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range f.vms {
			if v.ready() {
				v.misses.Store(0)
			} else {
				v.misses.Add(1)
			}
		}
		time.Sleep(time.Second)
	}
}

// inRotation returns the VMs that get new connections: those that are ready, or
// all if fewer than half are ready.
func (f *fleet) inRotation() []*vm {
	var in []*vm
	for _, v := range f.vms {
		if v.misses.Load() < 2 {
			in = append(in, v)
		}
	}
	if 2*len(in) < len(f.vms) {
		return f.vms
	}
	return in
}

type object = map[string]any

// configure writes the next configuration. Each version adds an API key, so that
// a call with that key shows whether the version is in force.
func (f *fleet) configure() {
	v := f.version.Load() + 1
	keys := []string{mainKey}
	for i := int64(1); i <= v; i++ {
		keys = append(keys, versionKey(i))
	}
	routes := []object{}
	for _, q := range queues {
		routes = append(routes, object{
			"name": q.Name, "host": host, "prefix": q.Prefix, "service": q.Service, "priority": q.Priority,
			"max_attempts": q.MaxAttempts, "stretch": q.ObjectiveFactor, "target_latency_ms": q.ObjectiveConstant.Milliseconds(),
		})
	}
	b, err := json.Marshal(object{
		"version": v, "routes": routes, "services": []object{{"name": "svc"}}, "limits": object{"max_body_bytes": 65536},
		"tenants": []object{
			{"name": "acme", "api_keys": keys, "guaranteed": object{"gpu": 0}},
			{"name": "care", "api_keys": []string{careKey}, "guaranteed": object{"gpu": guaranteedAccelerators}},
		},
	})
	if err != nil {
		f.t.Error(err)
		return
	}
	f.world.Store.Put(wire.ConfigKey, b)
	f.version.Store(v)
	f.check.recordConfigAck(v, time.Now())
	f.logEvent("configuration", "version", v)
}

func versionKey(v int64) string { return fmt.Sprintf("a%d", v) }
