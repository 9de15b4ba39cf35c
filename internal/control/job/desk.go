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

// Planner is this VM's planner. It serves jobs while the VM is the planner of its
// data centre, and returns errors of kind NotReady otherwise.
type Planner interface {
	Submit(ctx context.Context, r Record) error
	Fits(r Record) error
	Jobs(id string) []Record
	Explain(id string) (gang.Explanation, bool)
	// AllJobsLoaded reports whether this VM is the planner and has loaded the records
	// of all admitted jobs.
	AllJobsLoaded() bool
	// Decisions returns the last decisions about a job, oldest first.
	Decisions(id string) []Decision
	Cancel(ctx context.Context, id string) error
}

// Peers finds the planner of a data centre and connects to other VMs.
type Peers interface {
	Planner(dataCentre string) *peerv1.Vm
	Client(address string) peerv1connect.PeerServiceClient
}

// View is a job as callers see it: its record and, on request, the planner's
// explanation.
type View struct {
	Record
	Explanation *gang.Explanation `json:"explanation,omitempty"`
	// Decisions are the last decisions about the job, oldest first.
	Decisions []Decision `json:"decisions,omitempty"`
}

// Service accepts jobs at any VM and hands them over to the planner of their data
// centre.
type Service struct {
	Self    *peerv1.Vm
	Planner Planner
	Peers   Peers
	Records interface {
		Save(ctx context.Context, r Record) error
	}
	Meter *meter.Meter

	pendingJobs pendingJobs
	emptyStates emptyStates
}

// Submit persists the record of a job and hands the job over to the planner. When
// it returns nil the job is admitted: a hand-over that the planner did not
// acknowledge is repeated. An error of kind ClaimUnresolved means that the record
// may have been persisted; List then returns the job by its id.
func (s *Service) Submit(ctx context.Context, r Record) error {
	if err := s.fits(r); err != nil {
		return err
	}
	if r.Keyed() {
		submitted, err := s.submitted(ctx, r)
		if submitted || err != nil {
			return err
		}
	}
	if err := s.pendingJobs.add(r); err != nil {
		return err
	}
	if err := s.Records.Save(ctx, r); err != nil {
		return s.saveFailed(r, err)
	}
	s.pendingJobs.markPersisted(r.ID)
	s.Meter.Inc("job_admitted")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	s.handOver(ctx, r)
	return nil
}

// submitted reports whether a keyed submission was admitted before. The
// error is of kind KeyReused when the key was used for a different request.
func (s *Service) submitted(ctx context.Context, r Record) (bool, error) {
	views, err := s.List(ctx, r.ID, false)
	if err != nil || len(views) == 0 {
		return false, nil
	}
	if !views[0].SameRequest(&r) {
		return false, fault.WithField(fault.KeyReused, "Idempotency-Key", "was used for another job")
	}
	sub, isPending := s.pendingJobs.get(r.ID)
	return !isPending || sub.persisted, nil
}

// saveFailed returns the error for a submission whose record was not persisted or
// may not have been. In the second case the submission stays pending, because the
// job may have been admitted.
func (s *Service) saveFailed(r Record, err error) error {
	switch fault.KindOf(err) {
	case fault.ClaimUnresolved, fault.AnswerLost, fault.BadAnswer, fault.Internal:
		s.Meter.Inc("job_record_ambiguous")
		return fault.Wrap(fault.ClaimUnresolved, err, "job %s may have been admitted", r.ID)
	}
	if sub, isPending := s.pendingJobs.get(r.ID); isPending && !sub.persisted {
		s.pendingJobs.remove(r.ID)
	}
	return err
}

// handOverTimeout bounds one hand-over to the planner.
const handOverTimeout = 2 * time.Second

// handOver submits a persisted job to the planner. Once the planner acknowledges
// it, the submission is no longer pending.
func (s *Service) handOver(ctx context.Context, r Record) {
	vm, self := s.planner(r.DataCentre)
	if vm == nil {
		return
	}
	err := s.submitToPlanner(ctx, vm, self, r)
	if err != nil {
		s.Meter.Inc("job_hand_over_lost")
		return
	}
	s.pendingJobs.remove(r.ID)
}

// submitToPlanner submits a job to the planner at vm: directly when self is set,
// and by a peer call otherwise.
func (s *Service) submitToPlanner(ctx context.Context, vm *peerv1.Vm, self bool, r Record) error {
	if self {
		return s.Planner.Submit(ctx, r)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode job")
	}
	resp, err := s.Peers.Client(vm.GetPeerAddress()).SubmitJob(ctx, &peerv1.SubmitJobRequest{Job: b})
	if err != nil {
		return fault.Wrap(fault.AnswerLost, err, "planner %s", vm.GetVmId())
	}
	if !resp.GetAccepted() {
		return fault.New(fault.Kind(resp.GetKind()), "%s", resp.GetMessage())
	}
	return nil
}

// planner returns the planner of a data centre, nil while it is unknown, and
// whether it is this VM.
func (s *Service) planner(dataCentre string) (vm *peerv1.Vm, self bool) {
	vm = s.Peers.Planner(dataCentre)
	return vm, vm != nil && vm.GetVmId() == s.Self.GetVmId()
}

// List returns the jobs of this data centre or, when id is not empty, only the job
// with that id. It includes a job that is not handed over yet only when asked for
// it by id. The error is of kind NotReady when the planner is unknown, cannot be
// reached or has not loaded all jobs.
func (s *Service) List(ctx context.Context, id string, explain bool) ([]View, error) {
	views, err := s.plannerViews(ctx, id, explain)
	if id == "" || len(views) > 0 {
		return views, err
	}
	if sub, ok := s.pendingJobs.get(id); ok {
		sub.record.Reason = "waits to be handed to the planner"
		return []View{{Record: sub.record}}, nil
	}
	return views, err
}

func (s *Service) plannerViews(ctx context.Context, id string, explain bool) ([]View, error) {
	vm, self := s.planner(s.Self.GetDataCentre())
	if vm == nil {
		return nil, fault.New(fault.NotReady, "no planner is known")
	}
	if self {
		return s.Views(id, explain)
	}
	resp, err := s.Peers.Client(vm.GetPeerAddress()).ListJobs(ctx, &peerv1.ListJobsRequest{JobId: id, Explain: explain})
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

// Views returns the jobs of this VM's planner. The error is of kind NotReady when
// no job with the id is loaded, but one may exist.
func (s *Service) Views(id string, explain bool) ([]View, error) {
	views := s.LocalViews(id, explain)
	if id != "" && len(views) == 0 && !s.Planner.AllJobsLoaded() {
		return nil, fault.New(fault.NotReady, "the planner has not loaded all jobs yet")
	}
	return views, nil
}

// LocalViews returns the jobs that this VM's planner has loaded. Unlike Views it
// does not check that all jobs are loaded.
func (s *Service) LocalViews(id string, explain bool) []View {
	records := s.Planner.Jobs(id)
	views := make([]View, len(records))
	for i, r := range records {
		views[i].Record = r
		if !explain {
			continue
		}
		views[i].Decisions = s.Planner.Decisions(r.ID)
		if x, ok := s.Planner.Explain(r.ID); ok {
			views[i].Explanation = &x
		}
	}
	return views
}

// Cancel cancels a job. Cancelling a job that is already cancelled or in a final
// state does nothing. The error is of kind NotReady when the job has not been
// handed over to the planner yet.
func (s *Service) Cancel(ctx context.Context, id string) error {
	if sub, ok := s.pendingJobs.get(id); ok {
		s.resend(ctx, sub)
	}
	err := s.cancelAtPlanner(ctx, id)
	if _, isPending := s.pendingJobs.get(id); isPending && fault.Is(err, fault.NotFound) {
		return fault.New(fault.NotReady, "job %s has not been handed over to the planner yet", id)
	}
	return err
}

func (s *Service) cancelAtPlanner(ctx context.Context, id string) error {
	vm, self := s.planner(s.Self.GetDataCentre())
	if vm == nil {
		return fault.New(fault.NotReady, "no planner is known")
	}
	if self {
		return s.Planner.Cancel(ctx, id)
	}
	resp, err := s.Peers.Client(vm.GetPeerAddress()).CancelJob(ctx, &peerv1.CancelJobRequest{JobId: id})
	if err != nil {
		return fault.Wrap(fault.AnswerLost, err, "planner %s", vm.GetVmId())
	}
	if kind := fault.Kind(resp.GetKind()); kind != fault.OK {
		return fault.New(kind, "%s", resp.GetMessage())
	}
	return nil
}
