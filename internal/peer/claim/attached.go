package claim

import (
	"bytes"
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// retryReasonStore is the reason for a retry after a store failure.
const retryReasonStore = "store"

// maxWrites bounds the number of writes to the store for one claim.
const maxWrites = 4

// claimInStore claims a key in the store (an attached claim). If the write fails or
// conflicts with another claim, it abandons the attempt and returns no ticket.
func (l *Ledger) claimInStore(ctx context.Context, a *attempt) (*Ticket, *RecordedResult, *retryCause, error) {
	callerCtx := ctx
	if a.req.Home != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeTimeout)
		defer cancel()
	}
	rev, found, err := l.writeAttempt(ctx, a)
	if err != nil {
		l.abandonAttempt(a)
		l.Meter.Inc("claim_store_failed")
		if a.maybeWritten {
			l.queueUnconfirmed(a)
		}
		err = fault.Wrap(fault.StoreUnavailable, err, "claim the key in the store")
		return nil, nil, &retryCause{reason: retryReasonStore}, err
	}
	if found != nil {
		l.abandonAttempt(a)
		return l.resolveStored(callerCtx, a.req, found)
	}
	if !l.Member.MarkSent(a.rec, 0) {
		return nil, nil, nil, fault.New(fault.Internal, "the attempt is no longer pending")
	}
	l.Meter.Inc("claim_attached")
	return &Ticket{Record: a.rec, Revision: rev}, nil, nil, nil
}

// writeAttempt retries the write of an attempt until the store is known to
// contain it, or until it finds another claim that must not be replaced. It
// returns that claim as found.
func (l *Ledger) writeAttempt(ctx context.Context, a *attempt) (rev uint64, found *peerv1.ClaimRecord, err error) {
	value, err := proto.Marshal(a.rec)
	if err != nil {
		return 0, nil, err
	}
	key := StoreKey(a.req.Account, a.req.Key)
	var ifRevision uint64
	for range maxWrites {
		rev, err = l.KV.Put(ctx, key, value, ifRevision)
		if err == nil {
			return rev, nil, nil
		}
		if fault.Is(err, fault.StoreUnavailable) {
			return 0, nil, err
		}
		a.maybeWritten = true
		e, rec, readErr := l.read(ctx, key)
		switch {
		case readErr != nil:
			return 0, nil, readErr
		case rec == nil:
			ifRevision = 0
		case rec.GetToken() == a.rec.GetToken():
			l.Meter.Inc("claim_answer_recovered")
			return e.Revision, nil, nil
		case !l.replaceable(ctx, a, rec):
			return 0, rec, nil
		default:
			ifRevision = e.Revision
		}
	}
	return 0, nil, err
}

// read returns the claim stored under key, or nil when there is none.
func (l *Ledger) read(ctx context.Context, key string) (store.Entry, *peerv1.ClaimRecord, error) {
	e, found, err := l.KV.Get(ctx, key)
	if err != nil || !found {
		return store.Entry{}, nil, err
	}
	rec := &peerv1.ClaimRecord{}
	if err := proto.Unmarshal(e.Value, rec); err != nil {
		return store.Entry{}, nil, err
	}
	return e, rec, nil
}

// load reads a claim from the store. It returns an error of kind NotFound when
// the stored claim has another token.
func (l *Ledger) load(ctx context.Context, c *peerv1.ClaimRecord) (*peerv1.ClaimRecord, error) {
	_, rec, err := l.read(ctx, StoreKey(c.GetClientAccount(), c.GetKey()))
	if err != nil {
		return nil, err
	}
	if rec.GetToken() != c.GetToken() {
		return nil, fault.New(fault.NotFound, "the claim is not in the store")
	}
	return rec, nil
}

// replaceable reports whether a stored claim may be overwritten by a new
// attempt at the same request, because the claim's owner abandoned it.
func (l *Ledger) replaceable(ctx context.Context, a *attempt, rec *peerv1.ClaimRecord) bool {
	if !bytes.Equal(rec.GetRequestDigest(), a.req.Digest) {
		return false
	}
	if rec.GetState() == peerv1.ClaimState_CLAIM_STATE_ABANDONED {
		return true
	}
	if rec.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		return false
	}
	if rec.GetIncarnation() == l.Self.GetIncarnation() {
		// a is this VM's only live attempt for the key: any other attempt of
		// this incarnation was abandoned.
		return true
	}
	if containsToken(a.replaces, rec.GetToken()) {
		return true
	}
	if l.queryOwner(ctx, rec).state != peerv1.ClaimState_CLAIM_STATE_ABANDONED {
		return false
	}
	l.Meter.Inc("claim_taken_over")
	return true
}

// resolveStored returns the outcome of the claim that the store holds for the
// key.
func (l *Ledger) resolveStored(ctx context.Context, r Request, rec *peerv1.ClaimRecord) (*Ticket, *RecordedResult, *retryCause, error) {
	if !bytes.Equal(rec.GetRequestDigest(), r.Digest) {
		return nil, nil, nil, fault.WithField(fault.KeyReused, "Idempotency-Key", "was used for another request")
	}
	if rec.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		return l.recordedResult(ctx, rec)
	}
	if report := l.queryOwner(ctx, rec); report.state == peerv1.ClaimState_CLAIM_STATE_DONE {
		return l.recordedResult(ctx, report.latest)
	}
	return nil, nil, nil, fault.New(fault.ClaimedElsewhere, "VM %s claimed the key", rec.GetVmId())
}
