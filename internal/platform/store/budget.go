package store

import (
	"context"
	"sync"
	"time"
)

// Budget bounds the calls of one VM: Rate calls a second, and Burst at once
// after a pause. Zero fields take the defaults.
type Budget struct {
	Rate  float64
	Burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// Default budget of one VM.
const (
	DefaultRate  = 100
	DefaultBurst = 300
)

// Take waits for a call's turn. It returns false when ctx ends before; then it
// leaves the turn to others.
func (b *Budget) Take(ctx context.Context) (waited, ok bool) {
	wait := b.reserve(time.Now())
	if wait <= 0 {
		return false, ctx.Err() == nil
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		b.giveBack()
		return true, false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		b.giveBack()
		return true, false
	case <-t.C:
		return true, true
	}
}

func (b *Budget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// reserve takes a token and returns how long its taker has to wait.
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
