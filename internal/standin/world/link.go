// Package world is a platform in memory for tests: a store with leases, watches
// and compaction, workers with leases, fences and ends, and links between them
// that lose, delay and cut. It notes what breaks the promises of the product.
package world

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Faults says how likely a call on a link goes wrong; each is a share of 1.
type Faults struct {
	// Refuse answers without doing anything.
	Refuse float64
	// Lose does what was asked and loses the answer.
	Lose float64
	// Late does what was asked seconds later and gives no answer.
	Late float64
}

// Link is the way from one VM to the store or to a worker.
type Link struct {
	rng *rand.Rand

	mu     sync.Mutex
	faults Faults
	cut    bool
	// slow is added to each call.
	extraLatency time.Duration
	// resume is closed when a paused link goes on; nil when it is not paused.
	resume chan struct{}
	// late counts the calls that are still to be carried out.
	lateCalls *sync.WaitGroup
}

const (
	// maxLatency is the longest way of a call that goes well.
	maxLatency = 15 * time.Millisecond
	// MaxCall is longer than any call of a daemon lasts after its end.
	MaxCall = 10 * time.Second
	// maxLate is the longest time after which a late call is carried out.
	maxLate = 4 * time.Second
)

// Set sets the faults of the link.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Slow lets each call take longer.
func (l *Link) Slow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extraLatency = d
}

// Cut cuts the link or heals it.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// Pause holds calls back until Resume, as a suspended VM does.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resume == nil {
		l.resume = make(chan struct{})
	}
}

// Resume lets calls go on.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resume != nil {
		close(l.resume)
		l.resume = nil
	}
}

// draw is what happens to one call.
type callOutcome struct {
	cut, refuse, lose, late                    bool
	requestLatency, responseLatency, lateDelay time.Duration
	resume                                     chan struct{}
}

func (l *Link) drawOutcome() callOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.rng.Float64()
	f := l.faults
	d := callOutcome{
		cut: l.cut, resume: l.resume,
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

// call carries a call. refused is the error of a call that is refused. A call
// that is carried out late waits at the other end; life names what it ends with.
func (l *Link) call(ctx context.Context, refused fault.Kind, incarnation func() int64, do func(ctx context.Context)) error {
	d := l.drawOutcome()
	if d.resume != nil {
		<-d.resume
	}
	waitForTimeout := func() error {
		<-ctx.Done()
		return fault.Wrap(fault.AnswerLost, ctx.Err(), "no answer")
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
			if incarnation() != started {
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
		return fault.Wrap(fault.AnswerLost, ctx.Err(), "no answer")
	}
	do(ctx)
	if d.lose {
		return waitForTimeout()
	}
	time.Sleep(d.responseLatency)
	if ctx.Err() != nil {
		return fault.Wrap(fault.AnswerLost, ctx.Err(), "no answer")
	}
	return nil
}
