// Package claim makes sure that a non-idempotent request is sent at most once:
// before the send, its key is claimed.
package claim

import (
	"bytes"
	"context"
	"net/url"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// MaxResultBytes bounds the size of a recorded result.
const MaxResultBytes = 64 << 10

// Request identifies what is to be claimed.
type Request struct {
	Account string
	Key     string
	// Home is the data centre that claims the key; empty for none.
	Home string
	// Digest is the SHA-256 of the request; a key serves one request only.
	Digest []byte
}

// Ticket is a claim that this VM holds. It is spent by exactly one of Finish
// and Abandon.
type Ticket struct {
	Record *peerv1.ClaimRecord
	// Revision is the store's revision of the claim, 0 for a detached one.
	Revision uint64
}

// Recorded is the result of an earlier submission with the same key.
type Recorded struct {
	Result []byte
}

// KV is the part of the store that claims need.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
}

// Book claims keys for this VM.
type Book struct {
	Self  *peerv1.Vm
	KV    KV
	Meter *meter.Meter
	// NewToken returns a token that was never used before.
	NewToken func() string
}

// StoreKey returns the store's key of a claim.
func StoreKey(account, key string) string {
	return "claims/" + url.PathEscape(account) + "/" + url.PathEscape(key)
}

// Claim claims a key. It returns either a ticket or a recorded result, or an
// error whose kind tells whether the request may have run.
func (b *Book) Claim(ctx context.Context, r Request) (*Ticket, *Recorded, error) {
	rec := &peerv1.ClaimRecord{
		ClientAccount: r.Account, Key: r.Key, Home: r.Home,
		VmId: b.Self.GetVmId(), Incarnation: b.Self.GetIncarnation(), Token: b.NewToken(),
		State: peerv1.ClaimState_CLAIM_STATE_PENDING, ClaimedUnixMs: time.Now().UnixMilli(),
		RequestDigest: r.Digest,
	}
	value, err := proto.Marshal(rec)
	if err != nil {
		return nil, nil, fault.Wrap(fault.Internal, err, "encode claim")
	}
	rev, err := b.KV.Put(ctx, StoreKey(r.Account, r.Key), value, 0)
	if err == nil {
		b.Meter.Inc("claim_attached")
		return &Ticket{Record: rec, Revision: rev}, nil, nil
	}
	if fault.Is(err, fault.StoreUnavailable) {
		return nil, nil, err
	}
	return b.readBack(ctx, r, rec)
}

// readBack resolves a claim that was refused or whose answer was lost.
func (b *Book) readBack(ctx context.Context, r Request, mine *peerv1.ClaimRecord) (*Ticket, *Recorded, error) {
	e, found, err := b.KV.Get(ctx, StoreKey(r.Account, r.Key))
	if err != nil {
		return nil, nil, fault.Wrap(fault.StoreUnavailable, err, "read the claim back")
	}
	if !found {
		return nil, nil, fault.New(fault.StoreUnavailable, "the claim was not written")
	}
	var rec peerv1.ClaimRecord
	if err := proto.Unmarshal(e.Value, &rec); err != nil {
		return nil, nil, fault.Wrap(fault.Internal, err, "decode claim")
	}
	if rec.GetToken() == mine.GetToken() {
		b.Meter.Inc("claim_answer_recovered")
		return &Ticket{Record: mine, Revision: e.Revision}, nil, nil
	}
	if !bytes.Equal(rec.GetRequestDigest(), r.Digest) {
		return nil, nil, fault.WithField(fault.KeyReused, "Idempotency-Key", "was used for another request")
	}
	if rec.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		if !rec.GetResultKept() {
			return nil, nil, fault.New(fault.ResultNotKept, "the request ran; its result was too large to keep")
		}
		b.Meter.Inc("claim_result_returned")
		return nil, &Recorded{Result: rec.GetResult()}, nil
	}
	return nil, nil, fault.New(fault.ClaimedElsewhere, "VM %s claimed the key", rec.GetVmId())
}

// Finish records the result of a sent request.
func (b *Book) Finish(ctx context.Context, t *Ticket, result []byte) {
	t.Record.State = peerv1.ClaimState_CLAIM_STATE_DONE
	if len(result) <= MaxResultBytes {
		t.Record.Result, t.Record.ResultKept = result, true
	}
	b.write(ctx, t, "claim_finish_lost")
}

// Abandon records that the request was not sent and will not be.
func (b *Book) Abandon(ctx context.Context, t *Ticket) {
	t.Record.State = peerv1.ClaimState_CLAIM_STATE_ABANDONED
	b.write(ctx, t, "claim_abandon_lost")
}

func (b *Book) write(ctx context.Context, t *Ticket, lost string) {
	value, err := proto.Marshal(t.Record)
	if err != nil {
		b.Meter.Inc(lost)
		return
	}
	rev, err := b.KV.Put(ctx, StoreKey(t.Record.GetClientAccount(), t.Record.GetKey()), value, t.Revision)
	if err != nil {
		b.Meter.Inc(lost)
		return
	}
	t.Revision = rev
}
