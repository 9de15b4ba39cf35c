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

// Time limits of the heartbeat protocol.
const (
	// Interval is the time between two heartbeats to the same peer.
	Interval = time.Second
	// LivenessTimeout is the time without a heartbeat after which a peer of the
	// same data centre is no longer considered live.
	LivenessTimeout = 3 * time.Second
	// RemoteLivenessTimeout is the LivenessTimeout of a peer of another data
	// centre. It is longer because the heartbeats of such a peer are relayed by
	// two planners.
	RemoteLivenessTimeout = 9 * time.Second
	// ExpireAfter is the time without a heartbeat after which a peer is removed
	// and no longer called.
	ExpireAfter = 10 * time.Minute
	callTimeout = 800 * time.Millisecond
)

// Source sets the fields of an outgoing heartbeat that other components own.
type Source func(hb *peerv1.HeartbeatRequest)

// Sink handles a heartbeat received from a peer.
type Sink func(hb *peerv1.HeartbeatRequest)

// Peer is the state that this VM has of another VM.
type Peer struct {
	VM       *peerv1.Vm
	LastSeen time.Time
	// State is the last heartbeat received from the peer. It is nil for a peer
	// that only other VMs have reported.
	State *peerv1.HeartbeatRequest

	// identified is false while only the address is known, because no VM at
	// that address has responded yet.
	identified      bool
	livenessTimeout time.Duration
}

func (p *Peer) live() bool { return p.identified && time.Since(p.LastSeen) <= p.livenessTimeout }

// Table exchanges heartbeats with the other VMs and keeps the latest one of
// every peer. Its exported fields must be set before Run.
type Table struct {
	Self   *peerv1.Vm
	Seeds  []string
	Meter  *meter.Meter
	Log    *slog.Logger
	HTTP   *http.Client
	Source Source
	Sink   Sink

	freshOnce sync.Once
	freshHTTP *http.Client

	mu    sync.Mutex
	peers map[string]*Peer // by peer address
	wake  chan struct{}
	once  sync.Once
	// currentRound is the number of the current round of heartbeats.
	currentRound uint64
	// failedCalls counts the failed calls to each other data centre since the
	// last successful one.
	failedCalls map[string]int
	// calledBy is the time of the last heartbeat received as a call from each
	// data centre.
	calledBy map[string]time.Time
}

func (t *Table) wakeChannel() chan struct{} {
	t.once.Do(func() { t.wake = make(chan struct{}, 1) })
	return t.wake
}

// Wake starts a round of heartbeats immediately, for an update that cannot wait
// for the next regular round.
func (t *Table) Wake() {
	select {
	case t.wakeChannel() <- struct{}{}:
	default:
	}
}

// Run sends rounds of heartbeats until ctx ends.
func (t *Table) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for round := uint64(0); ; round++ {
		t.round(ctx, round)
		select {
		case <-ctx.Done():
			return
		case <-t.wakeChannel():
		case <-tick.C:
		}
	}
}

// AddAddresses adds peer addresses from the platform's list.
func (t *Table) AddAddresses(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		t.ensurePeer(a)
	}
}

// ensurePeer returns the peer at an address and adds it when it is missing. It
// returns nil for an empty address and for this VM's own. The caller must hold
// t.mu.
func (t *Table) ensurePeer(address string) *Peer {
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
	t.AddAddresses(t.Seeds)
	t.mu.Lock()
	t.currentRound = round
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
	t.recordCallResult(to, err != nil)
	if err != nil {
		t.Meter.Inc("heartbeat_lost")
		return
	}
	t.applyHeartbeat(resp.GetState())
}

// vmAt returns the VM at an address, or nil when there is no such peer.
func (t *Table) vmAt(address string) *peerv1.Vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[address]; ok {
		return p.VM
	}
	return nil
}

// Client returns a client for the peer at an address.
func (t *Table) Client(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(t.HTTP, "http://"+address)
}

// FreshClient returns a client for the peer at an address that opens a new
// connection for each call.
func (t *Table) FreshClient(address string) peerv1connect.PeerServiceClient {
	t.freshOnce.Do(func() {
		t.freshHTTP = t.HTTP
		if transport, ok := t.HTTP.Transport.(*http.Transport); ok {
			clone := transport.Clone()
			clone.DisableKeepAlives = true
			t.freshHTTP = &http.Client{Transport: clone}
		}
	})
	return peerv1connect.NewPeerServiceClient(t.freshHTTP, "http://"+address)
}

// Heartbeat returns the current heartbeat of this VM for a receiver.
func (t *Table) Heartbeat(to *peerv1.Vm) *peerv1.HeartbeatRequest {
	t.mu.Lock()
	round := t.currentRound
	t.mu.Unlock()
	hb := &peerv1.HeartbeatRequest{From: t.Self, Known: t.knownTo(to, round)}
	if t.Source != nil {
		t.Source(hb)
	}
	return hb
}

// Receive handles a heartbeat that a peer sent in a call.
func (t *Table) Receive(hb *peerv1.HeartbeatRequest) {
	t.mu.Lock()
	if t.calledBy == nil {
		t.calledBy = make(map[string]time.Time)
	}
	t.calledBy[hb.GetFrom().GetDataCentre()] = time.Now()
	t.mu.Unlock()
	t.applyHeartbeat(hb)
}

// applyHeartbeat applies a peer's heartbeat, whether the peer sent it in a call
// or in a response.
func (t *Table) applyHeartbeat(hb *peerv1.HeartbeatRequest) {
	if hb.GetFrom().GetPeerAddress() == "" {
		return
	}
	t.mu.Lock()
	p := t.ensurePeer(hb.GetFrom().GetPeerAddress())
	if p == nil {
		t.mu.Unlock()
		return
	}
	isNew := !p.identified || p.VM.GetIncarnation() != hb.GetFrom().GetIncarnation()
	p.VM, p.State, p.LastSeen, p.identified = hb.GetFrom(), hb, time.Now(), true
	p.livenessTimeout = t.livenessTimeout(p.VM)
	for _, vm := range hb.GetKnown() {
		t.applyReported(vm)
	}
	t.mu.Unlock()
	if isNew {
		t.Log.Info("peer is live", "vm", hb.GetFrom().GetVmId(), "data_centre", hb.GetFrom().GetDataCentre())
	}
	if t.Sink != nil {
		t.Sink(hb)
	}
}

func (t *Table) livenessTimeout(vm *peerv1.Vm) time.Duration {
	if vm.GetDataCentre() == t.Self.GetDataCentre() {
		return LivenessTimeout
	}
	return RemoteLivenessTimeout
}

// Live returns the live peers, ordered by VM id. It does not include this VM.
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

// VMByID returns the live VM with the given id, or nil when there is none.
func (t *Table) VMByID(vmID string) *peerv1.Vm {
	for _, p := range t.Live() {
		if p.VM.GetVmId() == vmID {
			return p.VM
		}
	}
	return nil
}

// VMsIn returns the live VMs of a data centre whose planned stop has not begun,
// ordered by VM id.
func (t *Table) VMsIn(dataCentre string) []*peerv1.Vm {
	var all []*peerv1.Vm
	for _, p := range t.Live() {
		if p.VM.GetDataCentre() == dataCentre && !p.VM.GetLeaving() {
			all = append(all, p.VM)
		}
	}
	return all
}

// Planner returns the VM that plans for a data centre: the live VM that started
// first among those whose planned stop has not begun, and the one with the
// lowest id if several started at the same time. It returns nil when there is
// none.
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
		if best == nil || startedEarlier(vm, best) {
			best = vm
		}
	}
	return best
}

func startedEarlier(a, b *peerv1.Vm) bool {
	if a.GetStartedUnixMs() != b.GetStartedUnixMs() {
		return a.GetStartedUnixMs() < b.GetStartedUnixMs()
	}
	return a.GetVmId() < b.GetVmId()
}
