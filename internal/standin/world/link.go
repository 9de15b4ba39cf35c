// Package world is an in-memory platform for tests: a store with leases, watches
// and compaction, workers with leases, fencing tokens and run results, and links
// that lose, delay or block calls. It records each violation of the scheduler's
// guarantees.
package world

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// Faults holds the probabilities, between 0 and 1, of the faults of a call.
type Faults struct {
	// Refuse rejects the call without any effect.
	Refuse float64
	// Lose executes the call and loses the response.
	Lose float64
	// Late executes the call up to 4 s later and sends no response.
	Late float64
}

// Link is the connection from one VM to the store or to a worker.
type Link struct {
	rng *rand.Rand

	mu     sync.Mutex
	faults Faults
	cut    bool
	// extraLatency is added to each call.
	extraLatency time.Duration
	// resume is closed when a paused link is resumed; nil when it is not paused.
	resume chan struct{}
	// lostPages is the number of the next readings of pages that get no response.
	lostPages int
	// losesHeld loses the responses to renewals that may be delayed.
	losesHeld bool
	// lostStarts is the number of the next starts that do not arrive.
	lostStarts int
	// lateOutlive says that late calls are executed also after the incarnation of the other
	// end has changed.
	lateOutlive bool
	// lateCalls counts the late calls that have not been executed yet.
	lateCalls *sync.WaitGroup
}

const (
	// maxLatency bounds the latency of each direction of a call without a fault.
	maxLatency = 15 * time.Millisecond
	// MaxCall exceeds the time for which a call of a daemon can continue after the
	// daemon has ended.
	MaxCall = 10 * time.Second
	// maxLate bounds the delay of a late call.
	maxLate = 4 * time.Second
)

// Set sets the fault probabilities of the link.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetExtraLatency sets the latency that is added to each call.
func (l *Link) SetExtraLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extraLatency = d
}

// LosePages loses the responses to the next n readings of a page of the store.
func (l *Link) LosePages(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostPages = n
}

// losesPage reports whether the response to a reading of a page is lost.
func (l *Link) losesPage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostPages == 0 {
		return false
	}
	l.lostPages--
	return true
}

// LoseStarts loses the next n starts: they don't arrive.
func (l *Link) LoseStarts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostStarts = n
}

func (l *Link) losesStart() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostStarts == 0 {
		return false
	}
	l.lostStarts--
	return true
}

// LoseHeld sets whether the responses to renewals are lost which the worker may delay.
func (l *Link) LoseHeld(lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losesHeld = lose
}

func (l *Link) loses(o planner.LeaseRenewal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.losesHeld && o.MaxWait > 0
}

// SetLateOutlive sets whether late calls are executed also after the incarnation of the other
// end has changed, as when its machine and not its process keeps them. Starts then reach
// whichever incarnation is up.
func (l *Link) SetLateOutlive(outlive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateOutlive = outlive
}

func (l *Link) outlives() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateOutlive
}

// Cut blocks the link or restores it. Calls on a blocked link time out.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// Pause blocks calls until Resume, as on a suspended VM.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resume == nil {
		l.resume = make(chan struct{})
	}
}

// Resume continues the calls of a paused link.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resume != nil {
		close(l.resume)
		l.resume = nil
	}
}

// callOutcome is the latency and the fault chosen for one call.
type callOutcome struct {
	cut, refuse, lose, late, outlive           bool
	requestLatency, responseLatency, lateDelay time.Duration
	resume                                     chan struct{}
}

func (l *Link) drawOutcome() callOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.rng.Float64()
	f := l.faults
	d := callOutcome{
		cut: l.cut, resume: l.resume, outlive: l.lateOutlive,
		requestLatency: l.extraLatency + time.Duration(l.rng.Int64N(int64(maxLatency))), responseLatency: time.Duration(l.rng.Int64N(int64(maxLatency))),
		lateDelay: time.Duration(l.rng.Int64N(int64(maxLate))),
	}
	switch {
	case x < f.Refuse:
		d.refuse = true
	case x < f.Refuse+f.Lose:
		d.lose = true
	case x < f.Refuse+f.Lose+f.Late:
		d.late = true
	}
	return d
}

// call executes do at the other end of the link. refused is the kind of the error
// of a refused call. A late call is dropped if the incarnation of the other end
// has changed before it is executed, unless SetLateOutlive says otherwise.
func (l *Link) call(ctx context.Context, refused fault.Kind, incarnation func() int64, do func(ctx context.Context)) error {
	d := l.drawOutcome()
	if d.resume != nil {
		<-d.resume
	}
	waitForTimeout := func() error {
		<-ctx.Done()
		return fault.Wrap(fault.AnswerLost, ctx.Err(), "no response")
	}
	switch {
	case d.cut:
		return waitForTimeout()
	case d.refuse:
		return fault.New(refused, "refused")
	case d.late:
		started := incarnation()
		l.lateCalls.Go(func() {
			time.Sleep(d.lateDelay)
			if !d.outlive && incarnation() != started {
				return
			}
			lateCtx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			do(lateCtx)
		})
		return waitForTimeout()
	}
	time.Sleep(d.requestLatency)
	if ctx.Err() != nil {
		return fault.Wrap(fault.AnswerLost, ctx.Err(), "no response")
	}
	do(ctx)
	if d.lose {
		return waitForTimeout()
	}
	time.Sleep(d.responseLatency)
	if ctx.Err() != nil {
		return fault.Wrap(fault.AnswerLost, ctx.Err(), "no response")
	}
	return nil
}
