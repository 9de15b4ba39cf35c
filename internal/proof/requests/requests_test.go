// Package requests proves the request pipeline with daemons as separate
// processes.
package requests

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
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

// start starts daemons a, b and c and runners r1 to rN.
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

// send sends one request with its number as payload.
func send(d *fleet.Daemon, kind string, n int64) (string, error) {
	var a caller.AnswerBody
	payload := fmt.Sprintf("payload %d", n)
	c := d.CallerClient()
	c.Header = http.Header{caller.HeaderKey: []string{fmt.Sprintf("key %d", n)}}
	c.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	in := caller.RequestBody{Account: "guild", Kind: kind, Payload: []byte(payload)}
	if err := c.Call(context.Background(), http.MethodPost, "/v1/requests", in, &a); err != nil {
		return "", err
	}
	if !strings.HasSuffix(string(a.Payload), ": "+payload) {
		return "wrong", nil
	}
	return "answered", nil
}

// load sends requests until stopped, as behind a balancer: only to daemons that
// are ready, and after a refusal that is true of "not run" to the next one.
type load struct {
	fleet   *fleet.Fleet
	order   []string
	kind    string
	next    atomic.Int64
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	counts  map[string]int
	unknown map[string]bool // by payload
}

func startLoad(f *fleet.Fleet, kind string, callers int, order ...string) *load {
	l := &load{fleet: f, order: order, kind: kind, stop: make(chan struct{}), counts: make(map[string]int), unknown: make(map[string]bool)}
	for i := range callers {
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				l.one(i)
			}
		})
	}
	return l
}

func (l *load) one(first int) {
	n := l.next.Add(1)
	for try := range 200 {
		d := l.fleet.Daemons[l.order[(first+try)%len(l.order)]]
		if d.CallerClient().Call(context.Background(), http.MethodGet, "/readyz", nil, nil) != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		got, err := send(d, l.kind, n)
		kind := fault.KindOf(err)
		if err != nil && fault.Lookup(kind).Outcome == fault.NotRun {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if err != nil {
			got = string(kind)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.counts[got]++
		if got != "answered" {
			l.unknown[fmt.Sprintf("payload %d", n)] = true
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["never served"]++
}

// end stops the load and returns how many requests had each outcome.
func (l *load) end() map[string]int {
	close(l.stop)
	l.wg.Wait()
	return l.counts
}

// burst sends at a daemon until all runners have had requests from it.
func burst(f *fleet.Fleet, daemon string) {
	l := startLoad(f, "check", 12, daemon)
	time.Sleep(300 * time.Millisecond)
	l.end()
}

// leavingAfter is the time within which a leaving target gets no new work.
const leavingAfter = 3 * time.Second

// TestLeavingTarget shows each sign to daemon a only and sends at daemon b.
func TestLeavingTarget(t *testing.T) {
	signs := map[string]func(f *fleet.Fleet){
		"platform's list": func(f *fleet.Fleet) {
			// Daemon b is cut off from the platform and does not see the list.
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
			burst(f, "a")
			f.Runners["r1"].Faults.Replace(faults.Orders{})
		},
		"refusal": func(f *fleet.Fleet) {
			f.Runners["r1"].Faults.Replace(faults.Orders{Leaving: true})
			burst(f, "a")
			f.Runners["r1"].Faults.Replace(faults.Orders{})
		},
	}
	for name, show := range signs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, 2, 2, 5*time.Millisecond)
			burst(f, "b")
			is.True(len(f.Runners["r1"].Starts()) > 0) // b uses it before
			show(f)
			shown := time.Now()
			l := startLoad(f, "check", 12, "b")
			time.Sleep(leavingAfter + time.Second)
			counts := l.end()
			is.Equal(len(counts), 1)
			is.True(counts["answered"] > 0)
			is.True(f.Runners["r1"].LastStart().Before(shown.Add(leavingAfter)))
			is.True(f.Runners["r2"].LastStart().After(shown.Add(leavingAfter)))
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
			for _, l := range []*load{check, stamp} {
				counts := l.end()
				is.True(counts["answered"] > 50)
				if len(counts) != 1 { // something was cut or lost
					t.Error(counts)
				}
			}
			for _, n := range stampStarts(f) {
				is.Equal(n, 1)
			}
		})
	}
}

// stampStarts returns the starts of the stamps alone: their keys reach no
// runner twice, while a check may.
func stampStarts(f *fleet.Fleet) map[string]int {
	all := make(map[string]int)
	for _, r := range f.Runners {
		for p, n := range r.KindStarts("stamp") {
			all[p] += n
		}
	}
	return all
}

func TestStoppedVMRefusesAndSecondSignalEnds(t *testing.T) {
	is := is.New(t)
	f := start(t, 1, 1, 3*time.Second)
	a := f.Daemons["a"]
	l := startLoad(f, "check", 1, "a")
	time.Sleep(300 * time.Millisecond)
	close(l.stop)
	a.Signal(syscall.SIGTERM)
	f.Until(2*time.Second, "not ready", func() bool {
		return a.CallerClient().Call(context.Background(), http.MethodGet, "/readyz", nil, nil) != nil
	})
	began := time.Now()
	is.True(a.Stop() != 0)                     // the second signal
	is.True(time.Since(began) < 2*time.Second) // before the request has ended
	l.wg.Wait()
}

func TestKilledDaemonUnderLoad(t *testing.T) {
	is := is.New(t)
	f := start(t, 3, 3, 20*time.Millisecond)
	order := []string{"a", "b", "c"}
	check := startLoad(f, "check", 9, order...)
	stamp := startLoad(f, "stamp", 9, order...)
	time.Sleep(time.Second)
	f.Daemons["a"].Kill()
	time.Sleep(2 * time.Second)
	for _, l := range []*load{check, stamp} {
		counts := l.end()
		is.True(counts["answered"] > 100)
		is.Equal(counts["wrong"], 0)
		is.Equal(counts["never served"], 0)
		// Only what was at the killed daemon may be unknown.
		is.True(len(l.unknown) <= 3*9)
	}
	for _, n := range stampStarts(f) {
		is.Equal(n, 1) // no non-idempotent request ran twice
	}
	// A retry of an unknown stamp with its key does not run it again.
	for payload := range stamp.unknown {
		var n int64
		_, _ = fmt.Sscanf(payload, "payload %d", &n)
		_, _ = send(f.Daemons["b"], "stamp", n)
	}
	for _, n := range stampStarts(f) {
		is.Equal(n, 1)
	}
}

func TestRunnersWorkIsSharedByAllVMs(t *testing.T) {
	is := is.New(t)
	f := start(t, 3, 2, 100*time.Millisecond)
	l := startLoad(f, "check", 60, "a", "b", "c")
	most := 0
	for range 300 {
		time.Sleep(10 * time.Millisecond)
		for _, r := range f.RunnerRelays {
			open := 0
			for _, d := range f.Daemons {
				open += r.Open(d.IP)
			}
			most = max(most, open)
		}
	}
	counts := l.end()
	is.Equal(len(counts), 1)
	is.True(most <= 64) // connections of all VMs together
	for _, d := range f.Daemons {
		is.True(strings.Contains(d.Metrics(), "request_sent"))
	}
}
