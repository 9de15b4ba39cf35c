package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// Edit is an operator's change of the configuration.
type Edit struct {
	// BaseVersion is the version that the operator changed.
	BaseVersion uint64 `json:"base_version"`
	// EditID is unique; an edit that is sent again with it is accepted once.
	EditID string `json:"edit_id"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// File names the document in messages; empty for none.
	File string `json:"file,omitempty"`
	// TOML is the whole new document.
	TOML string `json:"toml"`
}

// Apply checks an edit and writes it by compare-and-swap. The error is of kind
// BadConfig for a document that is refused, Conflict when another edit came
// first, StoreUnavailable when nothing changed, and ClaimUnresolved when the
// edit may have been accepted: it can be sent again with the same edit id.
func (k *Keeper) Apply(ctx context.Context, e Edit, now time.Time) (Head, error) {
	doc, err := k.Check(e, now)
	if err != nil {
		return Head{}, err
	}
	k.applying.Lock()
	defer k.applying.Unlock()
	entry, err := k.latest(ctx)
	if err != nil {
		return Head{}, err
	}
	base := k.snapshot()
	if base.manifest.contains(e.EditID) {
		return k.Current(), nil
	}
	if base.manifest.Version != e.BaseVersion {
		return Head{}, k.raced(e, base)
	}
	if err := k.checkHomes(&base.doc, &doc, base); err != nil {
		return Head{}, err
	}
	return k.write(ctx, e, &doc, base, entry, now)
}

// Check checks an edit's document against the known workers and writes nothing.
func (k *Keeper) Check(e Edit, now time.Time) (Document, error) {
	file := e.File
	if file == "" {
		file = "configuration"
	}
	var workers []Worker
	if k.Workers != nil {
		workers = k.Workers()
	}
	return ParseAt(file, []byte(e.TOML), now, workers)
}

func notWritten(err error) error {
	return fault.Wrap(fault.StoreUnavailable, err, "the configuration is unchanged")
}

// latest brings this VM up to the store's version, and to that of a peer which
// has a higher one: that happens after the store was restored from an old copy.
// It returns the store's head.
func (k *Keeper) latest(ctx context.Context) (store.Entry, error) {
	entry, err := k.load(ctx)
	if err != nil {
		return store.Entry{}, notWritten(err)
	}
	late := ahead(k.live(), k.version())
	if len(late) == 0 {
		return entry, nil
	}
	if !k.pullAny(ctx, late) {
		return store.Entry{}, fault.New(fault.NotReady, "VM %s has version %d, which could not be fetched", late[0].VMID, late[0].Version)
	}
	if entry, err = k.load(ctx); err != nil {
		return store.Entry{}, notWritten(err)
	}
	return entry, nil
}

// raced returns the error of an edit whose base is not the current version.
func (k *Keeper) raced(e Edit, s *snapshot) error {
	k.Meter.Inc("config_edit_raced")
	h := s.manifest.Header
	if e.BaseVersion > h.Version {
		return fault.WithField(fault.Conflict, "base_version", "version %d does not exist; the current one is %d", e.BaseVersion, h.Version)
	}
	base, _ := k.earlier(e.BaseVersion)
	changes := strings.ReplaceAll(diff(base, s, e.BaseVersion), "\n", "\n  ")
	return fault.WithField(fault.Conflict, "base_version",
		"version %d by %s came first (%s); since version %d it changed:\n  %s", h.Version, h.Author, h.Reason, e.BaseVersion, changes)
}

// checkHomes refuses to move an account's home in one edit, and to give it a
// new one before every live VM has the version that took the old one away.
func (k *Keeper) checkHomes(from, to *Document, base *snapshot) error {
	for i, a := range to.Accounts {
		old, known := from.AccountNamed(a.ID)
		if !known || old.Home == a.Home {
			continue
		}
		if old.Home != "" && a.Home != "" {
			return fault.New(fault.BadConfig, "accounts[%d].home: account %q moves from %q to %q in one edit; accepted: \"\" first, and %q in the next edit",
				i, a.ID, old.Home, a.Home, a.Home)
		}
		if a.Home != "" {
			if err := k.inForce(revisionOf(base, accountPrefix+a.ID)); err != nil {
				return err
			}
		}
	}
	return nil
}

func revisionOf(s *snapshot, name string) uint64 {
	for _, r := range s.manifest.Sections {
		if r.Name == name {
			return r.Revision
		}
	}
	return 0
}

// inForce fails when a live peer has not reached a version.
func (k *Keeper) inForce(version uint64) error {
	for _, p := range k.live() {
		if p.Version < version {
			return fault.New(fault.NotReady, "VM %s has not reached version %d yet, in which the account has no home", p.VMID, version)
		}
	}
	return nil
}

// write makes the next version out of an edit. Everything before the last write
// may be left behind without effect.
func (k *Keeper) write(ctx context.Context, e Edit, doc *Document, base *snapshot, entry store.Entry, now time.Time) (Head, error) {
	bodies, err := split(doc)
	if err != nil {
		return Head{}, err
	}
	k.mu.RLock()
	version := max(k.seen, base.manifest.Version) + 1
	k.mu.RUnlock()
	s, err := base.next(Header{
		Version: version, EditID: e.EditID, Author: e.Author, Reason: e.Reason, TimeUnixMS: now.UnixMilli(),
	}, bodies)
	if err != nil {
		return Head{}, err
	}
	if err := k.writeSections(ctx, s, lowerVersion(entry, base)); err != nil {
		return Head{}, err
	}
	if err := k.writeChange(ctx, s, base); err != nil {
		return Head{}, err
	}
	b, err := json.Marshal(s.manifest)
	if err != nil {
		return Head{}, fault.Wrap(fault.Internal, err, "encode %s", HeadKey)
	}
	rev, err := k.KV.Put(ctx, HeadKey, b, entry.Revision)
	if err != nil {
		return k.resolve(ctx, e, err)
	}
	k.Meter.Inc("config_edit_accepted")
	k.setRevision(rev)
	k.put(s)
	if s.manifest.Version%cleanInterval == 0 {
		k.clean(ctx)
	}
	return k.Current(), nil
}

// lowerVersion reports whether the store's head is not the base, so that the
// store may lack the base's sections.
func lowerVersion(entry store.Entry, base *snapshot) bool {
	m, err := DecodeManifest(entry.Value)
	return err != nil || m.EditID != base.manifest.EditID
}

// writeSections writes the sections that are new in s; all of them when asked.
func (k *Keeper) writeSections(ctx context.Context, s *snapshot, all bool) error {
	for _, r := range s.manifest.Sections {
		if r.Digest == "" || (r.Revision != s.manifest.Version && !all) {
			continue
		}
		if err := k.create(ctx, sectionKey(r), s.bodies[r.Name]); err != nil {
			return err
		}
	}
	return nil
}

// create writes an immutable key; it succeeds when the key holds the value
// already, as after a lost answer. The error is of kind StoreUnavailable.
func (k *Keeper) create(ctx context.Context, key string, value []byte) error {
	_, err := k.KV.Put(ctx, key, value, 0)
	if err == nil {
		return nil
	}
	if fault.Is(err, fault.StoreUnavailable) {
		return notWritten(err)
	}
	kept, found, readErr := k.KV.Get(ctx, key)
	if readErr != nil || !found || !bytes.Equal(kept.Value, value) {
		return notWritten(err)
	}
	k.Meter.Inc("config_answer_recovered")
	return nil
}

// resolve finds out whether a write of the head whose answer was lost or
// negative took effect.
func (k *Keeper) resolve(ctx context.Context, e Edit, cause error) (Head, error) {
	if fault.Is(cause, fault.StoreUnavailable) {
		return Head{}, notWritten(cause)
	}
	if _, err := k.load(ctx); err != nil {
		return Head{}, fault.Wrap(fault.ClaimUnresolved, cause, "edit %s may have been accepted", e.EditID)
	}
	s := k.snapshot()
	if s.manifest.contains(e.EditID) {
		k.Meter.Inc("config_answer_recovered")
		return k.Current(), nil
	}
	if fault.Is(cause, fault.Conflict) || s.manifest.Version != e.BaseVersion {
		return Head{}, k.raced(e, s)
	}
	return Head{}, fault.Wrap(fault.ClaimUnresolved, cause, "edit %s may have been accepted", e.EditID)
}

// Change is one line of the log of changes.
type Change struct {
	Header
	// Base is the version that was changed, and BaseEditID its edit.
	Base       uint64 `json:"base"`
	BaseEditID string `json:"base_edit_id"`
	// Sections names the sections that changed.
	Sections []string `json:"sections"`
}

func changeKey(e Edition) string {
	return fmt.Sprintf("%s%020d-%s", logPrefix, e.Version, digest([]byte(e.EditID)))
}
