// Package callers is a stand-in for callers that send requests through the
// platform's balancer.
package callers

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
)

// Outcomes that are no error kinds.
const (
	// Answered is a whole answer to the caller's own request.
	Answered = "answered"
	// Wrong is an answer to another request.
	Wrong = "wrong"
	// NeverServed is a request that every daemon refused.
	NeverServed = "never_served"
)

const (
	maxTries   = 200
	retryDelay = 10 * time.Millisecond
)

// Payload returns the payload of the n-th request.
func Payload(n int64) string { return fmt.Sprintf("payload %d", n) }

// Send sends the n-th request to a daemon's callers' listener; its number is
// its payload and its idempotency key. The outcome is Answered, Wrong or the
// kind of the error.
func Send(address, account, kind string, n int64) string {
	c := jsonhttp.Client{
		BaseURL: "http://" + address,
		Header:  http.Header{caller.HeaderKey: []string{fmt.Sprintf("key %d", n)}},
		HTTP:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	in := caller.RequestBody{Account: account, Kind: kind, Payload: []byte(Payload(n))}
	var a caller.AnswerBody
	err := c.Call(context.Background(), http.MethodPost, "/v1/requests", in, &a)
	switch {
	case err != nil:
		return string(fault.KindOf(err))
	case !strings.HasSuffix(string(a.Payload), ": "+Payload(n)):
		return Wrong
	}
	return Answered
}

// Ready reports whether a daemon takes new work.
func Ready(address string) bool {
	c := jsonhttp.Client{BaseURL: "http://" + address}
	return c.Call(context.Background(), http.MethodGet, "/readyz", nil, nil) == nil
}

// Load sends requests until it is ended: only to daemons that are ready, and
// after a refusal that says "not run" to the next one. Its exported fields are
// set before Start.
type Load struct {
	// Addresses are those of the daemons' callers' listeners.
	Addresses []string
	Account   string
	Kind      string
	// Callers is the number of requests at once.
	Callers int

	lastRequest atomic.Int64
	stop        chan struct{}
	wg          sync.WaitGroup
	mu          sync.Mutex
	counts      map[string]int
	unanswered  []int64
}

// Start starts the callers.
func (l *Load) Start() *Load {
	l.stop = make(chan struct{})
	l.counts = make(map[string]int)
	for i := range l.Callers {
		l.wg.Go(func() { l.run(i) })
	}
	return l
}

func (l *Load) run(firstDaemon int) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		n := l.lastRequest.Add(1)
		l.recordOutcome(n, l.send(firstDaemon, n))
	}
}

// send brings one request to an outcome.
func (l *Load) send(firstDaemon int, n int64) string {
	for try := range maxTries {
		address := l.Addresses[(firstDaemon+try)%len(l.Addresses)]
		if Ready(address) {
			outcome := Send(address, l.Account, l.Kind, n)
			if outcome == Answered || outcome == Wrong || fault.Lookup(fault.Kind(outcome)).Outcome != fault.NotRun {
				return outcome
			}
		}
		time.Sleep(retryDelay)
	}
	return NeverServed
}

func (l *Load) recordOutcome(n int64, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
	if outcome != Answered {
		l.unanswered = append(l.unanswered, n)
	}
}

// End ends the load. It returns how many requests had each outcome, and the
// numbers of those that were not answered.
func (l *Load) End() (counts map[string]int, unanswered []int64) {
	close(l.stop)
	l.wg.Wait()
	return l.counts, l.unanswered
}
