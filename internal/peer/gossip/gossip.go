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
	// Interval is the time between two heartbeats to one peer.
	Interval = time.Second
	// SilentAfter is the time without a heartbeat after which a peer of the
	// same data centre is not counted as live.
	SilentAfter = 3 * time.Second
	// RemoteSilentAfter is the same for a peer of another data centre, whose
	// heartbeats come through two planners.
	RemoteSilentAfter = 9 * time.Second
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
	// State is the peer's last heartbeat; nil for a peer that is known through
	// others only.
	State *peerv1.HeartbeatRequest

	// heard is false for a bare address that nobody has answered at.
	heard       bool
	silentAfter time.Duration
}

func (p *Peer) live() bool { return p.heard && time.Since(p.LastSeen) <= p.silentAfter }

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
	nudge chan struct{}
	once  sync.Once
	// rounds is the number of the current round.
	rounds uint64
	// misses counts the failed calls to each other data centre since the last
	// one that was answered.
	misses map[string]int
	// calledBy is the time of the last call from each other data centre.
	calledBy map[string]time.Time
}

func (t *Table) nudges() chan struct{} {
	t.once.Do(func() { t.nudge = make(chan struct{}, 1) })
	return t.nudge
}

// Nudge starts a round at once, to spread news that cannot wait for the next.
func (t *Table) Nudge() {
	select {
	case t.nudges() <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends.
func (t *Table) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for round := uint64(0); ; round++ {
		t.round(ctx, round)
		select {
		case <-ctx.Done():
			return
		case <-t.nudges():
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

func (t *Table) round(ctx context.Context, round uint64) {
	t.Addresses(t.Seeds)
	t.mu.Lock()
	t.rounds = round
	t.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range t.receivers(round) {
		wg.Go(func() { t.call(ctx, address) })
	}
	wg.Wait()
}

func (t *Table) call(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.Meter.Inc("heartbeat_sent")
	to := t.vmAt(address)
	resp, err := t.Client(address).Heartbeat(ctx, t.Heartbeat(to))
	t.countMiss(to, err != nil)
	if err != nil {
		t.Meter.Inc("heartbeat_lost")
		return
	}
	t.take(resp.GetState())
}

// vmAt returns what is known of the VM at an address.
func (t *Table) vmAt(address string) *peerv1.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[address]; ok {
		return p.VM
	}
	return nil
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

// Heartbeat returns this VM's current heartbeat to a receiver.
func (t *Table) Heartbeat(to *peerv1.Vm) *peerv1.HeartbeatRequest {
	t.mu.Lock()
	round := t.rounds
	t.mu.Unlock()
	hb := &peerv1.HeartbeatRequest{From: t.Self, Known: t.known(to, round)}
	if t.Source != nil {
		t.Source(hb)
	}
	return hb
}

// Receive takes a heartbeat of a peer that calls.
func (t *Table) Receive(hb *peerv1.HeartbeatRequest) {
	t.mu.Lock()
	if t.calledBy == nil {
		t.calledBy = make(map[string]time.Time)
	}
	t.calledBy[hb.GetFrom().GetDataCentre()] = time.Now()
	t.mu.Unlock()
	t.take(hb)
}

// take takes a peer's heartbeat, sent or answered.
func (t *Table) take(hb *peerv1.HeartbeatRequest) {
	if hb.GetFrom().GetPeerAddress() == "" {
		return
	}
	t.mu.Lock()
	p := t.add(hb.GetFrom().GetPeerAddress())
	if p == nil {
		t.mu.Unlock()
		return
	}
	fresh := !p.heard || p.VM.GetIncarnation() != hb.GetFrom().GetIncarnation()
	p.VM, p.State, p.LastSeen, p.heard = hb.GetFrom(), hb, time.Now(), true
	p.silentAfter = t.silentAfter(p.VM)
	for _, vm := range hb.GetKnown() {
		t.learn(vm)
	}
	t.mu.Unlock()
	if fresh {
		t.Log.Info("peer is live", "vm", hb.GetFrom().GetVmId(), "data_centre", hb.GetFrom().GetDataCentre())
	}
	if t.Sink != nil {
		t.Sink(hb)
	}
}

func (t *Table) silentAfter(vm *peerv1.Vm) time.Duration {
	if vm.GetDataCentre() == t.Self.GetDataCentre() {
		return SilentAfter
	}
	return RemoteSilentAfter
}

// Live returns the peers heard of lately, ordered by VM id. This
// VM itself is not among them.
func (t *Table) Live() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Peer
	for _, p := range t.peers {
		if p.live() {
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
