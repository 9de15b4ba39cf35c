package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
)

// minClockRate is the slowest rate at which a worker's clock may run, relative to this
// VM's clock.
const minClockRate = 0.98

// leaseSlack is added to the time at which a lease must have expired.
const leaseSlack = 400 * time.Millisecond

// maxLeaseTime returns the longest time for which a lease that is granted now can last.
func maxLeaseTime(maxLease time.Duration) time.Duration {
	return ownTime(min(maxLease, leaseDuration)) + leaseSlack
}

// ownTime returns the longest time on this VM's clock in which a worker's clock advances by d.
func ownTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}

// leaseExpiry returns the time from which nothing that was placed on the worker can run
// any more, if it does not respond again. Earlier terms also granted leases of at most
// leaseDuration.
func (w *worker) leaseExpiry(termStart boottime.Time, maxLease time.Duration) boottime.Time {
	expiry := termStart.Add(maxLeaseTime(maxLease))
	if w.restartedAt != 0 {
		// An order that was sent before the restart was detected may have reached the new
		// incarnation. Its deadline, by the clock of the one before, grants the longest
		// lease to all that runs there.
		expiry = max(expiry, w.restartedAt.Add(ownTime(maxLease)+leaseSlack))
	}
	if w.respondedAt != 0 && w.leaseUntil > w.clock {
		expiry = max(expiry, w.respondedAt.Add(ownTime(w.leaseUntil-w.clock)+leaseSlack))
	}
	return expiry
}

// abandonAt returns the time from which runs on an unresponsive worker may be abandoned.
// manyWithoutResponse reports whether a large share of the workers has not responded in
// this term.
func (w *worker) abandonAt(termStart boottime.Time, maxLease time.Duration, manyWithoutResponse bool) boottime.Time {
	expiry := w.leaseExpiry(termStart, maxLease)
	if manyWithoutResponse && !w.responded {
		return expiry.Add(maxLeaseTime(maxLease))
	}
	return expiry
}

// localFaultShare is the share of workers without a response above which this VM, not the
// workers, is assumed to be slow.
const localFaultShare = 0.25

// respondedShare returns the share of the listed workers that have responded in this
// term, or 0 if none is listed.
func (t *term) respondedShare() float64 {
	listed, responded := 0, 0
	for _, w := range t.workers {
		if w.listed {
			listed++
		}
		if w.listed && w.responded {
			responded++
		}
	}
	return float64(responded) / float64(max(listed, 1))
}

// leaseOver is the reason for a lost run whose worker was unresponsive for its lease.
const leaseOver = "lease over"

// expireLeases releases the resources of runs on workers whose leases must have expired.
// Such a worker may still have run results to report, so a renewal that was sent after
// the expiry must have failed first. While a large share of the workers has not responded
// in this term, the time for each of them is extended by another maxLeaseTime.
func (t *term) expireLeases() {
	now := boottime.Now()
	manyWithoutResponse := t.respondedShare() < 1-localFaultShare
	for _, w := range t.workers {
		noResponse := w.client == nil || w.unresponsive
		if len(w.members) == 0 || !noResponse && w.responded {
			continue
		}
		expiry := w.abandonAt(t.startedAt, t.p.Bounds.MaxLease, manyWithoutResponse && w.client != nil)
		renewalFailed := w.client == nil || w.lastUnansweredAt >= w.leaseExpiry(t.startedAt, t.p.Bounds.MaxLease)
		if (now < expiry || !renewalFailed) && !t.p.disabled.waitForLeaseExpiry {
			continue
		}
		for _, m := range w.sorted() {
			t.applyRunLost(w, m, leaseOver)
		}
	}
}
