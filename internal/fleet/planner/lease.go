package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
)

// clockRate is the slowest that a worker's clock runs.
const clockRate = 0.98

// leaseSlack is added to the time at which a lease must be over.
const leaseSlack = 400 * time.Millisecond

// leaseTime is the longest time for which a lease that was given just now lasts.
func leaseTime(maxHold time.Duration) time.Duration {
	return time.Duration(float64(min(maxHold, holdLease))/clockRate) + leaseSlack
}

// leaseOver returns the time at which nothing that was placed on the worker can
// run any more, if it is not heard of again. Earlier terms gave leases of
// holdLease at most too.
func (w *worker) leaseOver(began boottime.Time, maxHold time.Duration) boottime.Time {
	// What was sent before the life was seen may have begun in it.
	over := max(began, w.bornSeen).Add(leaseTime(maxHold))
	if w.recv != 0 && w.heldUntil > w.clock {
		over = max(over, w.recv.Add(time.Duration(float64(w.heldUntil-w.clock)/clockRate)+leaseSlack))
	}
	return over
}

// givenUpAt returns the time at which what stands on a silent worker is given up.
// unheard says that the term has not heard of a large share of the workers.
func (w *worker) givenUpAt(began boottime.Time, maxHold time.Duration, unheard bool) boottime.Time {
	over := w.leaseOver(began, maxHold)
	if unheard && !w.heard {
		return over.Add(leaseTime(maxHold))
	}
	return over
}

// unheardShare is the share of the workers from which this VM, and not they, is
// taken to be what is slow.
const unheardShare = 0.25

// heardShare returns the share of the listed workers that this term has heard of;
// 0 while none is listed.
func (t *term) heardShare() float64 {
	listed, heard := 0, 0
	for _, w := range t.workers {
		if w.listed {
			listed++
		}
		if w.listed && w.heard {
			heard++
		}
	}
	return float64(heard) / float64(max(listed, 1))
}

// expire frees what stood on workers whose leases must be over. Such a worker may
// still hold ends to tell: it is asked once more after that. One that this term has
// not heard of yet gets as long again while that holds for a large share of them.
func (t *term) expire() {
	now := boottime.Now()
	unheard := t.heardShare() < 1-unheardShare
	for _, w := range t.workers {
		silent := w.client == nil || w.failing
		if len(w.members) == 0 || !silent && w.heard {
			continue
		}
		over := w.givenUpAt(t.began, t.p.Bounds.MaxLease, unheard && w.client != nil)
		asked := w.client == nil || w.unansweredSince >= w.leaseOver(t.began, t.p.Bounds.MaxLease)
		if (now < over || !asked) && !t.p.off.leaseWait {
			continue
		}
		for _, m := range w.sorted() {
			t.lost(w, m, "lease over")
		}
	}
}
