package claim

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// retryRoster is the reason of a retry because the roster changed.
const retryRoster = "roster"

// detached claims a key with every member of the roster. The first member
// arbitrates; the others are asked together after it. One refusal or silence
// means that the key is not sent.
func (b *Book) detached(ctx context.Context, a *attempt) (*Ticket, *Recorded, *retry, error) {
	v := b.Member.View()
	if !v.Listed || !v.Current {
		b.drop(a)
		b.refresh(ctx)
		return nil, nil, &retry{reason: retryRoster}, fault.New(fault.StoreUnavailable, "the roster is changing and the store cannot be read")
	}
	refused := b.round(ctx, a, v)
	if refused == nil && b.Member.Send(a.rec, v.Version) {
		b.Meter.Inc("claim_detached")
		t := &Ticket{Record: a.rec}
		b.noteSent(t)
		return t, nil, nil, nil
	}
	b.drop(a)
	switch {
	case refused == nil || refused.GetReason() == RefusedVersion:
		b.refresh(ctx)
		return nil, nil, &retry{reason: retryRoster}, fault.New(fault.StoreUnavailable, "the roster changed and the store cannot be read")
	case refused.GetReason() == RefusedLeaving:
		// Its hand-over is on the way; then it is not asked any more.
		return nil, nil, &retry{reason: RefusedLeaving}, fault.New(fault.StoreUnavailable, "the store is down and a roster member is leaving")
	case refused.GetConflict() != nil:
		return b.settle(ctx, a.req, refused.GetConflict())
	}
	b.Meter.Inc("claim_refused_" + refused.GetReason())
	return nil, nil, nil, fault.New(fault.StoreUnavailable, "the store is down and a roster member does not hold the claim: %s", refused.GetReason())
}

// refusedSilent is the reason of a member that did not answer.
const refusedSilent = "silent"

// round asks all members but this one; it returns the first refusal.
func (b *Book) round(ctx context.Context, a *attempt, v View) *peerv1.ClaimResponse {
	in := &peerv1.ClaimRequest{From: b.Self, RosterVersion: v.Version, Claim: proto.CloneOf(a.rec), Replaces: a.replaces}
	if len(v.Members) == 0 {
		return nil
	}
	if resp := b.askToHold(ctx, v.Members[0], in); !resp.GetGranted() {
		return resp
	}
	rest := v.Members[1:]
	answers := make([]*peerv1.ClaimResponse, len(rest))
	var wg sync.WaitGroup
	for i, vm := range rest {
		wg.Go(func() { answers[i] = b.askToHold(ctx, vm, in) })
	}
	wg.Wait()
	for _, resp := range answers {
		if !resp.GetGranted() {
			return resp
		}
	}
	return nil
}

func (b *Book) askToHold(ctx context.Context, vm *peerv1.Vm, in *peerv1.ClaimRequest) *peerv1.ClaimResponse {
	if vm.GetIncarnation() == b.Self.GetIncarnation() {
		return &peerv1.ClaimResponse{Granted: true}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	in = proto.CloneOf(in)
	in.ToIncarnation = vm.GetIncarnation()
	b.Meter.Inc("claim_message")
	resp, err := b.Peers.Claim(ctx, vm, in)
	if err == nil {
		return resp
	}
	if b.Member.off.noUnanimity {
		return &peerv1.ClaimResponse{Granted: true}
	}
	return &peerv1.ClaimResponse{Reason: refusedSilent}
}

func (b *Book) refresh(ctx context.Context) {
	if b.Refresh != nil {
		b.Refresh(ctx)
	}
}

// noteSent queues a detached claim for the store.
func (b *Book) noteSent(t *Ticket) {
	sent := &Ticket{Record: proto.CloneOf(t.Record)}
	sent.Record.State = peerv1.ClaimState_CLAIM_STATE_SENT
	b.writeLater(sent)
}
