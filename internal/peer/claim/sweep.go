package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// SweepKV is the part of the store that a Sweeper needs.
type SweepKV interface {
	ListPage(ctx context.Context, prefix, after string, limit int) ([]store.Entry, bool, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
}

// Sweeper deletes claims after their retention. Its fields are set before use.
type Sweeper struct {
	KV     SweepKV
	Member *Member
	Meter  *meter.Meter
	// Retention is the time for which claims are kept.
	Retention func() time.Duration
	// Chosen reports whether this VM sweeps the store for its data centre.
	Chosen func() bool
}

const (
	sweepInterval = time.Hour
	sweepPage     = 500
	// deleteDelay separates two deletions.
	deleteDelay = 200 * time.Millisecond
)

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for pause.For(ctx, sweepInterval/2+rand.N(sweepInterval)) {
		before := time.Now().Add(-s.Retention())
		s.Meter.Set("claim_keys_kept", int64(s.Member.Expire(before)))
		if s.Chosen() {
			s.Sweep(ctx, before)
		}
	}
}

// Sweep deletes the claims in the store that were made before a time. It stops
// when the store fails; the next sweep goes on.
func (s *Sweeper) Sweep(ctx context.Context, before time.Time) {
	after := ""
	for {
		entries, more, err := s.KV.ListPage(ctx, Prefix, after, sweepPage)
		if err != nil {
			s.Meter.Inc("claim_sweep_retry")
			return
		}
		for _, e := range entries {
			after = e.Key
			if expired(e, before) && !s.delete(ctx, e) {
				return
			}
		}
		if !more {
			return
		}
	}
}

func expired(e store.Entry, before time.Time) bool {
	var rec peerv1.ClaimRecord
	if err := proto.Unmarshal(e.Value, &rec); err != nil {
		return false
	}
	return rec.GetClaimedUnixMs() < before.UnixMilli()
}

func (s *Sweeper) delete(ctx context.Context, e store.Entry) bool {
	if err := s.KV.Delete(ctx, e.Key, e.Revision); err != nil {
		s.Meter.Inc("claim_sweep_retry")
		return false
	}
	s.Meter.Inc("claim_deleted")
	return pause.For(ctx, deleteDelay)
}
