package claim

import (
	"context"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// RecordPeers calls other members to store copies of records.
type RecordPeers interface {
	HoldRecord(ctx context.Context, to *peerv1.Vm, in *peerv1.HoldRecordRequest) (*peerv1.HoldRecordResponse, error)
}

// RecordReplicator replicates records to every roster member while the store is
// unavailable. Its fields must be set before use.
type RecordReplicator struct {
	Member *Member
	Peers  RecordPeers
	Meter  *meter.Meter
}

// Hold replicates a record and returns nil once every roster member holds a
// copy. An error of kind StoreUnavailable means that no member has a copy, and
// one of kind ClaimUnresolved that some members may have one.
func (h *RecordReplicator) Hold(ctx context.Context, rec *peerv1.HeldRecord) error {
	v := h.Member.View()
	if !v.Listed || !v.Current {
		return fault.New(fault.StoreUnavailable, "the current roster is unknown and the store cannot be read")
	}
	for i, vm := range v.Members {
		err := h.replicateTo(ctx, vm, v.Version, rec)
		if err != nil && i > 0 {
			return fault.Wrap(fault.ClaimUnresolved, err, "%d members already have a copy of the record", i)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *RecordReplicator) replicateTo(ctx context.Context, vm *peerv1.Vm, version uint64, rec *peerv1.HeldRecord) error {
	in := &peerv1.HoldRecordRequest{
		From: h.Member.Self, RosterVersion: version, Record: rec, ToIncarnation: vm.GetIncarnation(),
	}
	if vm.GetIncarnation() == h.Member.Self.GetIncarnation() {
		if !h.Member.HoldRecord(in) {
			return fault.New(fault.StoreUnavailable, "this VM cannot store a copy of the record")
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	h.Meter.Inc("record_message")
	resp, err := h.Peers.HoldRecord(ctx, vm, in)
	if err != nil {
		return fault.Wrap(fault.ClaimUnresolved, err, "VM %s may have stored a copy of the record", vm.GetVmId())
	}
	if !resp.GetHeld() {
		return fault.New(fault.StoreUnavailable, "VM %s refused to store a copy of the record: %s", vm.GetVmId(), resp.GetReason())
	}
	return nil
}

// Held returns the record copies in this VM's memory whose keys begin with
// prefix.
func (h *RecordReplicator) Held(prefix string) []*peerv1.HeldRecord {
	return h.Member.RecordCopies(prefix)
}

// Flushed removes the copy of a record unless the copy's sequence number is higher
// than sequence, up to which the store has the record.
func (h *RecordReplicator) Flushed(key string, sequence uint64) { h.Member.DropRecord(key, sequence) }
