package config

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

// InitialSync synchronizes a starting VM with the highest version of the store and its
// peers. The VM must not serve before InitialSync returns nil. An error has kind
// NotReady and names what is missing.
func (k *Manager) InitialSync(ctx context.Context) error {
	if k.startedAt.IsZero() {
		k.startedAt = time.Now()
	}
	storeErr := k.Load(ctx)
	livePeers := k.livePeers()
	k.fetchFromAny(ctx, peersAhead(livePeers, k.version()))
	if newer := peersAhead(k.livePeers(), k.version()); len(newer) > 0 {
		return fault.New(fault.NotReady, "VM %s has version %d of the configuration, which this VM has not fetched yet", newer[0].VMID, newer[0].Version)
	}
	switch {
	case storeErr != nil && k.version() == 0 && len(livePeers) == 0:
		return fault.New(fault.NotReady, "neither the store nor a peer can be reached, so this VM has no configuration")
	case storeErr != nil && k.version() == 0:
		return fault.New(fault.NotReady, "the store cannot be reached and no peer has a configuration")
	case k.awaitsHeartbeats(livePeers):
		return fault.New(fault.NotReady, "this VM waits for the first heartbeats of its peers")
	}
	return nil
}

// firstHeartbeatTimeout is the time for which a starting VM waits for the peers to
// answer the first heartbeats.
const firstHeartbeatTimeout = 1200 * time.Millisecond

// awaitsHeartbeats reports whether expected peers may still answer the first
// heartbeats.
func (k *Manager) awaitsHeartbeats(live []Peer) bool {
	return k.Peers != nil && len(live) < k.Peers.Expected() && time.Since(k.startedAt) < firstHeartbeatTimeout
}

// livePeers returns the live peers and records the highest version that they
// report.
func (k *Manager) livePeers() []Peer {
	if k.Peers == nil {
		return nil
	}
	livePeers := k.Peers.Live()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range livePeers {
		k.highestSeen = max(k.highestSeen, p.Version)
	}
	return livePeers
}

// peersAhead returns the peers with a higher version than v, highest first.
func peersAhead(peers []Peer, v uint64) []Peer {
	var found []Peer
	for _, p := range peers {
		if p.Version > v {
			found = append(found, p)
		}
	}
	slices.SortStableFunc(found, func(a, b Peer) int {
		switch {
		case a.Version > b.Version:
			return -1
		case a.Version < b.Version:
			return 1
		}
		return 0
	})
	return found
}

// Run synchronizes with the peers and watches the store until ctx is done.
func (k *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.runPeerSync(ctx) })
	wg.Go(func() { k.watchStore(ctx) })
	wg.Wait()
}

func (k *Manager) runPeerSync(ctx context.Context) {
	for ctx.Err() == nil {
		k.syncFromPeers(ctx)
		pause.For(ctx, peerPollInterval)
	}
}

// syncFromPeers fetches the highest version of the peers: from a peer in the same
// data centre if one has it, then from other peers, and last from the store.
func (k *Manager) syncFromPeers(ctx context.Context) {
	found := peersAhead(k.livePeers(), k.version())
	if len(found) == 0 {
		k.outdatedSince = time.Time{}
		return
	}
	if k.outdatedSince.IsZero() {
		k.outdatedSince = time.Now()
	}
	local := slices.DeleteFunc(slices.Clone(found), func(p Peer) bool { return p.DataCentre != k.DataCentre })
	if k.fetchFromAny(ctx, local) {
		return
	}
	if !k.watches() && time.Since(k.outdatedSince) < remoteFetchDelay {
		return
	}
	remote := slices.DeleteFunc(found, func(p Peer) bool { return p.DataCentre == k.DataCentre })
	if k.fetchFromAny(ctx, remote) {
		k.Meter.Inc("config_fetch_far")
		return
	}
	k.Meter.Inc("config_fetch_store")
	if err := k.Load(ctx); err != nil {
		k.Meter.Inc("config_load_retry")
		pause.For(ctx, jitter(retryDelay))
	}
}

// fetchTimeout bounds one fetch from a peer.
const fetchTimeout = 2 * time.Second

// fetchFromAny fetches from the first peer that answers, and reports whether one
// did.
func (k *Manager) fetchFromAny(ctx context.Context, peers []Peer) bool {
	for _, p := range peers {
		err := k.fetchFrom(ctx, p)
		if err == nil {
			return true
		}
		k.Meter.Inc("config_fetch_retry")
	}
	return false
}

func (k *Manager) fetchFrom(ctx context.Context, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	cur := k.snapshot()
	u, err := k.Peers.Fetch(ctx, p.Address, cur.manifest.Version)
	if err != nil {
		return err
	}
	s, err := cur.merge(u)
	if err != nil {
		k.Meter.Inc("config_fetch_whole")
		if u, err = k.Peers.Fetch(ctx, p.Address, 0); err != nil {
			return err
		}
		if s, err = emptySnapshot.merge(u); err != nil {
			k.Meter.Inc("config_decode_error")
			return err
		}
	}
	k.Meter.Inc("config_fetch_peer")
	k.activate(s)
	return nil
}

// watches reports whether this VM watches the store for its data centre.
func (k *Manager) watches() bool { return k.Watching == nil || k.Watching() }

// watchStore watches the head in the store while this VM is the watcher of its
// data centre.
func (k *Manager) watchStore(ctx context.Context) {
	watches := 0
	for ctx.Err() == nil {
		if !k.watches() {
			watches = 0
			pause.For(ctx, peerPollInterval)
			continue
		}
		ok := false
		if watches == 0 {
			ok = k.Load(ctx) == nil
		} else {
			ok = k.watchOnce(ctx)
		}
		watches = (watches + 1) % watchesPerRead
		if !ok {
			k.Meter.Inc("config_watch_retry")
			pause.For(ctx, jitter(retryDelay))
			watches = 0
		}
	}
}

// watchesPerRead is the number of store calls of which one reads the head instead
// of watching it, because a watch does not notice that the store was restored to
// an older revision.
const watchesPerRead = 10

// watchOnce waits for one change of the head. It returns false when the head must
// be read again.
func (k *Manager) watchOnce(ctx context.Context) bool {
	k.mu.RLock()
	after := k.revision
	k.mu.RUnlock()
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	entries, rev, err := k.KV.Watch(watchCtx, HeadKey, after)
	if watchCtx.Err() != nil {
		// Nothing changed, or the connection is stalled: the next watch uses a
		// new connection.
		return true
	}
	if err != nil {
		return false
	}
	if rev < after {
		k.Meter.Inc("alarm_store_revision_lower")
		return false
	}
	if len(entries) == 0 {
		return true
	}
	last := entries[len(entries)-1]
	m, err := DecodeManifest(last.Value)
	if last.Deleted || err != nil || m.Version < k.version() {
		// The response may be older than a version fetched from a peer since.
		return false
	}
	k.setRevision(last.Revision)
	return k.activateManifest(ctx, m) == nil
}
