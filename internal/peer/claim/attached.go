package claim

import (
	"bytes"
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// retryStore is the reason of a retry because the store failed.
const retryStore = "store"

// maxWrites bounds the writes of one attached attempt.
const maxWrites = 4

// attached claims a key in the store. An attempt that ends without a ticket is
// abandoned before it returns.
func (b *Book) attached(ctx context.Context, a *attempt) (*Ticket, *Recorded, *retry, error) {
	outer := ctx
	if a.req.Home != "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeTimeout)
		defer cancel()
	}
	rev, found, err := b.write(ctx, a)
	if err != nil {
		b.drop(a)
		b.Meter.Inc("claim_store_failed")
		if a.maybeWritten {
			b.forgetLater(a)
		}
		err = fault.Wrap(fault.StoreUnavailable, err, "claim the key in the store")
		return nil, nil, &retry{reason: retryStore}, err
	}
	if found != nil {
		b.drop(a)
		return b.settleStored(outer, a.req, found)
	}
	if !b.Member.Send(a.rec, 0) {
		return nil, nil, nil, fault.New(fault.Internal, "the attempt ended early")
	}
	b.Meter.Inc("claim_attached")
	return &Ticket{Record: a.rec, Revision: rev}, nil, nil, nil
}

// write writes an attempt until it is known to be in the store or another
// claim is found that may not be replaced.
func (b *Book) write(ctx context.Context, a *attempt) (rev uint64, found *peerv1.ClaimRecord, err error) {
	value, err := proto.Marshal(a.rec)
	if err != nil {
		return 0, nil, err
	}
	key := StoreKey(a.req.Account, a.req.Key)
	var after uint64
	for range maxWrites {
		rev, err = b.KV.Put(ctx, key, value, after)
		if err == nil {
			return rev, nil, nil
		}
		if fault.Is(err, fault.StoreUnavailable) {
			return 0, nil, err
		}
		a.maybeWritten = true
		e, rec, readErr := b.read(ctx, key)
		switch {
		case readErr != nil:
			return 0, nil, readErr
		case rec == nil:
			after = 0
		case rec.GetToken() == a.rec.GetToken():
			b.Meter.Inc("claim_answer_recovered")
			return e.Revision, nil, nil
		case !b.replaceable(ctx, a, rec):
			return 0, rec, nil
		default:
			after = e.Revision
		}
	}
	return 0, nil, err
}

// read returns the claim in the store, nil when there is none.
func (b *Book) read(ctx context.Context, key string) (store.Entry, *peerv1.ClaimRecord, error) {
	e, found, err := b.KV.Get(ctx, key)
	if err != nil || !found {
		return store.Entry{}, nil, err
	}
	rec := &peerv1.ClaimRecord{}
	if err := proto.Unmarshal(e.Value, rec); err != nil {
		return store.Entry{}, nil, err
	}
	return e, rec, nil
}

// load returns the claim of a token from the store.
func (b *Book) load(ctx context.Context, c *peerv1.ClaimRecord) (*peerv1.ClaimRecord, error) {
	_, rec, err := b.read(ctx, StoreKey(c.GetClientAccount(), c.GetKey()))
	if err != nil {
		return nil, err
	}
	if rec.GetToken() != c.GetToken() {
		return nil, fault.New(fault.NotFound, "the claim is not in the store")
	}
	return rec, nil
}

// replaceable reports whether a stored claim may be taken over: its owner, or
// the owner's own record, says that it was abandoned.
func (b *Book) replaceable(ctx context.Context, a *attempt, rec *peerv1.ClaimRecord) bool {
	if !bytes.Equal(rec.GetRequestDigest(), a.req.Digest) {
		return false
	}
	if rec.GetState() == peerv1.ClaimState_CLAIM_STATE_ABANDONED {
		return true
	}
	if rec.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		return false
	}
	if rec.GetIncarnation() == b.Self.GetIncarnation() {
		// This VM's only live attempt is the present one: any other is
		// abandoned.
		return true
	}
	if oneOf(a.replaces, rec.GetToken()) {
		return true
	}
	if b.ask(ctx, rec).state != peerv1.ClaimState_CLAIM_STATE_ABANDONED {
		return false
	}
	b.Meter.Inc("claim_taken_over")
	return true
}

// settleStored answers from a claim that was found in the store.
func (b *Book) settleStored(ctx context.Context, r Request, rec *peerv1.ClaimRecord) (*Ticket, *Recorded, *retry, error) {
	if !bytes.Equal(rec.GetRequestDigest(), r.Digest) {
		return nil, nil, nil, fault.WithField(fault.KeyReused, "Idempotency-Key", "was used for another request")
	}
	if rec.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		return b.recorded(ctx, rec)
	}
	if w := b.ask(ctx, rec); w.state == peerv1.ClaimState_CLAIM_STATE_DONE {
		return b.recorded(ctx, w.latest)
	}
	return nil, nil, nil, fault.New(fault.ClaimedElsewhere, "VM %s claimed the key", rec.GetVmId())
}
