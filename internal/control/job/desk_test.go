package job

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// fakePlanner rejects submissions until it is ready.
type fakePlanner struct {
	Planner
	fits  error
	ready bool
	jobs  map[string]Record
}

func (p *fakePlanner) Fits(Record) error { return p.fits }
func (p *fakePlanner) Submit(_ context.Context, r Record) error {
	if !p.ready {
		return fault.New(fault.NotReady, "no term")
	}
	p.jobs[r.ID] = r
	return nil
}

func (p *fakePlanner) AllJobsLoaded() bool { return p.ready }

func (p *fakePlanner) Jobs(id string) []Record {
	if r, ok := p.jobs[id]; ok {
		return []Record{r}
	}
	return nil
}

func (p *fakePlanner) Cancel(_ context.Context, id string) error {
	if _, ok := p.jobs[id]; !ok {
		return fault.New(fault.NotFound, "%s", id)
	}
	return nil
}

type fakePeers struct {
	Peers
	self *peerv1.Vm
}

func (p fakePeers) Planner(string) *peerv1.Vm { return p.self }

// fakeRecords returns each of errs once, in order, and then saves.
type fakeRecords struct {
	errs  []error
	saved int
}

func (r *fakeRecords) Save(context.Context, Record) error {
	if len(r.errs) > 0 {
		err := r.errs[0]
		r.errs = r.errs[1:]
		return err
	}
	r.saved++
	return nil
}

func newTestService(ready bool, errs ...error) (*Service, *fakePlanner, *fakeRecords) {
	self := &peerv1.Vm{VmId: "a"}
	p := &fakePlanner{ready: ready, jobs: make(map[string]Record)}
	records := &fakeRecords{errs: errs}
	return &Service{Self: self, Planner: p, Peers: fakePeers{self: self}, Records: records, Meter: &meter.Meter{}}, p, records
}

func TestSubmissionOutcomes(t *testing.T) {
	tests := []struct {
		name       string
		ready      bool
		err        error
		kind       fault.Kind
		found      bool
		handedOver bool
	}{
		{"persisted and handed over", true, nil, fault.OK, true, true},
		{"persisted while no planner is ready", false, nil, fault.OK, true, true},
		{"record may be persisted", true, fault.New(fault.ClaimUnresolved, "x"), fault.ClaimUnresolved, true, true},
		{"record not persisted", true, fault.New(fault.StoreUnavailable, "x"), fault.StoreUnavailable, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var errs []error
				if tt.err != nil {
					errs = append(errs, tt.err)
				}
				s, p, _ := newTestService(tt.ready, errs...)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := Record{ID: NewID("st-anne", "k"), Account: "st-anne", Tasks: 1, State: Waiting}
				is.Equal(fault.KindOf(s.Submit(ctx, r)), tt.kind)
				views, err := s.List(ctx, r.ID, false)
				is.Equal(err == nil && len(views) == 1, tt.found)
				p.ready = true
				go s.Run(ctx)
				time.Sleep(3 * resendInterval)
				synctest.Wait()
				_, ok := p.jobs[r.ID]
				is.Equal(ok, tt.handedOver)
				is.Equal(len(s.pendingJobs.all()), 0)
			})
		})
	}
}

func TestKeyedSubmissions(t *testing.T) {
	is := is.New(t)
	s, p, records := newTestService(true)
	r := Record{ID: NewID("st-anne", "k"), Account: "st-anne", Tasks: 1}
	is.NoErr(s.Submit(t.Context(), r))
	is.NoErr(s.Submit(t.Context(), r))
	is.Equal(records.saved, 1)
	is.Equal(len(p.jobs), 1)
	r.Tasks = 2
	is.True(fault.Is(s.Submit(t.Context(), r), fault.KeyReused))
	is.True(NewID("st-anne", "k") != NewID("st-ann", "ek"))
	random := NewID("st-anne", "")
	is.True(NewID("st-anne", "") != random)
}

func TestCancelOfPendingSubmissionReturnsNotReady(t *testing.T) {
	is := is.New(t)
	s, p, _ := newTestService(false)
	r := Record{ID: NewID("st-anne", "k"), Account: "st-anne"}
	is.NoErr(s.Submit(t.Context(), r))
	is.True(fault.Is(s.Cancel(t.Context(), r.ID), fault.NotReady))
	is.True(fault.Is(s.Cancel(t.Context(), "other"), fault.NotFound))
	p.ready = true
	is.NoErr(s.Cancel(t.Context(), r.ID))
}

func TestJobThatFitsElsewhereReturnsNoTarget(t *testing.T) {
	is := is.New(t)
	s, p, _ := newTestService(true)
	p.fits = fault.New(fault.NeverFits, "x")
	s.SetWorkers([]vmlist.VM{{ID: "w1", DataCentre: "a", Accelerators: 8}, {ID: "w2", DataCentre: "b", Accelerators: 8}, {ID: "w3", DataCentre: "b", Accelerators: 8}})
	r := Record{ID: "j", DataCentre: "a", Tasks: 2, Accelerators: 8}
	is.True(fault.Is(s.Submit(t.Context(), r), fault.NoTarget))
	is.True(fault.Is(s.Submit(t.Context(), r), fault.NoTarget))
	r.Tasks = 3
	is.True(fault.Is(s.Submit(t.Context(), r), fault.NeverFits))
}

func TestUnknownJobReturnsNotReadyUntilRecordsAreLoaded(t *testing.T) {
	is := is.New(t)
	s, p, _ := newTestService(false)
	_, err := s.List(t.Context(), "j", false)
	is.True(fault.Is(err, fault.NotReady))
	p.ready = true
	views, err := s.List(t.Context(), "j", false)
	is.NoErr(err)
	is.Equal(len(views), 0)
}
