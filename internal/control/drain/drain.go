// Package drain stops a daemon as planned: it cuts no request and loses none.
package drain

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Requests finishes the requests that a VM has.
type Requests interface {
	// Drain refuses new requests and waits for those that are queued or in
	// flight.
	Drain(ctx context.Context) error
}

// Listener is an HTTP server that is shut down last.
type Listener interface {
	Shutdown(ctx context.Context) error
}

var _ Listener = (*http.Server)(nil)

// DefaultNotice is the time in which the balancer and the peers hear of the
// stop, while requests are still served.
const DefaultNotice = 1500 * time.Millisecond

// Plan is one planned stop. Its fields are set before Run.
type Plan struct {
	Log *slog.Logger
	// Timeout bounds the whole stop.
	Timeout time.Duration
	// Notice is the time between Leave and the first refused request;
	// DefaultNotice when 0.
	Notice time.Duration
	// Leave takes the readiness back and tells the peers.
	Leave    func()
	Requests Requests
	// HandOver gives to the peers and the store what only this VM knows, when
	// all requests are finished; nil for nothing.
	HandOver func(ctx context.Context)
	// Listeners are shut down when all requests are finished.
	Listeners []Listener
}

// Run stops as planned. An error says that something was not finished within
// the timeout.
func (p *Plan) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout)
	defer cancel()
	p.Log.Info("stopping")
	p.Leave()
	p.wait(ctx)
	err := p.Requests.Drain(ctx)
	if p.HandOver != nil {
		p.HandOver(ctx)
	}
	if shut := p.shutDown(ctx); err == nil {
		err = shut
	}
	if err != nil {
		return fault.Wrap(fault.Internal, err, "planned stop")
	}
	p.Log.Info("stopped")
	return nil
}

func (p *Plan) wait(ctx context.Context) {
	notice := p.Notice
	if notice == 0 {
		notice = DefaultNotice
	}
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
}

// shutDown shuts all listeners down at once and returns the first error.
func (p *Plan) shutDown(ctx context.Context) error {
	errs := make([]error, len(p.Listeners))
	var wg sync.WaitGroup
	for i, l := range p.Listeners {
		wg.Go(func() { errs[i] = l.Shutdown(ctx) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
