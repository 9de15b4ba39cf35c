package planner

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	standin "github.com/dogwoodworks/dogwoodworks/internal/standin/worker"
)

// latestRecords stores the latest record of each job.
type latestRecords struct {
	Records
	mu   sync.Mutex
	byID map[string]job.Record
}

func (m *latestRecords) Save(_ context.Context, r job.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Sequence >= m.byID[r.ID].Sequence {
		m.byID[r.ID] = r
	}
	return nil
}

func (m *latestRecords) Load(context.Context, string) ([]job.Record, error) { return nil, nil }

func waitUntil(t *testing.T, state string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", state)
		}
	}
}

func TestPreemptedGangResumesFromCheckpoint(t *testing.T) {
	is := is.New(t)
	w := &standin.Worker{ID: "w1"}
	p := testTerm().p
	e := jsonhttp.NewEcho(jsonhttp.Limits{}, p.Meter)
	w.Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	doc := config.DefaultDocument()
	doc.Defaults.CheckpointGrace.Duration = 100 * time.Millisecond
	p.Config = func() config.Head { return config.Head{Header: config.Header{Version: 1}, Document: doc} }
	p.IsPlanner = func() bool { return true }
	records := &latestRecords{byID: make(map[string]job.Record)}
	p.Records = records
	p.SetWorkers([]vmlist.VM{{ID: "w1", Address: strings.TrimPrefix(server.URL, "http://"), Accelerators: 8}})
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { p.Run(ctx) })
	defer done.Wait()
	defer cancel()
	r := job.Record{ID: "j", Idempotent: true, Tasks: 2, Accelerators: 1, RunMS: 60_000, DeclaredMS: 60_000, State: job.Waiting}
	waitUntil(t, "j is accepted", func() bool { return p.Submit(ctx, r) == nil })
	isRunning := func(attempts int) func() bool {
		return func() bool {
			all := p.Jobs("j")
			return len(all) == 1 && all[0].State == job.Running && all[0].Attempts == attempts
		}
	}
	waitUntil(t, "j runs", isRunning(1))
	time.Sleep(20 * time.Millisecond)
	term := p.currentTerm()
	term.mu.Lock()
	op, ok := term.acceptOrder(gang.Order{Kind: gang.Preempt, JobID: "j", Reason: "st-anne takes its block back"})
	term.mu.Unlock()
	is.True(ok)
	orderedAt := time.Now()
	term.dispatch(op)
	waitUntil(t, "j runs again", isRunning(2))
	is.True(time.Since(orderedAt) >= doc.Defaults.CheckpointGrace.Duration)
	resumed := p.Jobs("j")[0]
	is.True(resumed.BaseMS >= 20) // The work before the pre-emption is checkpointed.
	is.True(resumed.Remaining() < time.Minute)
	is.Equal(w.Starts()["j"], 2)
	is.True(strings.Contains(p.Decisions("j")[3].Reason, "takes its block back"))
}
