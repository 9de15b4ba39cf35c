package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

const peerListTimeout = time.Second

// listedJSON returns the platform's list as this VM last read it, nil when it
// read none.
func (d *Daemon) listedJSON() []byte {
	if d.listed.Load() == nil {
		return nil
	}
	b, err := json.Marshal(vmlist.ListAnswer{VMs: d.list()})
	if err != nil {
		return nil
	}
	return b
}

// listFromPeers takes the platform's list from a peer. A VM that starts while it
// cannot reach the platform knows its targets by this. The list has no revision:
// it proves nothing about VMs that are gone.
func (d *Daemon) listFromPeers(ctx context.Context) {
	for _, p := range d.gossip.Live() {
		a, err := d.listFrom(ctx, p.VM)
		if err != nil || len(a.VMs) == 0 {
			d.meter.Inc("vmlist_peer_error")
			continue
		}
		d.meter.Inc("vmlist_from_peer")
		d.setListedTargets(a.VMs)
		return
	}
}

func (d *Daemon) listFrom(ctx context.Context, vm *peerv1.Vm) (vmlist.ListAnswer, error) {
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

// takeList takes the platform's list.
func (d *Daemon) takeList(a vmlist.ListAnswer) {
	d.homes.takeList(a)
	d.setListedTargets(a.VMs)
}

// setListedTargets gives the listed VMs to the duties that call them.
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
	d.gossip.Addresses(peers)
	d.setTargets(vms)
	d.dispatch.SetEntryVMs(entries)
	d.dispatch.SetRunners(runners)
	d.planner.SetWorkers(workers)
	d.desk.SetWorkers(allWorkers)
	d.mu.Lock()
	d.workers = workers
	d.mu.Unlock()
}
