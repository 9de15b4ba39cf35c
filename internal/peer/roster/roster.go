// Package roster maintains the membership of a VM in the roster of its data
// centre: the store's record of the VMs that may claim keys whose home is the
// data centre.
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

// Limits of the roster protocol.
const (
	// pendingTimeout is how long a joiner may collect acknowledgements before
	// another VM may replace it as the pending joiner.
	pendingTimeout = 30 * time.Second
	// joinTimeout bounds one call to a member.
	joinTimeout = 2 * time.Second
	// pageLimit is the maximum number of claims read from the store in one
	// call.
	pageLimit = 500
)

// KV is the part of the store's interface that the roster needs.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
	ListPage(ctx context.Context, prefix, after string, limit int) ([]store.Entry, bool, error)
}

// Peers calls the roster methods of other VMs.
type Peers interface {
	Join(ctx context.Context, to *peerv1.Vm, in *peerv1.JoinRequest) (*peerv1.JoinResponse, error)
	Leave(ctx context.Context, to *peerv1.Vm, in *peerv1.LeaveRequest) error
}

// List is the platform's list of entry VMs.
type List struct {
	Revision uint64
	// Present is the set of the ids of the listed VMs.
	Present map[string]bool
}

// Manager joins this VM to its roster and evicts members that are proven dead.
// Its exported fields must be set before use.
type Manager struct {
	Self   *peerv1.Vm
	Member *claim.Member
	KV     KV
	Peers  Peers
	Meter  *meter.Meter
	Log    *slog.Logger
	// NewToken returns a token that was never used before.
	NewToken func() string
	// Horizon returns how long keys are refused after all members of a roster
	// failed.
	Horizon func() time.Duration
	// Jitter returns a delay shortened by a random amount. When nil, a delay is
	// shortened by at most half.
	Jitter func(d time.Duration) time.Duration
	// OnEvict is called after members were evicted, unless it is nil.
	OnEvict func()

	mu           sync.Mutex
	list         List
	pending      string // incarnation of the joiner seen last
	pendingSince time.Time
	changed      chan struct{}
	// peerVersion is the highest roster version that a peer reported.
	peerVersion uint64
}

// Key returns the store key of a data centre's roster.
func Key(dataCentre string) string { return "rosters/" + dataCentre }

// SetList replaces the platform's list of VMs and wakes Run.
func (m *Manager) SetList(l List) {
	m.mu.Lock()
	m.list = l
	m.mu.Unlock()
	m.Wake()
}

func (m *Manager) currentList() List {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// snapshot is a roster read from the store, with its revision.
type snapshot struct {
	roster   *peerv1.Roster
	revision uint64
}

func (m *Manager) read(ctx context.Context) (snapshot, error) {
	s := snapshot{roster: &peerv1.Roster{DataCentre: m.Self.GetDataCentre()}}
	e, found, err := m.KV.Get(ctx, Key(m.Self.GetDataCentre()))
	if err != nil || !found {
		return s, err
	}
	if err := proto.Unmarshal(e.Value, s.roster); err != nil {
		return s, fault.Wrap(fault.Internal, err, "decode %s", e.Key)
	}
	s.revision = e.Revision
	return s, nil
}

// Refresh reads the roster from the store and applies it.
func (m *Manager) Refresh(ctx context.Context) error {
	s, err := m.read(ctx)
	if err != nil {
		return err
	}
	m.Member.Adopt(s.roster)
	m.Meter.Set("roster_version", int64(s.roster.GetVersion()))
	return nil
}

// write replaces the roster of a snapshot in the store. When the response to a
// write was lost, the write token tells whether the write took effect.
func (m *Manager) write(ctx context.Context, s snapshot, next *peerv1.Roster) (snapshot, error) {
	next.WriteToken = m.NewToken()
	value, err := proto.Marshal(next)
	if err != nil {
		return s, fault.Wrap(fault.Internal, err, "encode roster")
	}
	rev, err := m.KV.Put(ctx, Key(next.GetDataCentre()), value, s.revision)
	if err == nil {
		return snapshot{next, rev}, nil
	}
	if fault.Is(err, fault.StoreUnavailable) {
		return s, err
	}
	current, readErr := m.read(ctx)
	if readErr != nil {
		return s, readErr
	}
	if current.roster.GetWriteToken() == next.GetWriteToken() {
		m.Meter.Inc("roster_answer_recovered")
		return current, nil
	}
	return s, err
}

// provenDead returns the incarnations in a roster that are proven dead, and
// records them at the member.
func (m *Manager) provenDead(r *peerv1.Roster) []string {
	list := m.currentList()
	var dead []string
	for _, vm := range append(r.GetMembers(), r.GetPending()) {
		if vm != nil && m.isProvenDead(vm, list) {
			dead = append(dead, vm.GetIncarnation())
		}
	}
	m.Member.AddDead(dead)
	return dead
}

// isProvenDead reports whether a VM is proven dead: this process has the VM's
// id and holds its port, a peer proved it dead, or the platform's list no
// longer contains it. A VM that does not respond is not proven dead.
func (m *Manager) isProvenDead(vm *peerv1.Vm, list List) bool {
	if vm.GetIncarnation() == m.Self.GetIncarnation() {
		return false
	}
	if vm.GetVmId() == m.Self.GetVmId() || m.Member.Dead(vm.GetIncarnation()) {
		return true
	}
	wasListed := vm.GetListedRevision() > 0 && list.Revision >= vm.GetListedRevision()
	return wasListed && !list.Present[vm.GetVmId()]
}

func withoutIncarnations(vms []*peerv1.Vm, dead []string) []*peerv1.Vm {
	removed := make(map[string]bool)
	for _, inc := range dead {
		removed[inc] = true
	}
	var left []*peerv1.Vm
	for _, vm := range vms {
		if !removed[vm.GetIncarnation()] {
			left = append(left, vm)
		}
	}
	return left
}

// otherJoinPending reports whether another VM is joining that is neither proven
// dead nor pending for longer than pendingTimeout.
func (m *Manager) otherJoinPending(r *peerv1.Roster, dead []string) bool {
	p := r.GetPending()
	if p == nil || p.GetIncarnation() == m.Self.GetIncarnation() {
		return false
	}
	if len(withoutIncarnations([]*peerv1.Vm{p}, dead)) == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending != p.GetIncarnation() {
		m.pending, m.pendingSince = p.GetIncarnation(), time.Now()
	}
	return time.Since(m.pendingSince) < pendingTimeout
}

// loadClaims reads all claims from the store and stores copies of those whose
// owners are not among the living members.
func (m *Manager) loadClaims(ctx context.Context, living []*peerv1.Vm) error {
	after := ""
	for {
		entries, more, err := m.KV.ListPage(ctx, claim.Prefix, after, pageLimit)
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
		n := m.Member.StoreLoaded(records, m.Self.GetDataCentre(), living, time.Now())
		m.Meter.Add("roster_claim_loaded", int64(n))
		if !more {
			return nil
		}
	}
}
