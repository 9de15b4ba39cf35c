package path_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// fullLink is a link of 10 Mbit/s whose transfers share its bandwidth.
type fullLink struct {
	mu        sync.Mutex
	transfers int
	sent      atomic.Int64
}

// send transfers n bytes, and reports whether ctx lasted as long.
func (l *fullLink) send(ctx context.Context, n int) bool {
	const step = 5 * time.Millisecond
	l.sent.Add(1)
	count := func(n int) int {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.transfers += n
		return l.transfers
	}
	count(1)
	defer count(-1)
	for left := float64(n); left > 0; left -= step.Seconds() * 10_000_000 / 8 / float64(count(0)) {
		time.Sleep(step)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// overLink is a route whose changes are sent over a link.
type overLink struct {
	path.Access
	link *fullLink
}

func (o *overLink) Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	const base64Size = 4.0 / 3
	if !o.link.send(ctx, int(base64Size*float64(len(t.Puts[0].Value)))) {
		return 0, nil, fault.New(fault.AnswerLost, "no response")
	}
	return o.Access.Apply(ctx, t)
}

// fixedRelays are peers that are listed concurrently.
type fixedRelays []path.Access

func (r fixedRelays) Relays() []path.Access { return r }

// TestSubmissionsDoNotRepeatThemselvesOnFullLink guards against submissions that are lost
// since each is sent again and again over the link that delays them.
func TestSubmissionsDoNotRepeatThemselvesOnFullLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		link := &fullLink{}
		s.path.Direct = &overLink{s.direct.Access, link}
		var peers fixedRelays
		for range 8 {
			peers = append(peers, &overLink{s.peer.Access, link})
		}
		s.path.Relays = peers
		// The link carries them in a second.
		const submissions, size = 200, 4000
		var failed atomic.Int64
		var all sync.WaitGroup
		for i := range submissions {
			all.Go(func() {
				key := fmt.Sprint("k", i)
				_, _, err := s.path.Apply(t.Context(), store.Txn{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: make([]byte, size)}}})
				if err != nil {
					failed.Add(1)
				}
			})
		}
		all.Wait()
		is.Equal(failed.Load(), int64(0))
		is.True(link.sent.Load() < 2*submissions)
	})
}

// lostPeer is a peer that has ended, as vm.Peers reports it.
type lostPeer struct{ path.Access }

func (*lostPeer) Get(context.Context, string) (store.Item, bool, error) {
	return store.Item{}, false, fault.New(fault.Unreachable, "connection refused")
}

func (*lostPeer) Apply(context.Context, store.Txn) (int64, []store.Item, error) {
	return 0, nil, fault.New(fault.AnswerLost, "connection refused")
}

// TestLostPeersDoNotCountAsResponding guards against a VM without the store and all peers
// that takes itself for ready, and against a submission that two lost peers end.
func TestLostPeersDoNotCountAsResponding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Link("a", "store").Set(world.Faults{Refuse: 1})
		_, _, err := s.path.Get(t.Context(), "k")
		is.NoErr(err)
		good := s.relays.list[0]
		s.relays.list = []path.Access{&lostPeer{}, &lostPeer{}, good}
		is.NoErr(s.apply("k1"))
		s.relays.list = s.relays.list[:2]
		time.Sleep(2 * time.Second)
		is.True(s.apply("k2") != nil)
		is.True(s.path.Isolated(1500 * time.Millisecond))
	})
}

// TestEndedCallIsNotSent checks that a change whose caller has left is not made.
func TestEndedCallIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := s.path.Apply(ctx, store.Txn{Conditions: []store.Condition{{Key: "k"}}, Puts: []store.Put{{Key: "k"}}})
		is.True(fault.Is(err, fault.StoreUnavailable))
		time.Sleep(time.Second)
		is.Equal(s.direct.applies, 0)
	})
}
