// Package members provides a client for the other members of a roster.
package members

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// Dialler returns clients for the peer at an address.
type Dialler interface {
	// Client returns a client that reuses open connections.
	Client(address string) peerv1connect.PeerServiceClient
	// FreshClient returns a client that opens a new connection for each call.
	FreshClient(address string) peerv1connect.PeerServiceClient
}

// Client calls members at their peer addresses. All its calls are idempotent,
// so a failed call is repeated on a new connection: an open connection may no
// longer deliver anything.
type Client struct {
	Peers Dialler
}

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// call makes a call on an open connection, with half of the remaining time, and
// repeats it on a new connection if it fails.
func (c *Client) call(ctx context.Context, to *peerv1.Vm, f func(ctx context.Context, p peerv1connect.PeerServiceClient) error) error {
	remaining := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	firstCtx, cancel := context.WithTimeout(ctx, remaining/2)
	err := f(firstCtx, c.Peers.Client(to.GetPeerAddress()))
	cancel()
	if err == nil {
		return nil
	}
	retryCtx, cancel := context.WithTimeout(ctx, remaining/2)
	defer cancel()
	return f(retryCtx, c.Peers.FreshClient(to.GetPeerAddress()))
}

// Claim requests that a member store a copy of a claim.
func (c *Client) Claim(ctx context.Context, to *peerv1.Vm, in *peerv1.ClaimRequest) (resp *peerv1.ClaimResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.Claim(ctx, in)
		return err
	})
	return resp, err
}

// QueryClaim queries the state that a VM has for a key.
func (c *Client) QueryClaim(ctx context.Context, to *peerv1.Vm, in *peerv1.QueryClaimRequest) (resp *peerv1.QueryClaimResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.QueryClaim(ctx, in)
		return err
	})
	return resp, err
}

// Join requests that a member acknowledge a joiner.
func (c *Client) Join(ctx context.Context, to *peerv1.Vm, in *peerv1.JoinRequest) (resp *peerv1.JoinResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.Join(ctx, in)
		return err
	})
	return resp, err
}

// HoldRecord requests that a member store a copy of a record.
func (c *Client) HoldRecord(ctx context.Context, to *peerv1.Vm, in *peerv1.HoldRecordRequest) (resp *peerv1.HoldRecordResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.HoldRecord(ctx, in)
		return err
	})
	return resp, err
}

// Leave hands over the claims and records of this VM to a member.
func (c *Client) Leave(ctx context.Context, to *peerv1.Vm, in *peerv1.LeaveRequest) error {
	return c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) error {
		_, err := p.Leave(ctx, in)
		return err
	})
}
