// Package serve answers the calls of other daemons.
package serve

import (
	"context"
	"encoding/json"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/gossip"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// Service implements the peer service. Its fields are set before use.
type Service struct {
	peerv1connect.UnimplementedPeerServiceHandler

	Gossip  *gossip.Table
	Planner job.Planner
	Desk    *job.Desk
	Config  Configuration
}

// Heartbeat takes a peer's heartbeat and answers with this VM's own.
func (s *Service) Heartbeat(_ context.Context, hb *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	s.Gossip.Receive(hb)
	return &peerv1.HeartbeatResponse{State: s.Gossip.Heartbeat(hb.GetFrom())}, nil
}

// SubmitJob hands a job to the planner at this VM.
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

// ListJobs returns the jobs of the planner at this VM.
func (s *Service) ListJobs(_ context.Context, in *peerv1.ListJobsRequest) (*peerv1.ListJobsResponse, error) {
	resp := &peerv1.ListJobsResponse{}
	for _, v := range s.Desk.LocalViews(in.GetJobId(), in.GetExplain()) {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		resp.Jobs = append(resp.Jobs, b)
	}
	return resp, nil
}

// CancelJob cancels a job of the planner at this VM.
func (s *Service) CancelJob(ctx context.Context, in *peerv1.CancelJobRequest) (*peerv1.CancelJobResponse, error) {
	err := s.Planner.Cancel(ctx, in.GetJobId())
	resp := &peerv1.CancelJobResponse{Kind: string(fault.KindOf(err))}
	if err != nil {
		resp.Message = err.Error()
	}
	return resp, nil
}
