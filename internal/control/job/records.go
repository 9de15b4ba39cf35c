package job

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// KV is the part of the store that records need.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	List(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
}

// StoreRecords keeps job records in the store.
type StoreRecords struct {
	KV KV

	mu        sync.Mutex
	revisions map[string]uint64
}

// Save writes a record unless the store has a later one. An error of kind
// StoreUnavailable means that nothing was written.
func (s *StoreRecords) Save(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode job")
	}
	key := StoreKey(r.DataCentre, r.ID)
	rev, err := s.KV.Put(ctx, key, value, s.revision(key))
	if err == nil {
		s.setRevision(key, rev)
		return nil
	}
	if fault.Is(err, fault.StoreUnavailable) {
		return err
	}
	return s.saveAgain(ctx, r, key, value)
}

// saveAgain resolves a refused or unanswered write by reading the record back.
func (s *StoreRecords) saveAgain(ctx context.Context, r Record, key string, value []byte) error {
	e, found, err := s.KV.Get(ctx, key)
	if err != nil {
		return err
	}
	if found {
		var kept Record
		if err := json.Unmarshal(e.Value, &kept); err != nil {
			return fault.Wrap(fault.Internal, err, "decode job")
		}
		s.setRevision(key, e.Revision)
		if kept.Sequence >= r.Sequence {
			return nil
		}
	}
	rev, err := s.KV.Put(ctx, key, value, e.Revision)
	if err != nil {
		return err
	}
	s.setRevision(key, rev)
	return nil
}

func (s *StoreRecords) revision(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisions[key]
}

func (s *StoreRecords) setRevision(key string, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revisions == nil {
		s.revisions = make(map[string]uint64)
	}
	s.revisions[key] = rev
}

// Load returns all records of a data centre.
func (s *StoreRecords) Load(ctx context.Context, dataCentre string) ([]Record, error) {
	entries, _, err := s.KV.List(ctx, StoreKey(dataCentre, ""))
	if err != nil {
		return nil, err
	}
	all := make([]Record, 0, len(entries))
	for _, e := range entries {
		var r Record
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "decode %s", e.Key)
		}
		s.setRevision(e.Key, e.Revision)
		all = append(all, r)
	}
	return all, nil
}
