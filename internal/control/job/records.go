package job

import (
	"context"
	"encoding/json"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// RecordStore persists sequenced records: in the store, or at every roster member while
// the store is unavailable.
type RecordStore interface {
	// Save returns nil once the record, or one with a higher sequence number, is
	// persisted.
	Save(ctx context.Context, rec *peerv1.HeldRecord) error
	// Load returns all persisted records whose keys begin with prefix. When it
	// also returns an error, the records are those that could be read.
	Load(ctx context.Context, prefix string) ([]*peerv1.HeldRecord, error)
}

// Records persists job records.
type Records struct {
	Store RecordStore
}

// Save persists the record of a job.
func (s *Records) Save(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode job")
	}
	return s.Store.Save(ctx, &peerv1.HeldRecord{Key: StoreKey(r.DataCentre, r.ID), Value: value, Sequence: r.Sequence})
}

// Load returns the records of all jobs of a data centre. While the store is
// unavailable it returns the records that this VM has a copy of, and an error.
func (s *Records) Load(ctx context.Context, dataCentre string) ([]Record, error) {
	loaded, loadErr := s.Store.Load(ctx, StoreKey(dataCentre, ""))
	all := make([]Record, len(loaded))
	for i, rec := range loaded {
		if err := json.Unmarshal(rec.GetValue(), &all[i]); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "decode %s", rec.GetKey())
		}
	}
	return all, loadErr
}

// deleter is implemented by record stores that can delete records.
type deleter interface {
	// Delete deletes the record stored under key.
	Delete(ctx context.Context, key string) error
}

// Delete deletes the record of a job. It does nothing when the underlying store
// cannot delete records.
func (s *Records) Delete(ctx context.Context, r Record) error {
	d, ok := s.Store.(deleter)
	if !ok {
		return nil
	}
	return d.Delete(ctx, StoreKey(r.DataCentre, r.ID))
}
