package vm

import (
	"context"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1/nodev1connect"
)

// RemotePlanner returns a client of the planner at another VM.
func (p *Peers) RemotePlanner(ip string) Planner { return &remotePlanner{p.client(ip)} }

// remotePlanner is a client of the planner at another VM.
type remotePlanner struct {
	client nodev1connect.NodeServiceClient
}

// Submit implements Planner.
func (r *remotePlanner) Submit(ctx context.Context, id string, record []byte) error {
	_, err := r.client.SubmitJob(ctx, &nodev1.SubmitJobRequest{Id: id, Record: record})
	return err
}

// Cancel implements Planner.
func (r *remotePlanner) Cancel(ctx context.Context, id string) error {
	_, err := r.client.CancelJob(ctx, &nodev1.CancelJobRequest{Id: id})
	return err
}

// State implements Planner.
func (r *remotePlanner) State(ctx context.Context, id string) (model.JobState, bool, error) {
	resp, err := r.client.JobState(ctx, &nodev1.JobStateRequest{Id: id})
	if err != nil {
		return "", false, err
	}
	return model.JobState(resp.GetState()), resp.GetKnown(), nil
}

// Summary implements Planner.
func (r *remotePlanner) Summary(ctx context.Context) (model.PlannerSummary, error) {
	resp, err := r.client.Digest(ctx, &nodev1.DigestRequest{})
	if err != nil {
		return model.PlannerSummary{}, err
	}
	summary := model.PlannerSummary{
		Pending: resp.GetPending(), JobMemory: resp.GetJobMemory(), MaxJobMemory: resp.GetMaxJobMemory(), AccountMemory: resp.GetAccountMemory(),
	}
	for _, class := range resp.GetRooms() {
		summary.WorkerClasses = append(summary.WorkerClasses, model.WorkerClass{
			Service:  class.GetService(),
			Capacity: model.Shape{MilliCPU: class.GetMilliCpu(), MemoryMB: class.GetMemoryMb(), Accelerators: class.GetAccelerators()},
		})
	}
	return summary, nil
}
