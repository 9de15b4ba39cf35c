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

func (d *Daemon) setUpConfig() {
	d.configManager = &config.Manager{
		KV: d.store, Meter: d.meter, Log: d.log, DataCentre: d.settings.DataCentre,
		Peers: configPeers{d}, Watching: d.isPlannerVM, Workers: d.knownWorkers,
	}
}

// isPlannerVM reports whether this VM is the planner of its data centre. The
// planner VM also watches the store.
func (d *Daemon) isPlannerVM() bool {
	return d.gossip.Planner(d.settings.DataCentre).GetVmId() == d.settings.VMID
}

// configPeers implements config.Peers with the gossip table.
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

// Expected returns the number of other entry VMs in this data centre according to
// the platform's VM list. It returns one when the list names only VMs in other data
// centres, and the number of seeds before a list has been read.
func (p configPeers) Expected() int {
	if p.daemon.listedVMs() == nil {
		return len(p.daemon.settings.Peers.Seeds)
	}
	others, near := p.daemon.otherEntries(), 0
	for _, vm := range others {
		if vm.DataCentre == p.daemon.settings.DataCentre {
			near++
		}
	}
	return max(near, min(len(others), 1))
}

// Fetch requests the changes since a version from a peer.
func (p configPeers) Fetch(ctx context.Context, address string, have uint64) (config.Update, error) {
	resp, err := p.daemon.gossip.Client(address).FetchConfig(ctx, &peerv1.FetchConfigRequest{HaveVersion: have})
	if err != nil {
		return config.Update{}, err
	}
	return serve.DecodeUpdate(resp)
}

func (d *Daemon) setVMList(vms []vmlist.VM) { d.vmList.Store(&vms) }

func (d *Daemon) listedVMs() []vmlist.VM {
	if p := d.vmList.Load(); p != nil {
		return *p
	}
	return nil
}

// otherEntries returns the entry VMs in the platform's VM list except this one.
func (d *Daemon) otherEntries() []vmlist.VM {
	var others []vmlist.VM
	for _, vm := range d.listedVMs() {
		if vm.Role == vmlist.Entry && vm.Address != d.self.GetPeerAddress() {
			others = append(others, vm)
		}
	}
	return others
}

func (d *Daemon) knownWorkers() []config.Worker {
	var workers []config.Worker
	for _, vm := range d.listedVMs() {
		if vm.Role == vmlist.Worker && vm.Accelerators > 0 {
			workers = append(workers, config.Worker{DataCentre: vm.DataCentre, Accelerators: vm.Accelerators})
		}
	}
	return workers
}

// recordNotReady records why the VM is not ready, and logs the reason when it
// changes.
func (d *Daemon) recordNotReady(err error) {
	d.meter.Inc("config_load_retry")
	reason := err.Error()
	if old := d.notReadyReason.Swap(&reason); old == nil || *old != reason {
		d.log.Warn("not ready", "reason", reason)
	}
}

func (d *Daemon) readyz(c echo.Context) error {
	if d.Ready() {
		return c.NoContent(http.StatusNoContent)
	}
	if reason := d.notReadyReason.Load(); reason != nil && !d.configLoaded.Load() {
		return fault.New(fault.NotReady, "%s", *reason)
	}
	return fault.New(fault.NotReady, "this VM takes no new work")
}

// limits returns the limits of the caller and operator listeners.
func (d *Daemon) limits() jsonhttp.Limits {
	l := d.settings.Limits
	return jsonhttp.Limits{
		MaxBodyBytes: l.MaxBodyBytes, MaxHeaderBytes: l.MaxHeaderBytes, MaxConcurrent: l.MaxConcurrent,
		ReadTimeout: l.ReadTimeout.Duration, IdleTimeout: l.IdleTimeout.Duration,
	}
}

// maxPeerBodyBytes is the maximum size of a peer request. The largest one
// transfers all claims and records of a member that leaves.
const maxPeerBodyBytes = 64 << 20

func (d *Daemon) peerLimits() jsonhttp.Limits {
	l := d.limits()
	l.MaxBodyBytes = maxPeerBodyBytes
	return l
}

// Spread returns which VMs have reached a version of the configuration.
func (d *Daemon) Spread(version uint64) operator.Spread {
	s := operator.Spread{Version: version}
	s.Add(d.settings.VMID, d.configManager.Current().Version)
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

// Status returns the status of this VM.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{
		VMID: d.settings.VMID, DataCentre: d.settings.DataCentre, Region: d.settings.Region,
		Incarnation: d.self.GetIncarnation(), StartedUnixMS: d.self.GetStartedUnixMs(),
		Ready: d.Ready(), Draining: d.draining.Load(), Planner: d.isPlannerVM(),
		ConfigVersion: d.configManager.Current().Version, Peers: len(d.gossip.Live()),
		Alarms: operator.Alarms(d.meter.Snapshot()),
	}
	if reason := d.notReadyReason.Load(); reason != nil && !d.configLoaded.Load() {
		s.NotReadyReason = *reason
	}
	return s
}
