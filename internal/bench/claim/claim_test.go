// Package claim measures what claims cost: store calls, messages and delay.
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

// The letter's size, and the load that it does not state.
const (
	dataCentres    = 8
	vmsEach        = 8
	jobsADay       = 670
	restartsADay   = 470
	requestsSecond = 1.0
	daySeconds     = 86400.0
	// A tenth of the store's rates: several hundred writes and about 2,000
	// reads a second.
	writeShare = 30
	readShare  = 200
	idleBound  = 0.2
)

// rounds returns the delay of a claim in message rounds and its messages
// between VMs.
func rounds(t *testing.T, vms int, detached bool) (delay, messages float64) {
	synctest.Test(t, func(t *testing.T) {
		f := &network.Fleet{Network: &network.Network{Hop: hop}}
		for i := range vms {
			id := fmt.Sprintf("vm%d", i)
			f.List(id, true)
			f.Start(id)
		}
		time.Sleep(time.Minute)
		members := f.VM("vm0").Member.View().Members
		v := f.VM(members[vms-1].GetVmId()) // not the one that arbitrates
		claim := func(key string) time.Duration {
			before := time.Now()
			if _, _, err := v.Book.Claim(context.Background(), network.Request(key)); err != nil {
				t.Error(err)
			}
			return time.Since(before)
		}
		if detached {
			for id := range f.VMs() {
				f.Network.CutStore(id, true)
			}
			claim("first") // finds out that the store is down
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
	for _, vms := range []int{3, vmsEach} {
		attached, attachedMessages := rounds(t, vms, false)
		detached, detachedMessages := rounds(t, vms, true)
		name := fmt.Sprintf("%d VMs: ", vms)
		measures = append(measures,
			report.Measure{Area: area, Name: name + "messages per claim, attached", Unit: "calls", Value: attachedMessages, AtMost: report.Float(0)},
			report.Measure{Area: area, Name: name + "messages per claim, detached", Unit: "calls", Value: detachedMessages, AtMost: report.Float(float64(vms - 1))},
			report.Measure{Area: area, Name: name + "claim delay, detached to attached", Unit: "rounds", Value: detached, Baseline: report.Float(attached), Ratio: true, AtMost: report.Float(2)},
		)
	}
	check(t, measures)
}

func check(t *testing.T, measures []report.Measure) {
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

// calls are the store's and the list's own counts.
type calls struct{ reads, writes float64 }

func count(f *fleet.Fleet) calls {
	c := func(name string) float64 { return float64(f.Platform.Meter.Count(name)) }
	return calls{reads: c("get") + c("list") + c("watch") + c("vms"), writes: c("put") + c("delete")}
}

// during returns the calls that are made while f runs, less those of idle VMs.
func during(f *fleet.Fleet, idle calls, run func()) calls {
	before, start := count(f), time.Now()
	run()
	time.Sleep(settle)
	after, s := count(f), time.Since(start).Seconds()
	return calls{after.reads - before.reads - idle.reads*s, after.writes - before.writes - idle.writes*s}
}

const (
	idleTime = 30 * time.Second
	settle   = 3 * time.Second
	requests = 200
	jobs     = 5
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
	time.Sleep(settle)
	before := count(f)
	time.Sleep(idleTime)
	after := count(f)
	idle := calls{(after.reads - before.reads) / idleTime.Seconds(), (after.writes - before.writes) / idleTime.Seconds()}
	perRequest := during(f, idle, func() {
		for i := range requests {
			key := fmt.Sprintf("key-%d", i)
			post(t, f, "/v1/requests", key, caller.RequestBody{Account: "counters", Kind: "reprint", Payload: []byte(key)})
		}
	})
	perJob := during(f, idle, func() {
		for range jobs {
			post(t, f, "/v1/jobs", "", caller.JobBody{Account: "counters", Kind: "verification", Tasks: 1, Accelerators: 1, DeclaredMS: 100})
		}
	})
	perRestart := during(f, idle, func() {
		is.Equal(f.Daemons["c"].Stop(), 0)
		f.Daemons["c"].Start()
		f.Daemons["c"].WaitReady()
	})
	check(t, storeMeasures(idle, perRequest, perJob, perRestart, vms))
}

func storeMeasures(idle, perRequest, perJob, perRestart calls, vms float64) []report.Measure {
	total := func(of func(c calls) float64) float64 {
		return of(idle)/vms*dataCentres*vmsEach + of(perRequest)/requests*requestsSecond +
			of(perJob)/jobs*jobsADay/daySeconds + of(perRestart)*restartsADay/daySeconds
	}
	both := func(c calls) float64 { return c.reads + c.writes }
	reads := func(c calls) float64 { return c.reads }
	writes := func(c calls) float64 { return c.writes }
	note := fmt.Sprintf("%d VMs, %d jobs and %d restarts a day, %.0f non-idempotent requests a second; without configuration changes", dataCentres*vmsEach, jobsADay, restartsADay, requestsSecond)
	return []report.Measure{
		{Area: area, Name: "store calls of an idle VM", Unit: "1/s", Value: both(idle) / vms, AtMost: report.Float(idleBound), Note: "a waiting watch is one call"},
		{Area: area, Name: "store calls per request, attached", Unit: "calls", Value: both(perRequest) / requests, Note: "without the deletion after retention"},
		{Area: area, Name: "store calls per job", Unit: "calls", Value: both(perJob) / jobs},
		{Area: area, Name: "store calls per restart", Unit: "calls", Value: both(perRestart)},
		{Area: area, Name: "all daemons' writes at the letter's size", Unit: "1/s", Value: total(writes), AtMost: report.Float(writeShare), Note: note},
		{Area: area, Name: "all daemons' reads at the letter's size", Unit: "1/s", Value: total(reads), AtMost: report.Float(readShare), Note: note},
	}
}
