package path_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

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
