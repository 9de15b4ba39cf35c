package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

func vm(incarnation string) *peerv1.Vm {
	return &peerv1.Vm{VmId: incarnation, Incarnation: incarnation}
}

func sentClaim(owner, token string) *peerv1.ClaimRecord {
	return &peerv1.ClaimRecord{
		ClientAccount: "counters", Key: "k", VmId: owner, Incarnation: owner, Token: token,
		State: peerv1.ClaimState_CLAIM_STATE_SENT,
	}
}

func grant(m *claim.Member, to string, version uint64, rec *peerv1.ClaimRecord, replaces ...string) *peerv1.ClaimResponse {
	in := &peerv1.ClaimRequest{RosterVersion: version, Claim: rec, Replaces: replaces, ToIncarnation: to}
	return m.Grant(in, time.Unix(0, 0))
}

// Two members hand over different claims of a key. One claim was abandoned,
// which only its owner has recorded; the other was sent. A new attempt that
// replaces the abandoned claim must still be refused because of the sent one.
func TestAbandonedClaimDoesNotHideSentClaim(t *testing.T) {
	is := is.New(t)
	m := &claim.Member{Self: vm("j")}
	m.StoreCopies([]*peerv1.ClaimRecord{sentClaim("a", "abandoned"), sentClaim("b", "sent")}, time.Unix(0, 0))
	resp := grant(m, "j", 1, sentClaim("c", "new"), "abandoned")
	is.Equal(resp.GetReason(), claim.RefusedConflict)
	is.Equal(resp.GetConflict().GetToken(), "sent")
}

// A process that was restarted at the address of a member has none of the
// member's claims, so it must refuse calls meant for that member.
func TestRestartedProcessRefusesCalls(t *testing.T) {
	is := is.New(t)
	m := &claim.Member{Self: vm("x2")}
	is.Equal(grant(m, "x1", 9, sentClaim("a", "t")).GetReason(), claim.RefusedSuccessor)
	in := &peerv1.JoinRequest{Joiner: vm("j"), RosterVersion: 9, ToIncarnation: "x1"}
	_, _, ok := m.Acknowledge(in)
	is.True(!ok)
}

// An attempt that was still pending when its member was closed must not be
// sent.
func TestClosedMemberDoesNotSend(t *testing.T) {
	is := is.New(t)
	m := &claim.Member{Self: vm("a")}
	rec := sentClaim("a", "t")
	conflict, full := m.Begin(rec, nil, time.Unix(0, 0))
	is.True(conflict == nil && !full)
	m.Close()
	is.True(!m.MarkSent(rec, 0))
	is.Equal(grant(m, "a", 9, sentClaim("b", "u")).GetReason(), claim.RefusedLeaving)
}

func TestFullMemberRefuses(t *testing.T) {
	is := is.New(t)
	m := &claim.Member{Self: vm("a"), Limit: 1}
	is.True(grant(m, "a", 0, sentClaim("b", "t")).GetGranted())
	other := sentClaim("b", "u")
	other.Key = "k2"
	is.Equal(grant(m, "a", 0, other).GetReason(), claim.RefusedFull)
}

// A joiner that leaves before this member has read it in the roster must not be
// called any more.
func TestLeavingJoinerIsNotCalled(t *testing.T) {
	is := is.New(t)
	m := &claim.Member{Self: vm("a")}
	pending := &peerv1.Roster{Version: 3, Members: []*peerv1.Vm{vm("a")}, Pending: vm("j")}
	_, _, ok := m.Acknowledge(&peerv1.JoinRequest{Joiner: vm("j"), RosterVersion: 4, Roster: pending, ToIncarnation: "a"})
	is.True(ok)
	is.Equal(len(m.View().Members), 2)
	m.AcceptHandOver(&peerv1.LeaveRequest{From: vm("j")}, time.Unix(0, 0))
	is.Equal(len(m.View().Members), 1)
}
