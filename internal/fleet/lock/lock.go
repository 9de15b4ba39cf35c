// Package lock elects the one planner of the fleet by a key of the platform's
// store that is held under a lease.
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
	// TTL is how long the lock outlives its holder's last renewal: another VM
	// plans within it after a planner is lost.
	TTL = 2 * time.Second
	// margin is kept between the end of the lock as the holder counts it and as
	// the store does.
	margin = 200 * time.Millisecond
	// renewals is the number of renewals in a TTL.
	renewals = 4
	// watchWait bounds one watch of the lock; a silent watch is noticed then.
	watchWait = 3 * time.Second
	// callTimeout bounds a call for the lock. A store that takes most of a second
	// is still served by.
	callTimeout = 1300 * time.Millisecond
	// retryDelay is the pause after a failed call; it is drawn up to twice as
	// long.
	retryDelay = 150 * time.Millisecond
	// maxClaimDelay spreads the attempts of several VMs to take a free lock.
	maxClaimDelay = 40 * time.Millisecond
)

// Holder is the value of the lock's key.
type Holder struct {
	VMID string `json:"vm_id"`
	IP   string `json:"ip"`
	// Incarnation differs for every start of a daemon.
	Incarnation string `json:"incarnation"`
	// Lease is that of the lock's key.
	Lease int64 `json:"lease,omitempty"`
	// Revision is the revision in which the lock was taken; 0 for nobody.
	Revision int64 `json:"-"`
}

// Term is one holding of the lock.
type Term struct {
	// Revision of the lock's key; it rises with every term.
	Revision int64
	lock     *Lock
}

// Valid reports whether the lock is still held for certain.
func (t Term) Valid() bool { return t.lock.held(t.Revision) }

// Lock takes part in the election. Its exported fields are set before Run.
type Lock struct {
	Store store.Store
	Self  Holder
	// Delay is waited before a free lock is taken, so that larger VMs go first.
	Delay time.Duration
	Log   *slog.Logger
	Meter *meter.Meter

	mu         sync.Mutex
	holder     Holder
	seen       time.Time
	term       int64
	validUntil boottime.Time
	// lost says that the store has ended the lease of the term.
	lost bool
}

// Holder returns who holds the lock as last read, and how old that is.
func (l *Lock) Holder() (Holder, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, time.Since(l.seen)
}

func (l *Lock) note(h Holder) {
	l.mu.Lock()
	changed := l.holder.Revision != h.Revision
	l.holder, l.seen = h, time.Now()
	l.mu.Unlock()
	if changed {
		l.Log.Info("planner changed", "planner", h.VMID, "term", h.Revision)
	}
}

// Suspended reports whether this VM leads a term that it does not hold for
// certain at present.
func (l *Lock) Suspended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != 0 && boottime.Now() >= l.validUntil
}

// Run takes part in the election until ctx ends. It calls lead with each term
// of this VM; lead returns when its context ends or to give the lock up.
func (l *Lock) Run(ctx context.Context, lead func(ctx context.Context, t Term)) {
	for ctx.Err() == nil {
		it, at, err := l.read(ctx)
		switch {
		case err != nil:
			l.Meter.Inc("lock_read_retry")
			spread(ctx, retryDelay)
		case it == nil:
			l.claim(ctx, lead)
		default:
			l.follow(ctx, it, at)
		}
	}
}

// read returns the lock's item, nil when nobody holds it, and the revision of
// the store at which that was so.
func (l *Lock) read(ctx context.Context) (*store.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, at, err := l.Store.Range(ctx, store.LockKey)
	if err != nil {
		return nil, 0, err
	}
	for i := range items {
		if items[i].Key == store.LockKey {
			return &items[i], at, nil
		}
	}
	return nil, at, nil
}

// follow notes the holder until the lock changes, or can't be watched. Each
// watch goes on from the last one's revision: that of the item is soon older
// than the store's history.
func (l *Lock) follow(ctx context.Context, it *store.Item, at int64) {
	h := Holder{}
	if err := json.Unmarshal(it.Value, &h); err != nil {
		l.Log.Warn("the lock's value can't be read", "revision", it.Revision, "error", err)
	}
	h.Revision = it.Created
	if l.isEarlierLife(h) && l.endEarlierLife(ctx, h) {
		return
	}
	for ctx.Err() == nil {
		l.note(h)
		events, next, err := l.watch(ctx, at)
		if err != nil {
			l.Meter.Inc("lock_watch_retry")
			spread(ctx, retryDelay)
			return
		}
		if len(events) > 0 {
			return
		}
		at = next
	}
}

// isEarlierLife reports whether a holder was a process of this VM that has ended: a VM
// runs one process at a time.
func (l *Lock) isEarlierLife(h Holder) bool {
	return h.VMID == l.Self.VMID && h.IP == l.Self.IP && h.Incarnation != l.Self.Incarnation && h.Lease != 0
}

// endEarlierLife ends the lease of an earlier process of this VM, so that nobody has to
// wait until it runs out. It reports whether the lock is free then.
func (l *Lock) endEarlierLife(ctx context.Context, h Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.Store.Revoke(ctx, h.Lease)
	if err != nil && !fault.Is(err, fault.NotFound) {
		l.Log.Warn("the lock of an earlier life of this VM runs out by itself", "term", h.Revision, "error", err)
		return false
	}
	l.Meter.Inc("lock_earlier_life")
	l.Log.Info("lock of an earlier life of this VM ended", "term", h.Revision, "incarnation", h.Incarnation)
	return true
}

func (l *Lock) watch(ctx context.Context, at int64) ([]store.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	return l.Store.Watch(ctx, store.LockKey, at, watchWait)
}

// spread waits for d to twice as long, so that VMs do not act in step.
func spread(ctx context.Context, d time.Duration) { pause.For(ctx, d+rand.N(d+1)) }

// claim tries to take the free lock, and leads while it holds it.
func (l *Lock) claim(ctx context.Context, lead func(ctx context.Context, t Term)) {
	spread(ctx, l.Delay+rand.N(maxClaimDelay))
	if ctx.Err() != nil {
		return
	}
	asked := boottime.Now()
	lease, ttl, err := l.grant(ctx)
	if err != nil {
		l.Meter.Inc("lock_grant_retry")
		spread(ctx, retryDelay)
		return
	}
	defer l.end(lease)
	revision, err := l.put(ctx, lease)
	if err != nil {
		l.Meter.Inc("lock_claim_" + string(fault.KindOf(err)))
		if !fault.Is(err, fault.Conflict) {
			spread(ctx, retryDelay)
		}
		return
	}
	l.mu.Lock()
	l.term, l.validUntil, l.lost = revision, asked.Add(ttl-margin), false
	l.mu.Unlock()
	h := l.Self
	h.Revision = revision
	l.note(h)
	l.Meter.Inc("lock_taken")
	l.hold(ctx, Term{Revision: revision, lock: l}, lease, ttl, lead)
}

func (l *Lock) grant(ctx context.Context) (int64, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.Store.Grant(ctx, TTL)
}

func (l *Lock) put(ctx context.Context, lease int64) (int64, error) {
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

// end gives the lock up; when that can't be told, the lease runs out.
func (l *Lock) end(lease int64) {
	l.mu.Lock()
	l.term = 0
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := l.Store.Revoke(ctx, lease); err != nil {
		l.Log.Warn("the lock's lease runs out by itself", "lease", lease, "error", err)
	}
}

// hold renews the lock and leads, until the lock is lost or given up. A term
// that can't renew it is suspended: it may not act, and goes on when a renewal
// succeeds.
func (l *Lock) hold(ctx context.Context, t Term, lease int64, ttl time.Duration, lead func(ctx context.Context, t Term)) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := duty.Run(l.Log, l.Meter, "lead", func() { lead(termCtx, t) }); err != nil {
			l.Log.Warn("planner lock given up", "term", t.Revision, "error", err)
		}
	}()
	tick := time.NewTicker(ttl / renewals)
	defer tick.Stop()
	for {
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
		// A slow answer does not hold up the next renewal.
		go l.renew(termCtx, t.Revision, lease, ttl)
	}
}

// isLost reports whether the store has said that a term's lease has ended.
// Until then the term may go on: a store that was away may have stopped the
// time of its leases.
func (l *Lock) isLost(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != revision || l.lost
}

// held reports whether a term holds the lock for certain.
func (l *Lock) held(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term == revision && boottime.Now() < l.validUntil
}

// renew renews the lease.
func (l *Lock) renew(ctx context.Context, revision, lease int64, ttl time.Duration) {
	asked := boottime.Now()
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
		l.validUntil = max(l.validUntil, asked.Add(ttl-margin))
		l.seen = time.Now()
	case fault.Is(err, fault.NotFound):
		l.validUntil, l.lost = 0, true
	default:
		l.Meter.Inc("lock_renewal_failed")
	}
}
