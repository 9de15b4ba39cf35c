// Package roster keeps a VM in the roster of its data centre: the store's
// record of the VMs that claim keys whose home is the data centre.
package roster

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Times of the roster protocol.
const (
	// pendingTimeout is how long a joiner may collect acknowledgements before
	// another VM takes its place.
	pendingTimeout = 30 * time.Second
	// joinTimeout bounds one member's acknowledgement.
	joinTimeout = 2 * time.Second
	// pageLimit is the number of claims read from the store in one call.
	pageLimit = 500
)

// KV is the part of the store that the roster needs.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
	ListPage(ctx context.Context, prefix, after string, limit int) ([]store.Entry, bool, error)
}

// Peers calls other members.
type Peers interface {
	Join(ctx context.Context, to *peerv1.Vm, in *peerv1.JoinRequest) (*peerv1.JoinResponse, error)
	Leave(ctx context.Context, to *peerv1.Vm, in *peerv1.LeaveRequest) error
}

// List is the platform's list of entry VMs.
type List struct {
	Revision uint64
	// Present holds the ids of the listed VMs.
	Present map[string]bool
}

// Keeper keeps this VM in its roster. Its exported fields are set before use.
type Keeper struct {
	Self   *peerv1.Vm
	Member *claim.Member
	KV     KV
	Peers  Peers
	Meter  *meter.Meter
	Log    *slog.Logger
	// NewToken returns a token that was never used before.
	NewToken func() string
	// Horizon is the time in which keys are refused after a roster was lost
	// whole.
	Horizon func() time.Duration
	// Jitter shortens a delay; by a random share up to a half when nil.
	Jitter func(d time.Duration) time.Duration
	// OnEvict is called after members were evicted; nil for nothing.
	OnEvict func()

	mu           sync.Mutex
	list         List
	pending      string // incarnation
	pendingSince time.Time
	changed      chan struct{}
	// heard is the highest roster version that a peer told.
	heard uint64
}

// Key returns the store's key of a data centre's roster.
func Key(dataCentre string) string { return "rosters/" + dataCentre }

// SetList takes the platform's list.
func (k *Keeper) SetList(l List) {
	k.mu.Lock()
	k.list = l
	k.mu.Unlock()
	k.Wake()
}

func (k *Keeper) listed() List {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list
}

// snapshot is the store's record with its revision.
type snapshot struct {
	roster   *peerv1.Roster
	revision uint64
}

func (k *Keeper) read(ctx context.Context) (snapshot, error) {
	s := snapshot{roster: &peerv1.Roster{DataCentre: k.Self.GetDataCentre()}}
	e, found, err := k.KV.Get(ctx, Key(k.Self.GetDataCentre()))
	if err != nil || !found {
		return s, err
	}
	if err := proto.Unmarshal(e.Value, s.roster); err != nil {
		return s, fault.Wrap(fault.Internal, err, "decode %s", e.Key)
	}
	s.revision = e.Revision
	return s, nil
}

// Refresh reads the roster from the store.
func (k *Keeper) Refresh(ctx context.Context) error {
	s, err := k.read(ctx)
	if err != nil {
		return err
	}
	k.Member.Adopt(s.roster)
	k.Meter.Set("roster_version", int64(s.roster.GetVersion()))
	return nil
}

// write writes the roster that follows a snapshot. A write whose answer was
// lost is resolved by its token.
func (k *Keeper) write(ctx context.Context, s snapshot, next *peerv1.Roster) (snapshot, error) {
	next.WriteToken = k.NewToken()
	value, err := proto.Marshal(next)
	if err != nil {
		return s, fault.Wrap(fault.Internal, err, "encode roster")
	}
	rev, err := k.KV.Put(ctx, Key(next.GetDataCentre()), value, s.revision)
	if err == nil {
		return snapshot{next, rev}, nil
	}
	if fault.Is(err, fault.StoreUnavailable) {
		return s, err
	}
	now, readErr := k.read(ctx)
	if readErr != nil {
		return s, readErr
	}
	if now.roster.GetWriteToken() == next.GetWriteToken() {
		k.Meter.Inc("roster_answer_recovered")
		return now, nil
	}
	return s, err
}

// provenDead returns the incarnations of a roster that are proven dead.
func (k *Keeper) provenDead(r *peerv1.Roster) []string {
	list := k.listed()
	var dead []string
	for _, vm := range append(r.GetMembers(), r.GetPending()) {
		if vm != nil && k.isDead(vm, list) {
			dead = append(dead, vm.GetIncarnation())
		}
	}
	k.Member.AddDead(dead)
	return dead
}

// isDead reports whether a VM is proven dead: this process holds its port, a
// peer proved it, or the platform's list no longer has it. Silence proves
// nothing.
func (k *Keeper) isDead(vm *peerv1.Vm, list List) bool {
	if vm.GetIncarnation() == k.Self.GetIncarnation() {
		return false
	}
	if vm.GetVmId() == k.Self.GetVmId() || k.Member.Dead(vm.GetIncarnation()) {
		return true
	}
	shown := vm.GetListedRevision() > 0 && list.Revision >= vm.GetListedRevision()
	return shown && !list.Present[vm.GetVmId()]
}

func without(vms []*peerv1.Vm, dead []string) []*peerv1.Vm {
	gone := make(map[string]bool)
	for _, inc := range dead {
		gone[inc] = true
	}
	var left []*peerv1.Vm
	for _, vm := range vms {
		if !gone[vm.GetIncarnation()] {
			left = append(left, vm)
		}
	}
	return left
}

// pendingOther reports whether another VM is joining that is neither proven
// dead nor overdue.
func (k *Keeper) pendingOther(r *peerv1.Roster, dead []string) bool {
	p := r.GetPending()
	if p == nil || p.GetIncarnation() == k.Self.GetIncarnation() {
		return false
	}
	if len(without([]*peerv1.Vm{p}, dead)) == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending != p.GetIncarnation() {
		k.pending, k.pendingSince = p.GetIncarnation(), time.Now()
	}
	return time.Since(k.pendingSince) < pendingTimeout
}

// load holds the claims in the store whose owners are not living members.
func (k *Keeper) load(ctx context.Context, living []*peerv1.Vm) error {
	after := ""
	for {
		entries, more, err := k.KV.ListPage(ctx, claim.Prefix, after, pageLimit)
		if err != nil {
			return err
		}
		records := make([]*peerv1.ClaimRecord, 0, len(entries))
		for _, e := range entries {
			rec := &peerv1.ClaimRecord{}
			if err := proto.Unmarshal(e.Value, rec); err != nil {
				return fault.Wrap(fault.Internal, err, "decode %s", e.Key)
			}
			records = append(records, rec)
			after = e.Key
		}
		n := k.Member.HoldLoaded(records, k.Self.GetDataCentre(), living, time.Now())
		k.Meter.Add("roster_claim_loaded", int64(n))
		if !more {
			return nil
		}
	}
}
