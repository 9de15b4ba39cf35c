// Package lock elects the planner of the fleet: the VM that owns the lock key in
// the platform's store. The key is attached to a lease.
package lock

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/duty"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// TTL is how long the lock remains after its holder's last renewal. It bounds
	// the time after the loss of a planner until another VM can take over.
	TTL = 1400 * time.Millisecond
	// expiryMargin is how much earlier than the store the holder considers the
	// lock expired.
	expiryMargin = 200 * time.Millisecond
	// renewalsPerTTL is the number of renewals within a TTL.
	renewalsPerTTL = 5
	// overdueRenewals is the number of renewals within a TTL while one is overdue, so
	// that the term continues soon after the store responds again.
	overdueRenewals = 20
	// watchWait bounds one watch of the lock, so that an unresponsive watch is
	// detected.
	watchWait = 2500 * time.Millisecond
	// maxWatchJitter bounds the jitter of that. All VMs begin to watch at the same time, when
	// the planner has changed, and a store that is silent for a moment must not leave them all
	// with unresponsive watches.
	maxWatchJitter = time.Second
	// callTimeout bounds a store call for the lock. It lets a store that takes most
	// of a second per call still be used.
	callTimeout = 1300 * time.Millisecond
	// retryDelay is the shortest pause after a failed call; jitter makes it up to
	// twice as long.
	retryDelay = 150 * time.Millisecond
	// maxAcquireJitter bounds the jitter before an attempt to acquire a free lock,
	// so that several VMs do not try at the same time.
	maxAcquireJitter = 40 * time.Millisecond
)

// Holder is the value of the lock's key.
type Holder struct {
	VMID string `json:"vm_id"`
	IP   string `json:"ip"`
	// Incarnation names one run of the daemon's process; it differs for every start.
	Incarnation string `json:"incarnation"`
	// Lease is the lease to which the lock's key is attached.
	Lease int64 `json:"lease,omitempty"`
	// Revision is the store revision in which the lock was acquired; 0 when nobody
	// owns it.
	Revision int64 `json:"-"`
}

// Term is one uninterrupted ownership of the lock.
type Term struct {
	// Revision is the revision in which the lock's key was created; it increases
	// with every term.
	Revision int64
	lock     *Lock
}

// Valid reports whether this VM certainly still owns the lock for this term.
func (t Term) Valid() bool { return t.lock.isOwner(t.Revision) }

// Lock takes part in the election. Its exported fields are set before Run.
type Lock struct {
	Store store.Store
	Self  Holder
	// AcquireDelay is the time to wait before acquiring a free lock. Smaller VMs
	// wait longer, so that larger ones get it first.
	AcquireDelay time.Duration
	Log          *slog.Logger
	Meter        *meter.Meter

	mu sync.Mutex
	// holder is the holder as last read or renewed, at holderAt.
	holder   Holder
	holderAt time.Time
	// term is the revision of the present term of this VM, 0 for none; it is valid
	// until validUntil.
	term       int64
	validUntil boottime.Time
	// renewedAt is when the last successful renewal of the term was sent.
	renewedAt boottime.Time
	// leaseLost reports that the lease of the term no longer exists in the store.
	leaseLost bool
}

// Holder returns the lock's holder as last read, and the age of that reading.
func (l *Lock) Holder() (Holder, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, time.Since(l.holderAt)
}

func (l *Lock) recordHolder(h Holder) {
	l.mu.Lock()
	changed := l.holder.Revision != h.Revision
	l.holder, l.holderAt = h, time.Now()
	l.mu.Unlock()
	if changed {
		l.Log.Info("planner changed", "planner", h.VMID, "term", h.Revision)
	}
}

// Suspended reports whether this VM is in a term, but can't be certain at present
// that it still owns the lock.
func (l *Lock) Suspended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != 0 && boottime.Now() >= l.validUntil
}

// Run takes part in the election until ctx ends. It calls lead with each term of
// this VM; lead returns when its context ends, or earlier to release the lock.
func (l *Lock) Run(ctx context.Context, lead func(ctx context.Context, t Term)) {
	for ctx.Err() == nil {
		it, revision, err := l.read(ctx)
		switch {
		case err != nil:
			l.Meter.Inc("lock_read_retry")
			pauseWithJitter(ctx, retryDelay)
		case it == nil:
			l.acquire(ctx, lead)
		default:
			l.followHolder(ctx, it, revision)
		}
	}
}

// read returns the lock's item, nil when nobody owns the lock, and the store
// revision of that reading.
func (l *Lock) read(ctx context.Context) (*store.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, revision, err := l.Store.Range(ctx, store.LockKey)
	if err != nil {
		return nil, 0, err
	}
	for i := range items {
		if items[i].Key == store.LockKey {
			return &items[i], revision, nil
		}
	}
	return nil, revision, nil
}

// followHolder records the holder until the lock changes or a watch fails. Each
// watch continues from the revision of the last one, since the item's own
// revision soon falls out of the store's history.
func (l *Lock) followHolder(ctx context.Context, it *store.Item, revision int64) {
	h := Holder{}
	if err := json.Unmarshal(it.Value, &h); err != nil {
		l.Log.Warn("can't decode the value of the planner lock", "revision", it.Revision, "error", err)
	}
	h.Revision = it.Created
	if l.isEarlierIncarnation(h) && l.revokeEarlierLease(ctx, h) {
		return
	}
	for ctx.Err() == nil {
		l.recordHolder(h)
		events, next, err := l.watch(ctx, revision)
		if err != nil {
			l.Meter.Inc("lock_watch_retry")
			pauseWithJitter(ctx, retryDelay)
			return
		}
		if len(events) > 0 {
			return
		}
		revision = next
	}
}

// isEarlierIncarnation reports whether a holder was an earlier process of this VM.
// That process has ended, since a VM runs one process at a time.
func (l *Lock) isEarlierIncarnation(h Holder) bool {
	return h.VMID == l.Self.VMID && h.IP == l.Self.IP && h.Incarnation != l.Self.Incarnation && h.Lease != 0
}

// revokeEarlierLease revokes the lease of an earlier process of this VM, so that
// nobody has to wait until it expires. It reports whether the lock is free.
func (l *Lock) revokeEarlierLease(ctx context.Context, h Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.Store.Revoke(ctx, h.Lease)
	if err != nil && !fault.Is(err, fault.NotFound) {
		l.Log.Warn("can't revoke the lock lease of an earlier process of this VM; it will expire", "term", h.Revision, "error", err)
		return false
	}
	l.Meter.Inc("lock_earlier_life")
	l.Log.Info("revoked the lock lease of an earlier process of this VM", "term", h.Revision, "incarnation", h.Incarnation)
	return true
}

func (l *Lock) watch(ctx context.Context, after int64) ([]store.Item, int64, error) {
	wait := watchWait + rand.N(maxWatchJitter)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return l.Store.Watch(ctx, store.LockKey, after, wait)
}

// pauseWithJitter waits between d and twice as long, so that VMs do not act at the
// same time.
func pauseWithJitter(ctx context.Context, d time.Duration) { pause.For(ctx, d+rand.N(d+1)) }

// acquire tries to acquire the free lock, and runs a term if it succeeds.
func (l *Lock) acquire(ctx context.Context, lead func(ctx context.Context, t Term)) {
	pauseWithJitter(ctx, l.AcquireDelay+rand.N(maxAcquireJitter))
	if ctx.Err() != nil {
		return
	}
	sentAt := boottime.Now()
	lease, ttl, err := l.grant(ctx)
	if err != nil {
		l.Meter.Inc("lock_grant_retry")
		pauseWithJitter(ctx, retryDelay)
		return
	}
	defer l.release(lease)
	revision, err := l.writeLock(ctx, lease)
	if err != nil {
		l.Meter.Inc("lock_claim_" + string(fault.KindOf(err)))
		if !fault.Is(err, fault.Conflict) {
			pauseWithJitter(ctx, retryDelay)
		}
		return
	}
	l.mu.Lock()
	l.term, l.validUntil, l.renewedAt, l.leaseLost = revision, sentAt.Add(ttl-expiryMargin), sentAt, false
	l.mu.Unlock()
	h := l.Self
	h.Revision = revision
	l.recordHolder(h)
	l.Meter.Inc("lock_taken")
	l.runTerm(ctx, Term{Revision: revision, lock: l}, lease, ttl, lead)
}

func (l *Lock) grant(ctx context.Context) (int64, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.Store.Grant(ctx, TTL)
}

func (l *Lock) writeLock(ctx context.Context, lease int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := l.Self
	h.Lease = lease
	value, err := json.Marshal(h)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode the lock")
	}
	revision, _, err := l.Store.Apply(ctx, store.Txn{
		Conditions: []store.Condition{{Key: store.LockKey}},
		Puts:       []store.Put{{Key: store.LockKey, Value: value, Lease: lease}},
	})
	return revision, err
}

// release releases the lock. If the store can't be reached, the lease expires.
func (l *Lock) release(lease int64) {
	l.mu.Lock()
	l.term = 0
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := l.Store.Revoke(ctx, lease); err != nil {
		l.Log.Warn("can't revoke the lock lease; it will expire", "lease", lease, "error", err)
	}
}

// runTerm runs a term and renews its lease until the lock is lost or released. A
// term whose lease can't be renewed is suspended: it may not act, and continues
// when a renewal succeeds.
func (l *Lock) runTerm(ctx context.Context, t Term, lease int64, ttl time.Duration, lead func(ctx context.Context, t Term)) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := duty.Run(l.Log, l.Meter, "lead", func() { lead(termCtx, t) }); err != nil {
			l.Log.Warn("planner term failed; releasing the lock", "term", t.Revision, "error", err)
		}
	}()
	tick := time.NewTicker(ttl / overdueRenewals)
	defer tick.Stop()
	for ticks := 1; ; ticks++ {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		if l.isLost(t.Revision) {
			l.Log.Warn("planner lock lost", "term", t.Revision)
			l.Meter.Inc("lock_lost")
			cancel()
			<-done
			return
		}
		overdue := l.sinceRenewal() > ttl/renewalsPerTTL+ttl/overdueRenewals
		if !overdue && ticks%(overdueRenewals/renewalsPerTTL) != 0 {
			continue
		}
		// A slow response must not delay the next renewal.
		go l.renew(termCtx, t.Revision, lease, ttl)
	}
}

// isLost reports whether the store has reported that a term's lease does not exist
// any more. Until then the term may continue: during an outage the store may have
// paused the expiry of its leases.
func (l *Lock) isLost(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != revision || l.leaseLost
}

// isOwner reports whether a term certainly owns the lock.
func (l *Lock) isOwner(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term == revision && boottime.Now() < l.validUntil
}

// renew renews the lease once and extends the term's validity.
func (l *Lock) renew(ctx context.Context, revision, lease int64, ttl time.Duration) {
	sentAt := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.Store.KeepAlive(ctx, lease)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != revision || ctx.Err() != nil && err != nil {
		return
	}
	switch {
	case err == nil:
		l.validUntil, l.renewedAt = max(l.validUntil, sentAt.Add(ttl-expiryMargin)), max(l.renewedAt, sentAt)
		l.holderAt = time.Now()
	case fault.Is(err, fault.NotFound):
		l.validUntil, l.leaseLost = 0, true
	default:
		l.Meter.Inc("lock_renewal_failed")
	}
}

// sinceRenewal returns the time since the last successful renewal was sent.
func (l *Lock) sinceRenewal() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return boottime.Since(l.renewedAt)
}
