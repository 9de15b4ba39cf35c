// Package callers is a stand-in for callers that send requests through the
// platform's load balancer.
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

// Outcomes that are not error kinds.
const (
	// Answered means a complete response to the caller's own request.
	Answered = "answered"
	// Wrong means a response to another request.
	Wrong = "wrong"
	// NeverServed means that no daemon ran the request in any of the tries.
	NeverServed = "never_served"
)

const (
	maxTries   = 200
	retryDelay = 10 * time.Millisecond
)

// Payload returns the payload of the n-th request.
func Payload(n int64) string { return fmt.Sprintf("payload %d", n) }

// Send sends the n-th request to a daemon's listener for callers. Payload and
// idempotency key are derived from n. The outcome is Answered, Wrong or the kind of
// the error.
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

// Ready reports whether a daemon accepts new work.
func Ready(address string) bool {
	c := jsonhttp.Client{BaseURL: "http://" + address}
	return c.Call(context.Background(), http.MethodGet, "/readyz", nil, nil) == nil
}

// Load sends requests until it is stopped. It sends only to daemons that are ready, and tries
// the next daemon when the outcome is fault.NotRun. Its exported fields are set
// before Start.
type Load struct {
	// Addresses lists the daemons' listeners for callers.
	Addresses []string
	Account   string
	Kind      string
	// Callers is the number of concurrent callers.
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

// send sends the n-th request, with retries, and returns its outcome.
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

// Stop stops the callers and waits for their open requests. It returns the number of
// requests by outcome, and the numbers of the requests that were not answered.
func (l *Load) Stop() (counts map[string]int, unanswered []int64) {
	close(l.stop)
	l.wg.Wait()
	return l.counts, l.unanswered
}
