// Package members calls the other members of a roster.
package members

import (
	"context"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// Dialler returns the client of the peer at an address.
type Dialler interface {
	Client(address string) peerv1connect.PeerServiceClient
}

// Client calls members at their peer addresses.
type Client struct {
	Peers Dialler
}

// Claim asks a member to hold a claim.
func (c *Client) Claim(ctx context.Context, to *peerv1.Vm, in *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return c.Peers.Client(to.GetPeerAddress()).Claim(ctx, in)
}

// QueryClaim asks a VM what it knows about a key.
func (c *Client) QueryClaim(ctx context.Context, to *peerv1.Vm, in *peerv1.QueryClaimRequest) (*peerv1.QueryClaimResponse, error) {
	return c.Peers.Client(to.GetPeerAddress()).QueryClaim(ctx, in)
}

// Join asks a member to acknowledge a joiner.
func (c *Client) Join(ctx context.Context, to *peerv1.Vm, in *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	return c.Peers.Client(to.GetPeerAddress()).Join(ctx, in)
}

// HoldRecord asks a member to keep a record.
func (c *Client) HoldRecord(ctx context.Context, to *peerv1.Vm, in *peerv1.HoldRecordRequest) (*peerv1.HoldRecordResponse, error) {
	return c.Peers.Client(to.GetPeerAddress()).HoldRecord(ctx, in)
}

// Leave hands over to a member what this VM knows.
func (c *Client) Leave(ctx context.Context, to *peerv1.Vm, in *peerv1.LeaveRequest) error {
	_, err := c.Peers.Client(to.GetPeerAddress()).Leave(ctx, in)
	return err
}
