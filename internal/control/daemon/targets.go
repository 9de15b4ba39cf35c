package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

const peerListTimeout = time.Second

// listedJSON returns the VM list that this VM read last as JSON, nil before the
// first one.
func (d *Daemon) listedJSON() []byte {
	if d.vmList.Load() == nil {
		return nil
	}
	b, err := json.Marshal(vmlist.ListAnswer{VMs: d.listedVMs()})
	if err != nil {
		return nil
	}
	return b
}

// fetchVMListFromPeers gets the VM list from a peer, so that a VM that starts while
// the platform is unreachable knows its targets. The list has no revision, so it
// is not evidence that missing VMs are gone.
func (d *Daemon) fetchVMListFromPeers(ctx context.Context) {
	for _, p := range d.gossip.Live() {
		a, err := d.fetchVMListFrom(ctx, p.VM)
		if err != nil || len(a.VMs) == 0 {
			d.meter.Inc("vmlist_peer_error")
			continue
		}
		d.meter.Inc("vmlist_from_peer")
		d.setListedTargets(a.VMs)
		return
	}
}

func (d *Daemon) fetchVMListFrom(ctx context.Context, vm *peerv1.Vm) (vmlist.ListAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerListTimeout)
	defer cancel()
	var a vmlist.ListAnswer
	resp, err := d.gossip.Client(vm.GetPeerAddress()).ListTargets(ctx, &peerv1.ListTargetsRequest{})
	if err != nil || len(resp.GetList()) == 0 {
		return a, err
	}
	err = json.Unmarshal(resp.GetList(), &a)
	return a, err
}

// applyVMList passes a VM list of the platform to the roster and to the components
// that call the listed VMs.
func (d *Daemon) applyVMList(a vmlist.ListAnswer) {
	d.homeServices.applyVMList(a)
	d.setListedTargets(a.VMs)
}

// setListedTargets passes the listed VMs to the components that call them.
func (d *Daemon) setListedTargets(vms []vmlist.VM) {
	var runners, workers, allWorkers, entries []vmlist.VM
	var peers []string
	for _, vm := range vms {
		switch vm.Role {
		case vmlist.Runner:
			runners = append(runners, vm)
		case vmlist.Worker:
			allWorkers = append(allWorkers, vm)
			if vm.DataCentre == d.settings.DataCentre {
				workers = append(workers, vm)
			}
		case vmlist.Entry:
			peers = append(peers, vm.Address)
			entries = append(entries, vm)
		}
	}
	d.gossip.AddAddresses(peers)
	d.setVMList(vms)
	d.dispatch.SetEntryVMs(entries)
	d.dispatch.SetRunners(runners)
	d.planner.SetWorkers(workers)
	d.jobs.SetWorkers(allWorkers)
	d.mu.Lock()
	d.workers = workers
	d.mu.Unlock()
}
