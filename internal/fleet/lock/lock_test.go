package lock_test

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// TestMain lets the clock of leases follow the time of the test.
func TestMain(m *testing.M) {
	epoch := time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)
	boottime.SetSource(func() boottime.Time { return boottime.Time(time.Since(epoch)) })
	os.Exit(m.Run())
}

// candidate is a VM that wants to lead.
type candidate struct {
	lock *lock.Lock
	link *world.Link
	// terms counts its terms; valid says whether it leads for certain.
	terms atomic.Int64
	term  atomic.Pointer[lock.Term]
	stop  context.CancelFunc
	done  chan struct{}
}

func newCandidate(w *world.World, vm string) *candidate {
	link := w.Link(vm, "store")
	c := &candidate{link: link, done: make(chan struct{})}
	c.lock = &lock.Lock{
		Store: &world.View{Store: w.Store, Link: link}, Self: lock.Holder{VMID: vm, IP: vm},
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

func (c *candidate) end() {
	c.stop()
	<-c.done
}

func newWorld() *world.World { return world.New(1, 1, world.Bounds{MaxHold: time.Second}) }

func TestAnotherTakesOverWithinALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		a := newCandidate(w, "a")
		time.Sleep(time.Second)
		is.True(a.leads())
		b := newCandidate(w, "b")
		time.Sleep(time.Second)
		is.True(!b.leads())
		a.link.Cut(true)
		time.Sleep(lock.TTL + 500*time.Millisecond)
		is.True(b.leads())
		is.True(!a.leads()) // the lock of a lost planner is over before another's begins
		is.True(a.lock.Suspended())
		a.link.Cut(false)
		time.Sleep(2 * time.Second)
		is.True(!a.lock.Suspended())
		is.True(b.leads() && !a.leads())
		a.end()
		b.end()
	})
}

func TestPlannedStopHandsTheLockOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		a := newCandidate(w, "a")
		time.Sleep(time.Second)
		b := newCandidate(w, "b")
		time.Sleep(time.Second)
		a.end()
		time.Sleep(300 * time.Millisecond)
		is.True(b.leads())
		b.end()
	})
}

func TestTermOutlivesAnOutageThatStopsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		a := newCandidate(w, "a")
		time.Sleep(time.Second)
		w.Store.Pause()
		time.Sleep(4 * time.Second)
		is.True(!a.leads()) // nothing is sent while the lock may be lost
		w.Store.Unpause()
		time.Sleep(time.Second)
		is.True(a.leads())
		is.Equal(a.terms.Load(), int64(1))
		a.end()
	})
}

func TestTermEndsWhenTheLeaseRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		a := newCandidate(w, "a")
		time.Sleep(time.Second)
		first := a.term.Load().Revision
		w.Store.SetDown(true)
		time.Sleep(4 * time.Second)
		w.Store.SetDown(false)
		time.Sleep(2 * time.Second)
		is.True(a.leads())
		is.Equal(a.terms.Load(), int64(2))
		is.True(a.term.Load().Revision > first)
		a.end()
	})
}

func TestASlowStoreIsServedBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		a := newCandidate(w, "a")
		time.Sleep(time.Second)
		a.link.Slow(800 * time.Millisecond)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			is.True(a.leads())
		}
		a.end()
	})
}
