package path_test

import (
	"context"
	"log/slog"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// counted is a route to the store that counts its changes.
type counted struct {
	path.Access
	applies int
}

func (c *counted) Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	c.applies++
	return c.Access.Apply(ctx, t)
}

// relays lists fixed peers, and counts how often the list is read.
type relays struct {
	list   []path.Access
	listed atomic.Int64
}

func (r *relays) Relays() []path.Access {
	r.listed.Add(1)
	return r.list
}

// fixture is a VM and a peer of it, each with its own connection to one store.
type fixture struct {
	world        *world.World
	direct, peer *counted
	path         *path.Path
	peerRoute    *path.Path
	relays       *relays
	cancel       context.CancelFunc
}

func newFixture() *fixture {
	s := &fixture{world: world.New(1, 1, world.Bounds{MaxLease: time.Second})}
	view := func(vm string) path.Access {
		return path.Direct{Store: &world.View{Store: s.world.Store, Link: s.world.Link(vm, "store")}}
	}
	newPath := func(direct path.Access, r path.Relays) *path.Path {
		return &path.Path{Direct: direct, Relays: r, ProbeKey: "probe", Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{}}
	}
	s.direct, s.peer = &counted{Access: view("a")}, &counted{Access: view("b")}
	s.peerRoute = newPath(s.peer, &relays{})
	s.relays = &relays{list: []path.Access{s.peerRoute.DirectOnly()}}
	s.path = newPath(s.direct, s.relays)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.path.Run(ctx)
	go s.peerRoute.Run(ctx)
	return s
}

// stop ends the background tasks, and waits for calls in progress, since the synctest
// bubble's clock stops once its test has returned.
func (s *fixture) stop() {
	s.cancel()
	time.Sleep(world.MaxCall)
}

func (s *fixture) apply(key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, _, err := s.path.Apply(ctx, store.Txn{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("v")}}})
	return err
}

func TestRefusedVMUsesPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Link("a", "store").Set(world.Faults{Refuse: 1})
		is.NoErr(s.apply("k1"))
		is.Equal(s.peer.applies, 1)
		time.Sleep(time.Second)
		is.NoErr(s.apply("k2"))
		is.Equal(s.direct.applies, 1) // calls go to peers first until a direct probe succeeds
		s.world.Link("a", "store").Set(world.Faults{})
		time.Sleep(time.Second)
		is.NoErr(s.apply("k3"))
		is.Equal(s.direct.applies, 2)
		is.Equal(s.peer.applies, 2)
	})
}

// TestOutageRefusesChangesImmediately checks that a change is not sent by routes that are
// known to fail: it is refused immediately, and was certainly not made.
func TestOutageRefusesChangesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Link("a", "store").Cut(true)
		s.world.Link("b", "store").Cut(true)
		is.True(fault.Is(s.apply("k1"), fault.AnswerLost)) // the first call may have been sent
		_, _, err := s.peerRoute.Get(t.Context(), "k")
		is.True(err != nil)
		sent := s.direct.applies + s.peer.applies
		for range 5 {
			began := time.Now()
			is.True(fault.Is(s.apply("k2"), fault.StoreUnavailable))
			is.True(time.Since(began) < 100*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
		}
		is.Equal(s.direct.applies+s.peer.applies, sent)
		is.True(!s.world.Store.Has("k2"))
		s.world.Link("a", "store").Cut(false)
		s.world.Link("b", "store").Cut(false)
		time.Sleep(2 * time.Second)
		is.NoErr(s.apply("k2"))
	})
}

// TestSilentStoreIsReachedSoonAfterItsReturn checks that the end of an outage in which the
// store does not respond is noticed within two probes, whenever it ends.
func TestSilentStoreIsReachedSoonAfterItsReturn(t *testing.T) {
	for outage := 4 * time.Second; outage < 5*time.Second; outage += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			defer s.stop()
			s.world.Link("a", "store").Cut(true)
			s.world.Link("b", "store").Cut(true)
			began := time.Now()
			is.True(s.apply("k1") != nil)
			_, _, err := s.peerRoute.Get(t.Context(), "k")
			is.True(err != nil)
			time.Sleep(outage - time.Since(began))
			s.world.Link("a", "store").Cut(false)
			s.world.Link("b", "store").Cut(false)
			time.Sleep(250 * time.Millisecond)
			began = time.Now()
			is.NoErr(s.apply("k2"))
			is.True(time.Since(began) < 100*time.Millisecond)
		})
	}
}

// slow is a route to the store whose reads block until their context ends while hangs
// is set.
type slow struct {
	path.Access
	hangs atomic.Bool
}

func (s *slow) Get(ctx context.Context, key string) (store.Item, bool, error) {
	if s.hangs.Load() {
		<-ctx.Done()
		return store.Item{}, false, fault.New(fault.StoreUnavailable, "no answer")
	}
	return s.Access.Get(ctx, key)
}

// TestOutdatedFailureIsIgnored checks that a failed call does not mark the direct route as
// failing if a call that began later succeeded.
func TestOutdatedFailureIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		access := &slow{Access: s.direct}
		access.hangs.Store(true)
		s.path.Direct = access
		s.relays.list = nil // a response through a peer would show that the direct route fails
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = s.path.Get(t.Context(), "k")
		}()
		time.Sleep(500 * time.Millisecond)
		access.hangs.Store(false)
		is.NoErr(s.apply("k1"))
		<-done
		is.NoErr(s.apply("k2"))
		is.Equal(s.direct.applies, 2) // the direct route is still tried first
	})
}

// TestPeersAreNotRetriedImmediately checks that calls during an outage are refused without
// trying all peers each time.
func TestPeersAreNotRetriedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Link("a", "store").Set(world.Faults{Refuse: 1})
		s.world.Link("b", "store").Cut(true)
		is.True(s.apply("k1") != nil)
		listed := s.relays.listed.Load()
		for began := time.Now(); time.Since(began) < 100*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			is.True(fault.Is(s.apply("k2"), fault.StoreUnavailable))
		}
		is.True(s.relays.listed.Load() <= listed+1)
		s.world.Link("a", "store").Set(world.Faults{})
		s.world.Link("b", "store").Cut(false)
		time.Sleep(time.Second)
		is.NoErr(s.apply("k3"))
	})
}

// TestHedgedReadUsesPeer checks that a VM that has just been cut off from the store reads
// a key through a peer before its own call times out, and uses no peer while the store
// responds.
func TestHedgedReadUsesPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Store.Put("k", []byte("v"))
		h := path.Hedged{Path: s.path}
		items, at, err := h.Changes(t.Context(), "k", 0)
		is.NoErr(err)
		is.Equal(len(items), 1)
		is.Equal(s.relays.listed.Load(), int64(0))
		s.world.Store.Put("k", []byte("w"))
		s.world.Link("a", "store").Cut(true)
		began := time.Now()
		items, _, err = h.Changes(t.Context(), "k", at)
		is.NoErr(err)
		is.Equal(len(items), 1)
		is.Equal(string(items[0].Value), "w")
		is.True(time.Since(began) < 300*time.Millisecond)
	})
}

// TestChangesAfterDiscardedHistory checks that a VM reads all items when the store's
// history no longer contains the revision of its last reading.
func TestChangesAfterDiscardedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Store.Put("k", []byte("v"))
		items, at, err := s.path.Changes(t.Context(), "k", 0)
		is.NoErr(err)
		is.Equal(len(items), 1)
		items, at, err = s.path.Changes(t.Context(), "k", at)
		is.NoErr(err)
		is.Equal(len(items), 0)
		s.world.Store.Put("k", []byte("w"))
		s.world.Store.Compact()
		items, _, err = s.path.Changes(t.Context(), "k", at)
		is.NoErr(err)
		is.Equal(len(items), 1)
		is.Equal(string(items[0].Value), "w")
	})
}

// large is a route to the store whose responses to changes begin after a delay and do not
// end, and which counts the reads of keys.
type large struct {
	path.Access
	begins           time.Duration
	gets, unfinished atomic.Int64
}

func (l *large) Changes(ctx context.Context, _ string, _ int64) ([]store.Item, int64, error) {
	begin := time.NewTimer(l.begins)
	defer begin.Stop()
	select {
	case <-begin.C:
		httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
		<-ctx.Done()
	case <-ctx.Done():
	}
	return nil, 0, fault.New(fault.StoreUnavailable, "no response")
}

func (l *large) Get(ctx context.Context, _ string) (store.Item, bool, error) {
	l.gets.Add(1)
	l.unfinished.Add(1)
	<-ctx.Done()
	l.unfinished.Add(-1)
	return store.Item{}, false, fault.New(fault.StoreUnavailable, "no response")
}

// TestKeyIsNotReadBesideItsChanges checks that the value of a key is not transferred while
// the store responds with its changes, and that ending such a read is no failure of the
// direct route.
func TestKeyIsNotReadBesideItsChanges(t *testing.T) {
	for _, c := range []struct {
		begins time.Duration
		gets   int64
	}{{100 * time.Millisecond, 0}, {300 * time.Millisecond, 1}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			defer s.stop()
			l := &large{Access: s.direct, begins: c.begins}
			s.path.Direct = l
			s.relays.list = nil
			ctx, cancel := context.WithTimeout(t.Context(), c.begins+50*time.Millisecond)
			defer cancel()
			_, _, err := path.Hedged{Path: s.path}.Changes(ctx, "k", 1)
			is.True(err != nil)
			is.Equal(l.gets.Load(), c.gets)
			is.Equal(l.unfinished.Load(), int64(0))
			is.NoErr(s.apply("k1"))
			is.Equal(s.direct.applies, 1)
		})
	}
}

// TestReadsOfKeyDoNotOverlap checks that a VM which gets no response to polls has at most
// one read of the key in flight.
func TestReadsOfKeyDoNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		l := &large{Access: s.direct, begins: time.Hour}
		s.path.Direct = l
		s.relays.list = nil
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, _, err := path.Hedged{Path: s.path}.Changes(ctx, "k", 1)
			cancel()
			is.True(err != nil)
			synctest.Wait()
			is.Equal(l.unfinished.Load(), int64(0))
		}
		is.Equal(l.gets.Load(), int64(3))
	})
}

// TestSilentRouteIsNotTriedFirst checks that a VM whose store does not respond, while a peer
// responds, uses the peer first until the store responds again.
func TestSilentRouteIsNotTriedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Link("a", "store").Cut(true)
		_, _, err := s.path.Get(t.Context(), "k")
		is.NoErr(err)
		began := time.Now()
		_, _, err = s.path.Get(t.Context(), "k")
		is.NoErr(err)
		is.True(time.Since(began) < 100*time.Millisecond)
		is.NoErr(s.apply("k1"))
		is.Equal(s.direct.applies, 0)
		s.world.Link("a", "store").Cut(false)
		time.Sleep(250 * time.Millisecond)
		is.NoErr(s.apply("k2"))
		is.Equal(s.direct.applies, 1)
	})
}

// countedReads counts the reads by a route.
type countedReads struct {
	path.Access
	gets *atomic.Int64
}

func (c countedReads) Get(ctx context.Context, key string) (store.Item, bool, error) {
	c.gets.Add(1)
	return c.Access.Get(ctx, key)
}

// TestSlowStoreGetsFewFurtherReads checks that a store which takes 200 times as long as usual
// is not read by one route after another.
func TestSlowStoreGetsFewFurtherReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		for _, vm := range []string{"a", "b"} {
			s.world.Link(vm, "store").SetExtraLatency(800 * time.Millisecond)
		}
		var gets atomic.Int64
		s.path.Direct = countedReads{s.direct, &gets}
		s.relays.list = nil
		for range 8 {
			s.relays.list = append(s.relays.list, countedReads{s.peerRoute.DirectOnly(), &gets})
		}
		const reads = 20
		for range reads {
			_, _, err := s.path.Get(t.Context(), "k")
			is.NoErr(err)
		}
		is.True(gets.Load() <= reads+maxFirstHedges)
		is.NoErr(s.apply("k1"))
		is.Equal(s.direct.applies, 1) // the direct route does not fail
	})
}

// maxFirstHedges is how often a read is repeated before the time of a response is known.
const maxFirstHedges = 4

// refusing is a route on which the store responds that it is unavailable.
type refusing struct{ path.Access }

func (refusing) Get(ctx context.Context, _ string) (store.Item, bool, error) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.GotFirstResponseByte()
	}
	return store.Item{}, false, fault.New(fault.StoreUnavailable, "refused")
}

// TestSilentPeerAfterRefusalIsNotWaitedFor guards against reads that take the beginning of a
// refusal for that of the next peer's response, and wait for a silent peer.
func TestSilentPeerAfterRefusalIsNotWaitedFor(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			defer s.stop()
			silent := &slow{}
			silent.hangs.Store(true)
			s.path.Direct = refusing{s.direct}
			s.relays.list = append([]path.Access{silent}, s.relays.list...)
			began := time.Now()
			_, _, err := s.path.Get(t.Context(), "k")
			is.NoErr(err)
			is.True(time.Since(began) < time.Second)
		})
	}
}
