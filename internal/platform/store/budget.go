package store

import (
	"context"
	"sync"
	"time"
)

// Budget is a token bucket that limits the rate of the store calls of one VM.
// Zero fields select the defaults.
type Budget struct {
	// Rate is the number of calls per second.
	Rate float64
	// Burst is the number of calls that may be made at once after a pause.
	Burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// Default rate, in calls per second, and burst, in calls, of one VM.
const (
	DefaultRate  = 100
	DefaultBurst = 300
)

// Acquire takes a token and waits until the call may be made. ok is false if ctx is
// done, or will be, before that time; a call that had to wait then returns its
// token. waited reports whether the call had to wait.
func (b *Budget) Acquire(ctx context.Context) (waited, ok bool) {
	wait := b.reserve(time.Now())
	if wait <= 0 {
		return false, ctx.Err() == nil
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		b.refund()
		return true, false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		b.refund()
		return true, false
	case <-t.C:
		return true, true
	}
}

func (b *Budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// reserve takes a token and returns the time until the call may be made.
func (b *Budget) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate, burst := b.Rate, b.Burst
	if rate == 0 {
		rate = DefaultRate
	}
	if burst == 0 {
		burst = DefaultBurst
	}
	if b.last.IsZero() {
		b.tokens, b.last = burst, now
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.last).Seconds())
	b.last = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / rate * float64(time.Second))
}
