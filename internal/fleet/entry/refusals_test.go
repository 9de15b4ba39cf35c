package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// readsPerSecond is the users' reads_per_s.
const readsPerSecond = 2000

// limiter refuses reads beyond readsPerSecond in the last second, in which refused reads
// count too.
type limiter struct {
	mu   sync.Mutex
	last []time.Time
	most int
}

func (l *limiter) refuses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.last) > 0 && now.Sub(l.last[0]) >= time.Second {
		l.last = l.last[1:]
	}
	l.last = append(l.last, now)
	l.most = max(l.most, len(l.last))
	return len(l.last) > readsPerSecond
}

// limited is a VM's access to the store whose reads a limiter may refuse.
type limited struct {
	store.Store
	limit *limiter
}

func (l *limited) Get(ctx context.Context, key string) (store.Item, bool, error) {
	if l.limit.refuses() {
		return store.Item{}, false, fault.Wrap(fault.StoreUnavailable, store.ErrTooManyCalls, "limited")
	}
	return l.Store.Get(ctx, key)
}

func (l *limited) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if l.limit.refuses() {
		return nil, 0, fault.Wrap(fault.StoreUnavailable, store.ErrTooManyCalls, "limited")
	}
	return l.Store.Range(ctx, prefix)
}

func (l *limited) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	if l.limit.refuses() {
		return nil, 0, fault.Wrap(fault.StoreUnavailable, store.ErrTooManyCalls, "limited")
	}
	return l.Store.Watch(ctx, prefix, after, wait)
}

// accesses are the peers of a VM.
type accesses []path.Access

func (a accesses) Relays() []path.Access { return a }

// TestRefusedReadsDoNotKeepStoreRefusing checks that state queries for all jobs, while the
// planner does not answer, get answers in time once a store that refused reads is well again.
func TestRefusedReadsDoNotKeepStoreRefusing(t *testing.T) {
	for _, c := range []struct {
		vms     int
		refused float64
	}{{45, 0.3}, {45, 0.7}, {45, 1}, {300, 0.3}, {300, 0.7}, {300, 1}} {
		t.Run(fmt.Sprintf("%d VMs, %v refused", c.vms, c.refused), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				limit := &limiter{}
				f := newVMs(t, c.vms, func(s store.Store) store.Store { return &limited{s, limit} },
					func(_ int, others []path.Access) path.Relays { return accesses(others) })
				defer f.stop()
				for _, l := range f.links {
					l.Set(world.Faults{Refuse: c.refused})
				}
				during := make(chan int64)
				go func() { during <- f.ask() }()
				time.Sleep(askingTime)
				for _, l := range f.links {
					l.Set(world.Faults{})
				}
				after := f.ask()
				limit.mu.Lock()
				defer limit.mu.Unlock()
				t.Logf("without an answer: %d while refused, %d after; at most %d reads in a second", <-during, after, limit.most)
				is.Equal(after, int64(0))
			})
		})
	}
}
