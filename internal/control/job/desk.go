package job

import (
	"context"
	"encoding/json"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// Planner is the planner at this VM.
type Planner interface {
	Submit(ctx context.Context, r Record) error
	Fits(r Record) error
	Jobs(id string) []Record
	Explain(id string) (gang.Explanation, bool)
	Cancel(ctx context.Context, id string) error
}

// Peers finds the planner among the VMs.
type Peers interface {
	Planner(dataCentre string) *peerv1.Vm
	Client(address string) peerv1connect.PeerServiceClient
}

// View is a job as it is shown, with the planner's reasons.
type View struct {
	Record
	Explanation *gang.Explanation `json:"explanation,omitempty"`
}

// Desk takes jobs at any VM and hands them to the data centre's planner.
type Desk struct {
	Self    *peerv1.Vm
	Planner Planner
	Peers   Peers
	Records interface {
		Save(ctx context.Context, r Record) error
	}
	Meter *meter.Meter
}

// Submit keeps the record of a job and hands it to the planner. When it returns
// nil the job is admitted.
func (d *Desk) Submit(ctx context.Context, r Record) error {
	if err := d.Planner.Fits(r); err != nil {
		return err
	}
	if err := d.Records.Save(ctx, r); err != nil {
		return err
	}
	d.Meter.Inc("job_admitted")
	vm, self := d.planner(r.DataCentre)
	if self {
		return d.Planner.Submit(ctx, r)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode job")
	}
	if vm == nil {
		return nil
	}
	// The record is kept: a planner that misses this call loads it later.
	if _, err := d.Peers.Client(vm.GetPeerAddress()).SubmitJob(ctx, &peerv1.SubmitJobRequest{Job: b}); err != nil {
		d.Meter.Inc("job_hand_over_lost")
	}
	return nil
}

func (d *Desk) planner(dataCentre string) (vm *peerv1.Vm, self bool) {
	vm = d.Peers.Planner(dataCentre)
	return vm, vm != nil && vm.GetVmId() == d.Self.GetVmId()
}

// List returns the jobs of this data centre, or the one of an id.
func (d *Desk) List(ctx context.Context, id string, explain bool) ([]View, error) {
	vm, self := d.planner(d.Self.GetDataCentre())
	if vm == nil {
		return nil, fault.New(fault.NotReady, "no planner is known")
	}
	if self {
		return d.LocalViews(id, explain), nil
	}
	resp, err := d.Peers.Client(vm.GetPeerAddress()).ListJobs(ctx, &peerv1.ListJobsRequest{JobId: id, Explain: explain})
	if err != nil {
		return nil, fault.Wrap(fault.NotReady, err, "planner %s", vm.GetVmId())
	}
	views := make([]View, len(resp.GetJobs()))
	for i, b := range resp.GetJobs() {
		if err := json.Unmarshal(b, &views[i]); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "decode job")
		}
	}
	return views, nil
}

// LocalViews returns the views of the planner at this VM.
func (d *Desk) LocalViews(id string, explain bool) []View {
	records := d.Planner.Jobs(id)
	views := make([]View, len(records))
	for i, r := range records {
		views[i].Record = r
		if !explain {
			continue
		}
		if x, ok := d.Planner.Explain(r.ID); ok {
			views[i].Explanation = &x
		}
	}
	return views
}

// Cancel cancels a job.
func (d *Desk) Cancel(ctx context.Context, id string) error {
	vm, self := d.planner(d.Self.GetDataCentre())
	if vm == nil {
		return fault.New(fault.NotReady, "no planner is known")
	}
	if self {
		return d.Planner.Cancel(ctx, id)
	}
	resp, err := d.Peers.Client(vm.GetPeerAddress()).CancelJob(ctx, &peerv1.CancelJobRequest{JobId: id})
	if err != nil {
		return fault.Wrap(fault.AnswerLost, err, "planner %s", vm.GetVmId())
	}
	if kind := fault.Kind(resp.GetKind()); kind != fault.OK {
		return fault.New(kind, "%s", resp.GetMessage())
	}
	return nil
}
