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

// Edit is an operator's request to replace the configuration.
type Edit struct {
	// BaseVersion is the version on which the edit is based.
	BaseVersion uint64 `json:"base_version"`
	// EditID is unique for each edit. An edit that is sent again with the same ID
	// is accepted only once.
	EditID string `json:"edit_id"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// File is the name of the document in error messages; empty for the default.
	File string `json:"file,omitempty"`
	// TOML is the complete new document.
	TOML string `json:"toml"`
}

// Apply checks an edit and writes it by compare-and-swap. The error has kind
// BadConfig for an invalid document, Conflict when the base version is not the
// current version, NotReady when a peer's version is still missing here or a
// peer has not reached a required version, StoreUnavailable when nothing changed,
// and ClaimUnresolved when the edit may have been accepted; it can then be sent
// again with the same edit ID.
func (k *Manager) Apply(ctx context.Context, e Edit, now time.Time) (Head, error) {
	doc, err := k.Check(e, now)
	if err != nil {
		return Head{}, err
	}
	k.applyMu.Lock()
	defer k.applyMu.Unlock()
	entry, err := k.syncLatest(ctx)
	if err != nil {
		return Head{}, err
	}
	base := k.snapshot()
	if base.manifest.contains(e.EditID) {
		return k.Current(), nil
	}
	if base.manifest.Version != e.BaseVersion {
		return Head{}, k.conflictError(e, base)
	}
	if err := k.checkHomes(&base.doc, &doc, base); err != nil {
		return Head{}, err
	}
	return k.writeVersion(ctx, e, &doc, base, entry, now)
}

// Check validates the document of an edit against the known workers without
// writing it. The error has kind BadConfig.
func (k *Manager) Check(e Edit, now time.Time) (Document, error) {
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

func unchangedError(err error) error {
	return fault.Wrap(fault.StoreUnavailable, err, "the configuration is unchanged")
}

// syncLatest synchronizes with the store and with any peer that has a higher
// version, which happens after the store was restored from an old copy. It
// returns the store's head entry.
func (k *Manager) syncLatest(ctx context.Context) (store.Entry, error) {
	entry, err := k.load(ctx)
	if err != nil {
		return store.Entry{}, unchangedError(err)
	}
	newer := peersAhead(k.livePeers(), k.version())
	if len(newer) == 0 {
		return entry, nil
	}
	if !k.fetchFromAny(ctx, newer) {
		return store.Entry{}, fault.New(fault.NotReady, "VM %s has version %d of the configuration, which could not be fetched", newer[0].VMID, newer[0].Version)
	}
	if entry, err = k.load(ctx); err != nil {
		return store.Entry{}, unchangedError(err)
	}
	return entry, nil
}

// conflictError returns the error for an edit whose base is not the current
// version. It names the latest author and the changes since the base.
func (k *Manager) conflictError(e Edit, s *snapshot) error {
	k.Meter.Inc("config_edit_raced")
	h := s.manifest.Header
	if e.BaseVersion > h.Version {
		return fault.WithField(fault.Conflict, "base_version", "version %d does not exist; the current one is %d", e.BaseVersion, h.Version)
	}
	base, _ := k.previousVersion(e.BaseVersion)
	changes := strings.ReplaceAll(diff(base, s, e.BaseVersion), "\n", "\n  ")
	return fault.WithField(fault.Conflict, "base_version",
		"version %d by %s came first (%s); since version %d it changed:\n  %s", h.Version, h.Author, h.Reason, e.BaseVersion, changes)
}

// checkHomes refuses to change an account's home from one data centre to another
// in one edit, and to set a new home before every live VM has the version that
// removed the old one.
func (k *Manager) checkHomes(from, to *Document, base *snapshot) error {
	for i, a := range to.Accounts {
		old, exists := from.AccountNamed(a.ID)
		if !exists || old.Home == a.Home {
			continue
		}
		if old.Home != "" && a.Home != "" {
			return fault.New(fault.BadConfig, "accounts[%d].home: account %q moves from %q to %q in one edit; accepted: \"\" first, and %q in the next edit",
				i, a.ID, old.Home, a.Home, a.Home)
		}
		if a.Home != "" {
			if err := k.requireVersionOnPeers(sectionRevision(base, accountPrefix+a.ID)); err != nil {
				return err
			}
		}
	}
	return nil
}

// sectionRevision returns the revision of a section, 0 if there is none.
func sectionRevision(s *snapshot, name string) uint64 {
	for _, r := range s.manifest.Sections {
		if r.Name == name {
			return r.Revision
		}
	}
	return 0
}

// requireVersionOnPeers returns an error of kind NotReady when a live peer has
// not reached a version.
func (k *Manager) requireVersionOnPeers(version uint64) error {
	for _, p := range k.livePeers() {
		if p.Version < version {
			return fault.New(fault.NotReady, "VM %s has not reached version %d yet, in which the account has no home", p.VMID, version)
		}
	}
	return nil
}

// writeVersion writes the next version from an edit. Until the final write of the
// head, a failure leaves only unreferenced records in the store.
func (k *Manager) writeVersion(ctx context.Context, e Edit, doc *Document, base *snapshot, entry store.Entry, now time.Time) (Head, error) {
	bodies, err := splitSections(doc)
	if err != nil {
		return Head{}, err
	}
	k.mu.RLock()
	version := max(k.highestSeen, base.manifest.Version) + 1
	k.mu.RUnlock()
	s, err := base.next(Header{
		Version: version, EditID: e.EditID, Author: e.Author, Reason: e.Reason, TimeUnixMS: now.UnixMilli(),
	}, bodies)
	if err != nil {
		return Head{}, err
	}
	if err := k.writeSections(ctx, s, storeHeadDiffers(entry, base)); err != nil {
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
		return k.resolveWrite(ctx, e, err)
	}
	k.Meter.Inc("config_edit_accepted")
	k.setRevision(rev)
	k.activate(s)
	if s.manifest.Version%cleanupInterval == 0 {
		k.cleanUp(ctx)
	}
	return k.Current(), nil
}

// storeHeadDiffers reports whether the store's head is not base, in which case
// the store may lack sections of base.
func storeHeadDiffers(entry store.Entry, base *snapshot) bool {
	m, err := DecodeManifest(entry.Value)
	return err != nil || m.EditID != base.manifest.EditID
}

// writeSections writes the sections that changed in s, or all of them if all is
// set.
func (k *Manager) writeSections(ctx context.Context, s *snapshot, all bool) error {
	for _, r := range s.manifest.Sections {
		if r.Digest == "" || (r.Revision != s.manifest.Version && !all) {
			continue
		}
		if err := k.createImmutable(ctx, sectionKey(r), s.bodies[r.Name]); err != nil {
			return err
		}
	}
	return nil
}

// createImmutable writes a key that never changes. It succeeds when the key
// already has the value, for example after a lost response. The error has kind
// StoreUnavailable.
func (k *Manager) createImmutable(ctx context.Context, key string, value []byte) error {
	_, err := k.KV.Put(ctx, key, value, 0)
	if err == nil {
		return nil
	}
	if fault.Is(err, fault.StoreUnavailable) {
		return unchangedError(err)
	}
	stored, found, readErr := k.KV.Get(ctx, key)
	if readErr != nil || !found || !bytes.Equal(stored.Value, value) {
		return unchangedError(err)
	}
	k.Meter.Inc("config_answer_recovered")
	return nil
}

// resolveWrite determines whether a write of the head took effect when its
// response was lost or negative.
func (k *Manager) resolveWrite(ctx context.Context, e Edit, cause error) (Head, error) {
	if fault.Is(cause, fault.StoreUnavailable) {
		return Head{}, unchangedError(cause)
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
		return Head{}, k.conflictError(e, s)
	}
	return Head{}, fault.Wrap(fault.ClaimUnresolved, cause, "edit %s may have been accepted", e.EditID)
}

// Change is one entry of the change log.
type Change struct {
	Header
	// Base is the version on which the change is based, and BaseEditID its edit.
	Base       uint64 `json:"base"`
	BaseEditID string `json:"base_edit_id"`
	// Sections are the names of the changed sections.
	Sections []string `json:"sections"`
}

func changeKey(e EditRef) string {
	return fmt.Sprintf("%s%020d-%s", logPrefix, e.Version, digest([]byte(e.EditID)))
}
