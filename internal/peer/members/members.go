// Package members calls the other members of a roster.
package members

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// Dialler returns clients of the peer at an address.
type Dialler interface {
	// Client returns a client that uses open connections.
	Client(address string) peerv1connect.PeerServiceClient
	// FreshClient returns a client that opens a connection for each call.
	FreshClient(address string) peerv1connect.PeerServiceClient
}

// Client calls members at their peer addresses. All its calls are idempotent,
// so one that fails is made again on a new connection: an open one may have
// gone silent.
type Client struct {
	Peers Dialler
}

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = 2 * time.Second

// call makes a call on an open connection, in half of the time that is left,
// and then on a new one.
func (c *Client) call(ctx context.Context, to *peerv1.Vm, f func(ctx context.Context, p peerv1connect.PeerServiceClient) error) error {
	left := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	first, cancel := context.WithTimeout(ctx, left/2)
	err := f(first, c.Peers.Client(to.GetPeerAddress()))
	cancel()
	if err == nil {
		return nil
	}
	second, cancel := context.WithTimeout(ctx, left/2)
	defer cancel()
	return f(second, c.Peers.FreshClient(to.GetPeerAddress()))
}

// Claim asks a member to hold a claim.
func (c *Client) Claim(ctx context.Context, to *peerv1.Vm, in *peerv1.ClaimRequest) (resp *peerv1.ClaimResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.Claim(ctx, in)
		return err
	})
	return resp, err
}

// QueryClaim asks a VM what it knows about a key.
func (c *Client) QueryClaim(ctx context.Context, to *peerv1.Vm, in *peerv1.QueryClaimRequest) (resp *peerv1.QueryClaimResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.QueryClaim(ctx, in)
		return err
	})
	return resp, err
}

// Join asks a member to acknowledge a joiner.
func (c *Client) Join(ctx context.Context, to *peerv1.Vm, in *peerv1.JoinRequest) (resp *peerv1.JoinResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.Join(ctx, in)
		return err
	})
	return resp, err
}

// HoldRecord asks a member to keep a record.
func (c *Client) HoldRecord(ctx context.Context, to *peerv1.Vm, in *peerv1.HoldRecordRequest) (resp *peerv1.HoldRecordResponse, err error) {
	err = c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) (err error) {
		resp, err = p.HoldRecord(ctx, in)
		return err
	})
	return resp, err
}

// Leave hands over to a member what this VM knows.
func (c *Client) Leave(ctx context.Context, to *peerv1.Vm, in *peerv1.LeaveRequest) error {
	return c.call(ctx, to, func(ctx context.Context, p peerv1connect.PeerServiceClient) error {
		_, err := p.Leave(ctx, in)
		return err
	})
}
