package route

import (
	"math/rand/v2"
	"time"
)

// Limits of the waits between attempts.
const (
	MinBackoff = 10 * time.Millisecond
	MaxBackoff = 2 * time.Second
	// backoffGrowth bounds a wait by a multiple of the one before.
	backoffGrowth = 3
)

// Backoff returns the wait after one of the given length, decorrelated from
// that of other requests: a random one between the minimum and three times the
// last.
func Backoff(last time.Duration, r *rand.Rand) time.Duration {
	high := min(max(last*backoffGrowth, MinBackoff+1), MaxBackoff)
	return MinBackoff + time.Duration(r.Int64N(int64(high-MinBackoff)))
}

// Limits of the time without new work for a runner that refused as busy.
const (
	minBusyPause = 100 * time.Millisecond
	maxBusyPause = 1600 * time.Millisecond
)

// BusyPause returns the time without new work after the n-th refusal as busy in
// a row, counted from 1. It doubles, since another VM's requests still hold the
// slots there.
func BusyPause(n int) time.Duration {
	pause := minBusyPause
	for ; n > 1 && pause < maxBusyPause; n-- {
		pause *= 2
	}
	return pause
}

const (
	// initialRetries is the number of retries that an account has at first.
	initialRetries = 3
	// maxSavedRetries bounds the retries that an account may save up.
	maxSavedRetries = 20
)

// Budget bounds the retries of one client account by a share of its successes,
// so that a storm of retries cannot feed itself. The zero value allows a few.
type Budget struct {
	saved   float64
	started bool
}

func (b *Budget) start() {
	if !b.started {
		b.saved, b.started = initialRetries, true
	}
}

// AddSuccess adds the share of one success.
func (b *Budget) AddSuccess(share float64) {
	b.start()
	b.saved = min(b.saved+share, maxSavedRetries)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
