// Package gossip exchanges heartbeats between the daemons.
package gossip

import (
	"context"
	"log/slog"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// Times of the heartbeat protocol.
const (
	// Interval is the time between two heartbeats of a pair of VMs in one data
	// centre, and in different ones while there are few of these pairs.
	Interval = time.Second
	// silentIntervals is the number of intervals without a heartbeat after
	// which a peer is not counted as live.
	silentIntervals = 3
	// remotePerInterval is the number of exchanges with other data centres in
	// one interval; with more VMs there, each pair exchanges less often.
	remotePerInterval = 7
	// knownTime is how long a VM tells whom it knows after it met a new peer,
	// and knownRounds the number of rounds between two such lists otherwise.
	knownTime   = 5 * time.Second
	knownRounds = 30
	// ForgetAfter is the time without a heartbeat after which a peer is no
	// longer called.
	ForgetAfter = 10 * time.Minute
	callTimeout = 800 * time.Millisecond
)

// Source fills the parts of a heartbeat that other duties own.
type Source func(hb *peerv1.HeartbeatRequest)

// Sink takes a heartbeat that came from a peer.
type Sink func(hb *peerv1.HeartbeatRequest)

// Peer is what this VM knows of another one.
type Peer struct {
	VM       *peerv1.Vm
	LastSeen time.Time
	State    *peerv1.HeartbeatRequest
}

// Table exchanges heartbeats and keeps the latest of every peer. Its fields are
// set before Run.
type Table struct {
	Self   *peerv1.Vm
	Seeds  []string
	Meter  *meter.Meter
	Log    *slog.Logger
	HTTP   *http.Client
	Source Source
	Sink   Sink

	freshOnce sync.Once
	fresh     *http.Client

	mu    sync.Mutex
	peers map[string]*Peer // by peer address
	// rounds counts the rounds of heartbeats.
	rounds int
	// metNew is when this VM last heard of a new incarnation.
	metNew time.Time
}

// Run sends heartbeats until ctx ends.
func (t *Table) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		t.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Addresses adds peer addresses that were learnt from the platform's list.
func (t *Table) Addresses(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		t.add(a)
	}
}

// add makes a peer known. t.mu is held.
func (t *Table) add(address string) *Peer {
	if t.peers == nil {
		t.peers = make(map[string]*Peer)
	}
	if address == t.Self.PeerAddress || address == "" {
		return nil
	}
	p, ok := t.peers[address]
	if !ok {
		p = &Peer{VM: &peerv1.Vm{PeerAddress: address}, LastSeen: time.Now()}
		t.peers[address] = p
	}
	return p
}

func (t *Table) round(ctx context.Context) {
	t.Addresses(t.Seeds)
	hb := t.Heartbeat()
	var wg sync.WaitGroup
	for _, address := range t.due() {
		wg.Go(func() { t.call(ctx, address, hb) })
	}
	wg.Wait()
}

// due returns the peers with which no heartbeat was exchanged lately. One
// exchange serves both ends, so usually one of the two calls.
func (t *Table) due() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rounds++
	remote := t.remoteInterval()
	var all []string
	for a, p := range t.peers {
		if time.Since(p.LastSeen) > ForgetAfter {
			delete(t.peers, a)
			continue
		}
		interval := Interval
		if t.isRemote(p) {
			interval = remote
		}
		if p.State == nil || time.Since(p.LastSeen) > interval*3/5 {
			all = append(all, a)
		}
	}
	return all
}

// isRemote reports whether a peer is known to be in another data centre.
func (t *Table) isRemote(p *Peer) bool {
	return p.State != nil && p.VM.GetDataCentre() != t.Self.GetDataCentre()
}

// remoteInterval returns the time between two heartbeats of a pair in different
// data centres. t.mu is held.
func (t *Table) remoteInterval() time.Duration {
	remote := 0
	for _, p := range t.peers {
		if t.isRemote(p) {
			remote++
		}
	}
	return max(Interval, Interval*time.Duration(remote)/remotePerInterval)
}

func (t *Table) call(ctx context.Context, address string, hb *peerv1.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := t.Client(address).Heartbeat(ctx, hb)
	if err != nil {
		t.Meter.Inc("heartbeat_lost")
		return
	}
	t.Receive(resp.GetState())
}

// Client returns a client of the peer at an address.
func (t *Table) Client(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(t.HTTP, "http://"+address)
}

// FreshClient returns a client of the peer at an address that opens a
// connection for each call.
func (t *Table) FreshClient(address string) peerv1connect.PeerServiceClient {
	t.freshOnce.Do(func() {
		t.fresh = t.HTTP
		if transport, ok := t.HTTP.Transport.(*http.Transport); ok {
			clone := transport.Clone()
			clone.DisableKeepAlives = true
			t.fresh = &http.Client{Transport: clone}
		}
	})
	return peerv1connect.NewPeerServiceClient(t.fresh, "http://"+address)
}

// Heartbeat returns this VM's current heartbeat.
func (t *Table) Heartbeat() *peerv1.HeartbeatRequest {
	hb := &peerv1.HeartbeatRequest{From: t.Self}
	if t.tellsKnown() {
		for _, p := range t.Live() {
			hb.Known = append(hb.Known, p.VM)
		}
	}
	if t.Source != nil {
		t.Source(hb)
	}
	return hb
}

// tellsKnown reports whether a heartbeat lists the known peers. The platform's
// list tells them too, so a list now and then is enough.
func (t *Table) tellsKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rounds%knownRounds == 0 || time.Since(t.metNew) < knownTime
}

// Receive takes a peer's heartbeat.
func (t *Table) Receive(hb *peerv1.HeartbeatRequest) {
	if hb.GetFrom().GetPeerAddress() == "" {
		return
	}
	t.mu.Lock()
	p := t.add(hb.GetFrom().GetPeerAddress())
	if p == nil {
		t.mu.Unlock()
		return
	}
	fresh := p.State == nil || p.VM.GetIncarnation() != hb.GetFrom().GetIncarnation()
	if fresh {
		t.metNew = time.Now()
	}
	p.VM, p.State, p.LastSeen = hb.GetFrom(), hb, time.Now()
	for _, vm := range hb.GetKnown() {
		t.add(vm.GetPeerAddress())
	}
	t.mu.Unlock()
	if fresh {
		t.Log.Info("peer is live", "vm", p.VM.GetVmId(), "data_centre", p.VM.GetDataCentre())
	}
	if t.Sink != nil {
		t.Sink(hb)
	}
}

// Live returns the peers heard of within three intervals, ordered by VM id.
// This VM itself is not among them.
func (t *Table) Live() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Peer
	remote := t.remoteInterval()
	for _, p := range t.peers {
		interval := Interval
		if t.isRemote(p) {
			interval = remote
		}
		if p.State != nil && time.Since(p.LastSeen) <= silentIntervals*interval {
			live = append(live, *p)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].VM.GetVmId() < live[j].VM.GetVmId() })
	return live
}

// ByID returns the live VM of an id, nil when none is.
func (t *Table) ByID(vmID string) *peerv1.Vm {
	for _, p := range t.Live() {
		if p.VM.GetVmId() == vmID {
			return p.VM
		}
	}
	return nil
}

// In returns the live VMs of a data centre that do not leave, ordered by VM id.
func (t *Table) In(dataCentre string) []*peerv1.Vm {
	var all []*peerv1.Vm
	for _, p := range t.Live() {
		if p.VM.GetDataCentre() == dataCentre && !p.VM.GetLeaving() {
			all = append(all, p.VM)
		}
	}
	return all
}

// Planner returns the VM that plans for a data centre: the longest-standing
// live one that does not leave, ties by VM id. It is nil when none is live.
func (t *Table) Planner(dataCentre string) *peerv1.Vm {
	var best *peerv1.Vm
	candidates := []*peerv1.Vm{t.Self}
	for _, p := range t.Live() {
		candidates = append(candidates, p.VM)
	}
	for _, vm := range candidates {
		if vm.GetDataCentre() != dataCentre || vm.GetLeaving() {
			continue
		}
		if best == nil || standsLonger(vm, best) {
			best = vm
		}
	}
	return best
}

func standsLonger(a, b *peerv1.Vm) bool {
	if a.GetStartedUnixMs() != b.GetStartedUnixMs() {
		return a.GetStartedUnixMs() < b.GetStartedUnixMs()
	}
	return a.GetVmId() < b.GetVmId()
}
