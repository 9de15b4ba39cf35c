package record_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/record"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
)

// memoryKV is an in-memory store that can be made unavailable.
type memoryKV struct {
	down    bool
	entries map[string]store.Entry
	rev     uint64
}

func (s *memoryKV) Get(_ context.Context, key string) (store.Entry, bool, error) {
	if s.down {
		return store.Entry{}, false, fault.New(fault.StoreUnavailable, "down")
	}
	e, ok := s.entries[key]
	return e, ok, nil
}

func (s *memoryKV) List(context.Context, string) ([]store.Entry, uint64, error) {
	if s.down {
		return nil, 0, fault.New(fault.StoreUnavailable, "down")
	}
	var all []store.Entry
	for _, e := range s.entries {
		all = append(all, e)
	}
	return all, s.rev, nil
}

func (s *memoryKV) Put(_ context.Context, key string, value []byte, after uint64) (uint64, error) {
	if s.down {
		return 0, fault.New(fault.StoreUnavailable, "down")
	}
	if s.entries[key].Revision != after {
		return 0, fault.New(fault.Conflict, "another revision")
	}
	s.rev++
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.rev}
	return s.rev, nil
}

func (s *memoryKV) Delete(_ context.Context, key string, _ uint64) error {
	delete(s.entries, key)
	return nil
}

// unresponsivePeers is a peer client whose calls time out, although the member
// may have stored the record.
type unresponsivePeers struct{}

func (unresponsivePeers) HoldRecord(context.Context, *peerv1.Vm, *peerv1.HoldRecordRequest) (*peerv1.HoldRecordResponse, error) {
	return nil, context.DeadlineExceeded
}

// A member that did not answer may have stored the record and may write it to
// the store later. The error must then not say that the record is not stored.
func TestRecordHeldBySomeMembersIsUnresolved(t *testing.T) {
	is := is.New(t)
	self := &peerv1.Vm{VmId: "a", Incarnation: "a#1"}
	m := &claim.Member{Self: self}
	m.Adopt(&peerv1.Roster{Version: 2, Members: []*peerv1.Vm{self, {VmId: "b", Incarnation: "b#1"}}})
	s := &memoryKV{entries: make(map[string]store.Entry), down: true}
	k := &record.FallbackStore{
		Store: &record.Records{KV: s}, Holder: &claim.RecordReplicator{Member: m, Peers: unresponsivePeers{}, Meter: &meter.Meter{}}, Meter: &meter.Meter{},
	}
	err := k.Save(context.Background(), &peerv1.HeldRecord{Key: "jobs/x", Sequence: 1})
	is.Equal(fault.KindOf(err), fault.ClaimUnresolved)
}

// unansweredKV loses the answer to the first write and refuses later ones.
type unansweredKV struct {
	memoryKV
	puts int
}

func (s *unansweredKV) Put(context.Context, string, []byte, uint64) (uint64, error) {
	s.puts++
	if s.puts == 1 {
		return 0, fault.New(fault.ClaimUnresolved, "no answer")
	}
	return 0, fault.New(fault.StoreUnavailable, "down")
}

func TestUnansweredWriteStaysUnresolved(t *testing.T) {
	is := is.New(t)
	r := &record.Records{KV: &unansweredKV{}}
	err := r.Save(context.Background(), &peerv1.HeldRecord{Key: "jobs/x", Sequence: 1})
	is.Equal(fault.KindOf(err), fault.ClaimUnresolved)
}

func TestRecordIsHeldAndFlushed(t *testing.T) {
	is := is.New(t)
	self := &peerv1.Vm{VmId: "a", Incarnation: "a#1"}
	m := &claim.Member{Self: self}
	s := &memoryKV{entries: make(map[string]store.Entry), down: true}
	k := &record.FallbackStore{Store: &record.Records{KV: s}, Holder: &claim.RecordReplicator{Member: m, Meter: &meter.Meter{}}, Meter: &meter.Meter{}}
	rec := func(n uint64) *peerv1.HeldRecord {
		return &peerv1.HeldRecord{Key: "jobs/x", Value: []byte("v"), Sequence: n}
	}
	ctx := context.Background()
	is.True(k.Save(ctx, rec(1)) != nil) // without a roster no member can store the record
	m.Adopt(&peerv1.Roster{Version: 2, Members: []*peerv1.Vm{self}})
	is.NoErr(k.Save(ctx, rec(2)))
	held, err := k.Load(ctx, "jobs/")
	is.True(err != nil) // the store's records are missing
	is.Equal(len(held), 1)
	is.True(!k.Flush(ctx))
	s.down = false
	is.True(k.Flush(ctx))
	is.Equal(len(m.RecordCopies("")), 0)
	stored, err := k.Load(ctx, "jobs/")
	is.NoErr(err)
	is.Equal(stored[0].GetSequence(), uint64(2))
}
