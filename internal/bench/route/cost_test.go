package route

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const configuration = `
[[kinds]]
name = "check"
class = "urgent"
idempotent = true
service = "rota"
expected = "5ms"
[[accounts]]
id = "guild"
`

// TestCost reports the allocations of a decision and the time of a whole request.
func TestCost(t *testing.T) {
	all := []report.Measure{overhead(t)}
	for _, n := range []int{50, 500} {
		all = append(all, allocations(n))
	}
	for _, failed := range report.Print(all) {
		t.Errorf("out of bound: %s", failed)
	}
}

// allocations counts the allocations of one request that is queued, given one of n
// runners and taken from the queue.
func allocations(n int) report.Measure {
	var q queue.Queue
	states := make([]route.Runner, n)
	for i := range states {
		states[i] = route.Runner{ID: fmt.Sprint(i), Service: "s", DataCentre: "dc", Limit: slots, InUse: i % slots}
	}
	now := time.UnixMilli(0)
	pass := func() {
		q.Push(queue.Item{ID: "q", Account: "a", Cost: time.Second, Arrived: now}, now)
		route.Pick(states, route.Location{DataCentre: "dc"}, route.Requirements{Service: "s"})
		it, _ := q.Pop(now)
		q.CorrectCharge(it, time.Second)
	}
	return report.Measure{
		Area: "route/decision", Name: fmt.Sprintf("allocations_%d_runners", n), Unit: "per request",
		Value: testing.AllocsPerRun(1000, pass),
	}
}

// overhead compares a request through a daemon with a direct call to the runner.
// The two alternate, both over loopback.
func overhead(t *testing.T) report.Measure {
	spec := fleet.Spec{Config: configuration, ServiceTime: 2 * time.Millisecond, VMs: []fleet.VM{{ID: "a", DataCentre: "u1", Region: "u"}}}
	for i := range runners {
		spec.Runners = append(spec.Runners, vmlist.VM{ID: fmt.Sprintf("r%d", i), DataCentre: "u1", Region: "u", Service: "rota", Slots: slots, Connections: connections})
	}
	f := fleet.Start(t, spec)
	client := f.Daemons["a"].CallerClient()
	in := caller.RequestBody{Account: "guild", Kind: "check", Payload: bytes.Repeat([]byte{'x'}, 1000)}
	runnerClient := jsonhttp.Client{
		BaseURL: "http://" + f.RunnerRelays["r1"].Address(), Header: http.Header{runner.HeaderAttempt: []string{"1"}},
	}
	var answer []byte
	var viaDaemon, direct []time.Duration
	for i := range 300 {
		viaDaemon = append(viaDaemon, timeOf(t, func() error {
			return client.Call(context.Background(), http.MethodPost, "/v1/requests", in, nil)
		}))
		runnerClient.Header.Set(runner.HeaderRequestID, fmt.Sprintf("direct %d", i))
		direct = append(direct, timeOf(t, func() error {
			return runnerClient.Call(context.Background(), http.MethodPost, runner.RunPath, in.Payload, &answer)
		}))
	}
	return report.Measure{
		Area: "route/daemon", Name: "median_time_of_a_request", Unit: "us", Value: median(viaDaemon), Baseline: report.Float(median(direct)),
		Note: fmt.Sprintf("%.3g x a direct call to a runner that takes 2 ms", median(viaDaemon)/median(direct)),
	}
}

func timeOf(t *testing.T, do func() error) time.Duration {
	began := time.Now()
	if err := do(); err != nil {
		t.Fatal(err)
	}
	return time.Since(began)
}

func median(all []time.Duration) float64 {
	slices.Sort(all)
	return float64(all[len(all)/2].Microseconds())
}
