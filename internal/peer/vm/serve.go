package vm

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1"
)

// Planner is the planner of this process, or a client of that at another VM. Its
// errors mean that the planner could not be reached.
type Planner interface {
	Submit(ctx context.Context, id string, record []byte) error
	Cancel(ctx context.Context, id string) error
	State(ctx context.Context, id string) (s model.JobState, known bool, err error)
	Summary(ctx context.Context) (model.PlannerSummary, error)
}

// Service serves the calls of the other daemons. Its fields are set before use.
type Service struct {
	Planner Planner
	// Direct calls the store without a relay, so that a relayed call is not relayed
	// again.
	Direct path.Access
	// Holder returns the holder of the planner lock, and the age of that reading.
	Holder func() (lock.Holder, time.Duration)
}

// relayTimeout bounds the store call made for a peer, besides the transfer of a change.
const relayTimeout = 1200 * time.Millisecond

// plannerError is the response to a call for the planner at a VM whose planner is
// not active.
func plannerError(err error) error { return connect.NewError(connect.CodeFailedPrecondition, err) }

// notCalledHeader is set on the error of a relayed read that was not sent to the store.
const notCalledHeader = "Store-Not-Called"

// storeError is the response to a relayed read that the store did not carry out.
func storeError(err error) error {
	response := connect.NewError(connect.CodeResourceExhausted, err)
	if errors.Is(err, path.ErrNotCalled) {
		response.Meta().Set(notCalledHeader, "true")
	}
	return response
}

// SubmitJob implements NodeService.
func (s *Service) SubmitJob(ctx context.Context, r *nodev1.SubmitJobRequest) (*nodev1.SubmitJobResponse, error) {
	if err := s.Planner.Submit(ctx, r.GetId(), r.GetRecord()); err != nil {
		return nil, plannerError(err)
	}
	return &nodev1.SubmitJobResponse{}, nil
}

// CancelJob implements NodeService.
func (s *Service) CancelJob(ctx context.Context, r *nodev1.CancelJobRequest) (*nodev1.CancelJobResponse, error) {
	if err := s.Planner.Cancel(ctx, r.GetId()); err != nil {
		return nil, plannerError(err)
	}
	return &nodev1.CancelJobResponse{}, nil
}

// JobState implements NodeService.
func (s *Service) JobState(ctx context.Context, r *nodev1.JobStateRequest) (*nodev1.JobStateResponse, error) {
	state, known, err := s.Planner.State(ctx, r.GetId())
	if err != nil {
		return nil, plannerError(err)
	}
	return &nodev1.JobStateResponse{Known: known, State: string(state)}, nil
}

// Digest implements NodeService.
func (s *Service) Digest(ctx context.Context, _ *nodev1.DigestRequest) (*nodev1.DigestResponse, error) {
	summary, err := s.Planner.Summary(ctx)
	if err != nil {
		return nil, plannerError(err)
	}
	resp := &nodev1.DigestResponse{
		Pending: summary.Pending, JobMemory: summary.JobMemory, MaxJobMemory: summary.MaxJobMemory, AccountMemory: summary.AccountMemory,
	}
	for _, class := range summary.WorkerClasses {
		resp.Rooms = append(resp.Rooms, &nodev1.ServiceRoom{
			Service: class.Service, MilliCpu: class.Capacity.MilliCPU, MemoryMb: class.Capacity.MemoryMB,
			Accelerators: class.Capacity.Accelerators,
		})
	}
	return resp, nil
}

// Lead implements NodeService.
func (s *Service) Lead(context.Context, *nodev1.LeadRequest) (*nodev1.LeadResponse, error) {
	h, _ := s.Holder()
	return &nodev1.LeadResponse{VmId: h.VMID, Ip: h.IP, Revision: h.Revision}, nil
}

// RelayGet implements NodeService.
func (s *Service) RelayGet(ctx context.Context, r *nodev1.RelayGetRequest) (*nodev1.RelayGetResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	it, found, err := s.Direct.Get(ctx, r.GetKey())
	if err != nil {
		return nil, storeError(err)
	}
	return &nodev1.RelayGetResponse{Found: found, Item: toItem(it)}, nil
}

// RelayRange implements NodeService.
func (s *Service) RelayRange(ctx context.Context, r *nodev1.RelayRangeRequest) (*nodev1.RelayRangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	all, at, err := s.Direct.Changes(ctx, r.GetPrefix(), r.GetAfter())
	if err != nil {
		return nil, storeError(err)
	}
	all = slices.DeleteFunc(all, func(it store.Item) bool { return it.Deleted })
	return &nodev1.RelayRangeResponse{Items: toItems(all), At: at}, nil
}

// RelayApply implements NodeService.
func (s *Service) RelayApply(ctx context.Context, r *nodev1.RelayApplyRequest) (*nodev1.RelayApplyResponse, error) {
	t := store.Txn{Removes: r.GetRemoves()}
	for _, c := range r.GetConditions() {
		t.Conditions = append(t.Conditions, store.Condition{Key: c.GetKey(), Revision: c.GetRevision()})
	}
	for _, p := range r.GetPuts() {
		t.Puts = append(t.Puts, store.Put{Key: p.GetKey(), Value: p.GetValue()})
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+t.TransferTime())
	defer cancel()
	revision, current, err := s.Direct.Apply(ctx, t)
	switch {
	case err == nil:
		return &nodev1.RelayApplyResponse{Revision: revision}, nil
	case fault.Is(err, fault.Conflict):
		return &nodev1.RelayApplyResponse{Conflict: true, Current: toItems(current)}, nil
	case fault.Is(err, fault.StoreUnavailable):
		return &nodev1.RelayApplyResponse{Unavailable: true, NotCalled: errors.Is(err, path.ErrNotCalled)}, nil
	}
	return nil, connect.NewError(connect.CodeUnknown, err)
}
