package path_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// TestEndedRelayIsNoFailureOfRelayingVM guards against a VM that takes the store for lost
// since a peer no longer waits for a call that the VM relays.
func TestEndedRelayIsNoFailureOfRelayingVM(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, s *fixture) error{
		"read": func(ctx context.Context, s *fixture) error {
			_, _, err := s.peerRoute.DirectOnly().Get(ctx, "k")
			return err
		},
		"change": func(ctx context.Context, s *fixture) error {
			_, _, err := s.peerRoute.DirectOnly().Apply(ctx, store.Txn{Puts: []store.Put{{Key: "k"}}})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFixture()
				defer s.stop()
				s.world.Link("b", "store").SetExtraLatency(60 * time.Millisecond)
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(30*time.Millisecond, cancel)
				is.True(call(ctx, s) != nil)
				_, _, err := s.peerRoute.DirectOnly().Get(t.Context(), "k")
				is.NoErr(err) // the VM still relays
			})
		})
	}
}

// TestSilenceIsLearntFromEndedRelay checks that a VM whose store is silent refuses to relay
// once a peer has waited for it in vain.
func TestSilenceIsLearntFromEndedRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture()
		defer s.stop()
		s.world.Link("b", "store").Cut(true)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(250*time.Millisecond, cancel)
		_, _, err := s.peerRoute.DirectOnly().Get(ctx, "k")
		is.True(err != nil)
		began := time.Now()
		_, _, err = s.peerRoute.DirectOnly().Get(t.Context(), "k")
		is.True(err != nil)
		is.True(time.Since(began) < 100*time.Millisecond)
	})
}
