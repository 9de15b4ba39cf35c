package config

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
)

// Begin brings a fresh VM up to the highest version that the store and its
// peers hold. The error, of kind NotReady, says what the VM still lacks; it
// must not serve before Begin returns nil.
func (k *Keeper) Begin(ctx context.Context) error {
	if k.begun.IsZero() {
		k.begun = time.Now()
	}
	storeErr := k.Load(ctx)
	live := k.live()
	k.pullAny(ctx, ahead(live, k.version()))
	if late := ahead(k.live(), k.version()); len(late) > 0 {
		return fault.New(fault.NotReady, "VM %s has version %d of the configuration, which this VM could not fetch yet", late[0].VMID, late[0].Version)
	}
	switch {
	case storeErr != nil && k.version() == 0 && len(live) == 0:
		return fault.New(fault.NotReady, "neither the store nor a peer can be reached, so this VM has no configuration")
	case storeErr != nil && k.version() == 0:
		return fault.New(fault.NotReady, "the store cannot be reached and no peer has a configuration")
	case k.awaits(live):
		return fault.New(fault.NotReady, "this VM waits for the first heartbeats of its peers")
	}
	return nil
}

// firstRound is the time in which the first heartbeats are answered.
const firstRound = 1200 * time.Millisecond

// awaits reports whether known peers may still answer the first heartbeats.
func (k *Keeper) awaits(live []Peer) bool {
	return k.Peers != nil && len(live) < k.Peers.Expected() && time.Since(k.begun) < firstRound
}

// live returns the live peers and notes the highest version that they report.
func (k *Keeper) live() []Peer {
	if k.Peers == nil {
		return nil
	}
	live := k.Peers.Live()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range live {
		k.seen = max(k.seen, p.Version)
	}
	return live
}

// ahead returns the peers with a version over v, the highest first.
func ahead(peers []Peer, v uint64) []Peer {
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

// Run follows the peers and watches the store until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.followPeers(ctx) })
	wg.Go(func() { k.followStore(ctx) })
	wg.Wait()
}

func (k *Keeper) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		k.follow(ctx)
		pause.For(ctx, followInterval)
	}
}

// follow brings this VM up to the peers' version: from a peer of the same data
// centre when one has it, else from others and at last from the store.
func (k *Keeper) follow(ctx context.Context) {
	found := ahead(k.live(), k.version())
	if len(found) == 0 {
		k.behindSince = time.Time{}
		return
	}
	if k.behindSince.IsZero() {
		k.behindSince = time.Now()
	}
	near := slices.DeleteFunc(slices.Clone(found), func(p Peer) bool { return p.DataCentre != k.DataCentre })
	if k.pullAny(ctx, near) {
		return
	}
	if !k.watches() && time.Since(k.behindSince) < farDelay {
		return
	}
	far := slices.DeleteFunc(found, func(p Peer) bool { return p.DataCentre == k.DataCentre })
	if k.pullAny(ctx, far) {
		k.Meter.Inc("config_fetch_far")
		return
	}
	k.Meter.Inc("config_fetch_store")
	if err := k.Load(ctx); err != nil {
		k.Meter.Inc("config_load_retry")
		pause.For(ctx, jitter(retryDelay))
	}
}

// pullTimeout bounds one fetch from a peer.
const pullTimeout = 2 * time.Second

// pullAny fetches from the first peer that answers.
func (k *Keeper) pullAny(ctx context.Context, peers []Peer) bool {
	for _, p := range peers {
		err := k.pull(ctx, p)
		if err == nil {
			return true
		}
		k.Meter.Inc("config_fetch_retry")
	}
	return false
}

func (k *Keeper) pull(ctx context.Context, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
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
		if s, err = empty.merge(u); err != nil {
			k.Meter.Inc("config_decode_error")
			return err
		}
	}
	k.Meter.Inc("config_fetch_peer")
	k.put(s)
	return nil
}

func (k *Keeper) watches() bool { return k.Watching == nil || k.Watching() }

// followStore watches the head while this VM watches for its data centre.
func (k *Keeper) followStore(ctx context.Context) {
	watches := 0
	for ctx.Err() == nil {
		if !k.watches() {
			watches = 0
			pause.For(ctx, followInterval)
			continue
		}
		ok := false
		if watches == 0 {
			ok = k.Load(ctx) == nil
		} else {
			ok = k.watch(ctx)
		}
		watches = (watches + 1) % watchesPerRead
		if !ok {
			k.Meter.Inc("config_watch_retry")
			pause.For(ctx, jitter(retryDelay))
			watches = 0
		}
	}
}

// watchesPerRead is the number of store calls of which one reads the head: a
// watch does not notice that the store was restored to an older revision.
const watchesPerRead = 10

// watch waits for one change of the head. It returns false when the head must
// be read anew.
func (k *Keeper) watch(ctx context.Context) bool {
	k.mu.RLock()
	after := k.revision
	k.mu.RUnlock()
	waiting, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	entries, rev, err := k.KV.Watch(waiting, HeadKey, after)
	if waiting.Err() != nil {
		// Nothing changed, or the connection went silent: the next watch is
		// made on a new connection.
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
		// The answer may be older than what peers have passed on since.
		return false
	}
	k.setRevision(last.Revision)
	return k.accept(ctx, m) == nil
}
