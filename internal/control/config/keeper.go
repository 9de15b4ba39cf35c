package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Keys of the store.
const (
	// HeadKey is the key of the current manifest.
	HeadKey       = "config/head"
	sectionPrefix = "config/sections/"
	logPrefix     = "configlog/"
)

// Times of the spread.
const (
	// followInterval is the time between two looks at the peers' versions.
	followInterval = 500 * time.Millisecond
	// farDelay is the time that a VM other than the watching one waits for a
	// peer of its own data centre before it asks others and the store.
	farDelay = 3 * time.Second
	// watchWait bounds one watch; a watch whose connection went silent is
	// noticed after it.
	watchWait = 6 * time.Second
	// retryDelay is the mean time before a failed call is made again.
	retryDelay = time.Second
)

// maxKept is the number of earlier versions that are kept for diffs.
const maxKept = 32

// Head is the version in force with its document.
type Head struct {
	Header
	Document Document `json:"document"`
}

// KV is the part of the store that a Keeper needs.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	List(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
	Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error)
}

// Peer is a live VM and the version that it reports.
type Peer struct {
	VMID       string
	DataCentre string
	Address    string
	Version    uint64
}

// Peers are the other VMs.
type Peers interface {
	// Live returns the peers that were heard of lately.
	Live() []Peer
	// Expected returns the number of peers, live or not, that a fresh VM should
	// hear of before it serves.
	Expected() int
	// Fetch returns what changed since a version, everything since 0.
	Fetch(ctx context.Context, address string, have uint64) (Update, error)
}

// Keeper keeps the configuration in force at this VM. Its exported fields are
// set before use.
type Keeper struct {
	KV KV
	// Peers is nil for a VM that has none.
	Peers Peers
	Meter *meter.Meter
	Log   *slog.Logger
	// DataCentre is the one that this VM stands in.
	DataCentre string
	// Watching reports whether this VM watches the store for its data centre;
	// nil means always.
	Watching func() bool
	// Workers returns the known workers; nil means that none is known.
	Workers func() []Worker

	// applying is held by the one edit that this VM makes at a time.
	applying sync.Mutex

	mu      sync.RWMutex
	current *snapshot
	// kept holds earlier versions without their documents, oldest first.
	kept []*snapshot
	// seen is the highest version that this VM has heard of.
	seen uint64
	// revision is the store's revision of the head that was read last.
	revision uint64
	// behindSince is the time at which a peer was first seen ahead; zero when
	// none is.
	behindSince time.Time
	// begun is the time of the first Begin.
	begun   time.Time
	alarmed string
	changed func()
}

// OnChange sets the function that is called after a new version is in force.
func (k *Keeper) OnChange(f func()) { k.changed = f }

// Current returns the head in force; its version is 0 before the first one.
func (k *Keeper) Current() Head {
	s := k.snapshot()
	return Head{Header: s.manifest.Header, Document: s.doc}
}

// Update returns what changed between a version and the one in force.
func (k *Keeper) Update(have uint64) Update { return k.snapshot().update(have) }

// Effective returns the values in force within a scope at a time.
func (k *Keeper) Effective(q Scope, now time.Time) Effective {
	return k.snapshot().doc.Effective(q, now)
}

var empty = &snapshot{}

func (k *Keeper) snapshot() *snapshot {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if k.current == nil {
		return empty
	}
	return k.current
}

func (k *Keeper) version() uint64 { return k.snapshot().manifest.Version }

// put puts a version in force unless its number is not higher than that of the
// one in force.
func (k *Keeper) put(s *snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := s.manifest.Version
	if k.current != nil && v <= k.current.manifest.Version {
		return
	}
	if k.current != nil {
		k.kept = append(k.kept, &snapshot{manifest: k.current.manifest, bodies: k.current.bodies})
	}
	if extra := len(k.kept) - maxKept; extra > 0 {
		k.kept = slices.Delete(k.kept, 0, extra)
	}
	k.current = s
	k.seen = max(k.seen, v)
	k.Meter.Set("config_version", int64(v))
	k.Log.Info("configuration in force", "version", v, "author", s.manifest.Author)
	if k.changed != nil {
		go k.changed()
	}
}

// earlier returns a version that is still kept.
func (k *Keeper) earlier(version uint64) (*snapshot, bool) {
	if version == 0 {
		return empty, true
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	for _, s := range k.kept {
		if s.manifest.Version == version {
			return s, true
		}
	}
	return nil, false
}

// alarm counts a violation and logs each new one once.
func (k *Keeper) alarm(counter, message string, m Header) {
	k.Meter.Inc(counter)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.alarmed == counter+m.EditID {
		return
	}
	k.alarmed = counter + m.EditID
	k.Log.Error(message, "version", m.Version, "edit_id", m.EditID, "author", m.Author)
}

// Load brings this VM up to the store's version.
func (k *Keeper) Load(ctx context.Context) error {
	_, err := k.load(ctx)
	return err
}

// load is Load; it returns the store's head, with revision 0 when there is none.
func (k *Keeper) load(ctx context.Context) (store.Entry, error) {
	// A version that was in force before the read must be in the store.
	before := k.snapshot().manifest.Header
	e, found, err := k.KV.Get(ctx, HeadKey)
	if err == nil && older(e, before) {
		// The read may have been shared with one that began earlier.
		e, found, err = k.KV.Get(ctx, HeadKey)
	}
	if err != nil {
		return store.Entry{}, err
	}
	if !found {
		if before.Version > 0 {
			k.alarm("alarm_config_version_lower", "the store has lost the configuration", before)
		}
		k.setRevision(0)
		return store.Entry{}, nil
	}
	m, err := DecodeManifest(e.Value)
	if err != nil {
		k.Meter.Inc("config_decode_error")
		return store.Entry{}, err
	}
	k.setRevision(e.Revision)
	if m.Version < before.Version {
		k.alarm("alarm_config_version_lower", "the store holds a lower version than the one in force", m.Header)
		if !before.contains(m.EditID) && m.Version+maxRecent > before.Version {
			k.alarm("alarm_config_version_fork", "the store holds an edit that the version in force does not contain", m.Header)
		}
		return e, nil
	}
	return e, k.accept(ctx, m)
}

// older reports whether the head of an entry, if any, is older than a version.
func older(e store.Entry, h Header) bool {
	m, err := DecodeManifest(e.Value)
	return h.Version > 0 && (err != nil || m.Version < h.Version)
}

func (k *Keeper) setRevision(rev uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = rev
}

// accept puts a manifest of the store in force unless it is not newer.
func (k *Keeper) accept(ctx context.Context, m Manifest) error {
	cur := k.snapshot()
	if m.Version == cur.manifest.Version && m.EditID != cur.manifest.EditID {
		k.alarm("alarm_config_version_fork", "the store holds another edit under the version in force", m.Header)
	}
	if m.Version <= cur.manifest.Version {
		return nil
	}
	s, err := k.fetchSections(ctx, cur, m)
	if err != nil {
		return err
	}
	k.put(s)
	return nil
}

// maxSingleReads is the number of sections up to which each is read on its own.
const maxSingleReads = 8

// fetchSections reads those sections of a manifest that s does not hold.
func (k *Keeper) fetchSections(ctx context.Context, s *snapshot, m Manifest) (*snapshot, error) {
	u := Update{Header: m.Header}
	var missing []Ref
	bodies := make(map[string][]byte)
	for _, r := range m.Sections {
		switch {
		case r.Digest == "":
		case slices.Contains(s.manifest.Sections, r):
			bodies[r.Name] = s.bodies[r.Name]
		default:
			missing = append(missing, r)
		}
	}
	read, err := k.readSections(ctx, missing)
	if err != nil {
		return nil, err
	}
	for _, r := range missing {
		body, ok := read[sectionKey(r)]
		if !ok || digest(body) != r.Digest {
			return nil, fault.New(fault.Conflict, "section %s of version %d is not in the store", r.Name, u.Header.Version)
		}
		bodies[r.Name] = body
	}
	return build(m.Header, slices.Clone(m.Sections), bodies)
}

// readSections reads sections by key. Many are listed at once, unless all
// revisions together exceed what a call answers.
func (k *Keeper) readSections(ctx context.Context, refs []Ref) (map[string][]byte, error) {
	read := make(map[string][]byte, len(refs))
	if len(refs) > maxSingleReads {
		entries, _, err := k.KV.List(ctx, sectionPrefix)
		if err != nil {
			k.Meter.Inc("config_list_retry")
		}
		for _, e := range entries {
			read[e.Key] = e.Value
		}
	}
	for _, r := range refs {
		if _, listed := read[sectionKey(r)]; listed {
			continue
		}
		e, found, err := k.KV.Get(ctx, sectionKey(r))
		if err != nil {
			return nil, err
		}
		if found {
			read[e.Key] = e.Value
		}
	}
	return read, nil
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
