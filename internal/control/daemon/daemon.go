// Package daemon assembles the components of dogwoodd and runs them.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/dispatch"
	"github.com/dogwoodworks/dogwoodworks/internal/control/drain"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/control/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/gossip"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/serve"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// Daemon is one dogwoodd process.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	meter    *meter.Meter
	self     *peerv1.Vm

	store         *store.Client
	vms           *vmlist.Client
	configManager *config.Manager
	gossip        *gossip.Table
	dispatch      *dispatch.Dispatcher
	planner       *planner.Planner
	homeServices  *homeServices
	jobs          *job.Service

	callers   *echo.Echo
	operators *echo.Echo
	peers     *http.Server

	configLoaded atomic.Bool
	draining     atomic.Bool

	mu      sync.Mutex
	workers []vmlist.VM

	// vmList is the platform's latest VM list; nil until one has been read.
	vmList atomic.Pointer[[]vmlist.VM]
	// notReadyReason is why the VM is not ready; nil before the first check.
	notReadyReason atomic.Pointer[string]
}

// New assembles a daemon. The token is the operators' shared secret.
func New(s settings.Settings, token string, log *slog.Logger) *Daemon {
	d := &Daemon{settings: s, log: log, meter: &meter.Meter{}}
	d.self = &peerv1.Vm{
		VmId: s.VMID, Incarnation: uuid.NewString(), DataCentre: s.DataCentre, Region: s.Region,
		PeerAddress: s.Listen.AdvertisedPeers(), StartedUnixMs: time.Now().UnixMilli(),
	}
	platform := "http://" + s.Platform.Address
	client := &http.Client{Transport: transport(s.Listen.Peers)}
	d.store = &store.Client{BaseURL: platform, Meter: d.meter, HTTP: client}
	d.vms = &vmlist.Client{BaseURL: platform, HTTP: client}
	d.gossip = &gossip.Table{
		Self: d.self, Seeds: s.Peers.Seeds, Meter: d.meter, Log: log, HTTP: client,
		Source: d.fillHeartbeat, Sink: d.handleHeartbeat,
	}
	d.setUpConfig()
	d.homeServices = d.newHomeServices()
	d.setUpServices()
	d.setUpListeners(token)
	return d
}

const dialTimeout = 2 * time.Second

// transport returns a transport whose connections originate from the IP address
// of the peer listener, so that peers see one address per VM.
func transport(peers string) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: sourceAddress(peers)}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: jsonhttp.DefaultIdleTimeout}
}

func (d *Daemon) setUpServices() {
	records := &job.Records{Store: d.homeServices.records}
	claims := d.homeServices.claimLedger
	d.dispatch = d.newDispatcher(claims)
	d.homeServices.router.Local = d.dispatch
	d.planner = &planner.Planner{
		DataCentre: d.settings.DataCentre, VMID: d.settings.VMID, Config: d.configManager.Current, IsPlanner: d.isReadyPlanner,
		Records: records, Claims: claims, Meter: d.meter, Log: d.log,
		HTTP: &http.Client{Transport: transport(d.settings.Listen.Peers)},
	}
	d.jobs = &job.Service{Self: d.self, Planner: d.planner, Peers: d.gossip, Records: records, Meter: d.meter}
}

func (d *Daemon) setUpListeners(token string) {
	limits := d.limits()
	d.callers = jsonhttp.NewEcho(limits, d.meter)
	c := caller.Server{
		DataCentre: d.settings.DataCentre, Requests: d.homeServices.router, Jobs: d.jobs,
		Config: d.configManager.Current, Ready: d.Ready, ServesRequests: d.configLoaded.Load, Meter: d.meter,
	}
	c.Register(d.callers)
	d.callers.GET("/readyz", d.readyz)
	d.operators = jsonhttp.NewEcho(limits, d.meter)
	o := operator.Server{Token: token, Config: d.configManager, View: d, Meter: d.meter}
	o.Register(d.operators)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&serve.Service{
		Gossip: d.gossip, Planner: d.planner, JobService: d.jobs, Config: d.configManager,
		Targets: d.listedJSON,
		Member:  d.homeServices.member, Roster: d.homeServices.roster, Forward: d.homeServices.router,
	}))
	d.peers = jsonhttp.NewServer(d.peerLimits(), d.meter, mux)
}

// Ready reports whether the VM accepts new work.
func (d *Daemon) Ready() bool { return d.configLoaded.Load() && !d.draining.Load() }

func (d *Daemon) isReadyPlanner() bool {
	if !d.Ready() {
		return false
	}
	vm := d.gossip.Planner(d.settings.DataCentre)
	return vm.GetVmId() == d.settings.VMID
}

func (d *Daemon) fillHeartbeat(hb *peerv1.HeartbeatRequest) {
	hb.From = proto.CloneOf(d.self)
	hb.From.Leaving = d.draining.Load()
	hb.ConfigVersion = d.configManager.Current().Version
	hb.From.ConfigVersion = hb.ConfigVersion
	d.fillRequests(hb)
	d.homeServices.fillRoster(hb)
}

// Run serves until ctx is done, then performs a planned stop: it refuses new work
// and finishes the accepted requests.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 3)
	if err := d.serve(failed); err != nil {
		return err
	}
	d.refreshTargets(background)
	go d.dispatch.Run(background)
	go d.loadConfig(background)
	go d.gossip.Run(background)
	go d.configManager.Run(background)
	go d.watchTargets(background)
	go d.planner.Run(background)
	go d.jobs.Run(background)
	d.homeServices.run(background)
	d.log.Info("serving", "vm", d.settings.VMID, "data_centre", d.settings.DataCentre)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	return d.drain()
}

const (
	loadRetryDelay = 500 * time.Millisecond
	// firstListTimeout bounds the first read of the platform's VM list.
	firstListTimeout = time.Second
)

// loadConfig loads the first configuration. The VM is not ready until it has
// succeeded.
func (d *Daemon) loadConfig(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.configManager.InitialSync(ctx)
		if err == nil {
			d.configLoaded.Store(true)
			d.log.Info("ready")
			return
		}
		d.recordNotReady(err)
		pause.For(ctx, loadRetryDelay)
	}
}

func (d *Daemon) refreshTargets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstListTimeout)
	defer cancel()
	a, err := d.vms.List(ctx)
	if err != nil {
		d.meter.Inc("vmlist_error")
		return
	}
	d.applyVMList(a)
}

// drain performs the planned stop.
func (d *Daemon) drain() error {
	p := drain.Plan{
		Log: d.log, Timeout: d.settings.Limits.DrainTimeout.Duration,
		Leave:     func() { d.draining.Store(true) },
		Requests:  d.dispatch,
		HandOver:  d.homeServices.leave,
		Listeners: []drain.Listener{d.callers.Server, d.operators.Server, d.peers},
	}
	return p.Run()
}

// Fleet returns the fleet as this VM sees it.
func (d *Daemon) Fleet() operator.Fleet {
	planner := d.gossip.Planner
	f := operator.Fleet{Measures: d.planner.Measures()}
	add := func(vm *peerv1.Vm, version uint64) {
		f.VMs = append(f.VMs, operator.VMStatus{
			VMID: vm.GetVmId(), DataCentre: vm.GetDataCentre(), Region: vm.GetRegion(), Leaving: vm.GetLeaving(),
			Planner: planner(vm.GetDataCentre()).GetVmId() == vm.GetVmId(), ConfigVersion: version,
		})
	}
	add(d.self, d.configManager.Current().Version)
	for _, p := range d.gossip.Live() {
		add(p.VM, p.VM.GetConfigVersion())
	}
	return f
}

// Targets returns the runners, and the workers of this data centre, as this VM
// sees them.
func (d *Daemon) Targets() operator.Targets {
	d.mu.Lock()
	defer d.mu.Unlock()
	return operator.Targets{Runners: d.dispatch.Runners(), Workers: append([]vmlist.VM(nil), d.workers...)}
}

// Accounts returns the client accounts as the planner at this VM sees them.
func (d *Daemon) Accounts() []gang.AccountStatus { return d.planner.Accounts() }
