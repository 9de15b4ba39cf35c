// Package claims tests, with daemons that run as separate processes, that a
// non-idempotent request runs at most once, and that such requests are served
// during outages of the store, network partitions, pauses and replacements of VMs.
package claims

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const (
	home   = "uppland-1"
	remote = "dalarna-1"

	configuration = `
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
[[accounts]]
id = "roving"
`
)

// start starts three VMs in the home data centre and one in another, and waits
// until the three serve requests, which they do once they are in the roster.
func start(t *testing.T) *fleet.Fleet {
	f := fleet.Start(t, fleet.Spec{
		VMs: []fleet.VM{
			{ID: "a", DataCentre: home, Region: "uppland"},
			{ID: "b", DataCentre: home, Region: "uppland"},
			{ID: "c", DataCentre: home, Region: "uppland"},
			{ID: "d", DataCentre: remote, Region: "dalarna"},
		},
		Runners: []vmlist.VM{
			{ID: "r1", DataCentre: home, Region: "uppland", Service: "reprint", Slots: 8, Connections: 64},
			{ID: "r2", DataCentre: remote, Region: "dalarna", Service: "reprint", Slots: 8, Connections: 64},
		},
		Workers:     []vmlist.VM{{ID: "w1", DataCentre: home, Region: "uppland", Rack: "rack-1", Accelerators: 8}},
		ServiceTime: 5 * time.Millisecond,
		Config:      configuration,
	})
	f.Until(20*time.Second, "a, b and c are in the roster", func() bool { return served(f, "a") && served(f, "b") && served(f, "c") })
	return f
}

var keyCounter struct {
	sync.Mutex
	n int
}

// newKey returns an unused idempotency key, which is the request's payload as well.
func newKey() string {
	keyCounter.Lock()
	defer keyCounter.Unlock()
	keyCounter.n++
	return fmt.Sprintf("certificate-%d", keyCounter.n)
}

func submit(f *fleet.Fleet, vm, account, key string, timeout time.Duration) (caller.AnswerBody, error) {
	var a caller.AnswerBody
	in := caller.RequestBody{Account: account, Kind: "reprint", Payload: []byte(key), TimeoutMS: timeout.Milliseconds()}
	c := f.Daemons[vm].CallerClient()
	c.Header = http.Header{caller.HeaderKey: {key}}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	err := c.Call(ctx, http.MethodPost, "/v1/requests", in, &a)
	return a, err
}

func served(f *fleet.Fleet, vm string) bool {
	_, err := submit(f, vm, "counters", newKey(), 3*time.Second)
	return err == nil
}

// servedDetached reports whether a VM serves requests and has made a detached claim,
// that is one that the members of the roster record instead of the store.
func servedDetached(f *fleet.Fleet, vm string) bool {
	return served(f, vm) && strings.Contains(f.Daemons[vm].Metrics(), "claim_detached")
}

// load is a stream of submissions, each with its own key.
type load struct {
	f       *fleet.Fleet
	account string
	wg      sync.WaitGroup
	done    chan struct{}

	mu sync.Mutex
	// kinds are the outcomes of the submissions of each key, in order.
	kinds map[string][]fault.Kind
}

// startLoad submits keys to VMs until stop is called.
func startLoad(f *fleet.Fleet, account string, vms ...string) *load {
	l := &load{f: f, account: account, done: make(chan struct{}), kinds: make(map[string][]fault.Kind)}
	for i := range vms {
		l.wg.Go(func() { l.run(vms, i) })
	}
	return l
}

// run submits each key to one VM and, if it was not answered, to the next VM.
func (l *load) run(vms []string, i int) {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		key := newKey()
		if !l.submit(vms[i], key) {
			l.submit(vms[(i+1)%len(vms)], key)
		}
	}
}

func (l *load) submit(vm, key string) bool {
	_, err := submit(l.f, vm, l.account, key, 2*time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kinds[key] = append(l.kinds[key], fault.KindOf(err))
	return err == nil
}

// stop ends the load, compares the outcomes with the starts that the runners
// counted, and returns how many keys were answered and how many were not.
func (l *load) stop(t *testing.T) (answered, refused int) {
	t.Helper()
	close(l.done)
	l.wg.Wait()
	starts := startsByKey(l.f)
	for key, kinds := range l.kinds {
		last := kinds[len(kinds)-1]
		notRun := true
		for _, k := range kinds {
			notRun = notRun && fault.Lookup(k).Outcome == fault.NotRun && k != fault.Unreachable
		}
		if starts[key] > 1 || (last == fault.OK && starts[key] != 1) || (notRun && starts[key] != 0) {
			t.Errorf("%s: answers %v, started %d times", key, kinds, starts[key])
		}
		if last == fault.OK {
			answered++
			continue
		}
		refused++
		if refused == 1 {
			t.Logf("first key that was not answered: %v", kinds)
		}
	}
	return answered, refused
}

func startsByKey(f *fleet.Fleet) map[string]int {
	all := make(map[string]int)
	for _, r := range f.Runners {
		for payload, n := range r.StartsByPayload() {
			all[payload] += n
		}
	}
	return all
}

func submitJob(f *fleet.Fleet, vm string) (string, error) {
	var a caller.JobAnswer
	in := caller.JobBody{Account: "counters", Kind: "verification", Tasks: 1, Accelerators: 2, DeclaredMS: 300}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := f.Daemons[vm].CallerClient().Call(ctx, http.MethodPost, "/v1/jobs", in, &a)
	return a.JobID, err
}

func jobIsDone(f *fleet.Fleet, vm, id string) func() bool {
	return func() bool {
		var view struct {
			State string `json:"state"`
		}
		c := jsonhttp.Client{BaseURL: f.Daemons[vm].CallerClient().BaseURL}
		var raw map[string]any
		if err := c.Call(context.Background(), http.MethodGet, "/v1/jobs/"+id, nil, &raw); err != nil {
			return false
		}
		view.State, _ = raw["state"].(string)
		return view.State == "done"
	}
}

const phaseTime = 4 * time.Second

// TestStoreDownUnderLoad takes the store down under load. Keys with a home are
// served in all data centres, also during a planned stop of a VM, and a job that is
// admitted meanwhile is completed. Recorded answers are returned unchanged after
// the outage.
func TestStoreDownUnderLoad(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.PlatformRelay.SetAll(relay.Refuse)
	l := startLoad(f, "counters", "a", "b", "d")
	recordedKey := newKey()
	first, err := submit(f, "a", "counters", recordedKey, 5*time.Second)
	is.NoErr(err)
	time.Sleep(phaseTime / 2)
	is.Equal(f.Daemons["c"].Stop(), 0) // a planned stop during the outage
	id, err := submitJob(f, "a")
	is.NoErr(err)
	time.Sleep(phaseTime / 2)
	answered, refused := l.stop(t)
	t.Logf("store down: %d answered, %d not", answered, refused)
	is.True(answered > 0)
	is.Equal(refused, 0)
	_, err = submit(f, "b", "roving", newKey(), time.Second)
	is.True(fault.Is(err, fault.StoreUnavailable)) // keys without a home need the store
	f.PlatformRelay.SetAll(relay.Pass)
	f.Daemons["c"].Start()
	f.Daemons["c"].WaitReady()
	for _, vm := range []string{"a", "b", "c", "d"} {
		f.Until(20*time.Second, vm+" returns the recorded answer", func() bool {
			again, err := submit(f, vm, "counters", recordedKey, 3*time.Second)
			return err == nil && again.Recorded && string(again.Payload) == string(first.Payload)
		})
	}
	f.Until(20*time.Second, "the job is done", jobIsDone(f, "a", id))
	f.Until(20*time.Second, "keys without a home are served", func() bool {
		_, err := submit(f, "b", "roving", newKey(), 3*time.Second)
		return err == nil
	})
	is.Equal(startsByKey(f)[recordedKey], 1)
}

// TestStoreDownAndMemberKilled kills a VM while the store is down, so that the
// claims it had in memory are lost. Keys with a home are refused without being run
// until the store is back.
func TestStoreDownAndMemberKilled(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.PlatformRelay.SetAll(relay.Refuse)
	l := startLoad(f, "counters", "a", "b")
	time.Sleep(time.Second)
	f.Daemons["c"].Kill()
	f.Daemons["c"].Start()
	time.Sleep(time.Second)
	key := newKey()
	_, err := submit(f, "a", "counters", key, 3*time.Second)
	is.True(fault.Is(err, fault.StoreUnavailable))
	is.Equal(startsByKey(f)[key], 0)
	f.PlatformRelay.SetAll(relay.Pass)
	for _, vm := range []string{"a", "b", "c"} {
		f.Until(20*time.Second, vm+" serves again", func() bool { return served(f, vm) })
	}
	answered, refused := l.stop(t)
	t.Logf("store down and a member killed: %d answered, %d not", answered, refused)
}

// TestStoreSlowAndAnswersLost restarts a VM while the store takes 2 s for each
// call, and again while the store's calls take effect but their responses are lost.
func TestStoreSlowAndAnswersLost(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.Platform.Faults.Replace(faults.Orders{DelayMS: 2000})
	l := startLoad(f, "counters", "a", "b")
	is.Equal(f.Daemons["c"].Stop(), 0)
	f.Daemons["c"].Start()
	_, err := submit(f, "b", "roving", newKey(), 15*time.Second)
	is.NoErr(err) // a key without a home is served slowly
	f.Until(40*time.Second, "c is in the roster again", func() bool { return servedDetached(f, "c") })
	answered, refused := l.stop(t)
	t.Logf("store slow: %d answered, %d not", answered, refused)
	is.True(answered > 0)
	is.Equal(refused, 0)
	f.Platform.Faults.Replace(faults.Orders{})
	f.Until(20*time.Second, "keys without a home are served", func() bool {
		_, err := submit(f, "b", "roving", newKey(), 3*time.Second)
		return err == nil
	})
	f.Platform.Faults.Replace(faults.Orders{DropAnswers: 1 << 20})
	l = startLoad(f, "counters", "a", "b")
	homelessLoad := startLoad(f, "roving", "a", "d")
	time.Sleep(phaseTime / 2)
	f.Platform.Faults.Replace(faults.Orders{DropAnswers: 20})
	f.Daemons["c"].Kill()
	f.Daemons["c"].Start()
	time.Sleep(phaseTime / 2)
	answered, refused = l.stop(t)
	t.Logf("answers lost, homed: %d answered, %d not", answered, refused)
	answered, refused = homelessLoad.stop(t)
	t.Logf("answers lost, no home: %d answered, %d not", answered, refused)
	f.Until(20*time.Second, "c serves again", func() bool { return served(f, "c") })
}

// TestHolderPaused pauses and resumes a VM that owns claims, under load, with the
// store reachable and unresponsive.
func TestHolderPaused(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.Runners["r1"].ServiceTime = 50 * time.Millisecond
	l := startLoad(f, "counters", "a", "b", "c")
	for _, m := range []relay.Mode{relay.Pass, relay.Blackhole} {
		f.PlatformRelay.SetAll(m)
		time.Sleep(phaseTime / 4)
		f.Daemons["a"].Signal(syscall.SIGSTOP)
		time.Sleep(phaseTime / 4)
		if m == relay.Pass {
			f.Daemons["c"].Kill()
			f.Daemons["c"].Start()
		}
		f.Daemons["a"].Signal(syscall.SIGCONT)
		time.Sleep(phaseTime / 4)
	}
	f.PlatformRelay.SetAll(relay.Pass)
	answered, refused := l.stop(t)
	t.Logf("holder paused: %d answered, %d not", answered, refused)
	is.True(answered > 0)
	f.Until(20*time.Second, "a serves", func() bool { return served(f, "a") })
}

// TestNetworkPartitions cuts the home data centre off from the platform, then the
// data centres from each other.
func TestNetworkPartitions(t *testing.T) {
	is := is.New(t)
	f := start(t)
	homeVMs := []string{"a", "b", "c"}
	for _, vm := range homeVMs {
		f.PlatformRelay.Set(f.Daemons[vm].IP, relay.Blackhole)
	}
	l := startLoad(f, "counters", "a", "b", "d")
	time.Sleep(phaseTime / 2)
	is.Equal(f.Daemons["c"].Stop(), 0)
	time.Sleep(phaseTime / 2)
	answered, refused := l.stop(t)
	t.Logf("home cut from the platform: %d answered, %d not", answered, refused)
	is.True(answered > 0)
	is.Equal(refused, 0)
	for _, vm := range homeVMs {
		f.PlatformRelay.Set(f.Daemons[vm].IP, relay.Pass)
	}
	f.Daemons["c"].Start()
	f.Until(20*time.Second, "c serves again", func() bool { return served(f, "c") })
	cutDataCentres(f, homeVMs, relay.Refuse)
	l = startLoad(f, "counters", "a", "b")
	homelessLoad := startLoad(f, "roving", "a", "d")
	f.Until(20*time.Second, "d refuses the home's keys", func() bool {
		_, err := submit(f, "d", "counters", newKey(), time.Second)
		return fault.Is(err, fault.HomeUnreachable)
	})
	f.Daemons["c"].Kill()
	f.Daemons["c"].Start()
	time.Sleep(phaseTime / 2)
	answered, refused = l.stop(t)
	t.Logf("data centres cut, at home: %d answered, %d not", answered, refused)
	is.True(answered > 0)
	answered, refused = homelessLoad.stop(t)
	t.Logf("data centres cut, no home: %d answered, %d not", answered, refused)
	is.True(answered > 0)
	cutDataCentres(f, homeVMs, relay.Pass)
	f.Until(20*time.Second, "d forwards again", func() bool { return served(f, "d") })
}

func cutDataCentres(f *fleet.Fleet, homeVMs []string, m relay.Mode) {
	for _, vm := range homeVMs {
		f.Daemons[vm].Relay.Set(f.Daemons["d"].IP, m)
		f.Daemons["d"].Relay.Set(f.Daemons[vm].IP, m)
	}
}

// TestOpenConnectionsUnresponsive makes all open connections between the VMs
// permanently unresponsive while the store is down. Keys are still served over new
// connections.
func TestOpenConnectionsUnresponsive(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.PlatformRelay.SetAll(relay.Refuse)
	l := startLoad(f, "counters", "a", "b", "c", "d")
	time.Sleep(phaseTime / 4)
	for range 2 {
		for _, d := range f.Daemons {
			d.Relay.FreezeOpen()
		}
		time.Sleep(phaseTime / 4)
	}
	answered, refused := l.stop(t)
	t.Logf("open connections unresponsive: %d answered, %d not", answered, refused)
	is.True(answered > 0)
	is.Equal(refused, 0)
}
