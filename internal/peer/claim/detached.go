package claim

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// retryReasonRoster is the reason for a retry after a change of the roster.
const retryReasonRoster = "roster"

// claimWithMembers claims a key with every member of the roster (a detached
// claim). The first member arbitrates between concurrent attempts; the others
// are called concurrently after it granted the claim. If any member refuses or
// does not respond, the attempt fails and the request is not sent.
func (l *Ledger) claimWithMembers(ctx context.Context, a *attempt) (*Ticket, *RecordedResult, *retryCause, error) {
	v := l.Member.View()
	if !v.Listed || !v.Current {
		l.abandonAttempt(a)
		l.refresh(ctx)
		return nil, nil, &retryCause{reason: retryReasonRoster}, fault.New(fault.StoreUnavailable, "the roster is changing and the store cannot be read")
	}
	refused := l.claimAtMembers(ctx, a, v)
	if refused == nil && l.Member.MarkSent(a.rec, v.Version) {
		l.Meter.Inc("claim_detached")
		t := &Ticket{Record: a.rec}
		l.queueSent(t)
		return t, nil, nil, nil
	}
	l.abandonAttempt(a)
	switch {
	case refused == nil || refused.GetReason() == RefusedVersion:
		l.refresh(ctx)
		return nil, nil, &retryCause{reason: retryReasonRoster}, fault.New(fault.StoreUnavailable, "the roster changed and the store cannot be read")
	case refused.GetReason() == RefusedLeaving:
		// The leaving member is handing over its claims. Once that is done, a
		// retry does not call it.
		return nil, nil, &retryCause{reason: RefusedLeaving}, fault.New(fault.StoreUnavailable, "the store is down and a roster member is leaving")
	case refused.GetConflict() != nil:
		return l.resolveConflict(ctx, a.req, refused.GetConflict())
	}
	l.Meter.Inc("claim_refused_" + refused.GetReason())
	return nil, nil, nil, fault.New(fault.StoreUnavailable, "the store is down and a roster member did not store a copy of the claim: %s", refused.GetReason())
}

// refusedNoResponse is the reason recorded for a member that did not respond.
const refusedNoResponse = "silent"

// claimAtMembers calls every member except this VM. It returns the first
// refusal, or nil when all members granted the claim.
func (l *Ledger) claimAtMembers(ctx context.Context, a *attempt, v View) *peerv1.ClaimResponse {
	in := &peerv1.ClaimRequest{From: l.Self, RosterVersion: v.Version, Claim: proto.CloneOf(a.rec), Replaces: a.replaces}
	if len(v.Members) == 0 {
		return nil
	}
	if resp := l.claimAt(ctx, v.Members[0], in); !resp.GetGranted() {
		return resp
	}
	rest := v.Members[1:]
	responses := make([]*peerv1.ClaimResponse, len(rest))
	var wg sync.WaitGroup
	for i, vm := range rest {
		wg.Go(func() { responses[i] = l.claimAt(ctx, vm, in) })
	}
	wg.Wait()
	for _, resp := range responses {
		if !resp.GetGranted() {
			return resp
		}
	}
	return nil
}

func (l *Ledger) claimAt(ctx context.Context, vm *peerv1.Vm, in *peerv1.ClaimRequest) *peerv1.ClaimResponse {
	if vm.GetIncarnation() == l.Self.GetIncarnation() {
		return &peerv1.ClaimResponse{Granted: true}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	in = proto.CloneOf(in)
	in.ToIncarnation = vm.GetIncarnation()
	l.Meter.Inc("claim_message")
	resp, err := l.Peers.Claim(ctx, vm, in)
	if err == nil {
		return resp
	}
	if l.Member.disabled.noUnanimity {
		return &peerv1.ClaimResponse{Granted: true}
	}
	return &peerv1.ClaimResponse{Reason: refusedNoResponse}
}

func (l *Ledger) refresh(ctx context.Context) {
	if l.Refresh != nil {
		l.Refresh(ctx)
	}
}

// queueSent queues a detached claim for its write to the store.
func (l *Ledger) queueSent(t *Ticket) {
	sent := &Ticket{Record: proto.CloneOf(t.Record)}
	sent.Record.State = peerv1.ClaimState_CLAIM_STATE_SENT
	l.queueWrite(sent)
}
