package planner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// rejectingStore loses its response to the first write of a key, and rejects the others.
type rejectingStore struct {
	store.Store
	key    string
	writes atomic.Int32
}

func (s *rejectingStore) Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	for _, p := range t.Puts {
		if p.Key != s.key {
			continue
		}
		if s.writes.Add(1) == 1 {
			return 0, nil, fault.New(fault.AnswerLost, "no response")
		}
		return 0, nil, fault.New(fault.BadRequest, "a value is too large")
	}
	return s.Store.Apply(ctx, t)
}

// TestRejectedWriteIsNotRepeatedAfterALostResponse guards against a write that the store will
// never accept and that is repeated for ever, since its first attempt got no response.
func TestRejectedWriteIsNotRepeatedAfterALostResponse(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		s := &rejectingStore{key: store.RunKey(jobID(1))}
		fleet.configure = func(p *planner.Planner) {
			s.Store = p.Store
			p.Store = s
		}
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.submit(jobID(1), "solve", time.Second, step(1, 1, false))
		time.Sleep(7 * time.Second)
		// One lost, and one rejected each 2 s.
		is.True(s.writes.Load() >= 3)
		is.True(s.writes.Load() <= 6)
	})
}
