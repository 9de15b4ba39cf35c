// Package requests tests the request pipeline with daemons that run as separate
// processes.
package requests

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/callers"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const configuration = `
[defaults]
request_timeout = "20s"
[[kinds]]
name = "check"
class = "urgent"
idempotent = true
service = "rota"
expected = "50ms"
[[kinds]]
name = "stamp"
class = "urgent"
service = "rota"
expected = "50ms"
[[accounts]]
id = "guild"
`

// start starts the given numbers of daemons, named a, b and so on, and of runners,
// named r1, r2 and so on.
func start(t *testing.T, daemons, runners int, serviceTime time.Duration) *fleet.Fleet {
	spec := fleet.Spec{Config: configuration, ServiceTime: serviceTime}
	for i := range daemons {
		spec.VMs = append(spec.VMs, fleet.VM{ID: string(rune('a' + i)), DataCentre: "uppland-1", Region: "uppland"})
	}
	for i := range runners {
		spec.Runners = append(spec.Runners, vmlist.VM{
			ID: fmt.Sprintf("r%d", i+1), DataCentre: "uppland-1", Region: "uppland", Service: "rota", Slots: 8, Connections: 64,
		})
	}
	return fleet.Start(t, spec)
}

// startLoad starts callers that send requests to daemons.
func startLoad(f *fleet.Fleet, kind string, n int, daemons ...string) *callers.Load {
	l := &callers.Load{Account: "guild", Kind: kind, Callers: n}
	for _, id := range daemons {
		l.Addresses = append(l.Addresses, f.Daemons[id].CallerAddress)
	}
	return l.Start()
}

// sendBurst sends requests to a daemon for 300 ms, which is long enough for each
// runner to get some of them.
func sendBurst(f *fleet.Fleet, daemon string) {
	l := startLoad(f, "check", 12, daemon)
	time.Sleep(300 * time.Millisecond)
	l.Stop()
}

// leavingTimeout is the time after which a leaving target must get no new work.
const leavingTimeout = 3 * time.Second

// TestLeavingTarget lets only daemon a observe that a target is leaving, and checks
// that daemon b stops sending to it. Each case is one way to observe it.
func TestLeavingTarget(t *testing.T) {
	observations := map[string]func(f *fleet.Fleet){
		"platform's list": func(f *fleet.Fleet) {
			// Daemon b is cut off from the platform and cannot read the list.
			f.PlatformRelay.Set(f.Daemons["b"].IP, relay.Refuse)
			list, err := (&vmlist.Client{BaseURL: "http://" + f.PlatformRelay.Address()}).List(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			vms := list.VMs
			for i := range vms {
				vms[i].Leaving = vms[i].ID == "r1"
			}
			f.Platform.SetVMs(vms)
		},
		"header": func(f *fleet.Fleet) {
			f.Runners["r1"].Faults.Replace(faults.Orders{LeavingHeader: true})
			sendBurst(f, "a")
			f.Runners["r1"].Faults.Replace(faults.Orders{})
		},
		"refusal": func(f *fleet.Fleet) {
			f.Runners["r1"].Faults.Replace(faults.Orders{Leaving: true})
			sendBurst(f, "a")
			f.Runners["r1"].Faults.Replace(faults.Orders{})
		},
	}
	for name, observe := range observations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, 2, 2, 5*time.Millisecond)
			sendBurst(f, "b")
			is.True(len(f.Runners["r1"].Starts()) > 0) // b used r1 before
			observe(f)
			observedAt := time.Now()
			l := startLoad(f, "check", 12, "b")
			time.Sleep(leavingTimeout + time.Second)
			counts, _ := l.Stop()
			is.Equal(len(counts), 1)
			is.True(counts["answered"] > 0)
			is.True(f.Runners["r1"].LastStart().Before(observedAt.Add(leavingTimeout)))
			is.True(f.Runners["r2"].LastStart().After(observedAt.Add(leavingTimeout)))
		})
	}
}

func TestPlannedStopUnderLoad(t *testing.T) {
	cases := map[string]func(f *fleet.Fleet){
		"plain":       func(*fleet.Fleet) {},
		"slow runner": func(f *fleet.Fleet) { f.Runners["r1"].Faults.Replace(faults.Orders{SlowMS: 2500}) },
		"dead peer":   func(f *fleet.Fleet) { f.Daemons["c"].Kill() },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, 3, 3, 20*time.Millisecond)
			prepare(f)
			order := []string{"a", "b"}
			check := startLoad(f, "check", 8, order...)
			stamp := startLoad(f, "stamp", 8, order...)
			time.Sleep(time.Second)
			is.Equal(f.Daemons["a"].Stop(), 0)
			time.Sleep(500 * time.Millisecond)
			for _, l := range []*callers.Load{check, stamp} {
				counts, _ := l.Stop()
				is.True(counts["answered"] > 50)
				if len(counts) != 1 { // an outcome other than "answered" was counted
					t.Error(counts)
				}
			}
			for _, n := range stampStarts(f) {
				is.Equal(n, 1)
			}
		})
	}
}

// stampStarts returns the number of starts of each request of kind stamp. A request
// of this kind must start at most once; the idempotent checks may start again.
func stampStarts(f *fleet.Fleet) map[string]int {
	all := make(map[string]int)
	for _, r := range f.Runners {
		for p, n := range r.KindStarts("stamp") {
			all[p] += n
		}
	}
	return all
}

func TestPlannedStopIsNotReadyAndSecondSignalExits(t *testing.T) {
	is := is.New(t)
	f := start(t, 1, 1, 3*time.Second)
	a := f.Daemons["a"]
	var wg sync.WaitGroup
	wg.Go(func() { callers.Send(a.CallerAddress, "guild", "check", 1) })
	time.Sleep(300 * time.Millisecond)
	a.Signal(syscall.SIGTERM)
	f.Until(2*time.Second, "not ready", func() bool { return !callers.Ready(a.CallerAddress) })
	began := time.Now()
	is.True(a.Stop() != 0)                     // the second signal ends it at once
	is.True(time.Since(began) < 2*time.Second) // before the request was answered
	wg.Wait()
}

func TestKilledDaemonUnderLoad(t *testing.T) {
	is := is.New(t)
	f := start(t, 3, 3, 20*time.Millisecond)
	const callersPerLoad = 9
	check, stamp := startLoad(f, "check", callersPerLoad, "a", "b", "c"), startLoad(f, "stamp", callersPerLoad, "a", "b", "c")
	time.Sleep(time.Second)
	f.Daemons["a"].Kill()
	time.Sleep(2 * time.Second)
	for _, l := range []*callers.Load{check, stamp} {
		counts, failed := l.Stop()
		is.True(counts[callers.Answered] > 100)
		is.Equal(counts[callers.Wrong]+counts[callers.NeverServed], 0)
		is.True(len(failed) <= callersPerLoad) // only requests in flight at the killed daemon
		for _, n := range failed {
			// A retry with the same key must not run the request again.
			callers.Send(f.Daemons["b"].CallerAddress, "guild", "stamp", n)
		}
	}
	for _, n := range stampStarts(f) {
		is.Equal(n, 1) // no non-idempotent request ran twice
	}
}

func TestRunnerConnectionLimitCoversAllVMs(t *testing.T) {
	is := is.New(t)
	f := start(t, 3, 2, 100*time.Millisecond)
	l := startLoad(f, "check", 60, "a", "b", "c")
	peak := 0
	for range 300 {
		time.Sleep(10 * time.Millisecond)
		for _, r := range f.RunnerRelays {
			open := 0
			for _, d := range f.Daemons {
				open += r.Open(d.IP)
			}
			peak = max(peak, open)
		}
	}
	counts, _ := l.Stop()
	is.Equal(len(counts), 1)
	is.True(peak <= 64) // the connections of all VMs together
	for _, d := range f.Daemons {
		is.True(strings.Contains(d.Metrics(), "request_sent"))
	}
}
