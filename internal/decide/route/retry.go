package route

import (
	"math/rand/v2"
	"time"
)

// Limits of the wait between attempts.
const (
	MinBackoff = 10 * time.Millisecond
	MaxBackoff = 2 * time.Second
	// backoffGrowth bounds a wait to this multiple of the one before.
	backoffGrowth = 3
)

// Backoff returns the wait that follows a wait of the given length: a random
// one between MinBackoff and backoffGrowth times the last, so that the retries
// of different requests do not coincide.
func Backoff(last time.Duration, r *rand.Rand) time.Duration {
	high := min(max(last*backoffGrowth, MinBackoff+1), MaxBackoff)
	return MinBackoff + time.Duration(r.Int64N(int64(high-MinBackoff)))
}

// Limits of the pause after a runner refused a request as busy.
const (
	minBusyPause = 100 * time.Millisecond
	maxBusyPause = 1600 * time.Millisecond
)

// BusyPause returns how long a runner gets no new work after its n-th
// consecutive refusal as busy, counted from 1. The pause doubles with each
// refusal up to a limit, since requests of another VM still occupy the slots
// there.
func BusyPause(n int) time.Duration {
	pause := minBusyPause
	for ; n > 1 && pause < maxBusyPause; n-- {
		pause *= 2
	}
	return pause
}

const (
	// initialRetries is the number of retries that an account has before its
	// first success.
	initialRetries = 3
	// maxSavedRetries bounds the retries that an account may accumulate.
	maxSavedRetries = 20
)

// Budget limits the retries of one client account to a share of its successes,
// so that retries cannot sustain an overload. The zero value allows
// initialRetries.
type Budget struct {
	saved   float64
	started bool
}

func (b *Budget) start() {
	if !b.started {
		b.saved, b.started = initialRetries, true
	}
}

// AddSuccess adds share, the number of retries that one success allows.
func (b *Budget) AddSuccess(share float64) {
	b.start()
	b.saved = min(b.saved+share, maxSavedRetries)
}

// Spend uses up one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
