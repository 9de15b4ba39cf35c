package lock_test

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

func TestMain(m *testing.M) {
	world.FollowTestTime()
	os.Exit(m.Run())
}

// candidate is a VM that takes part in the election.
type candidate struct {
	lock  *lock.Lock
	link  *world.Link
	store *counted
	// terms counts its terms; term is the last one.
	terms atomic.Int64
	term  atomic.Pointer[lock.Term]
	stop  context.CancelFunc
	done  chan struct{}
}

// counted is a store that counts the calls to it.
type counted struct {
	store.Store
	calls atomic.Int64
}

func (c *counted) Get(ctx context.Context, key string) (store.Item, bool, error) {
	c.calls.Add(1)
	return c.Store.Get(ctx, key)
}

func (c *counted) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	c.calls.Add(1)
	return c.Store.Range(ctx, prefix)
}

func (c *counted) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	c.calls.Add(1)
	return c.Store.Watch(ctx, prefix, after, wait)
}

func newCandidate(w *world.World, vm string) *candidate {
	link := w.Link(vm, "store")
	c := &candidate{link: link, done: make(chan struct{})}
	c.store = &counted{Store: &world.View{Store: w.Store, Link: link}}
	c.lock = &lock.Lock{
		Store: c.store, Self: lock.Holder{VMID: vm, IP: vm, Incarnation: uuid.NewString()},
		Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go func() {
		defer close(c.done)
		c.lock.Run(ctx, func(ctx context.Context, t lock.Term) {
			c.terms.Add(1)
			c.term.Store(&t)
			<-ctx.Done()
		})
	}()
	return c
}

func (c *candidate) leads() bool {
	t := c.term.Load()
	return t != nil && t.Valid()
}

func (c *candidate) shutDown() {
	c.stop()
	<-c.done
	// Calls in progress must end before the synctest bubble's clock stops.
	time.Sleep(world.MaxCall)
}

// runWithLeader runs f with a simulated platform whose VM a is the lock's holder.
func runWithLeader(t *testing.T, f func(is *is.I, w *world.World, a *candidate)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := world.New(1, 1, world.Bounds{MaxLease: time.Second})
		a := newCandidate(w, "a")
		defer a.shutDown()
		time.Sleep(time.Second)
		is.True(a.leads())
		f(is, w, a)
	})
}

func TestAnotherVMTakesOverAfterLeaseExpiry(t *testing.T) {
	runWithLeader(t, func(is *is.I, w *world.World, a *candidate) {
		b := newCandidate(w, "b")
		defer b.shutDown()
		time.Sleep(time.Second)
		is.True(!b.leads())
		a.link.Cut(true)
		time.Sleep(lock.TTL + 500*time.Millisecond)
		is.True(b.leads())
		is.True(!a.leads()) // the term of a lost planner expires before another begins
		is.True(a.lock.Suspended())
		a.link.Cut(false)
		time.Sleep(2 * time.Second)
		is.True(!a.lock.Suspended())
		is.True(b.leads() && !a.leads())
	})
}

// TestRestartRevokesTheEarlierLease checks that a restarted planner process does not wait
// until the lease of its predecessor expires, and that other VMs do.
func TestRestartRevokesTheEarlierLease(t *testing.T) {
	for vm, waits := range map[string]bool{"a": false, "b": true} {
		t.Run(vm, func(t *testing.T) {
			runWithLeader(t, func(is *is.I, w *world.World, a *candidate) {
				a.link.Cut(true)
				a.stop()
				time.Sleep(300 * time.Millisecond)
				a.link.Cut(false)
				restarted := newCandidate(w, vm)
				defer restarted.shutDown()
				time.Sleep(500 * time.Millisecond)
				is.Equal(restarted.leads(), !waits)
				time.Sleep(lock.TTL + time.Second)
				is.True(restarted.leads())
			})
		})
	}
}

func TestPlannedStopReleasesTheLock(t *testing.T) {
	runWithLeader(t, func(is *is.I, w *world.World, a *candidate) {
		b := newCandidate(w, "b")
		defer b.shutDown()
		time.Sleep(time.Second)
		a.shutDown()
		time.Sleep(300 * time.Millisecond)
		is.True(b.leads())
	})
}

func TestTermSurvivesAnOutageThatPausesLeases(t *testing.T) {
	runWithLeader(t, func(is *is.I, w *world.World, a *candidate) {
		w.Store.Pause()
		time.Sleep(4 * time.Second)
		is.True(!a.leads()) // the term is not valid while the lock may be lost
		w.Store.Unpause()
		time.Sleep(time.Second)
		is.True(a.leads())
		is.Equal(a.terms.Load(), int64(1))
	})
}

func TestTermEndsWhenTheLeaseHasExpired(t *testing.T) {
	runWithLeader(t, func(is *is.I, w *world.World, a *candidate) {
		first := a.term.Load().Revision
		w.Store.SetDown(true)
		time.Sleep(4 * time.Second)
		w.Store.SetDown(false)
		time.Sleep(2 * time.Second)
		is.True(a.leads())
		is.Equal(a.terms.Load(), int64(2))
		is.True(a.term.Load().Revision > first)
	})
}

func TestSlowStoreIsUsable(t *testing.T) {
	runWithLeader(t, func(is *is.I, _ *world.World, a *candidate) {
		a.link.SetExtraLatency(800 * time.Millisecond)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			is.True(a.leads())
		}
	})
}

// TestFollowerCallsAreBounded checks that a VM that watches the lock makes one call per
// watch, and a few more each time the store drops its history, however old the lock is.
func TestFollowerCallsAreBounded(t *testing.T) {
	runWithLeader(t, func(is *is.I, w *world.World, _ *candidate) {
		b := newCandidate(w, "b")
		defer b.shutDown()
		const drops, pause = 6, 10 * time.Second
		for range drops {
			time.Sleep(pause)
			w.Store.Put("other", nil)
			w.Store.Compact()
		}
		// One watch per 3 s, and for each drop up to three calls: the watch that fails,
		// a read of the lock and a new watch.
		is.True(b.store.calls.Load() <= int64(drops*pause/(3*time.Second)+3*drops))
		is.Equal(b.terms.Load(), int64(0))
	})
}

// TestTermContinuesSoonAfterAnOutage checks that a holder whose renewals were not answered
// leads soon after the store has returned, at whatever time within a renewal the outage
// began.
func TestTermContinuesSoonAfterAnOutage(t *testing.T) {
	runWithLeader(t, func(is *is.I, _ *world.World, a *candidate) {
		const outage = lock.TTL * 6 / 10 // shorter than what is left of the lease
		for offset := range 10 {
			time.Sleep(time.Duration(offset) * lock.TTL / 30)
			a.link.Cut(true)
			time.Sleep(outage)
			a.link.Cut(false)
			// While a renewal is overdue, one is sent 20 times a TTL; its answer takes up to 30 ms.
			time.Sleep(lock.TTL/20 + 60*time.Millisecond)
			is.True(a.leads())
			time.Sleep(time.Second)
		}
		is.Equal(a.terms.Load(), int64(1))
	})
}
