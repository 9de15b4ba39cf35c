package daemon

import (
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/dispatch"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// newDispatcher returns the dispatcher of callers' requests.
func (d *Daemon) newDispatcher(claims dispatch.Claimer) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		VM: d.settings.VMID, DataCentre: d.settings.DataCentre, Region: d.settings.Region,
		Config: d.configManager.Current, Claims: claims, Meter: d.meter, Log: d.log, Peers: d.peerReports,
		LocalAddr: sourceAddress(d.settings.Listen.Peers),
	}
}

// sourceAddress returns the IP address of a listener as the source address of
// connections, or nil when the listener is not bound to one address.
func sourceAddress(listener string) net.Addr {
	ap, err := netip.ParseAddrPort(listener)
	if err != nil || ap.Addr().IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ap.Addr(), 0))
}

// fillRequests adds the demand and the leaving targets to a heartbeat.
func (d *Daemon) fillRequests(hb *peerv1.HeartbeatRequest) {
	for _, r := range d.dispatch.Demand() {
		hb.Demand = append(hb.Demand, &peerv1.Demand{
			DataCentre: d.settings.DataCentre, Service: r.Service, ClientAccount: r.Account,
			Waiting: int32(math.Round(r.Waiting)), Running: int32(math.Ceil(r.Running)),
		})
	}
	for id, seen := range d.dispatch.Leaving() {
		hb.Leaving = append(hb.Leaving, &peerv1.LeavingTarget{TargetId: id, SeenUnixMs: seen.UnixMilli()})
	}
}

// handleHeartbeat applies a peer's roster state and leaving targets.
func (d *Daemon) handleHeartbeat(hb *peerv1.HeartbeatRequest) {
	d.homeServices.handleRoster(hb)
	for _, t := range hb.GetLeaving() {
		d.dispatch.MarkLeaving(t.GetTargetId(), time.UnixMilli(t.GetSeenUnixMs()))
	}
}

// peerReports returns the demand that the live peers reported.
func (d *Daemon) peerReports() []dispatch.DemandReport {
	var all []dispatch.DemandReport
	for _, p := range d.gossip.Live() {
		r := dispatch.DemandReport{VM: p.VM.GetVmId(), DataCentre: p.VM.GetDataCentre(), Leaving: p.VM.GetLeaving()}
		for _, row := range p.State.GetDemand() {
			if row.GetService() == "" {
				continue
			}
			r.Rows = append(r.Rows, dispatch.DemandRow{
				Service: row.GetService(), Account: row.GetClientAccount(),
				Waiting: float64(row.GetWaiting()), Running: float64(row.GetRunning()),
			})
		}
		all = append(all, r)
	}
	return all
}
