package store

import (
	"context"
	"sync"
)

// sharedReads lets concurrent reads of a key share a call. A reader joins only a
// call that has not started yet, so that it never receives a value read before
// its own request.
type sharedReads struct {
	mu    sync.Mutex
	calls map[string]*readCall
}

// readCall is the call in progress for a key. next is the call that follows it;
// nil if no reader waits for one.
type readCall struct {
	next *sharedRead
}

// sharedRead is the result of a call, valid once done is closed.
type sharedRead struct {
	done  chan struct{}
	entry Entry
	found bool
	err   error
}

// get reads a key by calling f, or shares the result of another read of the key
// that starts after get was called. The call continues after the reader that
// started it has returned, because other readers may wait for it.
func (r *sharedReads) get(ctx context.Context, key string, f func() (Entry, bool, error)) (e Entry, found, shared bool, err error) {
	r.mu.Lock()
	if r.calls == nil {
		r.calls = make(map[string]*readCall)
	}
	c, busy := r.calls[key]
	var s *sharedRead
	switch {
	case !busy:
		r.calls[key] = &readCall{}
		s = &sharedRead{done: make(chan struct{})}
		go r.run(key, s, f)
	case c.next == nil:
		c.next = &sharedRead{done: make(chan struct{})}
		s = c.next
	default:
		s, shared = c.next, true
	}
	r.mu.Unlock()
	select {
	case <-s.done:
		return s.entry, s.found, shared, s.err
	case <-ctx.Done():
		return Entry{}, false, shared, ctx.Err()
	}
}

// run makes the call for s and then the calls that other readers wait for.
func (r *sharedReads) run(key string, s *sharedRead, f func() (Entry, bool, error)) {
	for s != nil {
		s.entry, s.found, s.err = f()
		close(s.done)
		r.mu.Lock()
		s = r.calls[key].next
		r.calls[key].next = nil
		if s == nil {
			delete(r.calls, key)
		}
		r.mu.Unlock()
	}
}
