// Package demand tracks how fast the demand for urgent work has lately risen, to tell
// how much capacity must be free so that it finds room at once. It is pure: the caller
// passes the times.
//
// It is designed for a fleet that is nearly full of work that yields, where urgent gangs
// arrive in bursts and a stop takes a large part of the time that they have.
package demand

import "time"

// Tracker tracks a demand and its largest recent rise within a given time. The zero value
// is empty.
type Tracker struct {
	// recent are the readings within the time in which a rise counts, the oldest first,
	// and the last one before it.
	recent []reading
	rises  peak
}

type reading struct {
	at    time.Time
	value float64
}

// Observe records the demand. A rise counts if it happens within the time within, and is
// remembered for window.
func (t *Tracker) Observe(value float64, now time.Time, within, window time.Duration) {
	t.recent = append(t.recent, reading{now, value})
	for len(t.recent) > 1 && now.Sub(t.recent[1].at) >= within {
		t.recent = t.recent[1:]
	}
	lowest := value
	for _, r := range t.recent {
		lowest = min(lowest, r.value)
	}
	t.rises.observe(value-lowest, now, window)
}

// Rise returns the largest rise within the window.
func (t *Tracker) Rise() float64 { return t.rises.value() }

// bucketCount is the number of buckets of a peak's window.
const bucketCount = 8

// peak tracks the highest value within a sliding window.
type peak struct {
	// buckets have the highest value of each part of the window, the latest first, and
	// latestAt is when the latest one began.
	buckets  [bucketCount]float64
	latestAt time.Time
}

func (p *peak) observe(value float64, now time.Time, window time.Duration) {
	width := window / bucketCount
	if p.latestAt.IsZero() || now.Sub(p.latestAt) >= window+width {
		p.buckets, p.latestAt = [bucketCount]float64{}, now
	}
	for now.Sub(p.latestAt) >= width {
		copy(p.buckets[1:], p.buckets[:bucketCount-1])
		p.buckets[0], p.latestAt = 0, p.latestAt.Add(width)
	}
	p.buckets[0] = max(p.buckets[0], value)
}

func (p *peak) value() float64 {
	highest := 0.0
	for _, v := range p.buckets {
		highest = max(highest, v)
	}
	return highest
}
