// Package record persists sequenced records in the platform's store.
package record

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// KV is the subset of the store's operations that records need.
type KV interface {
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	List(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
}

// Records persists records in the store. The sequence of a record never
// decreases.
type Records struct {
	KV KV

	mu        sync.Mutex
	revisions map[string]uint64
}

// Save writes a record unless the store already has one with the same key and an
// equal or higher sequence. It returns nil once the store has either. An error
// of kind StoreUnavailable means that nothing was written.
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
	return r.resolveSave(ctx, rec, value, !fault.Is(err, fault.Conflict))
}

// resolveSave resolves a conflicting or unanswered write by reading the record
// back and writing it again if needed. After an unanswered write, which may still
// take effect, it returns no error that means that nothing was written.
func (r *Records) resolveSave(ctx context.Context, rec *peerv1.HeldRecord, value []byte, unanswered bool) error {
	e, found, err := r.KV.Get(ctx, rec.GetKey())
	if err != nil {
		return fault.Wrap(fault.ClaimUnresolved, err, "read back %s", rec.GetKey())
	}
	if found {
		var stored peerv1.HeldRecord
		if err := proto.Unmarshal(e.Value, &stored); err != nil {
			return fault.Wrap(fault.Internal, err, "decode %s", rec.GetKey())
		}
		r.setRevision(rec.GetKey(), e.Revision)
		if stored.GetSequence() >= rec.GetSequence() {
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

// Delete deletes a record. Deleting a record that does not exist is not an error.
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
