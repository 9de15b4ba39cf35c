// Package node runs a daemon on the platform: the job service for callers, the
// configuration, the planner lock, the planner and the calls between VMs.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/core/duty"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/intake"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/entry"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/follow"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1/nodev1connect"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/vm"
)

// Platform gives access to the platform: its store, formats and workers, and the API
// for its callers.
type Platform struct {
	Store store.Store
	// ConfigKey is the key that the operators write, WorkerPrefix the prefix of the
	// keys that workers register.
	ConfigKey    string
	WorkerPrefix string
	DecodeConfig func(b []byte) (*model.Config, error)
	DecodeWorker func(it store.Item) (model.Worker, error)
	// EvacuationPrefix is the prefix of the keys with which operators evacuate data centres.
	EvacuationPrefix string
	DecodeEvacuation func(it store.Item) (model.Evacuation, error)
	Dial             func(id, address string, maySend func() bool) planner.WorkerClient
	// PeerTransport is the HTTP transport of calls to other VMs.
	PeerTransport http.RoundTripper
	// ReadinessPath and MetricsPath are the URL paths served at the readiness and
	// metrics addresses of the settings.
	ReadinessPath, MetricsPath string
	// RegisterCallerAPI adds the API for callers to an HTTP server.
	RegisterCallerAPI func(e *echo.Echo, js *entry.JobService, n *Node)
	// CallerAccount returns the API key of a call, empty for none, and CallTimeout its
	// time limit.
	CallerAccount func(r *http.Request) string
	CallTimeout   func(r *http.Request) time.Duration
}

// Node is one daemon on the platform. Its exported fields are set before Init.
type Node struct {
	Settings model.Settings
	Platform Platform
	Log      *slog.Logger
	Meter    *meter.Meter

	peers      *vm.Peers
	path       *path.Path
	follower   *follow.Follower
	lock       *lock.Lock
	planner    *planner.Planner
	jobService *entry.JobService
	callerAPI  *echo.Echo
	health     *health
	stopping   atomic.Bool
	// activeCalls counts the calls of callers in progress.
	activeCalls atomic.Int64
}

const (
	// noDelayCores is the processor share, in cores, from which a VM acquires a free
	// lock without delay.
	noDelayCores = 0.4
	// maxAcquireDelay is the delay before acquiring a free lock for a processor share
	// of 0. It decreases linearly to 0 at noDelayCores.
	maxAcquireDelay = 400 * time.Millisecond
)

// Init creates and connects the components; it is called once, before Run.
func (n *Node) Init() {
	s, p := n.Settings, n.Platform
	n.peers = &vm.Peers{SelfIP: s.IP, Port: s.PeerPort, HTTP: &http.Client{Transport: p.PeerTransport}}
	for _, ip := range s.SeedIPs {
		n.peers.Add(ip)
	}
	n.path = &path.Path{Direct: path.Direct{Store: p.Store}, Relays: n.peers, ProbeKey: store.LockKey, Log: n.Log, Meter: n.Meter}
	n.follower = &follow.Follower{
		Store: path.Hedged{Path: n.path}, Key: p.ConfigKey, Decode: p.DecodeConfig, ApplyTime: s.Bounds.ConfigApplyTime, Log: n.Log, Meter: n.Meter,
	}
	n.lock = &lock.Lock{
		Store: p.Store, Self: lock.Holder{VMID: s.VMID, IP: s.IP, Incarnation: uuid.NewString()}, Log: n.Log, Meter: n.Meter,
	}
	if s.Cores < noDelayCores {
		n.lock.AcquireDelay = time.Duration(float64(maxAcquireDelay) * (1 - s.Cores/noDelayCores))
	}
	n.planner = &planner.Planner{
		Store: p.Store, Config: n.follower, WorkerPrefix: p.WorkerPrefix, DecodeWorker: p.DecodeWorker, Dial: p.Dial,
		EvacuationPrefix: p.EvacuationPrefix, DecodeEvacuation: p.DecodeEvacuation,
		Bounds: s.Bounds, MaxJobMemory: maxJobMemory(s.MemoryBytes), Disabled: s.Disabled, Log: n.Log, Meter: n.Meter,
	}
	n.health = &health{log: n.Log, meter: n.Meter, notReady: n.notReady}
	n.jobService = &entry.JobService{
		Config: n.follower, Store: n.path, Planner: &plannerRouter{n}, Disabled: s.Disabled, MaxValueBytes: s.Bounds.MaxValueBytes,
		StoreWrites: s.StoreWrites, VMs: func() int { return n.peers.Count() + 1 }, MaxCalls: maxCalls(s.MaxSockets), MaxJobMemory: maxJobMemory(s.MemoryBytes),
		RollbackSlack: s.Bounds.RollbackSlack, Log: n.Log, Meter: n.Meter,
	}
}

// Stopping reports whether a planned stop of the daemon is in progress.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// isolationLimit is how long a VM may reach neither the store nor a peer and still
// report that it is ready.
const isolationLimit = 1500 * time.Millisecond

// notReady returns why the VM accepts no new connections, and the empty string when it does.
func (n *Node) notReady() string {
	switch {
	case n.stopping.Load():
		return reasonStopping
	case n.follower.Current() == nil:
		return reasonNoConfig
	case n.path.Isolated(isolationLimit):
		return reasonIsolated
	}
	return ""
}

// Run serves until ctx ends, then performs a planned stop. It returns an error of
// kind BadSettings if it can't listen on an address.
func (n *Node) Run(ctx context.Context) error {
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	electionDone := make(chan struct{})
	lockCtx, releaseLock := context.WithCancel(tasksCtx)
	defer releaseLock()
	go n.supervise(tasksCtx, "examine health", n.health.run)
	go n.supervise(tasksCtx, "reach the store", n.path.Run)
	go n.supervise(tasksCtx, "follow the configuration", n.follower.Run)
	go n.supervise(tasksCtx, "announce", n.syncMembers)
	go func() {
		defer close(electionDone)
		n.supervise(lockCtx, "plan", func(ctx context.Context) {
			n.awaitConfig(ctx)
			n.lock.Run(ctx, n.planner.RunTerm)
		})
	}()
	n.Log.Info("serving", "vm", n.Settings.VMID, "data_centre", n.Settings.DataCentre, "callers", n.Settings.CallerAddress,
		"memory_bytes", n.Settings.MemoryBytes, "max_sockets", n.Settings.MaxSockets)
	<-ctx.Done()
	n.stop(servers, releaseLock, electionDone)
	return nil
}

// supervise runs a background task, and restarts it after a panic.
func (n *Node) supervise(ctx context.Context, name string, f func(ctx context.Context)) {
	duty.Supervise(ctx, n.Log, n.Meter, name, f)
}

// configPollInterval is the time between two checks for the first configuration.
const configPollInterval = 50 * time.Millisecond

// awaitConfig waits for the first configuration, without which a planner can't run.
func (n *Node) awaitConfig(ctx context.Context) {
	for ctx.Err() == nil && n.follower.Current() == nil {
		pause.For(ctx, configPollInterval)
	}
}

const (
	// balancerDelay is how long the load balancer may still send connections: it
	// checks readiness once a second and stops after two failed checks.
	balancerDelay = 2500 * time.Millisecond
	// drainTimeout bounds the wait for starts in progress before the lock is
	// released; a start without failures takes one round of calls.
	drainTimeout = 700 * time.Millisecond
	// stopReserve is the part of the grace period reserved for the end of the process.
	stopReserve = time.Second
	// stopPollInterval is the time between two checks for calls in progress.
	stopPollInterval = 20 * time.Millisecond
)

// stop releases the planner lock, waits until the load balancer sends no more
// connections and the calls in progress have ended, and closes the listeners.
func (n *Node) stop(servers []*http.Server, releaseLock func(), electionDone chan struct{}) {
	began := time.Now()
	n.stopping.Store(true)
	n.Log.Info("stopping", "calls", n.activeCalls.Load())
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), drainTimeout)
	n.planner.Drain(drainCtx)
	cancelDrain()
	releaseLock()
	deadline := began.Add(max(n.Settings.Bounds.StopGrace-stopReserve, balancerDelay))
	for time.Now().Before(deadline) {
		if time.Since(began) >= balancerDelay && n.activeCalls.Load() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Until(deadline), stopReserve/2))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.Log.Warn("listener did not shut down in time", "error", err)
		}
	}
	select {
	case <-electionDone:
	case <-ctx.Done():
	}
	n.Log.Info("stopped", "took_ms", time.Since(began).Milliseconds(), "calls", n.activeCalls.Load())
}

// countCalls counts the calls in progress.
func (n *Node) countCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.activeCalls.Add(1)
		defer n.activeCalls.Add(-1)
		h.ServeHTTP(w, r)
	})
}

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the time that a connection waits for a request.
	idleTimeout = 60 * time.Second
	// maxHeader is the maximum size of a request's header in bytes.
	maxHeader = 16 << 10
)

// listen opens the listeners for callers, peers, readiness and metrics.
func (n *Node) listen() ([]*http.Server, error) {
	n.callerAPI = echo.New()
	n.callerAPI.HideBanner, n.callerAPI.HidePort = true, true
	n.Platform.RegisterCallerAPI(n.callerAPI, n.jobService, n)
	peers := http.NewServeMux()
	peers.Handle(nodev1connect.NewNodeServiceHandler(&vm.Service{Planner: n.planner, Direct: n.path.DirectOnly(), Holder: n.lock.Holder}))
	ready := http.NewServeMux()
	ready.HandleFunc(n.Platform.ReadinessPath, n.serveReadiness)
	metrics := http.NewServeMux()
	metrics.HandleFunc(n.Platform.MetricsPath, n.serveMetrics)
	budget := n.newBudget()
	budget.SetRuntimeLimit()
	var servers []*http.Server
	for _, l := range []struct {
		address string
		handler http.Handler
		share   *intake.Share
	}{
		{n.Settings.CallerAddress, n.countCalls(n.callerAPI), n.callers(budget)},
		{net.JoinHostPort(n.Settings.IP, strconv.Itoa(n.Settings.PeerPort)), peers, n.peerListener(budget)},
		{n.Settings.ReadinessAddress, ready, budget.Share("readiness", probeShare, probeShare)},
		{n.Settings.MetricsAddress, metrics, budget.Share("metrics", metricsShare, metricsShare)},
	} {
		listener, err := l.share.Listen(l.address)
		if err != nil {
			return nil, fault.Wrap(fault.BadSettings, err, "listen on %s", l.address)
		}
		s := newServer(l.handler, l.share)
		servers = append(servers, s)
		go func() {
			if err := s.Serve(listener); err != nil && !n.stopping.Load() {
				n.Log.Error("listener failed", "address", l.address, "error", err)
			}
		}()
	}
	return servers, nil
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if n.health.check() {
		w.WriteHeader(http.StatusOK)
		return
	}
	n.Meter.Inc("not_ready_answered")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	if err := n.Meter.WriteText(w); err != nil {
		n.Log.Debug("can't write the metrics response", "error", err)
	}
}

// Reload applies the new settings that a running daemon can apply: the addresses of
// other VMs. Its listen addresses and the store's address need a restart.
func (n *Node) Reload(s model.Settings) {
	for _, ip := range s.SeedIPs {
		n.peers.Add(ip)
	}
	if s.CallerAddress != n.Settings.CallerAddress || s.StoreAddress != n.Settings.StoreAddress {
		n.Log.Warn("settings that need a restart have changed", "callers", s.CallerAddress, "store", s.StoreAddress)
	}
}
