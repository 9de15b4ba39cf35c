package roster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Delays of the roster's duty.
const (
	joinDelay    = 200 * time.Millisecond
	maxJoinDelay = 10 * time.Second
	// turnDelay separates the members that would all do the same.
	turnDelay = time.Second
	// stepTimeout bounds one join or eviction.
	stepTimeout = 30 * time.Second
)

// Wake makes Run look at the roster again.
func (k *Keeper) Wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		return
	}
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *Keeper) wakes() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{}, 1)
	}
	return k.changed
}

// Heard takes a peer's heartbeat: the incarnations that it proves dead and the
// version of the roster that it read.
func (k *Keeper) Heard(dead []string, version uint64) {
	if len(dead) > 0 {
		k.Member.AddDead(dead)
	}
	k.mu.Lock()
	k.heard = max(k.heard, version)
	k.mu.Unlock()
	if k.stale() {
		k.Wake()
	}
}

// ProvenDead returns the incarnations in the roster that this VM knows to be
// dead, for its heartbeats.
func (k *Keeper) ProvenDead() []string {
	var dead []string
	list := k.listed()
	for _, vm := range k.Member.View().Members {
		if k.isDead(vm, list) {
			dead = append(dead, vm.GetIncarnation())
		}
	}
	return dead
}

// stale reports whether the roster has to be read: a peer knows a later one, or
// a member is proven dead.
func (k *Keeper) stale() bool {
	k.mu.Lock()
	heard := k.heard
	k.mu.Unlock()
	return heard > k.Member.RosterVersion() || len(k.ProvenDead()) > 0
}

// Run joins the roster, then evicts members that are proven dead. It calls the
// store only after something changed.
func (k *Keeper) Run(ctx context.Context) {
	wakes := k.wakes()
	delay := joinDelay
	for ctx.Err() == nil {
		if err := k.step(ctx); err != nil {
			k.Meter.Inc("roster_retry")
			pause.For(ctx, k.jitter(delay))
			delay = min(2*delay, maxJoinDelay)
			continue
		}
		delay = joinDelay
		k.rest(ctx, wakes)
	}
}

// rest waits for a change, or for the time after which an acknowledged joiner
// is overdue.
func (k *Keeper) rest(ctx context.Context, wakes <-chan struct{}) {
	var overdue <-chan time.Time
	if k.Member.View().Joining {
		t := time.NewTimer(pendingTimeout)
		defer t.Stop()
		overdue = t.C
	}
	select {
	case <-ctx.Done():
	case <-wakes:
	case <-overdue:
	}
}

func (k *Keeper) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	v := k.Member.View()
	if !v.Listed {
		return k.Join(ctx)
	}
	if !k.stale() && !v.Joining {
		return nil
	}
	pause.For(ctx, k.turn(v.Members))
	if !k.stale() && !k.Member.View().Joining {
		return nil
	}
	return k.Evict(ctx)
}

// turn is the time that this VM waits for the members before it to do what is
// to be done, so that one of them calls the store and not all.
func (k *Keeper) turn(members []*peerv1.Vm) time.Duration {
	ahead := 0
	for _, vm := range members {
		if vm.GetIncarnation() == k.Self.GetIncarnation() {
			break
		}
		if !k.isDead(vm, k.listed()) {
			ahead++
		}
	}
	return time.Duration(ahead) * turnDelay
}

// jitter returns a duration between half and the whole of d.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	if k.Jitter != nil {
		return k.Jitter(d)
	}
	return d/2 + rand.N(d/2+1)
}
