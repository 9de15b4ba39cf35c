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
	answers []fault.Kind
	calls   int
	// callTime is how long each call takes.
	callTime time.Duration
}

func (s *scripted) Get(context.Context, string) (store.Item, bool, error) {
	return store.Item{}, false, nil
}

func (s *scripted) Range(context.Context, string) ([]store.Item, int64, error) { return nil, 1, nil }

func (s *scripted) Apply(ctx context.Context, _ store.Txn) (int64, []store.Item, error) {
	select {
	case <-time.After(s.callTime):
	case <-ctx.Done():
		return 0, nil, fault.Wrap(fault.AnswerLost, ctx.Err(), "scripted")
	}
	kind := s.answers[min(s.calls, len(s.answers)-1)]
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
	for _, x := range []struct {
		name    string
		answers []fault.Kind
		want    fault.Kind
		// later is set if the caller is told when to retry.
		later bool
		most  time.Duration
	}{
		{"accepted", []fault.Kind{""}, "", false, call},
		{"refused at once", []fault.Kind{fault.StoreUnavailable}, fault.StoreUnavailable, true, call},
		{"result unknown, then store unavailable", []fault.Kind{fault.AnswerLost, fault.StoreUnavailable}, fault.AnswerLost, true, time.Second},
		{"result unknown, briefly unavailable, accepted", []fault.Kind{fault.AnswerLost, fault.StoreUnavailable, ""}, "", false, time.Second},
		{"result unknown until the deadline", []fault.Kind{fault.AnswerLost}, fault.AnswerLost, false, 3 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := model.Queue{Name: "q", Prefix: "/q/", Public: true}
				cfg := &fixed{&model.Config{Version: 1, Queues: []model.Queue{q}}}
				d := &entry.JobService{
					Config: cfg, Planner: cfg, Store: &scripted{answers: x.answers, callTime: call},
					Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				target, err := d.Find(ctx, entry.Call{Path: "/q/00000000000000a1"})
				is.NoErr(err)
				began := time.Now()
				err = d.Submit(ctx, target, model.Job{ID: target.JobID, Steps: []model.Step{{Tasks: 1}}})
				is.True(time.Since(began) <= x.most)
				is.Equal(err == nil, x.want == "")
				var later *entry.RetryLaterError
				is.Equal(errors.As(err, &later), x.later)
				if err != nil {
					is.Equal(fault.KindOf(err), x.want)
				}
			})
		})
	}
}

// TestUnresponsiveStoreFailsBeforeTheDeadline checks that the result of a submission is
// reported as unknown well before the caller's deadline, also when the store never
// responds, so that the caller can retry at any VM.
func TestASilentStoreIsNotWaitedForToTheEnd(t *testing.T) {
	const deadline = 3 * time.Second
	for name, x := range map[string]struct {
		callTime, most time.Duration
	}{
		"each call times out":      {1200 * time.Millisecond, 2200 * time.Millisecond},
		"the store never responds": {time.Minute, deadline - 100*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cfg := &fixed{&model.Config{Version: 1, Queues: []model.Queue{{Name: "q", Prefix: "/q/", Public: true}}}}
				d := &entry.JobService{
					Config: cfg, Planner: cfg, Store: &scripted{answers: []fault.Kind{fault.AnswerLost}, callTime: x.callTime},
					Log: slog.New(slog.DiscardHandler), Meter: &meter.Meter{},
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				target, err := d.Find(ctx, entry.Call{Path: "/q/00000000000000a1"})
				is.NoErr(err)
				began := time.Now()
				err = d.Submit(ctx, target, model.Job{ID: target.JobID, Steps: []model.Step{{Tasks: 1}}})
				is.Equal(fault.KindOf(err), fault.AnswerLost)
				is.True(time.Since(began) <= x.most)
			})
		})
	}
}
