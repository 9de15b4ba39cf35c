package network

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/roster"
)

// DataCentre is the data centre of all VMs of a Fleet.
const DataCentre = "uppland-1"

const (
	heartbeatInterval = time.Second
	storeTimeout      = 2 * time.Second
	retryHorizon      = time.Hour
)

// VM is one incarnation of a VM with its components of the claim protocol.
type VM struct {
	ID          string
	Incarnation string
	Member      *claim.Member
	Ledger      *claim.Ledger
	Roster      *roster.Manager
	Meter       *meter.Meter

	ctx  context.Context
	stop context.CancelFunc
}

// Alive reports whether the VM's process is running.
func (v *VM) Alive() bool { return v.ctx.Err() == nil }

// Context returns the context that is cancelled when the VM's process ends.
func (v *VM) Context() context.Context { return v.ctx }

// Fleet is the set of VMs of one data centre on one network.
type Fleet struct {
	Network *Network
	// OnStart is called with every new member before it is used.
	OnStart func(m *claim.Member)

	mu     sync.Mutex
	vms    map[string]*VM
	vmList roster.List
	starts int
	tokens int
}

// Start starts a new process on a VM and stops the previous one, if any.
func (f *Fleet) Start(id string) *VM {
	f.mu.Lock()
	if old := f.vms[id]; old != nil {
		old.stop()
	}
	f.starts++
	v := f.build(id, fmt.Sprintf("%s#%d", id, f.starts))
	if f.vms == nil {
		f.vms = make(map[string]*VM)
	}
	f.vms[id] = v
	list := f.vmList
	f.mu.Unlock()
	if f.OnStart != nil {
		f.OnStart(v.Member)
	}
	v.Roster.SetList(list)
	go v.Ledger.Run(v.ctx)
	go v.Roster.Run(v.ctx)
	go f.sendHeartbeats(v)
	return v
}

func (f *Fleet) build(id, incarnation string) *VM {
	v := &VM{ID: id, Incarnation: incarnation, Meter: &meter.Meter{}}
	v.ctx, v.stop = context.WithCancel(context.Background())
	self := &peerv1.Vm{VmId: id, Incarnation: incarnation, DataCentre: DataCentre, PeerAddress: id}
	kv := &Store{Network: f.Network, VM: id, Timeout: storeTimeout}
	peers := &peerClient{fleet: f, from: id}
	v.Member = &claim.Member{Self: self}
	v.Roster = &roster.Manager{
		Self: self, Member: v.Member, KV: kv, Peers: peers, Meter: v.Meter, Log: slog.New(slog.DiscardHandler),
		NewToken: f.newToken, Horizon: func() time.Duration { return retryHorizon },
		Jitter: func(d time.Duration) time.Duration { return d },
	}
	v.Ledger = &claim.Ledger{
		Self: self, KV: kv, Meter: v.Meter, NewToken: f.newToken, Member: v.Member, Peers: peers,
		Find:    func(vmID string) *peerv1.Vm { return &peerv1.Vm{VmId: vmID} },
		Refresh: func(ctx context.Context) { _ = v.Roster.Refresh(ctx) },
	}
	v.Roster.OnEvict = v.Ledger.QueueOrphans
	return v
}

func (f *Fleet) newToken() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens++
	return fmt.Sprintf("token-%d", f.tokens)
}

// Replace stops a VM and starts another one with a new ID.
func (f *Fleet) Replace(id, newID string) *VM {
	f.mu.Lock()
	if old := f.vms[id]; old != nil {
		old.stop()
		delete(f.vms, id)
	}
	f.mu.Unlock()
	f.SetListed(id, false)
	f.SetListed(newID, true)
	return f.Start(newID)
}

// SetListed adds a VM to the platform's VM list or removes it.
func (f *Fleet) SetListed(id string, present bool) {
	f.mu.Lock()
	list := roster.List{Revision: f.vmList.Revision + 1, Present: make(map[string]bool)}
	for other := range f.vmList.Present {
		list.Present[other] = true
	}
	delete(list.Present, id)
	if present {
		list.Present[id] = true
	}
	f.vmList = list
	var all []*VM
	for _, v := range f.vms {
		all = append(all, v)
	}
	f.mu.Unlock()
	for _, v := range all {
		v.Roster.SetList(list)
	}
}

// VM returns the latest process of a VM, or nil if there is none.
func (f *Fleet) VM(id string) *VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[id]
}

// VMs returns the latest process of each VM, by VM ID.
func (f *Fleet) VMs() map[string]*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]*VM, len(f.vms))
	for id, v := range f.vms {
		all[id] = v
	}
	return all
}

// Close heals the network and stops all processes.
func (f *Fleet) Close() {
	f.Network.Heal()
	for _, v := range f.VMs() {
		v.stop()
	}
}

func (f *Fleet) sendHeartbeats(v *VM) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case <-tick.C:
			f.sendHeartbeat(v)
		}
	}
}

func (f *Fleet) sendHeartbeat(v *VM) {
	dead, version := v.Roster.ProvenDead(), v.Member.RosterVersion()
	for id, to := range f.VMs() {
		if id == v.ID || f.Network.isCut(v.ID, id) {
			continue
		}
		go func() {
			time.Sleep(maxLatency)
			f.Network.WaitWhilePaused(v.ID)
			f.Network.WaitWhilePaused(id)
			to.Roster.ApplyHeartbeat(dead, version)
		}()
	}
}

// peerClient calls the process that runs on a VM when the call is executed there.
type peerClient struct {
	fleet *Fleet
	from  string
}

func (p *peerClient) call(ctx context.Context, to string, effect func(v *VM)) error {
	reached := false
	err := p.fleet.Network.Call(ctx, p.from, to, func() {
		if v := p.fleet.VM(to); v != nil && v.Alive() {
			reached = true
			effect(v)
		}
	})
	if err == nil && !reached {
		return errNotExecuted
	}
	return err
}

func (p *peerClient) Claim(ctx context.Context, to *peerv1.Vm, in *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	var resp *peerv1.ClaimResponse
	in = proto.CloneOf(in)
	if err := p.call(ctx, to.GetVmId(), func(v *VM) { resp = v.Member.Grant(in, time.Now()) }); err != nil {
		return nil, err
	}
	return resp, nil
}

func (p *peerClient) QueryClaim(ctx context.Context, to *peerv1.Vm, in *peerv1.QueryClaimRequest) (*peerv1.QueryClaimResponse, error) {
	var resp *peerv1.QueryClaimResponse
	if err := p.call(ctx, to.GetVmId(), func(v *VM) { resp = v.Member.AnswerQuery(in) }); err != nil {
		return nil, err
	}
	return resp, nil
}

func (p *peerClient) Leave(ctx context.Context, to *peerv1.Vm, in *peerv1.LeaveRequest) error {
	in = proto.CloneOf(in)
	return p.call(ctx, to.GetVmId(), func(v *VM) { v.Roster.HandleLeave(in) })
}

func (p *peerClient) Join(ctx context.Context, to *peerv1.Vm, in *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	var resp *peerv1.JoinResponse
	in = proto.CloneOf(in)
	if err := p.call(ctx, to.GetVmId(), func(v *VM) { resp = v.Roster.Acknowledge(in) }); err != nil {
		return nil, err
	}
	return resp, nil
}
