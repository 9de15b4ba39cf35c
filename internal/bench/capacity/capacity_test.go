// Package capacity measures the memory and traffic that one daemon uses for control,
// and extrapolates them to the required size.
package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/bench/slope"
	"github.com/dogwoodworks/dogwoodworks/internal/bench/wire"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
	standin "github.com/dogwoodworks/dogwoodworks/internal/standin/worker"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// The size and the budgets that the requirements state, and what follows for one
// data centre.
const (
	workers              = 1300
	tasks                = 6700
	dataCentres          = 8
	workersPerDataCentre = (workers + dataCentres - 1) / dataCentres
	partsPerWorker       = float64(tasks) / workers
	vmsPerDataCentre     = 3
	budgetBytesPerSecond = 18e3
	budgetMemoryBytes    = 256e6
	// renewIntervalSeconds is the time between two renewals of a worker by the
	// planner of a data centre of that size.
	renewIntervalSeconds = workersPerDataCentre * 0.06
	claimsPerDay         = 50000
)

func TestBenchCapacity(t *testing.T) {
	measures := plannerMemory()
	measures = append(measures, claimMemory())
	if failed := report.Print(measures); len(failed) > 0 {
		t.Fatalf("out of bounds: %v", failed)
	}
}

func TestBenchTraffic(t *testing.T) {
	renewals, heartbeats := renewalTraffic(t), heartbeatTraffic(t)
	sum := renewals[len(renewals)-1].Value + heartbeats[len(heartbeats)-1].Value
	measures := slices.Concat(renewals, heartbeats)
	measures = append(measures, report.Measure{
		Area: "capacity", Name: "control of a planner's VM", Unit: "B/s", Value: sum, AtMost: report.Float(budgetBytesPerSecond),
		Note: "renewals and heartbeats; the configuration adds what script/bench config says",
	})
	if failed := report.Print(measures); len(failed) > 0 {
		t.Fatalf("out of bounds: %v", failed)
	}
}

// newFilledState returns a planner's state of n workers with their share of tasks,
// in jobs of four tasks.
func newFilledState(n int) *gang.State {
	s := &gang.State{}
	for i := range n {
		s.SetWorker(gang.Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("rack-%03d", i/8), Accelerators: 8})
	}
	jobs := int(float64(n) * partsPerWorker / 4)
	now := time.Unix(0, 0)
	for i := range jobs {
		_ = s.Submit(gang.Job{
			ID: fmt.Sprintf("job-%05d", i), Account: fmt.Sprintf("team-%02d", i%63), Kind: "solve", Rank: 1,
			Tasks: 4, Accelerators: 1, Idempotent: true, DeclaredRunTime: time.Hour, Submitted: now,
		})
	}
	s.Plan(now)
	return s
}

func plannerMemory() []report.Measure {
	var points []slope.Point
	for _, n := range []int{50, 200, 650} {
		points = append(points, slope.Point{Size: float64(n), Value: slope.HeapBytes(func() any { return newFilledState(n) })})
	}
	line := slope.Fit(points)
	return []report.Measure{
		{Area: "capacity", Name: "planner memory per worker with its tasks", Unit: "B", Value: line.PerUnit},
		{
			Area: "capacity", Name: "planner memory of a data centre", Unit: "B",
			Value: line.At(workersPerDataCentre), AtMost: report.Float(budgetMemoryBytes),
		},
		{
			Area: "capacity", Name: "planner memory, all workers in one data centre", Unit: "B",
			Value: line.At(workers), AtMost: report.Float(budgetMemoryBytes),
		},
	}
}

func claimMemory() report.Measure {
	var points []slope.Point
	for _, n := range []int{1000, 4000, 16000} {
		points = append(points, slope.Point{Size: float64(n), Value: slope.HeapBytes(func() any { return newClaims(n) })})
	}
	return report.Measure{
		Area: "capacity", Name: "claim memory at 50,000 claims a day", Unit: "B",
		Value: slope.Fit(points).At(claimsPerDay), AtMost: report.Float(budgetMemoryBytes / 2),
		Note: "without kept results",
	}
}

func newClaims(n int) any {
	all := make(map[string]*peerv1.ClaimRecord)
	for i := range n {
		key := fmt.Sprintf("certificate-%08d", i)
		all[key] = &peerv1.ClaimRecord{
			ClientAccount: "counters", Key: key, Home: "msunduzi-1", VmId: "m1a",
			Incarnation: fmt.Sprintf("%032d", 1), Token: fmt.Sprintf("%032d", i),
			State: peerv1.ClaimState_CLAIM_STATE_DONE, RequestDigest: make([]byte, 32),
		}
	}
	return all
}

// renewalTraffic measures the bytes of one renewal as a function of the number of
// parts.
func renewalTraffic(t *testing.T) []report.Measure {
	t.Helper()
	var points []slope.Point
	for _, parts := range []int{1, 4, 8} {
		points = append(points, slope.Point{Size: float64(parts), Value: renewalBytes(t, parts)})
	}
	line := slope.Fit(points)
	perWorker := line.At(partsPerWorker)
	return []report.Measure{
		{Area: "capacity", Name: "renewal, fixed", Unit: "B", Value: line.Base, Note: "HTTP headers and JSON, both ways"},
		{Area: "capacity", Name: "renewal, each part", Unit: "B", Value: line.PerUnit},
		{
			Area: "capacity", Name: "planner's renewals of a data centre", Unit: "B/s",
			Value:  perWorker * workersPerDataCentre / renewIntervalSeconds,
			AtMost: report.Float(budgetBytesPerSecond),
			Note:   fmt.Sprintf("%d workers, every %.3g s", workersPerDataCentre, renewIntervalSeconds),
		},
	}
}

const measuredRenewals = 20

func renewalBytes(t *testing.T, parts int) float64 {
	t.Helper()
	w := &standin.Worker{ID: "w1", Accelerators: parts}
	e := echo.New()
	w.Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	var counter wire.Counter
	c := worker.Client{Address: server.Listener.Addr().String(), Meter: &meter.Meter{}, HTTP: counter.Client()}
	ctx := context.Background()
	in := worker.RenewRequest{Epoch: 1, LeaseMS: 60000}
	for i := range parts {
		part := worker.Part{JobID: fmt.Sprintf("%036d", i), Attempt: fmt.Sprintf("%036d", i)}
		in.Parts = append(in.Parts, part)
		requireNoError(t, c.Reserve(ctx, worker.ReserveRequest{Part: part, Epoch: 1, Accelerators: []int{i}, LeaseMS: 60000}))
		job := make([]byte, 400)
		requireNoError(t, c.Start(ctx, worker.StartRequest{Part: part, Epoch: 1, Tasks: []int{i}, RunMS: 3600000, Job: job}))
	}
	firstResponse, err := c.Renew(ctx, in)
	requireNoError(t, err)
	in.Parts, in.KnownDigest = nil, firstResponse.Digest
	before := counter.Bytes()
	for range measuredRenewals {
		_, err := c.Renew(ctx, in)
		requireNoError(t, err)
	}
	return float64(counter.Bytes()-before) / measuredRenewals
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// heartbeat returns a heartbeat that lists n VMs.
func heartbeat(n int) *peerv1.HeartbeatRequest {
	hb := &peerv1.HeartbeatRequest{}
	for i := range n {
		hb.Known = append(hb.Known, &peerv1.Vm{
			VmId: fmt.Sprintf("u1-%02d", i), Incarnation: fmt.Sprintf("%036d", i), DataCentre: "uppland-1",
			Region: "uppland", PeerAddress: "10.20.30.40:7003", StartedUnixMs: 1800000000000,
		})
	}
	return hb
}

// responder answers every heartbeat with the same state.
type responder struct {
	peerv1connect.UnimplementedPeerServiceHandler
	state *peerv1.HeartbeatRequest
}

// Heartbeat returns the responder's state.
func (r responder) Heartbeat(context.Context, *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	return &peerv1.HeartbeatResponse{State: r.state}, nil
}

const measuredExchanges = 20

// exchangeBytes returns the bytes of one heartbeat and its response between VMs that
// each list n others.
func exchangeBytes(t *testing.T, n int) float64 {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(responder{state: heartbeat(n)}))
	server := httptest.NewServer(mux)
	defer server.Close()
	var counter wire.Counter
	c := peerv1connect.NewPeerServiceClient(counter.Client(), server.URL)
	for range measuredExchanges {
		_, err := c.Heartbeat(context.Background(), heartbeat(n))
		requireNoError(t, err)
	}
	return float64(counter.Bytes()) / measuredExchanges
}

func heartbeatTraffic(t *testing.T) []report.Measure {
	t.Helper()
	var points []slope.Point
	for _, n := range []int{2, 8, 24} {
		points = append(points, slope.Point{Size: float64(n), Value: exchangeBytes(t, n)})
	}
	line := slope.Fit(points)
	vms := dataCentres * vmsPerDataCentre
	allPairs := 2 * float64(vms-1) * line.At(float64(vms-1))
	return []report.Measure{
		{Area: "capacity", Name: "heartbeat exchange, fixed", Unit: "B", Value: line.Base},
		{Area: "capacity", Name: "heartbeat exchange, each known VM", Unit: "B", Value: line.PerUnit},
		{
			Area: "capacity", Name: "heartbeats of a planner's VM", Unit: "B/s", Value: plannerHeartbeats(line),
			Baseline: report.Float(allPairs), AtMost: report.Float(budgetBytesPerSecond), Note: "baseline: everyone calls everyone",
		},
	}
}

// plannerHeartbeats returns the bytes per second of the VM that calls the most, a
// planner's. It exchanges a heartbeat in each direction with every VM of its data
// centre, of which one in summaryRounds lists all other VMs, and one heartbeat with
// every other data centre.
func plannerHeartbeats(line slope.Line) float64 {
	const summaryRounds = 3
	remote := float64((dataCentres - 1) * vmsPerDataCentre)
	local := 2 * (vmsPerDataCentre - 1) * (line.Base + line.PerUnit*remote/summaryRounds/2)
	return local + (dataCentres-1)*line.At(vmsPerDataCentre-1)
}
