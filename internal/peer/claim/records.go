package claim

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// HoldRecord stores a copy of a record in memory until the store has the record.
// Of two copies, the one with the higher sequence number is retained. It returns
// false when the call is meant for another incarnation or has an outdated roster
// version, and when this member already has the maximum number of copies.
func (m *Member) HoldRecord(in *peerv1.HoldRecordRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.GetToIncarnation() != m.Self.GetIncarnation() {
		return false
	}
	if in.GetRosterVersion() < m.version && !m.disabled.noVersion {
		return false
	}
	return m.storeRecord(in.GetRecord())
}

// maxRecordCopies bounds the number of record copies in memory.
const maxRecordCopies = 20_000

func (m *Member) storeRecord(rec *peerv1.HeldRecord) bool {
	if m.recordCopies == nil {
		m.recordCopies = make(map[string]*peerv1.HeldRecord)
	}
	stored, ok := m.recordCopies[rec.GetKey()]
	if !ok && len(m.recordCopies) >= maxRecordCopies {
		return false
	}
	if stored.GetSequence() < rec.GetSequence() {
		m.recordCopies[rec.GetKey()] = proto.CloneOf(rec)
	}
	return true
}

// StoreRecords stores record copies that another member handed over.
func (m *Member) StoreRecords(records []*peerv1.HeldRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range records {
		m.storeRecord(rec)
	}
}

// RecordCopies returns the record copies whose keys begin with prefix.
func (m *Member) RecordCopies(prefix string) []*peerv1.HeldRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*peerv1.HeldRecord
	for key, rec := range m.recordCopies {
		if strings.HasPrefix(key, prefix) {
			all = append(all, proto.CloneOf(rec))
		}
	}
	return all
}

// allRecords returns all record copies. The caller must hold m.mu.
func (m *Member) allRecords() []*peerv1.HeldRecord {
	all := make([]*peerv1.HeldRecord, 0, len(m.recordCopies))
	for _, rec := range m.recordCopies {
		all = append(all, rec)
	}
	return all
}

// DropRecord removes the copy of a record unless the copy's sequence number is higher
// than sequence, up to which the store has the record.
func (m *Member) DropRecord(key string, sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rec, ok := m.recordCopies[key]; ok && rec.GetSequence() <= sequence {
		delete(m.recordCopies, key)
	}
}
