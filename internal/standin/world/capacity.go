package world

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// HeartbeatInterval is the interval at which a worker registers.
	HeartbeatInterval = 1500 * time.Millisecond
	// StableWindow and one HeartbeatInterval are the time from which a smaller capacity
	// counts.
	StableWindow = 4 * time.Second
)

// capacityChanges are the changes of a worker's capacity while it runs.
type capacityChanges struct {
	// heartbeatAt is the time of the next heartbeat.
	heartbeatAt time.Time
	// earlier are the capacities that may still count.
	earlier []earlierCapacity
	// clock and skip change the registrations.
	clock RegisteredClock
	skip  int
}

// RegisteredClock says how the clock in a worker's registrations differs from its own.
type RegisteredClock struct {
	// Missing leaves it out.
	Missing bool
	// OnlyChanges leaves out registrations that differ in nothing from the one before.
	OnlyChanges bool
	// Ahead is how much it is ahead.
	Ahead time.Duration
}

// reading returns the reading in a registration; 0 for none.
func (c RegisteredClock) reading(clock time.Duration) time.Duration {
	if c.Missing {
		return 0
	}
	return max(clock+c.Ahead, time.Millisecond)
}

// SetRegisteredClock sets the clock in the registrations of a worker from now on.
func (w *World) SetRegisteredClock(id string, c RegisteredClock) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.changes.clock = c
	w.register(x)
}

// SkipHeartbeat leaves out the next heartbeat of a worker.
func (w *World) SkipHeartbeat(id string) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.changes.skip++
}

// earlierCapacity is a capacity that a worker had until a time.
type earlierCapacity struct {
	capacity model.Shape
	until    time.Time
}

// SetCapacity changes the capacity of a worker. Its registration shows the change from
// its next heartbeat that reaches the store. The next incarnation of a worker that is down
// has no other capacity before.
func (w *World) SetCapacity(id string, capacity model.Shape) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	c, before := &x.changes, x.Info.Capacity
	x.Info.Capacity = capacity
	if !x.up {
		c.earlier = nil
		return
	}
	c.earlier = append(c.earlier, earlierCapacity{before, time.Now()})
}

// heartbeat registers a worker when its heartbeat is due, unless the store is down.
func (w *World) heartbeat(x *Worker, now time.Time) {
	c := &x.changes
	if !x.up || now.Before(c.heartbeatAt) {
		return
	}
	c.heartbeatAt = c.heartbeatAt.Add(HeartbeatInterval)
	if c.skip > 0 {
		c.skip--
		return
	}
	if !w.Store.IsDown() {
		w.register(x)
	}
}

// exceedsCapacity reports whether a worker with the given resources in use is over its
// capacity, and over each earlier one that still counts.
func (x *Worker) exceedsCapacity(used model.Shape, now time.Time) bool {
	if used.Fits(x.Info.Capacity) {
		return false
	}
	for _, e := range x.changes.earlier {
		if now.Sub(e.until) <= StableWindow+HeartbeatInterval && used.Fits(e.capacity) {
			return false
		}
	}
	return true
}

// IsDown reports whether the store is down.
func (s *Store) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}
