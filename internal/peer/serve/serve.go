// Package serve implements the peer service, which handles the calls of other
// daemons.
package serve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/claim"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/forward"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/gossip"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/roster"
)

// Service implements the peer service. Its fields must be set before use.
type Service struct {
	peerv1connect.UnimplementedPeerServiceHandler

	Gossip     *gossip.Table
	Member     *claim.Member
	Roster     *roster.Manager
	Forward    *forward.Router
	Planner    job.Planner
	JobService *job.Service
	Config     Configuration
	// Targets returns the platform's list as this VM last read it, or nil when
	// it has not read one.
	Targets func() []byte
}

// Heartbeat handles a peer's heartbeat and returns this VM's own.
func (s *Service) Heartbeat(_ context.Context, hb *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	s.Gossip.Receive(hb)
	return &peerv1.HeartbeatResponse{State: s.Gossip.Heartbeat(hb.GetFrom())}, nil
}

// ListTargets returns the platform's list as this VM last read it.
func (s *Service) ListTargets(context.Context, *peerv1.ListTargetsRequest) (*peerv1.ListTargetsResponse, error) {
	return &peerv1.ListTargetsResponse{List: s.Targets()}, nil
}

// SubmitJob submits a job to the planner on this VM.
func (s *Service) SubmitJob(ctx context.Context, in *peerv1.SubmitJobRequest) (*peerv1.SubmitJobResponse, error) {
	var r job.Record
	if err := json.Unmarshal(in.GetJob(), &r); err != nil {
		return &peerv1.SubmitJobResponse{Kind: string(fault.BadRequest), Message: err.Error()}, nil
	}
	if err := s.Planner.Submit(ctx, r); err != nil {
		return &peerv1.SubmitJobResponse{Kind: string(fault.KindOf(err)), Message: err.Error()}, nil
	}
	return &peerv1.SubmitJobResponse{Accepted: true, Kind: string(fault.OK)}, nil
}

// ListJobs returns the jobs of the planner on this VM.
func (s *Service) ListJobs(_ context.Context, in *peerv1.ListJobsRequest) (*peerv1.ListJobsResponse, error) {
	resp := &peerv1.ListJobsResponse{}
	views, err := s.JobService.Views(in.GetJobId(), in.GetExplain())
	if err != nil {
		return nil, err
	}
	for _, v := range views {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		resp.Jobs = append(resp.Jobs, b)
	}
	return resp, nil
}

// CancelJob cancels a job of the planner on this VM.
func (s *Service) CancelJob(ctx context.Context, in *peerv1.CancelJobRequest) (*peerv1.CancelJobResponse, error) {
	err := s.Planner.Cancel(ctx, in.GetJobId())
	resp := &peerv1.CancelJobResponse{Kind: string(fault.KindOf(err))}
	if err != nil {
		resp.Message = err.Error()
	}
	return resp, nil
}

// Claim stores a copy of another member's claim.
func (s *Service) Claim(_ context.Context, in *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return s.Member.Grant(in, time.Now()), nil
}

// QueryClaim returns the state that this VM has for a key.
func (s *Service) QueryClaim(_ context.Context, in *peerv1.QueryClaimRequest) (*peerv1.QueryClaimResponse, error) {
	return s.Member.AnswerQuery(in), nil
}

// Join handles the request of a joiner for acknowledgement.
func (s *Service) Join(_ context.Context, in *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	return s.Roster.Acknowledge(in), nil
}

// Leave stores the claims and records that a leaving member hands over.
func (s *Service) Leave(_ context.Context, in *peerv1.LeaveRequest) (*peerv1.LeaveResponse, error) {
	s.Roster.HandleLeave(in)
	return &peerv1.LeaveResponse{}, nil
}

// HoldRecord stores the copy of a record until the store holds the record.
func (s *Service) HoldRecord(_ context.Context, in *peerv1.HoldRecordRequest) (*peerv1.HoldRecordResponse, error) {
	return &peerv1.HoldRecordResponse{Held: s.Member.HoldRecord(in)}, nil
}

// ForwardRequest serves a request that another VM received and forwarded.
func (s *Service) ForwardRequest(ctx context.Context, in *peerv1.ForwardRequestRequest) (*peerv1.ForwardRequestResponse, error) {
	return s.Forward.Serve(ctx, in), nil
}
