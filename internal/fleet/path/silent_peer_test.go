package path_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// slowChanges is a route whose changes take a time to transfer, and are counted.
type slowChanges struct {
	path.Access
	takes  time.Duration
	copies atomic.Int64
}

func (s *slowChanges) Changes(ctx context.Context, prefix string, after int64) ([]store.Item, int64, error) {
	s.copies.Add(1)
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
	}
	return s.Access.Changes(ctx, prefix, after)
}

// unresponsive is a route on which no call gets a response.
type unresponsive struct{ slow }

func newUnresponsive() *unresponsive {
	u := &unresponsive{}
	u.hangs.Store(true)
	return u
}

func (u *unresponsive) Changes(ctx context.Context, key string, _ int64) ([]store.Item, int64, error) {
	_, _, err := u.Get(ctx, key)
	return nil, 0, err
}

// maxRead is the time left for a read of a configuration that must be in force within 2.5 s
// and is read 3.5 times within that.
const maxRead = 2500*time.Millisecond - 2500*time.Millisecond*2/7

// TestLargeChangesPassSilentPeers guards against configurations that a VM reads late since
// peers have lost the store in silence with it, and against more copies of a large value.
func TestLargeChangesPassSilentPeers(t *testing.T) {
	for _, silent := range []int{0, 1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			defer s.stop()
			s.world.Store.Put("k", []byte("v"))
			s.world.Link("a", "store").Cut(true)
			peer := &slowChanges{Access: s.relays.list[0], takes: 600 * time.Millisecond}
			s.relays.list = nil
			for range silent {
				s.relays.list = append(s.relays.list, newUnresponsive())
			}
			s.relays.list = append(s.relays.list, peer)
			for range 2 { // before and after the VM knows that it has lost the store
				peer.copies.Store(0)
				began := time.Now()
				items, _, err := path.Hedged{Path: s.path}.Changes(t.Context(), "k", 1)
				is.NoErr(err)
				is.Equal(len(items), 1)
				is.True(time.Since(began) < maxRead)
				time.Sleep(5 * time.Second)
				is.True(peer.copies.Load() <= 2)
			}
		})
	}
}
