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

// Names of sections. Each account has its own section, which also contains the
// exceptions whose scope names the account.
const (
	defaultsSection   = "defaults"
	kindsSection      = "kinds"
	exceptionsSection = "exceptions"
	accountPrefix     = "account/"
)

// Limits of a manifest.
const (
	// maxRecent is the number of latest edits that a manifest lists.
	maxRecent = 32
	// removedWindow is the number of versions for which a manifest still lists a
	// removed section.
	removedWindow = 256
)

// EditRef identifies an accepted edit and its version.
type EditRef struct {
	Version uint64 `json:"version"`
	EditID  string `json:"edit_id"`
}

// Header describes a version and allows its completeness to be verified.
type Header struct {
	// Version grows with every accepted edit.
	Version uint64 `json:"version"`
	// EditID is chosen by the editor. It shows whether a write whose response was
	// lost took effect.
	EditID     string `json:"edit_id"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	// Recent lists the latest edits, ending with the one of this version.
	Recent []EditRef `json:"recent"`
	// Digest is the digest of the section references.
	Digest string `json:"digest"`
}

// SectionRef identifies one immutable revision of a section.
type SectionRef struct {
	Name string `json:"name"`
	// Revision is the version in which the section last changed.
	Revision uint64 `json:"revision"`
	// Digest is the digest of the section's body; empty when the section was
	// removed.
	Digest string `json:"digest,omitempty"`
}

// Manifest is the record stored under HeadKey.
type Manifest struct {
	Header
	// Sections are sorted by name, without duplicates.
	Sections []SectionRef `json:"sections"`
}

// Section is one independently revised part of the document.
type Section struct {
	Name     string
	Revision uint64
	// Body is the JSON encoding; nil when the section was removed.
	Body []byte
}

// Update brings a copy of an earlier version to Header.Version. It lists the
// sections that changed in between, including removed ones, like the invalidation
// report of W. M. Leung, "Maintaining Cache Consistency in Mobile Computing
// Environments" (1996), section 3.2.4, which lists the changed items of a cache.
type Update struct {
	Header   Header
	Sections []Section
}

// accountBody is the JSON body of an account's section.
type accountBody struct {
	Account    Account     `json:"account"`
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// snapshot is one version with all its sections. It is immutable.
type snapshot struct {
	manifest Manifest
	// bodies contains the body of every section that is not removed, by name.
	bodies map[string][]byte
	doc    Document
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// refsDigest returns the digest of the references that are not removed.
func refsDigest(refs []SectionRef) string {
	var b bytes.Buffer
	for _, r := range refs {
		if r.Digest != "" {
			b.WriteString(strconv.Quote(r.Name) + " " + strconv.FormatUint(r.Revision, 10) + " " + r.Digest + "\n")
		}
	}
	return digest(b.Bytes())
}

// sectionKey returns the store key of a section's revision.
func sectionKey(r SectionRef) string {
	return sectionPrefixOf(r.Name) + strconv.FormatUint(r.Revision, 10) + "-" + r.Digest
}

// sectionPrefixOf returns the store key prefix of a section's revisions.
func sectionPrefixOf(name string) string { return sectionPrefix + url.PathEscape(name) + "/" }

// splitSections returns the bodies of a document's sections by name.
func splitSections(d *Document) (map[string][]byte, error) {
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

// assembleDocument returns the document of a set of sections. Accounts and their
// exceptions are sorted by account ID.
func assembleDocument(bodies map[string][]byte) (Document, error) {
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
		// Later releases may add sections.
		return nil
	}
	var a accountBody
	err := json.Unmarshal(body, &a)
	d.Accounts = append(d.Accounts, a.Account)
	d.Exceptions = append(d.Exceptions, a.Exceptions...)
	return err
}

// next returns the version that follows s, with number h.Version and the given
// bodies.
func (s *snapshot) next(h Header, bodies map[string][]byte) (*snapshot, error) {
	var refs []SectionRef
	old := make(map[string]SectionRef, len(s.manifest.Sections))
	for _, r := range s.manifest.Sections {
		old[r.Name] = r
		if _, present := bodies[r.Name]; !present {
			refs = append(refs, removedRef(r, h.Version))
		}
	}
	for name, body := range bodies {
		r := SectionRef{Name: name, Revision: h.Version, Digest: digest(body)}
		if o, ok := old[name]; ok && o.Digest == r.Digest {
			r = o
		}
		refs = append(refs, r)
	}
	h.Recent = append(slices.Clone(s.manifest.Recent), EditRef{h.Version, h.EditID})
	if extra := len(h.Recent) - maxRecent; extra > 0 {
		h.Recent = h.Recent[extra:]
	}
	return buildSnapshot(h, refs, bodies)
}

// removedRef returns the reference of a section that is missing from a version.
func removedRef(r SectionRef, version uint64) SectionRef {
	if r.Digest == "" {
		return r
	}
	return SectionRef{Name: r.Name, Revision: version}
}

// buildSnapshot sorts the references, drops those of sections removed more than
// removedWindow versions ago, and assembles the document.
func buildSnapshot(h Header, refs []SectionRef, bodies map[string][]byte) (*snapshot, error) {
	refs = slices.DeleteFunc(refs, func(r SectionRef) bool {
		return r.Digest == "" && r.Revision+removedWindow < h.Version
	})
	slices.SortFunc(refs, func(a, b SectionRef) int { return strings.Compare(a.Name, b.Name) })
	h.Digest = refsDigest(refs)
	doc, err := assembleDocument(bodies)
	if err != nil {
		return nil, err
	}
	return &snapshot{manifest: Manifest{Header: h, Sections: refs}, bodies: bodies, doc: doc}, nil
}

// update returns the changes since version have; have 0 means everything.
func (s *snapshot) update(have uint64) Update {
	u := Update{Header: s.manifest.Header}
	for _, r := range s.manifest.Sections {
		if r.Revision > have || have == 0 {
			u.Sections = append(u.Sections, Section{Name: r.Name, Revision: r.Revision, Body: s.bodies[r.Name]})
		}
	}
	return u
}

// merge applies an update to s. It returns an error of kind BadAnswer when the
// result does not match the update's digest, for example because s is older than
// removedWindow versions.
func (s *snapshot) merge(u Update) (*snapshot, error) {
	bodies := maps.Clone(s.bodies)
	if bodies == nil {
		bodies = make(map[string][]byte)
	}
	refs := make(map[string]SectionRef)
	for _, r := range s.manifest.Sections {
		refs[r.Name] = r
	}
	for _, c := range u.Sections {
		r := SectionRef{Name: c.Name, Revision: c.Revision}
		delete(bodies, c.Name)
		if c.Body != nil {
			r.Digest = digest(c.Body)
			bodies[c.Name] = c.Body
		}
		refs[c.Name] = r
	}
	merged, err := buildSnapshot(u.Header, slices.Collect(maps.Values(refs)), bodies)
	if err != nil {
		return nil, err
	}
	if merged.manifest.Digest != u.Header.Digest {
		return nil, fault.New(fault.BadAnswer, "version %d: the sections do not match the digest", u.Header.Version)
	}
	return merged, nil
}

// contains reports whether a recent edit is part of the version.
func (h *Header) contains(editID string) bool {
	return slices.ContainsFunc(h.Recent, func(e EditRef) bool { return e.EditID == editID })
}

// DecodeManifest decodes the record under HeadKey and checks its invariants. The
// error has kind Internal.
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
	if refsDigest(m.Sections) != m.Digest {
		return Manifest{}, fault.New(fault.Internal, "decode %s: the digest does not match", HeadKey)
	}
	return m, nil
}
