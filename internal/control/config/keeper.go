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

// Intervals and time limits of propagation.
const (
	// peerPollInterval is the time between two checks of the peers' versions.
	peerPollInterval = 500 * time.Millisecond
	// remoteFetchDelay is the time for which a VM that does not watch the store
	// waits for a peer of its own data centre to have a newer version before it
	// fetches from other data centres or the store.
	remoteFetchDelay = 3 * time.Second
	// watchTimeout bounds one watch call. It also bounds the time until a stalled
	// watch connection is noticed.
	watchTimeout = 6 * time.Second
	// retryDelay is the mean delay before a failed call is retried.
	retryDelay = time.Second
)

// maxPreviousVersions is the number of earlier versions that are kept in memory
// for diffs.
const maxPreviousVersions = 32

// Head is the version in force and its document.
type Head struct {
	Header
	Document Document `json:"document"`
}

// KV is the subset of the store client that synchronization needs.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	List(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
	Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error)
}

// Peer is a live VM and the configuration version that it reports.
type Peer struct {
	VMID       string
	DataCentre string
	Address    string
	Version    uint64
}

// Peers provides access to the other VMs.
type Peers interface {
	// Live returns the peers whose heartbeats are recent.
	Live() []Peer
	// Expected returns the number of peers, live or not, from which a starting VM
	// should receive a heartbeat before it serves.
	Expected() int
	// Fetch returns the changes since version have; have 0 means everything.
	Fetch(ctx context.Context, address string, have uint64) (Update, error)
}

// Manager manages the configuration in force at this VM: it synchronizes with the
// store and the peers, and applies edits. Its exported fields must be set before
// use.
type Manager struct {
	KV KV
	// Peers is nil for a VM without peers.
	Peers Peers
	Meter *meter.Meter
	Log   *slog.Logger
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Watching reports whether this VM watches the store for its data centre;
	// nil means always.
	Watching func() bool
	// Workers returns the known workers; nil means that none are known.
	Workers func() []Worker

	// applyMu serializes the edits made at this VM.
	applyMu sync.Mutex

	mu      sync.RWMutex
	current *snapshot
	// previous holds earlier versions without their documents, oldest first.
	previous []*snapshot
	// highestSeen is the highest version that this VM or a live peer has reported.
	highestSeen uint64
	// revision is the store revision of the head that was read last.
	revision uint64
	// outdatedSince is the time at which a peer was first seen with a higher
	// version; zero when no peer has one.
	outdatedSince time.Time
	// startedAt is the time at which the initial synchronization started.
	startedAt time.Time
	// lastAlarm is the counter and edit ID of the alarm that was logged last.
	lastAlarm string
	onChange  func()
}

// OnChange sets the function that is called after a new version takes effect. It
// must be called before the initial synchronization.
func (k *Manager) OnChange(f func()) { k.onChange = f }

// Current returns the head in force. Its version is 0 until a configuration has
// been loaded.
func (k *Manager) Current() Head {
	s := k.snapshot()
	return Head{Header: s.manifest.Header, Document: s.doc}
}

// Update returns the changes between version have and the version in force.
func (k *Manager) Update(have uint64) Update { return k.snapshot().update(have) }

// Effective returns the values in force for a scope at a time.
func (k *Manager) Effective(q Scope, now time.Time) Effective {
	return k.snapshot().doc.Effective(q, now)
}

var emptySnapshot = &snapshot{}

func (k *Manager) snapshot() *snapshot {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if k.current == nil {
		return emptySnapshot
	}
	return k.current
}

func (k *Manager) version() uint64 { return k.snapshot().manifest.Version }

// activate puts a version in force if its number is higher than that of the
// version in force.
func (k *Manager) activate(s *snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := s.manifest.Version
	if k.current != nil && v <= k.current.manifest.Version {
		return
	}
	if k.current != nil {
		k.previous = append(k.previous, &snapshot{manifest: k.current.manifest, bodies: k.current.bodies})
	}
	if extra := len(k.previous) - maxPreviousVersions; extra > 0 {
		k.previous = slices.Delete(k.previous, 0, extra)
	}
	k.current = s
	k.highestSeen = max(k.highestSeen, v)
	k.Meter.Set("config_version", int64(v))
	k.Log.Info("configuration in force", "version", v, "author", s.manifest.Author)
	if k.onChange != nil {
		go k.onChange()
	}
}

// previousVersion returns an earlier version if it is still in memory.
func (k *Manager) previousVersion(version uint64) (*snapshot, bool) {
	if version == 0 {
		return emptySnapshot, true
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	for _, s := range k.previous {
		if s.manifest.Version == version {
			return s, true
		}
	}
	return nil, false
}

// alarm counts a violation of the version order, and logs it unless it repeats
// the previous alarm.
func (k *Manager) alarm(counter, message string, m Header) {
	k.Meter.Inc(counter)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lastAlarm == counter+m.EditID {
		return
	}
	k.lastAlarm = counter + m.EditID
	k.Log.Error(message, "version", m.Version, "edit_id", m.EditID, "author", m.Author)
}

// Load synchronizes this VM with the version in the store.
func (k *Manager) Load(ctx context.Context) error {
	_, err := k.load(ctx)
	return err
}

// load is Load and also returns the store's head entry, which has revision 0
// when there is none.
func (k *Manager) load(ctx context.Context) (store.Entry, error) {
	// The store must contain every version that was in force before the read.
	before := k.snapshot().manifest.Header
	e, found, err := k.KV.Get(ctx, HeadKey)
	if err == nil && isOlder(e, before) {
		// The store client may have shared the result of a read that started
		// before the version took effect.
		e, found, err = k.KV.Get(ctx, HeadKey)
	}
	if err != nil {
		return store.Entry{}, err
	}
	if !found {
		if before.Version > 0 {
			k.alarm("alarm_config_version_lower", "the configuration is missing from the store", before)
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
	return e, k.activateManifest(ctx, m)
}

// isOlder reports whether the head in a store entry is older than h. A missing or
// invalid head is older than any version.
func isOlder(e store.Entry, h Header) bool {
	m, err := DecodeManifest(e.Value)
	return h.Version > 0 && (err != nil || m.Version < h.Version)
}

func (k *Manager) setRevision(rev uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = rev
}

// activateManifest reads the sections of a manifest from the store and puts it in
// force if it is newer than the version in force.
func (k *Manager) activateManifest(ctx context.Context, m Manifest) error {
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
	k.activate(s)
	return nil
}

// maxSingleReads is the maximum number of sections that are read one by one.
const maxSingleReads = 8

// fetchSections reads the sections of a manifest that s does not contain from the
// store and returns the complete version.
func (k *Manager) fetchSections(ctx context.Context, s *snapshot, m Manifest) (*snapshot, error) {
	u := Update{Header: m.Header}
	var missing []SectionRef
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
	return buildSnapshot(m.Header, slices.Clone(m.Sections), bodies)
}

// readSections reads sections by key. More than maxSingleReads sections are read
// with one list call; sections missing from its result, as when all revisions
// together exceed the response limit of the store, are read one by one.
func (k *Manager) readSections(ctx context.Context, refs []SectionRef) (map[string][]byte, error) {
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
