package job

import (
	"context"
	"encoding/json"
	"time"

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
	// Complete reports whether the planner knows all admitted jobs.
	Complete() bool
	// Decisions returns the last decisions about a job, oldest first.
	Decisions(id string) []Decision
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
	// Decisions are the last decisions, oldest first.
	Decisions []Decision `json:"decisions,omitempty"`
}

// Service takes jobs at any VM and hands them to the data centre's planner.
type Service struct {
	Self    *peerv1.Vm
	Planner Planner
	Peers   Peers
	Records interface {
		Save(ctx context.Context, r Record) error
	}
	Meter *meter.Meter

	pending pending
	shapes  shapes
}

// Submit keeps the record of a job and hands it to the planner. When it returns
// nil the job is admitted: a planner that misses the hand-over gets it again.
// An error of kind ClaimUnresolved means that the record may be kept; the job
// can then be found by its id.
func (d *Service) Submit(ctx context.Context, r Record) error {
	if err := d.fits(r); err != nil {
		return err
	}
	if r.Keyed() {
		known, err := d.known(ctx, r)
		if known || err != nil {
			return err
		}
	}
	if err := d.pending.add(r); err != nil {
		return err
	}
	if err := d.Records.Save(ctx, r); err != nil {
		return d.notKept(r, err)
	}
	d.pending.keep(r.ID)
	d.Meter.Inc("job_admitted")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	d.handOver(ctx, r)
	return nil
}

// known reports whether the keyed submission was taken before. The error is of kind
// KeyReused when its id belongs to another request.
func (d *Service) known(ctx context.Context, r Record) (bool, error) {
	views, err := d.List(ctx, r.ID, false)
	if err != nil || len(views) == 0 {
		return false, nil
	}
	if !views[0].SameRequest(&r) {
		return false, fault.WithField(fault.KeyReused, "Idempotency-Key", "was used for another job")
	}
	s, waits := d.pending.get(r.ID)
	return !waits || s.kept, nil
}

// notKept answers a submission whose record could not be kept for sure.
func (d *Service) notKept(r Record, err error) error {
	switch fault.KindOf(err) {
	case fault.ClaimUnresolved, fault.AnswerLost, fault.BadAnswer, fault.Internal:
		d.Meter.Inc("job_record_ambiguous")
		return fault.Wrap(fault.ClaimUnresolved, err, "job %s may have been admitted", r.ID)
	}
	if s, waits := d.pending.get(r.ID); waits && !s.kept {
		d.pending.remove(r.ID)
	}
	return err
}

// handOverTimeout bounds one hand-over.
const handOverTimeout = 2 * time.Second

// handOver gives a kept job to the planner and, once acknowledged, forgets it.
func (d *Service) handOver(ctx context.Context, r Record) {
	vm, self := d.planner(r.DataCentre)
	if vm == nil {
		return
	}
	err := d.callPlanner(ctx, vm, self, r)
	if err != nil {
		d.Meter.Inc("job_hand_over_lost")
		return
	}
	d.pending.remove(r.ID)
}

func (d *Service) callPlanner(ctx context.Context, vm *peerv1.Vm, self bool, r Record) error {
	if self {
		return d.Planner.Submit(ctx, r)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode job")
	}
	resp, err := d.Peers.Client(vm.GetPeerAddress()).SubmitJob(ctx, &peerv1.SubmitJobRequest{Job: b})
	if err != nil {
		return fault.Wrap(fault.AnswerLost, err, "planner %s", vm.GetVmId())
	}
	if !resp.GetAccepted() {
		return fault.New(fault.Kind(resp.GetKind()), "%s", resp.GetMessage())
	}
	return nil
}

func (d *Service) planner(dataCentre string) (vm *peerv1.Vm, self bool) {
	vm = d.Peers.Planner(dataCentre)
	return vm, vm != nil && vm.GetVmId() == d.Self.GetVmId()
}

// List returns the jobs of this data centre, or the one of an id.
func (d *Service) List(ctx context.Context, id string, explain bool) ([]View, error) {
	views, err := d.plannerViews(ctx, id, explain)
	if id == "" || len(views) > 0 {
		return views, err
	}
	if s, ok := d.pending.get(id); ok {
		s.record.Reason = "waits to be handed to the planner"
		return []View{{Record: s.record}}, nil
	}
	return views, err
}

func (d *Service) plannerViews(ctx context.Context, id string, explain bool) ([]View, error) {
	vm, self := d.planner(d.Self.GetDataCentre())
	if vm == nil {
		return nil, fault.New(fault.NotReady, "no planner is known")
	}
	if self {
		return d.Views(id, explain)
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

// Views returns the views of the planner at this VM. The error is of kind
// NotReady when the job of an id is not known, but may exist.
func (d *Service) Views(id string, explain bool) ([]View, error) {
	views := d.LocalViews(id, explain)
	if id != "" && len(views) == 0 && !d.Planner.Complete() {
		return nil, fault.New(fault.NotReady, "the planner has not read all jobs yet")
	}
	return views, nil
}

// LocalViews returns the views of the planner at this VM.
func (d *Service) LocalViews(id string, explain bool) []View {
	records := d.Planner.Jobs(id)
	views := make([]View, len(records))
	for i, r := range records {
		views[i].Record = r
		if !explain {
			continue
		}
		views[i].Decisions = d.Planner.Decisions(r.ID)
		if x, ok := d.Planner.Explain(r.ID); ok {
			views[i].Explanation = &x
		}
	}
	return views
}

// Cancel cancels a job. Cancelling a job again, or one that has ended, does
// nothing.
func (d *Service) Cancel(ctx context.Context, id string) error {
	if s, ok := d.pending.get(id); ok {
		d.resend(ctx, s)
	}
	err := d.cancelAtPlanner(ctx, id)
	if _, waits := d.pending.get(id); waits && fault.Is(err, fault.NotFound) {
		return fault.New(fault.NotReady, "job %s waits to be handed to the planner", id)
	}
	return err
}

func (d *Service) cancelAtPlanner(ctx context.Context, id string) error {
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
