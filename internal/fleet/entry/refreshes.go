package entry

import (
	"slices"
	"sync"
	"time"
)

// refreshes are the arrivals of the calls that wait for a read of the configuration.
type refreshes struct {
	mu       sync.Mutex
	arrivals []time.Time
}

func (r *refreshes) add(arrived time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrived)
}

func (r *refreshes) remove(arrived time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.arrivals, arrived); i >= 0 {
		r.arrivals = slices.Delete(r.arrivals, i, i+1)
	}
}

// first returns the earliest arrival; waits is false if no call waits.
func (r *refreshes) first() (arrived time.Time, waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.arrivals) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(r.arrivals, time.Time.Compare), true
}
