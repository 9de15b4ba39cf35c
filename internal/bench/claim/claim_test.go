// Package claim measures the store calls, messages and delay of claims.
package claim

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/network"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const (
	area = "claim"
	hop  = time.Millisecond
)

// The size that the requirements state, and the load, which they do not state.
const (
	dataCentres       = 8
	vmsPerDataCentre  = 8
	jobsPerDay        = 670
	restartsPerDay    = 470
	requestsPerSecond = 1.0
	secondsPerDay     = 86400.0
	// A tenth of the rates that the store sustains: several hundred writes and
	// about 2,000 reads a second.
	maxWritesPerSecond    = 30
	maxReadsPerSecond     = 200
	maxIdleCallsPerSecond = 0.2
)

// claimRounds returns the delay of a claim in message rounds, and the number of
// messages between VMs.
func claimRounds(t *testing.T, vms int, detached bool) (delay, messages float64) {
	synctest.Test(t, func(t *testing.T) {
		f := &network.Fleet{Network: &network.Network{Latency: hop}}
		for i := range vms {
			id := fmt.Sprintf("vm%d", i)
			f.SetListed(id, true)
			f.Start(id)
		}
		time.Sleep(time.Minute)
		members := f.VM("vm0").Member.View().Members
		v := f.VM(members[vms-1].GetVmId()) // not the arbiter, which is the first member
		claim := func(key string) time.Duration {
			before := time.Now()
			if _, _, err := v.Ledger.Claim(context.Background(), network.Request(key)); err != nil {
				t.Error(err)
			}
			return time.Since(before)
		}
		if detached {
			for id := range f.VMs() {
				f.Network.CutStore(id, true)
			}
			claim("first") // detects that the store is down
		}
		sent := v.Meter.Count("claim_message")
		delay = float64(claim("second")) / float64(2*hop)
		messages = float64(v.Meter.Count("claim_message") - sent)
		f.Close()
		time.Sleep(time.Minute)
	})
	return delay, messages
}

func TestRounds(t *testing.T) {
	var measures []report.Measure
	for _, vms := range []int{3, vmsPerDataCentre} {
		attached, attachedMessages := claimRounds(t, vms, false)
		detached, detachedMessages := claimRounds(t, vms, true)
		name := fmt.Sprintf("%d VMs: ", vms)
		measures = append(measures,
			report.Measure{Area: area, Name: name + "messages per claim, attached", Unit: "calls", Value: attachedMessages, AtMost: report.Float(0)},
			report.Measure{Area: area, Name: name + "messages per claim, detached", Unit: "calls", Value: detachedMessages, AtMost: report.Float(float64(vms - 1))},
			report.Measure{Area: area, Name: name + "claim delay, detached to attached", Unit: "rounds", Value: detached, Baseline: report.Float(attached), Ratio: true, AtMost: report.Float(2)},
		)
	}
	checkBounds(t, measures)
}

func checkBounds(t *testing.T, measures []report.Measure) {
	t.Helper()
	if failed := report.Print(measures); len(failed) > 0 {
		t.Errorf("out of bounds: %v", failed)
	}
}

const configuration = `
[[kinds]]
name = "reprint"
class = "urgent"
idempotent = false
service = "reprint"
[[kinds]]
name = "verification"
class = "batch"
idempotent = true
[[accounts]]
id = "counters"
home = "uppland-1"
guarantee = { slots = 8, workers = 1, accelerators = 8 }
`

// callCounts holds the calls that the store and the list of VMs counted.
type callCounts struct{ reads, writes float64 }

func countCalls(f *fleet.Fleet) callCounts {
	c := func(name string) float64 { return float64(f.Platform.Meter.Count(name)) }
	return callCounts{reads: c("get") + c("list") + c("watch") + c("vms"), writes: c("put") + c("delete")}
}

// callsDuring returns the calls that are made while run executes, less those of
// idle VMs.
func callsDuring(f *fleet.Fleet, idle callCounts, run func()) callCounts {
	before, start := countCalls(f), time.Now()
	run()
	time.Sleep(settleTime)
	after, s := countCalls(f), time.Since(start).Seconds()
	return callCounts{after.reads - before.reads - idle.reads*s, after.writes - before.writes - idle.writes*s}
}

const (
	idleTime   = 30 * time.Second
	settleTime = 3 * time.Second
	requests   = 200
	jobs       = 5
)

func post(t *testing.T, f *fleet.Fleet, path, key string, in any) {
	t.Helper()
	c := f.Daemons["a"].CallerClient()
	if key != "" {
		c.Header = http.Header{caller.HeaderKey: {key}}
	}
	if err := c.Call(context.Background(), http.MethodPost, path, in, nil); err != nil {
		t.Fatal(err)
	}
}

func TestStoreCalls(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Spec{
		VMs: []fleet.VM{
			{ID: "a", DataCentre: "uppland-1", Region: "uppland"},
			{ID: "b", DataCentre: "uppland-1", Region: "uppland"},
			{ID: "c", DataCentre: "uppland-1", Region: "uppland"},
		},
		Runners: []vmlist.VM{{ID: "r1", DataCentre: "uppland-1", Region: "uppland", Service: "reprint", Slots: 8, Connections: 64}},
		Workers: []vmlist.VM{{ID: "w1", DataCentre: "uppland-1", Region: "uppland", Rack: "rack-1", Accelerators: 8}},
		Config:  configuration,
	})
	vms := float64(len(f.Daemons))
	f.Until(20*time.Second, "the roster is complete", func() bool { return f.Platform.Meter.Count("list") >= int64(vms) })
	time.Sleep(settleTime)
	before := countCalls(f)
	time.Sleep(idleTime)
	after := countCalls(f)
	idle := callCounts{(after.reads - before.reads) / idleTime.Seconds(), (after.writes - before.writes) / idleTime.Seconds()}
	perRequest := callsDuring(f, idle, func() {
		for i := range requests {
			key := fmt.Sprintf("key-%d", i)
			post(t, f, "/v1/requests", key, caller.RequestBody{Account: "counters", Kind: "reprint", Payload: []byte(key)})
		}
	})
	perJob := callsDuring(f, idle, func() {
		for range jobs {
			post(t, f, "/v1/jobs", "", caller.JobBody{Account: "counters", Kind: "verification", Tasks: 1, Accelerators: 1, DeclaredMS: 100})
		}
	})
	perRestart := callsDuring(f, idle, func() {
		is.Equal(f.Daemons["c"].Stop(), 0)
		f.Daemons["c"].Start()
		f.Daemons["c"].WaitReady()
	})
	checkBounds(t, storeMeasures(idle, perRequest, perJob, perRestart, vms))
}

func storeMeasures(idle, perRequest, perJob, perRestart callCounts, vms float64) []report.Measure {
	total := func(of func(c callCounts) float64) float64 {
		return of(idle)/vms*dataCentres*vmsPerDataCentre + of(perRequest)/requests*requestsPerSecond +
			of(perJob)/jobs*jobsPerDay/secondsPerDay + of(perRestart)*restartsPerDay/secondsPerDay
	}
	both := func(c callCounts) float64 { return c.reads + c.writes }
	reads := func(c callCounts) float64 { return c.reads }
	writes := func(c callCounts) float64 { return c.writes }
	note := fmt.Sprintf("%d VMs, %d jobs and %d restarts a day, %.0f non-idempotent requests a second; without configuration changes", dataCentres*vmsPerDataCentre, jobsPerDay, restartsPerDay, requestsPerSecond)
	return []report.Measure{
		{Area: area, Name: "store calls of an idle VM", Unit: "1/s", Value: both(idle) / vms, AtMost: report.Float(maxIdleCallsPerSecond), Note: "a waiting watch is one call"},
		{Area: area, Name: "store calls per request, attached", Unit: "calls", Value: both(perRequest) / requests, Note: "without the deletion after retention"},
		{Area: area, Name: "store calls per job", Unit: "calls", Value: both(perJob) / jobs},
		{Area: area, Name: "store calls per restart", Unit: "calls", Value: both(perRestart)},
		{Area: area, Name: "all daemons' writes at the letter's size", Unit: "1/s", Value: total(writes), AtMost: report.Float(maxWritesPerSecond), Note: note},
		{Area: area, Name: "all daemons' reads at the letter's size", Unit: "1/s", Value: total(reads), AtMost: report.Float(maxReadsPerSecond), Note: note},
	}
}
