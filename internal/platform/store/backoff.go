package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

// Backoff returns exponentially growing delays, each reduced at random by up to
// a half.
type Backoff struct {
	// Min is the first delay and Max the longest, both before the random
	// reduction.
	Min, Max time.Duration

	delay time.Duration
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, b.Min), b.Max)
	return b.delay/2 + rand.N(b.delay/2+1)
}

// Reset restarts the sequence of delays at Min.
func (b *Backoff) Reset() { b.delay = 0 }

// Wait waits for the next delay or until ctx is done.
func (b *Backoff) Wait(ctx context.Context) { pause.For(ctx, b.Next()) }
