package daemon

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/operator"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/serve"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

func (d *Daemon) joinConfiguration() {
	d.keeper = &config.Keeper{
		KV: d.store, Meter: d.meter, Log: d.log, DataCentre: d.settings.DataCentre,
		Peers: configPeers{d}, Watching: d.plansHere, Workers: d.knownWorkers,
	}
}

// plansHere reports whether this VM plans for its data centre; that VM watches
// the store.
func (d *Daemon) plansHere() bool {
	return d.gossip.Planner(d.settings.DataCentre).GetVmId() == d.settings.VMID
}

// configPeers are the peers as the configuration needs them.
type configPeers struct{ daemon *Daemon }

// Live returns the live peers with the versions that they report.
func (p configPeers) Live() []config.Peer {
	live := p.daemon.gossip.Live()
	peers := make([]config.Peer, len(live))
	for i, l := range live {
		peers[i] = config.Peer{
			VMID: l.VM.GetVmId(), DataCentre: l.VM.GetDataCentre(),
			Address: l.VM.GetPeerAddress(), Version: l.VM.GetConfigVersion(),
		}
	}
	return peers
}

// Expected returns the number of peers that the platform's list names or, while
// it is unknown, the seeds.
func (p configPeers) Expected() int {
	if p.daemon.list() == nil {
		return len(p.daemon.settings.Peers.Seeds)
	}
	return len(p.daemon.otherEntries())
}

// Fetch asks a peer for what changed since a version.
func (p configPeers) Fetch(ctx context.Context, address string, have uint64) (config.Update, error) {
	resp, err := p.daemon.gossip.Client(address).FetchConfig(ctx, &peerv1.FetchConfigRequest{HaveVersion: have})
	if err != nil {
		return config.Update{}, err
	}
	return serve.DecodeUpdate(resp)
}

func (d *Daemon) setTargets(vms []vmlist.VM) { d.listed.Store(&vms) }

func (d *Daemon) list() []vmlist.VM {
	if p := d.listed.Load(); p != nil {
		return *p
	}
	return nil
}

// otherEntries returns the other entry VMs of the platform's list.
func (d *Daemon) otherEntries() []vmlist.VM {
	var others []vmlist.VM
	for _, vm := range d.list() {
		if vm.Role == vmlist.Entry && vm.Address != d.self.GetPeerAddress() {
			others = append(others, vm)
		}
	}
	return others
}

func (d *Daemon) knownWorkers() []config.Worker {
	var workers []config.Worker
	for _, vm := range d.list() {
		if vm.Role == vmlist.Worker && vm.Accelerators > 0 {
			workers = append(workers, config.Worker{DataCentre: vm.DataCentre, Accelerators: vm.Accelerators})
		}
	}
	return workers
}

// notReady keeps the reason why the VM is not ready and logs it when it changes.
func (d *Daemon) notReady(err error) {
	d.meter.Inc("config_load_retry")
	reason := err.Error()
	if old := d.lacking.Swap(&reason); old == nil || *old != reason {
		d.log.Warn("not ready", "reason", reason)
	}
}

func (d *Daemon) readyz(c echo.Context) error {
	if d.Ready() {
		return c.NoContent(http.StatusNoContent)
	}
	if reason := d.lacking.Load(); reason != nil && !d.loaded.Load() {
		return fault.New(fault.NotReady, "%s", *reason)
	}
	return fault.New(fault.NotReady, "this VM takes no new work")
}

// limits returns the limits of the callers' and operators' listeners.
func (d *Daemon) limits() jsonhttp.Limits {
	l := d.settings.Limits
	return jsonhttp.Limits{
		MaxBodyBytes: l.MaxBodyBytes, MaxHeaderBytes: l.MaxHeaderBytes, MaxConcurrent: l.MaxConcurrent,
		ReadTimeout: l.ReadTimeout.Duration, IdleTimeout: l.IdleTimeout.Duration,
	}
}

// maxPeerBodyBytes is the largest body that a peer sends: all claims and
// records of a member that leaves.
const maxPeerBodyBytes = 64 << 20

func (d *Daemon) peerLimits() jsonhttp.Limits {
	l := d.limits()
	l.MaxBodyBytes = maxPeerBodyBytes
	return l
}

// Spread tells which VMs have reached a version of the configuration.
func (d *Daemon) Spread(version uint64) operator.Spread {
	s := operator.Spread{Version: version}
	s.Add(d.settings.VMID, d.keeper.Current().Version)
	heard := make(map[string]bool)
	for _, p := range d.gossip.Live() {
		heard[p.VM.GetPeerAddress()] = true
		s.Add(p.VM.GetVmId(), p.VM.GetConfigVersion())
	}
	for _, vm := range d.otherEntries() {
		if !heard[vm.Address] {
			s.Unreachable = append(s.Unreachable, vm.ID)
		}
	}
	return s
}

// Status returns what this VM says of itself.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{
		VMID: d.settings.VMID, DataCentre: d.settings.DataCentre, Region: d.settings.Region,
		Incarnation: d.self.GetIncarnation(), StartedUnixMS: d.self.GetStartedUnixMs(),
		Ready: d.Ready(), Draining: d.draining.Load(), Planner: d.plansHere(),
		ConfigVersion: d.keeper.Current().Version, Peers: len(d.gossip.Live()),
		Alarms: operator.Alarms(d.meter.Snapshot()),
	}
	if reason := d.lacking.Load(); reason != nil && !d.loaded.Load() {
		s.Lacking = *reason
	}
	return s
}
