// Package record keeps sequenced records in the platform's store.
package record

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// KV is the part of the store that records need.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	List(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
}

// Records keeps records in the store. A record never goes back to a lower
// sequence.
type Records struct {
	KV KV

	mu        sync.Mutex
	revisions map[string]uint64
}

// Save keeps a record unless a later one is kept already. It returns nil once
// the record, or a later one, is kept. An error of kind StoreUnavailable means
// that nothing was written.
func (r *Records) Save(ctx context.Context, rec *peerv1.HeldRecord) error {
	value, err := proto.Marshal(rec)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode record")
	}
	rev, err := r.KV.Put(ctx, rec.GetKey(), value, r.revision(rec.GetKey()))
	if err == nil {
		r.setRevision(rec.GetKey(), rev)
		return nil
	}
	if fault.Is(err, fault.StoreUnavailable) {
		return err
	}
	return r.saveAgain(ctx, rec, value, !fault.Is(err, fault.Conflict))
}

// saveAgain resolves a refused or unanswered write by reading the record back.
// After an unanswered one, which may yet take effect, no error says that nothing
// was written.
func (r *Records) saveAgain(ctx context.Context, rec *peerv1.HeldRecord, value []byte, unanswered bool) error {
	e, found, err := r.KV.Get(ctx, rec.GetKey())
	if err != nil {
		return fault.Wrap(fault.ClaimUnresolved, err, "read %s back", rec.GetKey())
	}
	if found {
		var kept peerv1.HeldRecord
		if err := proto.Unmarshal(e.Value, &kept); err != nil {
			return fault.Wrap(fault.Internal, err, "decode %s", rec.GetKey())
		}
		r.setRevision(rec.GetKey(), e.Revision)
		if kept.GetSequence() >= rec.GetSequence() {
			return nil
		}
	}
	rev, err := r.KV.Put(ctx, rec.GetKey(), value, e.Revision)
	if err != nil && unanswered {
		return fault.Wrap(fault.ClaimUnresolved, err, "write %s again", rec.GetKey())
	}
	if err != nil {
		return err
	}
	r.setRevision(rec.GetKey(), rev)
	return nil
}

func (r *Records) revision(key string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revisions[key]
}

func (r *Records) setRevision(key string, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revisions == nil {
		r.revisions = make(map[string]uint64)
	}
	r.revisions[key] = rev
}

// Delete deletes a record. Deleting one that does not exist is no error.
func (r *Records) Delete(ctx context.Context, key string) error {
	e, found, err := r.KV.Get(ctx, key)
	if err != nil || !found {
		return err
	}
	if err := r.KV.Delete(ctx, key, e.Revision); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.revisions, key)
	return nil
}

// Load returns all records whose keys begin with prefix.
func (r *Records) Load(ctx context.Context, prefix string) ([]*peerv1.HeldRecord, error) {
	entries, _, err := r.KV.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	all := make([]*peerv1.HeldRecord, 0, len(entries))
	for _, e := range entries {
		rec := &peerv1.HeldRecord{}
		if err := proto.Unmarshal(e.Value, rec); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "decode %s", e.Key)
		}
		r.setRevision(e.Key, e.Revision)
		all = append(all, rec)
	}
	return all, nil
}
