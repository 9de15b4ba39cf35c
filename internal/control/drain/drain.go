// Package drain performs the planned stop of a daemon without cutting off or
// losing requests.
package drain

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Requests waits for the requests of a VM to finish.
type Requests interface {
	// Drain refuses new requests and waits for queued and in-flight requests.
	Drain(ctx context.Context) error
}

// Listener is an HTTP server that is shut down last.
type Listener interface {
	Shutdown(ctx context.Context) error
}

var _ Listener = (*http.Server)(nil)

// DefaultNotice is the time in which the load balancer and the peers learn of the
// stop while requests are still served.
const DefaultNotice = 1500 * time.Millisecond

// Plan is one planned stop. Its fields must be set before Run.
type Plan struct {
	Log *slog.Logger
	// Timeout bounds the whole stop.
	Timeout time.Duration
	// Notice is the time between Leave and the first refused request; 0 means
	// DefaultNotice.
	Notice time.Duration
	// Leave marks this VM as not ready and announces the stop to the peers.
	Leave    func()
	Requests Requests
	// HandOver passes state that only this VM has to the peers and the store. It is
	// called when all requests are finished or the timeout has expired; nil for none.
	HandOver func(ctx context.Context)
	// Listeners are shut down concurrently after HandOver.
	Listeners []Listener
}

// Run performs the planned stop. It returns an error of kind Internal when a step
// failed or did not finish within the timeout.
func (p *Plan) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout)
	defer cancel()
	p.Log.Info("stopping")
	p.Leave()
	p.waitForNotice(ctx)
	err := p.Requests.Drain(ctx)
	if p.HandOver != nil {
		p.HandOver(ctx)
	}
	if shut := p.shutDownListeners(ctx); err == nil {
		err = shut
	}
	if err != nil {
		return fault.Wrap(fault.Internal, err, "planned stop")
	}
	p.Log.Info("stopped")
	return nil
}

func (p *Plan) waitForNotice(ctx context.Context) {
	notice := p.Notice
	if notice == 0 {
		notice = DefaultNotice
	}
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
}

// shutDownListeners shuts down all listeners concurrently and returns the first
// error.
func (p *Plan) shutDownListeners(ctx context.Context) error {
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
