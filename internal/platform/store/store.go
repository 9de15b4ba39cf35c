// Package store is the client for the platform's key-value service.
package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// Entry is one key of the store with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision is the store's revision at the last write of the key. Every write
	// of any key increases the store's revision.
	Revision uint64 `json:"revision"`
	// Deleted is set only in the answer to a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// PutRequest is the body of a write.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// IfRevision is the revision that the key must have for the write to take
	// effect; 0 means that the key must not exist.
	IfRevision uint64 `json:"if_revision"`
	// LeaseID binds the key to a lease; empty for none.
	LeaseID string `json:"lease_id,omitempty"`
}

// DeleteRequest is the body of a deletion.
type DeleteRequest struct {
	Key        string `json:"key"`
	IfRevision uint64 `json:"if_revision"`
}

// ListAnswer is the answer to a list or a watch.
type ListAnswer struct {
	Entries []Entry `json:"entries"`
	// Revision is the store's revision at the time of the answer.
	Revision uint64 `json:"revision"`
	// More reports that the page does not include all matching keys.
	More bool `json:"more,omitempty"`
}

// PutAnswer is the answer to a write.
type PutAnswer struct {
	Revision uint64 `json:"revision"`
}

// DefaultCallTimeout is the default timeout of a call other than a watch.
const DefaultCallTimeout = 5 * time.Second

// DefaultWatchTimeout is the longest time that the store waits for a change
// during a watch.
const DefaultWatchTimeout = 60 * time.Second

// Client calls the store.
//
// Errors are of kind Conflict when the key does not have the required revision,
// StoreUnavailable when the call had no effect, and ClaimUnresolved when a write
// may have taken effect.
type Client struct {
	// BaseURL is the store's address, without a trailing slash.
	BaseURL string
	Meter   *meter.Meter
	// CallTimeout is the timeout of a call other than a watch; 0 selects the
	// default.
	CallTimeout time.Duration
	HTTP        *http.Client
	// Budget bounds the rate of this client's calls.
	Budget Budget

	reads sharedReads
}

func (c *Client) call(ctx context.Context, name, method, path string, in, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	waited, ok := c.Budget.Acquire(ctx)
	if waited {
		c.Meter.Inc("store_budget_waits")
	}
	if !ok {
		c.Meter.Inc("store_budget_refusals")
		return fault.New(fault.StoreUnavailable, "no call was made: the rate limit of store calls is exceeded")
	}
	c.Meter.Inc("store_call_" + name)
	h := jsonhttp.Client{BaseURL: c.BaseURL, HTTP: c.HTTP}
	err := h.Call(ctx, method, path, in, out)
	if err == nil {
		return nil
	}
	if fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
		return err
	}
	c.Meter.Inc("store_error_" + name)
	if method == http.MethodGet || fault.Is(err, fault.Unreachable) || fault.Is(err, fault.StoreUnavailable) {
		return fault.Wrap(fault.StoreUnavailable, err, "store")
	}
	return fault.Wrap(fault.ClaimUnresolved, err, "store")
}

func (c *Client) timeout() time.Duration {
	if c.CallTimeout == 0 {
		return DefaultCallTimeout
	}
	return c.CallTimeout
}

// Get returns the entry of a key and whether the key exists. Concurrent reads of
// the same key may share a call.
func (c *Client) Get(ctx context.Context, key string) (Entry, bool, error) {
	e, found, shared, err := c.reads.get(ctx, key, func() (Entry, bool, error) {
		// Other readers may wait for this call, so that the cancellation of
		// this reader's context must not end it.
		return c.get(context.WithoutCancel(ctx), key)
	})
	if shared {
		c.Meter.Inc("store_read_shared")
	}
	if err != nil && fault.KindOf(err) == fault.Internal {
		err = fault.Wrap(fault.StoreUnavailable, err, "store")
	}
	return e, found, err
}

func (c *Client) get(ctx context.Context, key string) (e Entry, found bool, err error) {
	err = c.call(ctx, "get", http.MethodGet, "/v1/kv/get?key="+url.QueryEscape(key), nil, &e, c.timeout())
	if fault.Is(err, fault.NotFound) {
		return Entry{}, false, nil
	}
	return e, err == nil, err
}

// List returns all entries whose keys begin with prefix and the store's revision.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var a ListAnswer
	err := c.call(ctx, "list", http.MethodGet, "/v1/kv/list?prefix="+url.QueryEscape(prefix), nil, &a, c.timeout())
	return a.Entries, a.Revision, err
}

// ListPage returns at most limit entries whose keys begin with prefix and sort
// after the key after, sorted by key, and whether there are more.
func (c *Client) ListPage(ctx context.Context, prefix, after string, limit int) ([]Entry, bool, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var a ListAnswer
	err := c.call(ctx, "list", http.MethodGet, "/v1/kv/list?"+q.Encode(), nil, &a, c.timeout())
	return a.Entries, a.More, err
}

// Put writes a key if its revision is ifRevision and returns the new revision.
// An ifRevision of 0 means that the key must not exist.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	var a PutAnswer
	in := PutRequest{Key: key, Value: value, IfRevision: ifRevision}
	err := c.call(ctx, "put", http.MethodPost, "/v1/kv/put", in, &a, c.timeout())
	return a.Revision, err
}

// Delete deletes a key if its revision is ifRevision.
func (c *Client) Delete(ctx context.Context, key string, ifRevision uint64) error {
	in := DeleteRequest{Key: key, IfRevision: ifRevision}
	return c.call(ctx, "delete", http.MethodPost, "/v1/kv/delete", in, nil, c.timeout())
}

// Watch waits for changes after a revision to keys that begin with prefix. It
// returns the changed entries, none if nothing changed within
// DefaultWatchTimeout, and the store's revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error) {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(DefaultWatchTimeout.Milliseconds(), 10)},
	}
	var a ListAnswer
	err := c.call(ctx, "watch", http.MethodGet, "/v1/kv/watch?"+q.Encode(), nil, &a, DefaultWatchTimeout+c.timeout())
	return a.Entries, a.Revision, err
}
