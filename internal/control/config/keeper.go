package config

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// HeadKey is the store's key of the current head.
const HeadKey = "config/head"

// Head is the record of the current version.
type Head struct {
	// Version grows by one with every accepted edit.
	Version uint64 `json:"version"`
	// EditID is chosen by the editor and tells whether a lost write took effect.
	EditID     string   `json:"edit_id"`
	Author     string   `json:"author"`
	Reason     string   `json:"reason"`
	TimeUnixMS int64    `json:"time_unix_ms"`
	Document   Document `json:"document"`
}

// Edit is an operator's change of the configuration.
type Edit struct {
	// BaseVersion is the version that the operator changed.
	BaseVersion uint64 `json:"base_version"`
	EditID      string `json:"edit_id"`
	Author      string `json:"author"`
	Reason      string `json:"reason"`
	// TOML is the whole new document.
	TOML string `json:"toml"`
}

// KV is the part of the store that a Keeper needs.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error)
}

// Keeper keeps the configuration in force at this VM.
type Keeper struct {
	KV    KV
	Meter *meter.Meter
	Log   *slog.Logger

	mu       sync.RWMutex
	head     Head
	revision uint64
	changed  func()
}

// OnChange sets the function that is called after a new version is in force.
func (k *Keeper) OnChange(f func()) { k.changed = f }

// Current returns the head in force; its version is 0 before the first one.
func (k *Keeper) Current() Head {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.head
}

// Offer puts a head in force unless its version is not higher than the current
// one, and reports whether it did.
func (k *Keeper) Offer(h Head) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h.Version < k.head.Version {
		k.Meter.Inc("alarm_config_version_lower")
		return false
	}
	if h.Version == k.head.Version {
		return false
	}
	k.head = h
	k.Meter.Set("config_version", int64(h.Version))
	k.Log.Info("configuration in force", "version", h.Version, "author", h.Author)
	if k.changed != nil {
		go k.changed()
	}
	return true
}

// Load reads the head from the store.
func (k *Keeper) Load(ctx context.Context) error {
	e, found, err := k.KV.Get(ctx, HeadKey)
	if err != nil || !found {
		return err
	}
	return k.accept(e)
}

func (k *Keeper) accept(e store.Entry) error {
	var h Head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return fault.Wrap(fault.Internal, err, "decode %s", HeadKey)
	}
	k.mu.Lock()
	k.revision = e.Revision
	k.mu.Unlock()
	k.Offer(h)
	return nil
}

const watchRetryDelay = time.Second

// Run watches the head until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.RLock()
		after := k.revision
		k.mu.RUnlock()
		entries, _, err := k.KV.Watch(ctx, HeadKey, after)
		if err != nil {
			k.Meter.Inc("config_watch_retry")
			sleep(ctx, watchRetryDelay)
			continue
		}
		for _, e := range entries {
			if err := k.accept(e); err != nil {
				k.Meter.Inc("config_decode_error")
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Apply checks an edit and writes it by compare-and-swap. The error is of kind
// Conflict when another edit came first.
func (k *Keeper) Apply(ctx context.Context, e Edit, now time.Time) (Head, error) {
	doc, err := Parse("configuration", []byte(e.TOML))
	if err != nil {
		return Head{}, err
	}
	current, found, err := k.KV.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, err
	}
	var base Head
	if found {
		if err := json.Unmarshal(current.Value, &base); err != nil {
			return Head{}, fault.Wrap(fault.Internal, err, "decode %s", HeadKey)
		}
	}
	if base.EditID == e.EditID && found {
		return base, nil
	}
	if base.Version != e.BaseVersion {
		return Head{}, fault.WithField(fault.Conflict, "base_version",
			"version %d by %s came first", base.Version, base.Author)
	}
	h := Head{
		Version: base.Version + 1, EditID: e.EditID, Author: e.Author, Reason: e.Reason,
		TimeUnixMS: now.UnixMilli(), Document: doc,
	}
	b, err := json.Marshal(h)
	if err != nil {
		return Head{}, fault.Wrap(fault.Internal, err, "encode head")
	}
	if _, err := k.KV.Put(ctx, HeadKey, b, current.Revision); err != nil {
		return k.resolve(ctx, e, err)
	}
	k.Offer(h)
	return h, nil
}

// resolve finds out whether a write whose answer was lost took effect.
func (k *Keeper) resolve(ctx context.Context, e Edit, cause error) (Head, error) {
	if fault.Is(cause, fault.StoreUnavailable) {
		return Head{}, cause
	}
	entry, found, err := k.KV.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, cause
	}
	var h Head
	if found {
		if err := json.Unmarshal(entry.Value, &h); err != nil {
			return Head{}, fault.Wrap(fault.Internal, err, "decode %s", HeadKey)
		}
	}
	if h.EditID == e.EditID {
		k.Offer(h)
		return h, nil
	}
	if fault.Is(cause, fault.Conflict) {
		return Head{}, fault.WithField(fault.Conflict, "base_version", "version %d by %s came first", h.Version, h.Author)
	}
	return Head{}, cause
}
