// Package pause waits for a duration or until a context is done.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done and reports whether d elapsed. If d is not
// positive, it creates no timer and reports whether ctx is not done.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
