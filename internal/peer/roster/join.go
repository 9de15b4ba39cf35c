package roster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Join brings this VM into the roster. It returns nil once this VM has read
// itself in the roster that was acknowledged.
func (k *Keeper) Join(ctx context.Context) error {
	list := k.listed()
	if !list.Present[k.Self.GetVmId()] {
		return fault.New(fault.NotReady, "the platform's list does not show this VM yet")
	}
	s, err := k.read(ctx)
	if err != nil {
		return err
	}
	// Adopted also before this VM is in it: its heartbeats then tell which
	// members it proves dead.
	k.Member.Adopt(s.roster)
	if k.Member.View().Listed {
		return nil
	}
	dead := k.provenDead(s.roster)
	if k.pendingOther(s.roster, dead) {
		k.Meter.Inc("roster_join_waits")
		return fault.New(fault.NotReady, "VM %s is joining", s.roster.GetPending().GetVmId())
	}
	self := proto.CloneOf(k.Self)
	self.ListedRevision = list.Revision
	return k.joinFrom(ctx, s, self, dead)
}

// joinFrom announces the joiner, collects the acknowledgements, loads the
// claims of those that are gone and enters the roster.
func (k *Keeper) joinFrom(ctx context.Context, s snapshot, self *peerv1.Vm, dead []string) error {
	listed := len(s.roster.GetMembers())
	living := without(s.roster.GetMembers(), dead)
	pending := proto.CloneOf(s.roster)
	pending.Version++
	pending.Pending = self
	s, err := k.write(ctx, s, pending)
	if err != nil {
		return err
	}
	next := proto.CloneOf(s.roster)
	next.Version++
	next.Pending = nil
	next.Members = append([]*peerv1.Vm(nil), living...)
	next.Members = append(next.Members, self)
	k.Member.BeginJoin(next.GetVersion())
	if err := k.acknowledge(ctx, s.roster, next.GetVersion(), living, dead); err != nil {
		return err
	}
	if err := k.load(ctx, next.GetMembers()); err != nil {
		return err
	}
	if k.Member.NeedsHorizon(listed, len(living)) {
		until := time.Now().Add(k.Horizon()).UnixMilli()
		next.RefuseUntilUnixMs = max(next.GetRefuseUntilUnixMs(), until)
		k.Meter.Inc("roster_lost_whole")
	}
	if s, err = k.write(ctx, s, next); err != nil {
		return err
	}
	k.Member.Adopt(s.roster)
	k.Log.Info("joined the roster", "data_centre", next.GetDataCentre(), "version", next.GetVersion(), "members", len(next.GetMembers()))
	k.evicted(dead)
	return nil
}

// acknowledge asks every living member and takes what they hand over.
func (k *Keeper) acknowledge(ctx context.Context, r *peerv1.Roster, version uint64, living []*peerv1.Vm, dead []string) error {
	in := &peerv1.JoinRequest{Joiner: r.GetPending(), RosterVersion: version, Roster: r, ProvenDead: dead}
	for _, vm := range living {
		if err := k.acknowledgeOne(ctx, vm, in); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) acknowledgeOne(ctx context.Context, vm *peerv1.Vm, in *peerv1.JoinRequest) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	in = proto.CloneOf(in)
	in.ToIncarnation = vm.GetIncarnation()
	resp, err := k.Peers.Join(ctx, vm, in)
	if err != nil {
		k.Meter.Inc("roster_join_silent")
		return fault.Wrap(fault.Unreachable, err, "member %s", vm.GetVmId())
	}
	if !resp.GetAcknowledged() {
		k.Meter.Inc("roster_join_refused")
		return fault.New(fault.Conflict, "member %s: %s", vm.GetVmId(), resp.GetReason())
	}
	k.Member.Hold(resp.GetClaims(), time.Now())
	k.Member.TakeRecords(resp.GetRecords())
	return nil
}

// Acknowledge answers a joiner.
func (k *Keeper) Acknowledge(in *peerv1.JoinRequest) *peerv1.JoinResponse {
	claims, records, ok := k.Member.Acknowledge(in)
	if !ok {
		return &peerv1.JoinResponse{Reason: "the roster version is not higher than this member's"}
	}
	k.Meter.Inc("roster_join_acknowledged")
	return &peerv1.JoinResponse{Acknowledged: true, Claims: claims, Records: records}
}

// Evict removes the members that are proven dead, after loading the claims that
// only they knew. It returns nil when nobody is to be removed.
func (k *Keeper) Evict(ctx context.Context) error {
	s, err := k.read(ctx)
	if err != nil {
		return err
	}
	k.Member.Adopt(s.roster)
	dead := k.provenDead(s.roster)
	if k.pendingOther(s.roster, dead) {
		return nil
	}
	next := proto.CloneOf(s.roster)
	next.Members = without(next.GetMembers(), dead)
	same := len(next.GetMembers()) == len(s.roster.GetMembers())
	if same && s.roster.GetPending() == nil {
		return nil
	}
	if err := k.load(ctx, next.GetMembers()); err != nil {
		return err
	}
	next.Version++
	next.Pending = nil
	if s, err = k.write(ctx, s, next); err != nil {
		return err
	}
	k.Member.Adopt(s.roster)
	k.evicted(dead)
	return nil
}

func (k *Keeper) evicted(dead []string) {
	if len(dead) == 0 {
		return
	}
	k.Meter.Add("roster_evicted", int64(len(dead)))
	k.Log.Info("evicted from the roster", "members", len(dead))
	if k.OnEvict != nil {
		k.OnEvict()
	}
}

// TakeLeave takes what a leaving member hands over.
func (k *Keeper) TakeLeave(in *peerv1.LeaveRequest) {
	k.Member.Excuse(in, time.Now())
	k.Meter.Inc("roster_leave_taken")
	k.Wake()
}

// HandOver ends this VM's claims and hands over all it knows to the other
// members, so that they go on without it, also while the store is down.
func (k *Keeper) HandOver(ctx context.Context) {
	v := k.Member.View()
	claims, records := k.Member.Close()
	if !v.Listed {
		return // this VM may not know all that a member knows
	}
	in := &peerv1.LeaveRequest{From: k.Self, Claims: claims, Records: records}
	for _, vm := range v.Members {
		if vm.GetIncarnation() == k.Self.GetIncarnation() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		if err := k.Peers.Leave(ctx, vm, in); err != nil {
			k.Meter.Inc("roster_leave_lost")
		}
		cancel()
	}
}

func contains(vms []*peerv1.Vm, incarnation string) bool {
	return len(without(vms, []string{incarnation})) < len(vms)
}

// Leave empties the roster when this VM is the last living member, so that no
// retry horizon follows a planned stop. Before that, flush has to write to the
// store all that this VM knows, and report that it did.
func (k *Keeper) Leave(ctx context.Context, flush func(ctx context.Context) bool) error {
	s, err := k.read(ctx)
	if err != nil {
		return err
	}
	if !contains(s.roster.GetMembers(), k.Self.GetIncarnation()) {
		return nil
	}
	left := without(s.roster.GetMembers(), append(k.provenDead(s.roster), k.Self.GetIncarnation()))
	if len(left) > 0 {
		return nil
	}
	if !flush(ctx) {
		return fault.New(fault.StoreUnavailable, "claims are not written yet")
	}
	next := proto.CloneOf(s.roster)
	next.Version++
	next.Members, next.Pending = nil, nil
	_, err = k.write(ctx, s, next)
	return err
}
