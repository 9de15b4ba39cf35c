// Package vmlist is the client of the platform's lagging list of VMs.
package vmlist

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
)

// Role says what a VM serves.
type Role string

// The roles of VMs.
const (
	Entry  Role = "entry"
	Runner Role = "runner"
	Worker Role = "worker"
)

// VM is one row of the platform's list.
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
	// Leaving is set some time after the VM was told to leave.
	Leaving bool `json:"leaving,omitempty"`
	// Slots is the number of requests that a runner serves at once.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections that a runner accepts.
	Connections int `json:"connections,omitempty"`
	// Accelerators is the number of accelerators of a worker.
	Accelerators int `json:"accelerators,omitempty"`
	// Service names what a runner serves, such as "rota" or "reprint".
	Service string `json:"service,omitempty"`
}

// ListAnswer is the platform's answer.
type ListAnswer struct {
	VMs []VM `json:"vms"`
	// Revision changes with the list, so that an unchanged list costs little.
	Revision uint64 `json:"revision"`
}

// Client reads the list.
type Client struct {
	// BaseURL is the platform's address, without a trailing slash.
	BaseURL string
	HTTP    *http.Client
}

// DefaultWatchTimeout bounds how long one watch waits.
const DefaultWatchTimeout = 15 * time.Second

const watchGrace = 2 * time.Second

// Watch returns the list as soon as its revision is not the given one, or the
// unchanged list after DefaultWatchTimeout.
func (c *Client) Watch(ctx context.Context, after uint64) (ListAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultWatchTimeout+watchGrace)
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
