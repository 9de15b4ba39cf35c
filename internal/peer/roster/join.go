package roster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Join adds this VM to the roster. It returns nil once this VM has read itself
// as a member in the roster that the members acknowledged. It returns an error
// of kind NotReady when the platform's list does not show this VM or another VM
// is joining.
func (m *Manager) Join(ctx context.Context) error {
	list := m.currentList()
	if !list.Present[m.Self.GetVmId()] {
		return fault.New(fault.NotReady, "the platform's list does not contain this VM yet")
	}
	s, err := m.read(ctx)
	if err != nil {
		return err
	}
	// Applied even though this VM is not a member yet, so that its heartbeats
	// report the members that it proves dead.
	m.Member.Adopt(s.roster)
	if m.Member.View().Listed {
		return nil
	}
	dead := m.provenDead(s.roster)
	if m.otherJoinPending(s.roster, dead) {
		m.Meter.Inc("roster_join_waits")
		return fault.New(fault.NotReady, "VM %s is joining", s.roster.GetPending().GetVmId())
	}
	self := proto.CloneOf(m.Self)
	self.ListedRevision = list.Revision
	return m.enterRoster(ctx, s, self, dead)
}

// enterRoster writes this VM to the roster as the pending joiner, collects the
// acknowledgements of the living members, loads the claims of the other ones
// from the store, and writes the roster with this VM as a member.
func (m *Manager) enterRoster(ctx context.Context, s snapshot, self *peerv1.Vm, dead []string) error {
	listed := len(s.roster.GetMembers())
	living := withoutIncarnations(s.roster.GetMembers(), dead)
	pending := proto.CloneOf(s.roster)
	pending.Version++
	pending.Pending = self
	s, err := m.write(ctx, s, pending)
	if err != nil {
		return err
	}
	next := proto.CloneOf(s.roster)
	next.Version++
	next.Pending = nil
	next.Members = append([]*peerv1.Vm(nil), living...)
	next.Members = append(next.Members, self)
	m.Member.BeginJoin(next.GetVersion())
	if err := m.acknowledge(ctx, s.roster, next.GetVersion(), living, dead); err != nil {
		return err
	}
	if err := m.loadClaims(ctx, next.GetMembers()); err != nil {
		return err
	}
	if m.Member.NeedsHorizon(listed, len(living)) {
		until := time.Now().Add(m.Horizon()).UnixMilli()
		next.RefuseUntilUnixMs = max(next.GetRefuseUntilUnixMs(), until)
		m.Meter.Inc("roster_lost_whole")
	}
	if s, err = m.write(ctx, s, next); err != nil {
		return err
	}
	m.Member.Adopt(s.roster)
	m.Log.Info("joined the roster", "data_centre", next.GetDataCentre(), "version", next.GetVersion(), "members", len(next.GetMembers()))
	m.reportEviction(dead)
	return nil
}

// acknowledge requests the acknowledgement of every living member and stores
// the claims and records that they hand over.
func (m *Manager) acknowledge(ctx context.Context, r *peerv1.Roster, version uint64, living []*peerv1.Vm, dead []string) error {
	in := &peerv1.JoinRequest{Joiner: r.GetPending(), RosterVersion: version, Roster: r, ProvenDead: dead}
	for _, vm := range living {
		if err := m.acknowledgeOne(ctx, vm, in); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) acknowledgeOne(ctx context.Context, vm *peerv1.Vm, in *peerv1.JoinRequest) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	in = proto.CloneOf(in)
	in.ToIncarnation = vm.GetIncarnation()
	resp, err := m.Peers.Join(ctx, vm, in)
	if err != nil {
		m.Meter.Inc("roster_join_silent")
		return fault.Wrap(fault.Unreachable, err, "member %s", vm.GetVmId())
	}
	if !resp.GetAcknowledged() {
		m.Meter.Inc("roster_join_refused")
		return fault.New(fault.Conflict, "member %s: %s", vm.GetVmId(), resp.GetReason())
	}
	m.Member.StoreCopies(resp.GetClaims(), time.Now())
	m.Member.StoreRecords(resp.GetRecords())
	return nil
}

// Acknowledge handles the request of a joiner.
func (m *Manager) Acknowledge(in *peerv1.JoinRequest) *peerv1.JoinResponse {
	claims, records, ok := m.Member.Acknowledge(in)
	if !ok {
		return &peerv1.JoinResponse{Reason: "the roster version is not higher than this member's"}
	}
	m.Meter.Inc("roster_join_acknowledged")
	return &peerv1.JoinResponse{Acknowledged: true, Claims: claims, Records: records}
}

// Evict removes the members that are proven dead from the roster, after loading
// their claims from the store. It returns nil when there is nothing to remove
// or another VM is joining.
func (m *Manager) Evict(ctx context.Context) error {
	s, err := m.read(ctx)
	if err != nil {
		return err
	}
	m.Member.Adopt(s.roster)
	dead := m.provenDead(s.roster)
	if m.otherJoinPending(s.roster, dead) {
		return nil
	}
	next := proto.CloneOf(s.roster)
	next.Members = withoutIncarnations(next.GetMembers(), dead)
	unchanged := len(next.GetMembers()) == len(s.roster.GetMembers())
	if unchanged && s.roster.GetPending() == nil {
		return nil
	}
	if err := m.loadClaims(ctx, next.GetMembers()); err != nil {
		return err
	}
	next.Version++
	next.Pending = nil
	if s, err = m.write(ctx, s, next); err != nil {
		return err
	}
	m.Member.Adopt(s.roster)
	m.reportEviction(dead)
	return nil
}

func (m *Manager) reportEviction(dead []string) {
	if len(dead) == 0 {
		return
	}
	m.Meter.Add("roster_evicted", int64(len(dead)))
	m.Log.Info("evicted from the roster", "members", len(dead))
	if m.OnEvict != nil {
		m.OnEvict()
	}
}

// HandleLeave handles the call of a leaving member and stores what it hands over.
func (m *Manager) HandleLeave(in *peerv1.LeaveRequest) {
	m.Member.AcceptHandOver(in, time.Now())
	m.Meter.Inc("roster_leave_taken")
	m.Wake()
}

// HandOver closes this VM's member and sends its claims and records to the
// other members, so that they can continue without this VM even while the store
// is unavailable.
func (m *Manager) HandOver(ctx context.Context) {
	v := m.Member.View()
	claims, records := m.Member.Close()
	if !v.Listed {
		return // only a member is certain to have all claims
	}
	in := &peerv1.LeaveRequest{From: m.Self, Claims: claims, Records: records}
	for _, vm := range v.Members {
		if vm.GetIncarnation() == m.Self.GetIncarnation() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		if err := m.Peers.Leave(ctx, vm, in); err != nil {
			m.Meter.Inc("roster_leave_lost")
		}
		cancel()
	}
}

func hasIncarnation(vms []*peerv1.Vm, incarnation string) bool {
	return len(withoutIncarnations(vms, []string{incarnation})) < len(vms)
}

// Leave empties the roster when this VM is the last living member, so that no
// retry horizon follows a planned stop. It first calls flush, which must write
// all claims of this VM to the store and report whether it did. Leave returns
// an error of kind StoreUnavailable when flush reports false.
func (m *Manager) Leave(ctx context.Context, flush func(ctx context.Context) bool) error {
	s, err := m.read(ctx)
	if err != nil {
		return err
	}
	if !hasIncarnation(s.roster.GetMembers(), m.Self.GetIncarnation()) {
		return nil
	}
	remaining := withoutIncarnations(s.roster.GetMembers(), append(m.provenDead(s.roster), m.Self.GetIncarnation()))
	if len(remaining) > 0 {
		return nil
	}
	if !flush(ctx) {
		return fault.New(fault.StoreUnavailable, "some claims are not yet written to the store")
	}
	next := proto.CloneOf(s.roster)
	next.Version++
	next.Members, next.Pending = nil, nil
	_, err = m.write(ctx, s, next)
	return err
}
