package planner

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

func testTerm() *term {
	p := &Planner{
		Meter: &meter.Meter{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Config: func() config.Head { return config.Head{Document: config.DefaultDocument()} },
	}
	return newTerm(context.Background(), p)
}

func TestEpochsOfTwoVMsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := rapid.Uint64Max(1<<60).Draw(t, "seen")
		a, b := nextEpoch(seen, "vm-a"), nextEpoch(seen, "vm-b")
		if a <= seen || b <= seen || a == b {
			t.Fatalf("epochs %d and %d after %d", a, b, seen)
		}
	})
}

func TestOrdersAreAcceptedOnlyInTheirPhase(t *testing.T) {
	tests := []struct {
		name       string
		kind       gang.OrderKind
		phase      phase
		idempotent bool
		accepted   bool
		counter    string
	}{
		{"start", gang.Start, waiting, true, true, ""},
		{"start of a running gang", gang.Start, running, true, false, "planner_order_out_of_phase"},
		{"pre-emption", gang.Preempt, running, true, true, "gang_preempted"},
		{"pre-emption during the start", gang.Preempt, starting, true, false, "gang_preempted_at_start"},
		{"pre-emption of a stopping gang", gang.Preempt, stopping, true, false, "planner_order_out_of_phase"},
		{"pre-emption of a non-idempotent job", gang.Preempt, running, false, false, "planner_preempt_refused"},
		{"kind of a later version", "resize", running, true, false, "planner_order_unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			term := testTerm()
			term.jobs["j"] = &entry{rec: job.Record{ID: "j", Idempotent: tt.idempotent}, phase: tt.phase}
			_, ok := term.acceptOrder(gang.Order{Kind: tt.kind, JobID: "j"})
			is.Equal(ok, tt.accepted)
			if tt.counter != "" {
				is.Equal(term.p.Meter.Count(tt.counter), int64(1))
			}
		})
	}
}

func TestCordons(t *testing.T) {
	yes, no := true, false
	now := time.Unix(1000, 0)
	tests := []struct {
		name      string
		exception config.Exception
		cordoned  bool
	}{
		{"of the worker", config.Exception{Scope: config.Scope{Target: "w1"}, Set: config.Overrides{Cordon: &yes}}, true},
		{"of its data centre", config.Exception{Scope: config.Scope{DataCentre: "d"}, Set: config.Overrides{Cordon: &yes}}, true},
		{"of another worker", config.Exception{Scope: config.Scope{Target: "w2"}, Set: config.Overrides{Cordon: &yes}}, false},
		{"expired", config.Exception{Scope: config.Scope{Target: "w1"}, Expires: now, Set: config.Overrides{Cordon: &yes}}, false},
		{"not set", config.Exception{Scope: config.Scope{Target: "w1"}, Set: config.Overrides{Cordon: &no}}, false},
		{"of an account", config.Exception{Scope: config.Scope{Target: "w1", Account: "a"}, Set: config.Overrides{Cordon: &yes}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			doc := config.Document{Exceptions: []config.Exception{tt.exception}}
			is.Equal(cordoned(doc, "d", "w1", now), tt.cordoned)
		})
	}
}

// deletions counts the records that are deleted.
type deletions struct {
	Records
	n int
}

func (d *deletions) Delete(context.Context, job.Record) error {
	d.n++
	return nil
}

func TestEndedJobsAreDeletedAfterRetention(t *testing.T) {
	is := is.New(t)
	term := testTerm()
	d := &deletions{}
	term.p.Records = d
	endedAt := time.UnixMilli(1_000_000)
	rec := job.Record{State: job.Done, EndedUnixMS: endedAt.UnixMilli()}
	term.jobs["kept"] = &entry{rec: rec, phase: ended}
	term.jobs["unsaved"] = &entry{rec: rec, phase: ended, unwritten: true}
	term.jobs["running"] = &entry{phase: running}
	retention := config.DefaultDocument().Defaults.ClaimRetention.Duration
	term.deleteExpired(endedAt.Add(retention))
	is.Equal(len(term.jobs), 3)
	term.deleteExpired(endedAt.Add(retention + 1))
	is.Equal(len(term.jobs), 2)
	is.Equal(d.n, 1)
}

func TestCheckpointIsCommonToAllParts(t *testing.T) {
	is := is.New(t)
	e := &entry{
		rec: job.Record{BaseMS: 100, CheckpointMS: 100, Slots: []gang.Slot{{Worker: "w1"}, {Worker: "w2"}}},
		parts: map[string]worker.PartStatus{
			"w1": {State: worker.Running, CheckpointMS: 70},
			"w2": {State: worker.Expired, CheckpointMS: 40, ProgressMS: 90},
		},
	}
	testTerm().advanceCheckpoint(e)
	is.Equal(e.rec.CheckpointMS, int64(140))
	delete(e.parts, "w1")
	testTerm().advanceCheckpoint(e)
	is.Equal(e.rec.CheckpointMS, int64(140)) // A missing report does not reduce the checkpoint.
}
