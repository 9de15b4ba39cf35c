package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Limits of the background writes.
const (
	flushDelay    = 500 * time.Millisecond
	maxFlushDelay = 10 * time.Second
	// flushTimeout bounds the write of one claim, including the reads that
	// resolve conflicts.
	flushTimeout = 10 * time.Second
	// maxUnwritten bounds the number of claims that wait for their write.
	// Beyond it, a state change of another claim is not queued, and only the
	// roster members have it.
	maxUnwritten = DefaultLimit
)

// Finish records the result of a request that was sent. A result longer than
// MaxResultBytes is discarded.
func (l *Ledger) Finish(_ context.Context, t *Ticket, result []byte) {
	l.init()
	t.Record.State = peerv1.ClaimState_CLAIM_STATE_DONE
	if len(result) <= MaxResultBytes {
		t.Record.Result, t.Record.ResultKept = result, true
		if result == nil {
			t.Record.Result = []byte{}
		}
	}
	l.Member.Finalize(t.Record, time.Now())
	l.queueWrite(t)
}

// Abandon records that the request was not sent and never will be.
func (l *Ledger) Abandon(_ context.Context, t *Ticket) {
	l.init()
	t.Record.State = peerv1.ClaimState_CLAIM_STATE_ABANDONED
	l.Member.Finalize(t.Record, time.Now())
	l.queueWrite(t)
}

// queueUnconfirmed queues an abandoned attempt whose write may still take
// effect, so that it is marked as abandoned if it appears in the store.
func (l *Ledger) queueUnconfirmed(a *attempt) {
	l.queueWrite(&Ticket{Record: a.rec})
}

// queueWrite queues the current state of a claim for its write to the store.
func (l *Ledger) queueWrite(t *Ticket) {
	l.mu.Lock()
	k := claimKeyOf(t.Record)
	_, known := l.unwritten[k]
	if known || len(l.unwritten) < maxUnwritten {
		if !known {
			l.queue = append(l.queue, k)
		}
		l.unwritten[k] = &Ticket{Record: proto.CloneOf(t.Record), Revision: t.Revision}
	} else {
		l.Meter.Inc("claim_flush_dropped")
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// UnwrittenCount returns the number of claims that wait for their write to the
// store.
func (l *Ledger) UnwrittenCount() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unwritten)
}

// Run writes claims to the store in the background until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	l.init()
	delay := flushDelay
	for ctx.Err() == nil {
		if l.Flush(ctx) {
			delay = flushDelay
			select {
			case <-ctx.Done():
			case <-l.wake:
			}
			continue
		}
		l.Meter.Inc("claim_flush_retry")
		pause.For(ctx, delay)
		delay = min(2*delay, maxFlushDelay)
	}
}

// Flush writes all waiting claims, one at a time, and reports whether none is
// left. It stops at the first write that fails because of the store.
func (l *Ledger) Flush(ctx context.Context) bool {
	l.init()
	for {
		t := l.nextUnwritten()
		if t == nil {
			return true
		}
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		err := l.flushOne(ctx, t)
		cancel()
		if err != nil {
			return false
		}
		l.removeWritten(t)
	}
}

func (l *Ledger) nextUnwritten() *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 {
		if t := l.unwritten[l.queue[0]]; t != nil {
			return t
		}
		l.queue = l.queue[1:]
	}
	return nil
}

// removeWritten removes a written claim from the unwritten ones, unless it
// changed during the write.
func (l *Ledger) removeWritten(t *Ticket) {
	if t.Record.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		l.Member.DropResult(t.Record)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unwritten[claimKeyOf(t.Record)] == t {
		delete(l.unwritten, claimKeyOf(t.Record))
	}
}

// flushOne writes the state of a claim to the store, unless the store already
// holds a later state. It returns an error only when the store failed.
func (l *Ledger) flushOne(ctx context.Context, t *Ticket) error {
	value, err := proto.Marshal(t.Record)
	if err != nil {
		return err
	}
	key := StoreKey(t.Record.GetClientAccount(), t.Record.GetKey())
	ifRevision, known := t.Revision, t.Record.GetState() != peerv1.ClaimState_CLAIM_STATE_ABANDONED || t.Revision != 0
	for range maxWrites {
		if known {
			_, err = l.KV.Put(ctx, key, value, ifRevision)
			if err == nil || fault.Is(err, fault.StoreUnavailable) {
				return err
			}
		}
		e, rec, readErr := l.read(ctx, key)
		if readErr != nil {
			return readErr
		}
		if !l.supersedes(t.Record, rec) {
			return nil
		}
		ifRevision, known = e.Revision, true
	}
	return err
}

// supersedes reports whether a claim must overwrite the stored one. A result
// overwrites any other attempt, since at most one attempt at a key is ever
// sent.
func (l *Ledger) supersedes(pending, stored *peerv1.ClaimRecord) bool {
	if stored.GetToken() == pending.GetToken() {
		return stored.GetState() < pending.GetState() || pending.GetState() == peerv1.ClaimState_CLAIM_STATE_ABANDONED
	}
	switch pending.GetState() {
	case peerv1.ClaimState_CLAIM_STATE_ABANDONED:
		return false
	case peerv1.ClaimState_CLAIM_STATE_SENT, peerv1.ClaimState_CLAIM_STATE_HELD:
		// The attempt may have been abandoned without being sent, so it must
		// not overwrite another live claim.
		return stored == nil || stored.GetState() == peerv1.ClaimState_CLAIM_STATE_ABANDONED
	}
	if stored.GetState() == peerv1.ClaimState_CLAIM_STATE_DONE {
		l.Meter.Inc("alarm_claim_done_twice")
		return false
	}
	return true
}

// QueueCopies queues the copies of all claims of other VMs for their write to the
// store. The last member calls it before it leaves the roster.
func (l *Ledger) QueueCopies() {
	l.init()
	for _, rec := range l.Member.AllCopies() {
		l.queueWrite(&Ticket{Record: rec})
	}
}

// QueueOrphans queues the copies of claims whose owners are proven dead for
// their write to the store.
func (l *Ledger) QueueOrphans() {
	l.init()
	for _, rec := range l.Member.Orphans() {
		l.queueWrite(&Ticket{Record: rec})
	}
}
