package config

import (
	"context"
	"encoding/json"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Limits of the records in the store besides the current version.
const (
	// MaxHistory is the number of entries in the change log.
	MaxHistory = 1000
	// cleanupInterval is the number of versions between two removals of obsolete
	// records.
	cleanupInterval = 64
)

// writeChange writes the change log entry of a version before the version itself.
// History skips entries whose version was never accepted.
func (k *Manager) writeChange(ctx context.Context, s, base *snapshot) error {
	c := Change{Header: s.manifest.Header, Base: base.manifest.Version, BaseEditID: base.manifest.EditID}
	c.Recent = nil
	for _, r := range s.manifest.Sections {
		if r.Revision == c.Version {
			c.Sections = append(c.Sections, r.Name)
		}
	}
	b, err := json.Marshal(c)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode change")
	}
	return k.createImmutable(ctx, changeKey(EditRef{c.Version, c.EditID}), b)
}

// History returns the latest accepted changes, newest first.
func (k *Manager) History(ctx context.Context, limit int) ([]Change, error) {
	entries, _, err := k.KV.List(ctx, logPrefix)
	if err != nil {
		return nil, err
	}
	byEdit := make(map[EditRef]Change, len(entries))
	for _, e := range entries {
		c, err := DecodeChange(e.Value)
		if err != nil {
			k.Meter.Inc("config_decode_error")
			continue
		}
		byEdit[EditRef{c.Version, c.EditID}] = c
	}
	h := k.snapshot().manifest.Header
	var changes []Change
	for next := (EditRef{h.Version, h.EditID}); len(changes) < limit; {
		c, ok := byEdit[next]
		if !ok {
			break
		}
		changes = append(changes, c)
		next = EditRef{c.Base, c.BaseEditID}
	}
	return changes, nil
}

// DecodeChange decodes a change log entry and checks its invariants. The error has
// kind Internal.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(b, &c); err != nil {
		return Change{}, fault.Wrap(fault.Internal, err, "decode change")
	}
	if c.Base >= c.Version {
		return Change{}, fault.New(fault.Internal, "decode change: version %d is not after %d", c.Version, c.Base)
	}
	return c, nil
}

// cleanUp deletes sections and change log entries that are no longer needed.
// Records that it fails to delete are deleted by the next call. It lists one
// section at a time, because all revisions together may exceed the response limit
// of the store.
func (k *Manager) cleanUp(ctx context.Context) {
	head, _, err := k.KV.Get(ctx, HeadKey)
	if err != nil {
		k.Meter.Inc("config_clean_retry")
		return
	}
	m, err := DecodeManifest(head.Value)
	if err != nil {
		k.Meter.Inc("config_decode_error")
		return
	}
	for _, r := range m.Sections {
		k.deleteEntries(ctx, sectionPrefixOf(r.Name), func(e store.Entry) bool {
			return e.Key != sectionKey(r) && e.Revision < head.Revision
		})
	}
	oldest := changeKey(EditRef{Version: m.Version - min(m.Version, MaxHistory)})
	k.deleteEntries(ctx, logPrefix, func(e store.Entry) bool { return e.Key < oldest })
}

// deleteEntries deletes the obsolete entries under a prefix. A pending edit that
// can still succeed is based on the head, so it wrote its sections after the head;
// later versions reference sections of the head or newer ones.
func (k *Manager) deleteEntries(ctx context.Context, prefix string, unneeded func(e store.Entry) bool) {
	entries, _, err := k.KV.List(ctx, prefix)
	if err != nil {
		k.Meter.Inc("config_clean_retry")
		return
	}
	for _, e := range entries {
		if unneeded(e) && k.KV.Delete(ctx, e.Key, e.Revision) != nil {
			k.Meter.Inc("config_clean_retry")
		}
	}
}
