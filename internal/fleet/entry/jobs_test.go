package entry_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/entry"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// scripted is a store whose responses to changes are given; the last one repeats.
type scripted struct {
	responses []fault.Kind
	calls     int
	// callTime is how long each call takes.
	callTime time.Duration
}

func (s *scripted) Get(context.Context, string) (store.Item, bool, error) {
	return store.Item{}, false, nil
}

func (s *scripted) Range(context.Context, string) ([]store.Item, int64, error) { return nil, 1, nil }

func (s *scripted) Changes(context.Context, string, int64) ([]store.Item, int64, error) {
	return nil, 1, nil
}

func (s *scripted) Apply(ctx context.Context, _ store.Txn) (int64, []store.Item, error) {
	select {
	case <-time.After(s.callTime):
	case <-ctx.Done():
		return 0, nil, fault.Wrap(fault.AnswerLost, ctx.Err(), "scripted")
	}
	kind := s.responses[min(s.calls, len(s.responses)-1)]
	s.calls++
	if kind == "" {
		return 5, nil, nil
	}
	return 0, nil, fault.New(kind, "scripted")
}

// fixed is a configuration that never changes and an unreachable planner.
type fixed struct{ cfg *model.Config }

func (f *fixed) Current() *model.Config                       { return f.cfg }
func (f *fixed) Age() time.Duration                           { return 0 }
func (f *fixed) Refresh(context.Context) error                { return nil }
func (f *fixed) Submit(context.Context, string, []byte) error { return nil }
func (f *fixed) Cancel(context.Context, string) error         { return nil }

func (f *fixed) State(context.Context, string) (model.JobState, bool, error) {
	return "", false, fault.New(fault.NotReady, "no planner")
}

func (f *fixed) Summary(context.Context) (model.PlannerSummary, error) {
	return model.PlannerSummary{}, fault.New(fault.NotReady, "no planner")
}

// TestSubmissionDuringAnOutage checks the error that a caller gets, and how soon: a
// refusal only if nothing was written, and no further wait once the result can't be
// learned.
func TestSubmissionDuringAnOutage(t *testing.T) {
	const call = 100 * time.Millisecond
	for _, tc := range []struct {
		name      string
		responses []fault.Kind
		want      fault.Kind
		// retryLater is set if the caller is told when to retry.
		retryLater bool
		maxTime    time.Duration
	}{
		{"accepted", []fault.Kind{""}, "", false, call},
		{"refused at once", []fault.Kind{fault.StoreUnavailable}, fault.StoreUnavailable, true, call},
		{"result unknown, then store unavailable", []fault.Kind{fault.AnswerLost, fault.StoreUnavailable}, fault.AnswerLost, true, time.Second},
		{"result unknown, briefly unavailable, accepted", []fault.Kind{fault.AnswerLost, fault.StoreUnavailable, ""}, "", false, time.Second},
		{"result unknown until the deadline", []fault.Kind{fault.AnswerLost}, fault.AnswerLost, false, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := model.Queue{Name: "q", Prefix: "/q/", Public: true}
				cfg := &fixed{&model.Config{Version: 1, Queues: []model.Queue{q}}}
				js := &entry.JobService{
					Config: cfg, Planner: cfg, Store: &scripted{responses: tc.responses, callTime: call},
					Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				target, err := js.Find(ctx, entry.Call{Path: "/q/00000000000000a1"})
				is.NoErr(err)
				began := time.Now()
				err = js.Submit(ctx, target, model.Job{ID: target.JobID, Steps: []model.Step{{Tasks: 1}}})
				is.True(time.Since(began) <= tc.maxTime)
				is.Equal(err == nil, tc.want == "")
				var retryLater *entry.RetryLaterError
				is.Equal(errors.As(err, &retryLater), tc.retryLater)
				if err != nil {
					is.Equal(fault.KindOf(err), tc.want)
				}
			})
		})
	}
}

// TestUnresponsiveStoreFailsBeforeTheDeadline checks that the result of a submission is
// reported as unknown well before the caller's deadline, also when the store never
// responds, so that the caller can retry at any VM.
func TestUnresponsiveStoreFailsBeforeTheDeadline(t *testing.T) {
	const deadline = 3 * time.Second
	for name, tc := range map[string]struct {
		callTime, maxTime time.Duration
	}{
		"each call times out":      {1200 * time.Millisecond, 2200 * time.Millisecond},
		"the store never responds": {time.Minute, deadline - 100*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cfg := &fixed{&model.Config{Version: 1, Queues: []model.Queue{{Name: "q", Prefix: "/q/", Public: true}}}}
				js := &entry.JobService{
					Config: cfg, Planner: cfg, Store: &scripted{responses: []fault.Kind{fault.AnswerLost}, callTime: tc.callTime},
					Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{},
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				target, err := js.Find(ctx, entry.Call{Path: "/q/00000000000000a1"})
				is.NoErr(err)
				began := time.Now()
				err = js.Submit(ctx, target, model.Job{ID: target.JobID, Steps: []model.Step{{Tasks: 1}}})
				is.Equal(fault.KindOf(err), fault.AnswerLost)
				is.True(time.Since(began) <= tc.maxTime)
			})
		})
	}
}

// TestJobWhoseRecordCanNotBeHeldIsRefused guards against an accepted job that never goes on
// since the store can't hold its record.
func TestJobWhoseRecordCanNotBeHeldIsRefused(t *testing.T) {
	is := is.New(t)
	js := &entry.JobService{MaxValueBytes: 1 << 20}
	large := model.Job{ID: "00000000000000f1"}
	for range 20 {
		large.Steps = append(large.Steps, model.Step{Tasks: 2000})
	}
	repeated := model.Job{ID: "00000000000000f2", Occurrences: 10_000, Steps: []model.Step{{Tasks: 20}}}
	for _, j := range []model.Job{large, repeated} {
		err := js.Submit(t.Context(), entry.Target{JobID: j.ID}, j)
		is.Equal(fault.KindOf(err), fault.BadRequest)
		is.Equal(fault.FieldOf(err), "steps")
	}
}
