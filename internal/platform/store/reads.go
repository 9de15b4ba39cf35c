package store

import (
	"context"
	"sync"
)

// reads lets equal reads share a call. A reader joins only a call that has not
// begun when it asks, so that it never gets a value from before it asked.
type reads struct {
	mu    sync.Mutex
	calls map[string]*readCall
}

// readCall is the call in progress for a key and the one that follows it.
type readCall struct {
	next *sharedRead
}

type sharedRead struct {
	done  chan struct{}
	entry Entry
	found bool
	err   error
}

// get reads a key by f, or shares the result of an equal read that begins after
// this one asked. A call goes on when the one that began it has gone, since
// others may wait for it.
func (r *reads) get(ctx context.Context, key string, f func() (Entry, bool, error)) (e Entry, found, shared bool, err error) {
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

// run makes a call, and then the one that others wait for, if any.
func (r *reads) run(key string, s *sharedRead, f func() (Entry, bool, error)) {
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
