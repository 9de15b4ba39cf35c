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

// SweepKV is the part of the store's interface that a Sweeper needs.
type SweepKV interface {
	ListPage(ctx context.Context, prefix, after string, limit int) ([]store.Entry, bool, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
}

// Sweeper deletes claims whose retention period is over. Its fields must be set
// before use.
type Sweeper struct {
	KV     SweepKV
	Member *Member
	Meter  *meter.Meter
	// Retention returns how long claims are retained.
	Retention func() time.Duration
	// ShouldSweep reports whether this VM deletes expired claims from the store on
	// behalf of its data centre.
	ShouldSweep func() bool
}

const (
	sweepInterval = time.Hour
	sweepPage     = 500
	// deleteDelay is the pause between two deletions, which limits the load on
	// the store.
	deleteDelay = 200 * time.Millisecond
)

// Run deletes expired claims periodically until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for pause.For(ctx, sweepInterval/2+rand.N(sweepInterval)) {
		before := time.Now().Add(-s.Retention())
		s.Meter.Set("claim_keys_kept", int64(s.Member.Expire(before)))
		if s.ShouldSweep() {
			s.Sweep(ctx, before)
		}
	}
}

// Sweep deletes the claims in the store that were made before the given time.
// It returns when the store fails; the next sweep retries.
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
