package path

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// hedgeDelay is how long a read waits for its way before a peer is asked as well.
const hedgeDelay = 200 * time.Millisecond

// Hedged reads keys through a path, and asks a peer beside it when that takes long: a VM
// that is cut off from the store notices only when a call has timed out.
type Hedged struct {
	Path *Path
}

// hedgedRead is the outcome of one way of a read.
type hedgedRead struct {
	item  store.Item
	found bool
	err   error
}

// Get reads a key.
func (h Hedged) Get(ctx context.Context, key string) (store.Item, bool, error) {
	reads := make(chan hedgedRead, 2)
	begin := func(w way) {
		// The slower one goes on by itself and ends with its own timeout: one that is
		// cut short would count as a failure of its way.
		ctx := context.WithoutCancel(ctx)
		go func() {
			it, found, err := w.Get(ctx, key)
			reads <- hedgedRead{it, found, err}
		}()
	}
	begin(h.Path.do)
	delay := time.NewTimer(hedgeDelay)
	defer delay.Stop()
	ways := 1
	for {
		select {
		case r := <-reads:
			if ways--; r.err == nil || ways == 0 {
				return r.item, r.found, r.err
			}
		case <-delay.C:
			h.Path.Meter.Inc("store_read_hedged")
			begin(h.Path.relay)
			ways++
		case <-ctx.Done():
			return store.Item{}, false, ctx.Err()
		}
	}
}
