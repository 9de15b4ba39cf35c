package job

import (
	"context"
	"encoding/json"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Keeper keeps sequenced records: in the store, or with every roster member
// while the store is down.
type Keeper interface {
	// Save returns nil once the record, or one of a higher sequence, is kept.
	Save(ctx context.Context, rec *peerv1.HeldRecord) error
	// Load returns all kept records whose keys begin with prefix; with an
	// error, those of them that it could read.
	Load(ctx context.Context, prefix string) ([]*peerv1.HeldRecord, error)
}

// Records keeps job records.
type Records struct {
	Keeper Keeper
}

// Save keeps a job's record.
func (s *Records) Save(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode job")
	}
	return s.Keeper.Save(ctx, &peerv1.HeldRecord{Key: StoreKey(r.DataCentre, r.ID), Value: value, Sequence: r.Sequence})
}

// Load returns all records of a data centre. While the store is down it returns
// those that this VM holds, with an error.
func (s *Records) Load(ctx context.Context, dataCentre string) ([]Record, error) {
	kept, loadErr := s.Keeper.Load(ctx, StoreKey(dataCentre, ""))
	all := make([]Record, len(kept))
	for i, rec := range kept {
		if err := json.Unmarshal(rec.GetValue(), &all[i]); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "decode %s", rec.GetKey())
		}
	}
	return all, loadErr
}

// deleter is a keeper that can forget records.
type deleter interface {
	// Delete forgets the record of a key.
	Delete(ctx context.Context, key string) error
}

// Delete forgets a job's record where the keeper can do so.
func (s *Records) Delete(ctx context.Context, r Record) error {
	d, ok := s.Keeper.(deleter)
	if !ok {
		return nil
	}
	return d.Delete(ctx, StoreKey(r.DataCentre, r.ID))
}
