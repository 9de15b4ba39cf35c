package config

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Bounds of what the store keeps besides the current version.
const (
	// MaxHistory is the number of changes that the log keeps.
	MaxHistory = 1000
	// cleanInterval is the number of versions between two removals of what is
	// no longer needed.
	cleanInterval = 64
)

// writeChange writes the log's line of a version before the version itself. A
// line whose version was never accepted is left out by History.
func (k *Keeper) writeChange(ctx context.Context, s, base *snapshot) error {
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
	return k.create(ctx, changeKey(Edition{c.Version, c.EditID}), b)
}

// History returns the latest accepted changes, the newest first.
func (k *Keeper) History(ctx context.Context, limit int) ([]Change, error) {
	entries, _, err := k.KV.List(ctx, logPrefix)
	if err != nil {
		return nil, err
	}
	byEdit := make(map[Edition]Change, len(entries))
	for _, e := range entries {
		c, err := DecodeChange(e.Value)
		if err != nil {
			k.Meter.Inc("config_decode_error")
			continue
		}
		byEdit[Edition{c.Version, c.EditID}] = c
	}
	h := k.snapshot().manifest.Header
	var changes []Change
	for next := (Edition{h.Version, h.EditID}); len(changes) < limit; {
		c, ok := byEdit[next]
		if !ok {
			break
		}
		changes = append(changes, c)
		next = Edition{c.Base, c.BaseEditID}
	}
	return changes, nil
}

// DecodeChange decodes a line of the log and checks its invariants.
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

// clean deletes sections and lines of the log that are no longer needed. What
// it leaves behind, the next removal deletes.
func (k *Keeper) clean(ctx context.Context) {
	entries, _, err := k.KV.List(ctx, "config")
	if err != nil {
		k.Meter.Inc("config_clean_retry")
		return
	}
	for _, e := range garbage(entries) {
		if k.KV.Delete(ctx, e.Key, e.Revision) != nil {
			k.Meter.Inc("config_clean_retry")
			return
		}
	}
}

// garbage returns the entries that no accepted and no pending edit can need. A
// pending edit that can still succeed was based on the head, so it has written
// its sections after the head.
func garbage(entries []store.Entry) []store.Entry {
	i := slices.IndexFunc(entries, func(e store.Entry) bool { return e.Key == HeadKey })
	if i < 0 {
		return nil
	}
	m, err := DecodeManifest(entries[i].Value)
	if err != nil {
		return nil
	}
	needed := make(map[string]bool, len(m.Sections))
	for _, r := range m.Sections {
		needed[sectionKey(r)] = true
	}
	oldest := changeKey(Edition{Version: m.Version - min(m.Version, MaxHistory)})
	return slices.DeleteFunc(slices.Clone(entries), func(e store.Entry) bool {
		if strings.HasPrefix(e.Key, logPrefix) {
			return e.Key >= oldest
		}
		return !strings.HasPrefix(e.Key, sectionPrefix) || needed[e.Key] || e.Revision > entries[i].Revision
	})
}
