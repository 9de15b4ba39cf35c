package claim

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// HoldRecord keeps a store record in memory until Flushed, unless a later one
// is kept. It reports false for a round of an older roster version and when
// the memory for records is full.
func (m *Member) HoldRecord(in *peerv1.HoldRecordRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.GetToIncarnation() != m.Self.GetIncarnation() {
		return false
	}
	if in.GetRosterVersion() < m.version && !m.off.noVersion {
		return false
	}
	return m.holdRecord(in.GetRecord())
}

// maxHeldRecords bounds the records kept while the store is down.
const maxHeldRecords = 20_000

func (m *Member) holdRecord(rec *peerv1.HeldRecord) bool {
	if m.records == nil {
		m.records = make(map[string]*peerv1.HeldRecord)
	}
	kept, ok := m.records[rec.GetKey()]
	if !ok && len(m.records) >= maxHeldRecords {
		return false
	}
	if kept.GetSequence() < rec.GetSequence() {
		m.records[rec.GetKey()] = proto.CloneOf(rec)
	}
	return true
}

// TakeRecords holds records that were handed over.
func (m *Member) TakeRecords(records []*peerv1.HeldRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range records {
		m.holdRecord(rec)
	}
}

// HeldRecords returns the held records whose keys begin with prefix.
func (m *Member) HeldRecords(prefix string) []*peerv1.HeldRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*peerv1.HeldRecord
	for key, rec := range m.records {
		if strings.HasPrefix(key, prefix) {
			all = append(all, proto.CloneOf(rec))
		}
	}
	return all
}

// heldRecords returns all held records. m.mu is held.
func (m *Member) heldRecords() []*peerv1.HeldRecord {
	all := make([]*peerv1.HeldRecord, 0, len(m.records))
	for _, rec := range m.records {
		all = append(all, rec)
	}
	return all
}

// Flushed forgets a record that the store holds up to a sequence.
func (m *Member) Flushed(key string, sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rec, ok := m.records[key]; ok && rec.GetSequence() <= sequence {
		delete(m.records, key)
	}
}
