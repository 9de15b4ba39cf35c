// Package vmlist is the client for the platform's list of VMs, which lags behind
// the actual state of the VMs.
package vmlist

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
)

// Role is the function of a VM in the fleet.
type Role string

// The roles of VMs.
const (
	Entry  Role = "entry"
	Runner Role = "runner"
	Worker Role = "worker"
)

// VM is one entry of the platform's list.
type VM struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Rack groups adjacent workers; empty for other roles.
	Rack string `json:"rack,omitempty"`
	// Address is the IP address and port of the VM's service; a worker's may
	// be followed by a path.
	Address string `json:"address"`
	// Leaving is set some time after the VM was notified that it must leave.
	Leaving bool `json:"leaving,omitempty"`
	// Slots is the number of requests that a runner serves at once.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections that a runner accepts.
	Connections int `json:"connections,omitempty"`
	// Accelerators is the number of accelerators of a worker.
	Accelerators int `json:"accelerators,omitempty"`
	// Service is the name of the service that a runner provides, such as "rota"
	// or "reprint".
	Service string `json:"service,omitempty"`
}

// ListAnswer is the platform's answer to a read of the list.
type ListAnswer struct {
	VMs []VM `json:"vms"`
	// Revision changes whenever the list does. A watch waits for a new revision
	// instead of reading an unchanged list again.
	Revision uint64 `json:"revision"`
}

// Client reads the list.
type Client struct {
	// BaseURL is the platform's address, without a trailing slash.
	BaseURL string
	HTTP    *http.Client
}

// DefaultWatchTimeout is the longest time that the platform waits for a change
// during a watch.
const DefaultWatchTimeout = 15 * time.Second

// watchMargin is the additional time that the client allows for the answer.
const watchMargin = 2 * time.Second

// Watch returns the list as soon as its revision differs from after, or the
// unchanged list after DefaultWatchTimeout.
func (c *Client) Watch(ctx context.Context, after uint64) (ListAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultWatchTimeout+watchMargin)
	defer cancel()
	q := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(DefaultWatchTimeout.Milliseconds(), 10)},
	}
	var a ListAnswer
	h := jsonhttp.Client{BaseURL: c.BaseURL, HTTP: c.HTTP}
	err := h.Call(ctx, http.MethodGet, "/v1/vms?"+q.Encode(), nil, &a)
	return a, err
}

// List returns the platform's current list.
func (c *Client) List(ctx context.Context) (ListAnswer, error) {
	var a ListAnswer
	h := jsonhttp.Client{BaseURL: c.BaseURL, HTTP: c.HTTP}
	err := h.Call(ctx, http.MethodGet, "/v1/vms", nil, &a)
	return a, err
}
