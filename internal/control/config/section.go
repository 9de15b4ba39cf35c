package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Names of sections. Each account has a section of its own, which also holds
// the exceptions whose scope names the account.
const (
	defaultsSection   = "defaults"
	kindsSection      = "kinds"
	exceptionsSection = "exceptions"
	accountPrefix     = "account/"
)

// Bounds of a manifest.
const (
	// maxRecent is the number of editions that a manifest names.
	maxRecent = 32
	// removedWindow is the number of versions for which a manifest names a
	// section that was removed.
	removedWindow = 256
)

// Edition is one accepted edit.
type Edition struct {
	Version uint64 `json:"version"`
	EditID  string `json:"edit_id"`
}

// Header tells what a version is and how to check that all of it is there.
type Header struct {
	// Version grows with every accepted edit.
	Version uint64 `json:"version"`
	// EditID is chosen by the editor and tells whether a lost write took effect.
	EditID     string `json:"edit_id"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	// Recent names the latest editions, this one last.
	Recent []Edition `json:"recent"`
	// Digest is that of the sections' references.
	Digest string `json:"digest"`
}

// Ref names one immutable revision of a section.
type Ref struct {
	Name string `json:"name"`
	// Revision is the version in which the section last changed.
	Revision uint64 `json:"revision"`
	// Digest is that of the section's body; empty when the section was removed.
	Digest string `json:"digest,omitempty"`
}

// Manifest is the record under HeadKey.
type Manifest struct {
	Header
	// Sections are sorted by name, without duplicates.
	Sections []Ref `json:"sections"`
}

// Section is one independently revised part of the document.
type Section struct {
	Name     string
	Revision uint64
	// Body is the JSON form; nil when the section was removed.
	Body []byte
}

// Update brings a copy of an earlier version up to Header.Version. It names the
// sections that changed in between, removed ones included, as the invalidation
// report of W. M. Leung, "Maintaining Cache Consistency in Mobile Computing
// Environments" (1996), section 3.2.4, names the changed items of a cache.
type Update struct {
	Header   Header
	Sections []Section
}

// accountBody is the body of an account's section.
type accountBody struct {
	Account    Account     `json:"account"`
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// snapshot is one version with all its sections. It is never changed.
type snapshot struct {
	manifest Manifest
	// bodies holds the body of every section that is not removed.
	bodies map[string][]byte
	doc    Document
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// digestOf returns the digest of the references that are not removed.
func digestOf(refs []Ref) string {
	var b bytes.Buffer
	for _, r := range refs {
		if r.Digest != "" {
			b.WriteString(strconv.Quote(r.Name) + " " + strconv.FormatUint(r.Revision, 10) + " " + r.Digest + "\n")
		}
	}
	return digest(b.Bytes())
}

// sectionKey returns the store's key of a section's revision.
func sectionKey(r Ref) string {
	return sectionPrefix + url.PathEscape(r.Name) + "/" + strconv.FormatUint(r.Revision, 10) + "-" + r.Digest
}

// split returns the bodies of a document's sections by name.
func split(d *Document) (map[string][]byte, error) {
	byAccount := make(map[string][]Exception)
	fleet := []Exception{}
	for _, e := range d.Exceptions {
		if e.Scope.Account == "" {
			fleet = append(fleet, e)
			continue
		}
		byAccount[e.Scope.Account] = append(byAccount[e.Scope.Account], e)
	}
	parts := map[string]any{defaultsSection: d.Defaults, kindsSection: d.Kinds, exceptionsSection: fleet}
	for _, a := range d.Accounts {
		parts[accountPrefix+a.ID] = accountBody{Account: a, Exceptions: byAccount[a.ID]}
	}
	bodies := make(map[string][]byte, len(parts))
	for name, part := range parts {
		b, err := json.Marshal(part)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "encode section %s", name)
		}
		bodies[name] = b
	}
	return bodies, nil
}

// assemble returns the document of a set of sections. Accounts and their
// exceptions are in the order of the accounts' ids.
func assemble(bodies map[string][]byte) (Document, error) {
	var d Document
	for _, name := range slices.Sorted(maps.Keys(bodies)) {
		if err := d.addSection(name, bodies[name]); err != nil {
			return Document{}, fault.Wrap(fault.Internal, err, "decode section %s", name)
		}
	}
	return d, nil
}

func (d *Document) addSection(name string, body []byte) error {
	switch name {
	case defaultsSection:
		d.Defaults = DefaultDocument().Defaults
		return json.Unmarshal(body, &d.Defaults)
	case kindsSection:
		return json.Unmarshal(body, &d.Kinds)
	case exceptionsSection:
		var fleet []Exception
		err := json.Unmarshal(body, &fleet)
		d.Exceptions = append(d.Exceptions, fleet...)
		return err
	}
	if !strings.HasPrefix(name, accountPrefix) {
		// A later release may know more sections.
		return nil
	}
	var a accountBody
	err := json.Unmarshal(body, &a)
	d.Accounts = append(d.Accounts, a.Account)
	d.Exceptions = append(d.Exceptions, a.Exceptions...)
	return err
}

// next returns the version that follows s with the given bodies; its number is
// h.Version.
func (s *snapshot) next(h Header, bodies map[string][]byte) (*snapshot, error) {
	var refs []Ref
	old := make(map[string]Ref, len(s.manifest.Sections))
	for _, r := range s.manifest.Sections {
		old[r.Name] = r
		if _, kept := bodies[r.Name]; !kept {
			refs = append(refs, removed(r, h.Version))
		}
	}
	for name, body := range bodies {
		r := Ref{Name: name, Revision: h.Version, Digest: digest(body)}
		if o, ok := old[name]; ok && o.Digest == r.Digest {
			r = o
		}
		refs = append(refs, r)
	}
	h.Recent = append(slices.Clone(s.manifest.Recent), Edition{h.Version, h.EditID})
	if extra := len(h.Recent) - maxRecent; extra > 0 {
		h.Recent = h.Recent[extra:]
	}
	return build(h, refs, bodies)
}

// removed returns the reference of a section that is not there in a version.
func removed(r Ref, version uint64) Ref {
	if r.Digest == "" {
		return r
	}
	return Ref{Name: r.Name, Revision: version}
}

// build sorts the references, drops removed ones beyond the window, and
// assembles the document.
func build(h Header, refs []Ref, bodies map[string][]byte) (*snapshot, error) {
	refs = slices.DeleteFunc(refs, func(r Ref) bool {
		return r.Digest == "" && r.Revision+removedWindow < h.Version
	})
	slices.SortFunc(refs, func(a, b Ref) int { return strings.Compare(a.Name, b.Name) })
	h.Digest = digestOf(refs)
	doc, err := assemble(bodies)
	if err != nil {
		return nil, err
	}
	return &snapshot{manifest: Manifest{Header: h, Sections: refs}, bodies: bodies, doc: doc}, nil
}

// update returns what changed since a version; since 0 it is everything.
func (s *snapshot) update(have uint64) Update {
	u := Update{Header: s.manifest.Header}
	for _, r := range s.manifest.Sections {
		if r.Revision > have || have == 0 {
			u.Sections = append(u.Sections, Section{Name: r.Name, Revision: r.Revision, Body: s.bodies[r.Name]})
		}
	}
	return u
}

// merge returns s brought up to date. It fails when s and the update do not
// make up the update's version, as when s is older than the window.
func (s *snapshot) merge(u Update) (*snapshot, error) {
	bodies := maps.Clone(s.bodies)
	if bodies == nil {
		bodies = make(map[string][]byte)
	}
	refs := make(map[string]Ref)
	for _, r := range s.manifest.Sections {
		refs[r.Name] = r
	}
	for _, c := range u.Sections {
		r := Ref{Name: c.Name, Revision: c.Revision}
		delete(bodies, c.Name)
		if c.Body != nil {
			r.Digest = digest(c.Body)
			bodies[c.Name] = c.Body
		}
		refs[c.Name] = r
	}
	merged, err := build(u.Header, slices.Collect(maps.Values(refs)), bodies)
	if err != nil {
		return nil, err
	}
	if merged.manifest.Digest != u.Header.Digest {
		return nil, fault.New(fault.BadAnswer, "version %d: the sections do not match the digest", u.Header.Version)
	}
	return merged, nil
}

// contains reports whether a recent edit is contained in the version.
func (h *Header) contains(editID string) bool {
	return slices.ContainsFunc(h.Recent, func(e Edition) bool { return e.EditID == editID })
}

// DecodeManifest decodes the record under HeadKey and checks its invariants.
func DecodeManifest(b []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(b, &m); err != nil {
		return Manifest{}, fault.Wrap(fault.Internal, err, "decode %s", HeadKey)
	}
	if m.Version == 0 {
		return Manifest{}, fault.New(fault.Internal, "decode %s: the version is missing", HeadKey)
	}
	for i, r := range m.Sections {
		if r.Revision > m.Version || (i > 0 && m.Sections[i-1].Name >= r.Name) {
			return Manifest{}, fault.New(fault.Internal, "decode %s: section %q is out of order", HeadKey, r.Name)
		}
	}
	if digestOf(m.Sections) != m.Digest {
		return Manifest{}, fault.New(fault.Internal, "decode %s: the digest does not match", HeadKey)
	}
	return m, nil
}
