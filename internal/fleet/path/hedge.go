package path

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// hedgeDelay is how long a read waits for the beginning of a response before it is also
// sent by other routes.
const hedgeDelay = 200 * time.Millisecond

// Hedged reads the changes of one key through a path. When the response does not begin
// soon, it also reads them through a peer, since a VM that is cut off from the store
// detects it only when a call has timed out, and reads the key itself, since the store may
// respond to no watches while it responds to reads.
type Hedged struct {
	Path *Path
}

// hedgedRead is the result of a read by one route.
type hedgedRead struct {
	items []store.Item
	at    int64
	err   error
}

// Changes reads as Access.Changes does. It returns the first successful result, or the
// last error.
func (h Hedged) Changes(ctx context.Context, key string, after int64) ([]store.Item, int64, error) {
	return h.Path.hedge(ctx, key, after, h.Path.tryRoutes, h.Path.callRespondingPeers)
}

// relayed is the access of a VM's peers to the store through the VM.
type relayed struct {
	route
	path *Path
}

// Changes implements Access. The store may respond to no watches while it responds to
// reads, which a peer that is cut off from it can't make itself.
func (r *relayed) Changes(ctx context.Context, key string, after int64) ([]store.Item, int64, error) {
	return r.path.hedge(ctx, key, after, r.route, nil)
}

// hedge reads the changes of a key by one route. When the response does not begin within
// hedgeDelay, it also reads them by another, unless that is nil, and reads the key itself.
func (p *Path) hedge(ctx context.Context, key string, after int64, first, second route) ([]store.Item, int64, error) {
	reads := make(chan hedgedRead, 3)
	// waiting ends when the response to the changes begins, or on return. The value of the
	// key is not transferred beside such a response, as both may be large.
	waiting, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	start := func(ctx context.Context, changes func(ctx context.Context, key string, after int64) ([]store.Item, int64, error)) {
		go func() {
			items, at, err := changes(ctx, key, after)
			reads <- hedgedRead{items, at, err}
		}()
	}
	// The slower of the routes continues until its own timeout: cancelling it would count as
	// its failure.
	lasting := context.WithoutCancel(ctx)
	start(httptrace.WithClientTrace(lasting, &httptrace.ClientTrace{GotFirstResponseByte: stop}), first.Changes)
	delay := time.NewTimer(hedgeDelay)
	defer delay.Stop()
	pending := 1
	for {
		select {
		case result := <-reads:
			if pending--; result.err == nil || pending == 0 {
				return result.items, result.at, result.err
			}
		case <-delay.C:
			if waiting.Err() != nil {
				continue
			}
			p.Meter.Inc("store_read_hedged")
			if second != nil {
				start(lasting, second.Changes)
				pending++
			}
			// A reading of all items is a read already. While the direct route fails, large
			// values are not requested by it, as they would delay the probes.
			if after != 0 && !p.isDirectFailing() {
				start(waiting, p.readKey)
				pending++
			}
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// readKey reads a key directly, in place of its changes after a revision. Unlike other
// direct calls it may be cancelled: only its success counts for the route.
func (p *Path) readKey(ctx context.Context, key string, after int64) ([]store.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	began := time.Now()
	it, found, err := p.Direct.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	p.record(began, nil)
	if !found {
		return nil, after, nil
	}
	return []store.Item{it}, max(after, it.Revision), nil
}
