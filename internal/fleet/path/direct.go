package path

import (
	"context"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// Direct is the access of a VM's own client of the store.
type Direct struct{ store.Store }

// Changes implements Access. It asks for events without waiting for one, which transfers no
// values when nothing has changed.
func (d Direct) Changes(ctx context.Context, prefix string, after int64) ([]store.Item, int64, error) {
	if after != 0 {
		events, at, err := d.Watch(ctx, prefix, after, 0)
		if !fault.Is(err, fault.RetryHorizon) {
			return events, at, err
		}
	}
	return d.Range(ctx, prefix)
}
