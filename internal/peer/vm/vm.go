// Package vm implements the protocol between the daemons on the platform: they
// notify and query the planner, and relay store calls for each other.
package vm

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1/nodev1connect"
)

// Peers holds clients of the other daemons. Its exported fields are set before use.
type Peers struct {
	// SelfIP is the address of this VM, which is no peer.
	SelfIP string
	// Port is the peer port, the same at all VMs.
	Port int
	HTTP *http.Client

	mu   sync.Mutex
	byIP map[string]*peer
}

type peer struct {
	ip     string
	client nodev1connect.NodeServiceClient
	relay  *relay
	// rank orders peers that are equally likely to respond. It differs between VMs, so that
	// they do not all call the same peer.
	rank uint64
	// failed is the time of the last call if that failed, otherwise zero.
	failed time.Time
}

// Add adds the peer with the given address. It does nothing if the address is
// empty, is this VM's own, or was added before.
func (p *Peers) Add(ip string) {
	if net.ParseIP(ip) == nil || ip == p.SelfIP {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(ip)
}

// Count returns the number of peers.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byIP)
}

func (p *Peers) get(ip string) *peer {
	if p.byIP == nil {
		p.byIP = make(map[string]*peer)
	}
	pr := p.byIP[ip]
	if pr == nil {
		base := "http://" + net.JoinHostPort(ip, strconv.Itoa(p.Port))
		pr = &peer{ip: ip, client: nodev1connect.NewNodeServiceClient(p.HTTP, base), rank: rank(p.SelfIP, ip)}
		pr.relay = &relay{peers: p, peer: pr}
		p.byIP[ip] = pr
	}
	return pr
}

// rank returns the rank of a peer at a VM.
func rank(selfIP, ip string) uint64 {
	sum := sha256.Sum256([]byte(selfIP + " " + ip))
	return binary.BigEndian.Uint64(sum[:])
}

func (p *Peers) client(ip string) nodev1connect.NodeServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(ip).client
}

// byLastFailure returns the peers: first those whose last call succeeded, then those
// whose failure is the oldest.
func (p *Peers) byLastFailure() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*peer, 0, len(p.byIP))
	for _, pr := range p.byIP {
		all = append(all, pr)
	}
	sort.Slice(all, func(i, j int) bool {
		if !all[i].failed.Equal(all[j].failed) {
			return all[i].failed.Before(all[j].failed)
		}
		return all[i].rank < all[j].rank
	})
	return all
}

func (p *Peers) recordResult(pr *peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		pr.failed = time.Now()
		return
	}
	pr.failed = time.Time{}
}

// Relays implements path.Relays. It lists the peers in the order of byLastFailure.
func (p *Peers) Relays() []path.Access {
	var all []path.Access
	for _, pr := range p.byLastFailure() {
		all = append(all, pr.relay)
	}
	return all
}

const (
	// maxLeadQueries bounds the number of peers queried for the holder of the planner lock.
	maxLeadQueries = 4
	// leadDelay is how long a query waits for a response before the next peer is queried
	// beside it.
	leadDelay = 100 * time.Millisecond
	// leadTimeout bounds a query for the holder of the planner lock.
	leadTimeout = 400 * time.Millisecond
)

// leadResult is the result of a query for the holder of the planner lock.
type leadResult struct {
	resp *nodev1.LeadResponse
	err  error
}

// Lead queries peers for the holder of the planner lock, and returns the first
// response that names one. Its error is of kind Unreachable.
func (p *Peers) Lead(ctx context.Context) (*nodev1.LeadResponse, error) {
	var lastErr error = fault.New(fault.Unreachable, "no peer knows the holder")
	peers := p.byLastFailure()
	peers = peers[:min(len(peers), maxLeadQueries)]
	results := make(chan leadResult, maxLeadQueries)
	pending := 0
	queryNext := func() {
		if len(peers) == 0 {
			return
		}
		pr := peers[0]
		peers = peers[1:]
		pending++
		go func() {
			// The end of ctx is no failure of the peer.
			queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leadTimeout)
			defer cancel()
			resp, err := pr.client.Lead(queryCtx, &nodev1.LeadRequest{})
			p.recordResult(pr, err)
			results <- leadResult{resp, err}
		}()
	}
	queryNext()
	next := time.NewTicker(leadDelay)
	defer next.Stop()
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			if r.err == nil && r.resp.GetRevision() > 0 {
				return r.resp, nil
			}
			if r.err != nil {
				lastErr = r.err
			}
			queryNext()
		case <-next.C:
			queryNext()
		case <-ctx.Done():
			return nil, fault.Wrap(fault.Unreachable, ctx.Err(), "lead")
		}
	}
	return nil, fault.Wrap(fault.Unreachable, lastErr, "lead")
}

// relay calls the store through a peer.
type relay struct {
	peers *Peers
	peer  *peer
}

// readError records the failure of a read. Its error is of kind StoreUnavailable
// when the peer responded that the store failed, and Unreachable when the peer could
// not be reached.
func (r *relay) readError(err error) error {
	r.peers.recordResult(r.peer, err)
	var response *connect.Error
	if errors.As(err, &response) && response.Meta().Get(notCalledHeader) != "" {
		return fault.Wrap(fault.StoreUnavailable, path.ErrNotCalled, "relay")
	}
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return fault.Wrap(fault.StoreUnavailable, err, "relay")
	}
	return fault.Wrap(fault.Unreachable, err, "relay")
}

func (r *relay) Get(ctx context.Context, key string) (store.Item, bool, error) {
	resp, err := r.peer.client.RelayGet(ctx, &nodev1.RelayGetRequest{Key: key})
	if err != nil {
		return store.Item{}, false, r.readError(err)
	}
	r.peers.recordResult(r.peer, nil)
	return fromItem(resp.GetItem()), resp.GetFound(), nil
}

func (r *relay) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	return r.Changes(ctx, prefix, 0)
}

func (r *relay) Changes(ctx context.Context, prefix string, after int64) ([]store.Item, int64, error) {
	resp, err := r.peer.client.RelayRange(ctx, &nodev1.RelayRangeRequest{Prefix: prefix, After: after})
	if err != nil {
		return nil, 0, r.readError(err)
	}
	r.peers.recordResult(r.peer, nil)
	return fromItems(resp.GetItems()), resp.GetAt(), nil
}

func (r *relay) Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	req := &nodev1.RelayApplyRequest{Removes: t.Removes}
	for _, c := range t.Conditions {
		req.Conditions = append(req.Conditions, &nodev1.Condition{Key: c.Key, Revision: c.Revision})
	}
	for _, p := range t.Puts {
		req.Puts = append(req.Puts, &nodev1.Item{Key: p.Key, Value: p.Value})
	}
	resp, err := r.peer.client.RelayApply(ctx, req)
	if err != nil {
		r.peers.recordResult(r.peer, err)
		return 0, nil, fault.Wrap(fault.AnswerLost, err, "relay")
	}
	var refusal error
	switch {
	case resp.GetNotCalled():
		refusal = fault.Wrap(fault.StoreUnavailable, path.ErrNotCalled, "relay")
	case resp.GetUnavailable():
		refusal = fault.New(fault.StoreUnavailable, "the peer is turned away too")
	}
	r.peers.recordResult(r.peer, refusal)
	switch {
	case refusal != nil:
		return 0, nil, refusal
	case resp.GetConflict():
		return 0, fromItems(resp.GetCurrent()), fault.New(fault.Conflict, "a condition did not hold")
	}
	return resp.GetRevision(), nil, nil
}

func fromItem(i *nodev1.Item) store.Item {
	return store.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: i.GetRevision(), Created: i.GetCreated()}
}

func fromItems(all []*nodev1.Item) []store.Item {
	out := make([]store.Item, len(all))
	for i, it := range all {
		out[i] = fromItem(it)
	}
	return out
}

func toItem(i store.Item) *nodev1.Item {
	return &nodev1.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Created: i.Created}
}

func toItems(all []store.Item) []*nodev1.Item {
	out := make([]*nodev1.Item, len(all))
	for i, it := range all {
		out[i] = toItem(it)
	}
	return out
}
