package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Delays of the background writes.
const (
	flushDelay    = 500 * time.Millisecond
	maxFlushDelay = 10 * time.Second
	// flushTimeout bounds one background write with its read.
	flushTimeout = 10 * time.Second
	// maxDirty bounds the claims that wait for their write; beyond it the
	// oldest facts are kept by the members only.
	maxDirty = DefaultLimit
)

// Finish records the result of a sent request.
func (b *Book) Finish(_ context.Context, t *Ticket, result []byte) {
	b.init()
	t.Record.State = peerv1.ClaimState_CLAIM_STATE_DONE
	if len(result) <= MaxResultBytes {
		t.Record.Result, t.Record.ResultKept = result, true
		if result == nil {
			t.Record.Result = []byte{}
		}
	}
	b.Member.End(t.Record, time.Now())
	b.writeLater(t)
}

// Abandon records that the request was not sent and will not be.
func (b *Book) Abandon(_ context.Context, t *Ticket) {
	b.init()
	t.Record.State = peerv1.ClaimState_CLAIM_STATE_ABANDONED
	b.Member.End(t.Record, time.Now())
	b.writeLater(t)
}

// forgetLater marks a write that may still take effect as abandoned, once it
// is seen in the store.
func (b *Book) forgetLater(a *attempt) {
	b.writeLater(&Ticket{Record: a.rec})
}

// writeLater queues the present state of a claim for the store.
func (b *Book) writeLater(t *Ticket) {
	b.mu.Lock()
	k := idOf(t.Record)
	_, known := b.dirty[k]
	if known || len(b.dirty) < maxDirty {
		if !known {
			b.queue = append(b.queue, k)
		}
		b.dirty[k] = &Ticket{Record: proto.CloneOf(t.Record), Revision: t.Revision}
	} else {
		b.Meter.Inc("claim_flush_dropped")
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Unflushed returns the number of claims that wait for their write.
func (b *Book) Unflushed() int {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.dirty)
}

// Run writes claims to the store in the background until ctx ends.
func (b *Book) Run(ctx context.Context) {
	b.init()
	delay := flushDelay
	for ctx.Err() == nil {
		if b.Flush(ctx) {
			delay = flushDelay
			select {
			case <-ctx.Done():
			case <-b.wake:
			}
			continue
		}
		b.Meter.Inc("claim_flush_retry")
		pause.For(ctx, delay)
		delay = min(2*delay, maxFlushDelay)
	}
}

// Flush writes all claims that wait, one at a time, and reports whether none
// is left. It stops at the first write that the store fails.
func (b *Book) Flush(ctx context.Context) bool {
	b.init()
	for {
		t := b.nextDirty()
		if t == nil {
			return true
		}
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		err := b.flushOne(ctx, t)
		cancel()
		if err != nil {
			return false
		}
		b.cleaned(t)
	}
}

func (b *Book) nextDirty() *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.queue) > 0 {
		if t := b.dirty[b.queue[0]]; t != nil {
			return t
		}
		b.queue = b.queue[1:]
	}
	return nil
}

// cleaned removes a written claim unless it changed meanwhile.
func (b *Book) cleaned(t *Ticket) {
	if t.Record.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		b.Member.DropResult(t.Record)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dirty[idOf(t.Record)] == t {
		delete(b.dirty, idOf(t.Record))
	}
}

// flushOne brings the store to the state of a claim, or finds that the store
// holds a later one. Its error means that the store failed.
func (b *Book) flushOne(ctx context.Context, t *Ticket) error {
	value, err := proto.Marshal(t.Record)
	if err != nil {
		return err
	}
	key := StoreKey(t.Record.GetClientAccount(), t.Record.GetKey())
	after, known := t.Revision, t.Record.GetState() != peerv1.ClaimState_CLAIM_STATE_ABANDONED || t.Revision != 0
	for range maxWrites {
		if known {
			_, err = b.KV.Put(ctx, key, value, after)
			if err == nil || fault.Is(err, fault.StoreUnavailable) {
				return err
			}
		}
		e, rec, readErr := b.read(ctx, key)
		if readErr != nil {
			return readErr
		}
		if !b.supersedes(t.Record, rec) {
			return nil
		}
		after, known = e.Revision, true
	}
	return err
}

// supersedes reports whether a claim has to be written over what the store
// holds. A result goes over any other attempt, since only one attempt at a key
// is ever sent.
func (b *Book) supersedes(mine, stored *peerv1.ClaimRecord) bool {
	if stored.GetToken() == mine.GetToken() {
		return stored.GetState() < mine.GetState() || mine.GetState() == peerv1.ClaimState_CLAIM_STATE_ABANDONED
	}
	switch mine.GetState() {
	case peerv1.ClaimState_CLAIM_STATE_ABANDONED:
		return false
	case peerv1.ClaimState_CLAIM_STATE_SENT, peerv1.ClaimState_CLAIM_STATE_HELD:
		// The attempt may be given back unsent meanwhile.
		return stored == nil || stored.GetState() == peerv1.ClaimState_CLAIM_STATE_ABANDONED
	}
	if stored.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		b.Meter.Inc("alarm_claim_done_twice")
		return false
	}
	return true
}

// WriteHeld queues all held claims; the last member does so before it leaves.
func (b *Book) WriteHeld() {
	b.init()
	for _, rec := range b.Member.AllHeld() {
		b.writeLater(&Ticket{Record: rec})
	}
}

// WriteOrphans queues the held claims whose owners are proven dead.
func (b *Book) WriteOrphans() {
	b.init()
	for _, rec := range b.Member.Orphans() {
		b.writeLater(&Ticket{Record: rec})
	}
}
