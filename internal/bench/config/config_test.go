// Package config measures the traffic, the store calls and the time that it takes to
// bring configuration edits into force on all VMs.
package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/serve"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/memory"
)

// The size and the bounds that the requirements state, and the number of edits that
// are measured.
const (
	accounts             = 63
	documentBytes        = 200 << 10
	changesPerDay        = 3200
	secondsPerDay        = 86400
	dataCentres          = 8
	vmsPerDataCentre     = 3
	budgetBytesPerSecond = 18 << 10
	maxInForceSeconds    = 10
	measuredChanges      = 200
	burstEdits           = 20
)

// operatorFile is a configuration that small edits change.
type operatorFile struct {
	exceptions []string
	queueLimit int
}

func newFile(r *rand.Rand) *operatorFile {
	f := &operatorFile{queueLimit: 1000}
	for i := 0; len(f.toml()) < documentBytes; i++ {
		f.exceptions = append(f.exceptions, exception(r, i%accounts, i))
	}
	return f
}

// exception returns an exception whose reason is random hexadecimal digits, which
// compress badly.
func exception(r *rand.Rand, account, n int) string {
	return fmt.Sprintf("[[exceptions]]\nreason = \"%016x %016x %016x\"\nscope = { account = \"account-%02d\", target = \"t-%d\" }\nset = { request_timeout = \"20s\" }\n",
		r.Uint64(), r.Uint64(), r.Uint64(), account, n)
}

func (f *operatorFile) toml() string {
	text := fmt.Sprintf("[defaults]\nqueue_limit = %d\n", f.queueLimit)
	for i := range accounts {
		text += fmt.Sprintf("[[accounts]]\nid = \"account-%02d\"\n", i)
	}
	return text + strings.Join(f.exceptions, "")
}

// change edits the defaults with a probability of 1 in 10, and an exception
// otherwise.
func (f *operatorFile) change(r *rand.Rand, n int) {
	if r.IntN(10) == 0 {
		f.queueLimit++
		return
	}
	i := r.IntN(len(f.exceptions))
	f.exceptions[i] = exception(r, i%accounts, len(f.exceptions)+n)
}

func apply(t *testing.T, v *memory.VM, f *operatorFile, id string) {
	t.Helper()
	e := config.Edit{BaseVersion: v.Current().Version, EditID: id, Author: "eva@example.org", Reason: "ticket " + id, TOML: f.toml()}
	if _, err := v.Apply(context.Background(), e, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingStore counts the bytes of the values that are read, in base64 as in the
// store's JSON.
type countingStore struct {
	*memory.Store
	bytes int
}

func (s *countingStore) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	e, found, err := s.Store.Get(ctx, key)
	s.bytes += len(e.Value) * 4 / 3
	return e, found, err
}

// endpoint serves a VM's configuration and counts the bytes of its connections.
type endpoint struct {
	listener *countingListener
	server   *httptest.Server
	client   peerv1connect.PeerServiceClient
}

func newEndpoint(v *memory.VM) *endpoint {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&serve.Service{Config: v}))
	server := httptest.NewUnstartedServer(mux)
	l := &countingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	return &endpoint{l, server, peerv1connect.NewPeerServiceClient(server.Client(), server.URL)}
}

func (e *endpoint) fetch(t *testing.T, have uint64) {
	t.Helper()
	if _, err := e.client.FetchConfig(context.Background(), &peerv1.FetchConfigRequest{HaveVersion: have}); err != nil {
		t.Fatal(err)
	}
}

// close stops the endpoint and returns the bytes of all its calls.
func (e *endpoint) close() float64 {
	e.server.Close()
	return float64(e.listener.bytes.Load())
}

func measureBytes(t *testing.T) []report.Measure {
	r := rand.New(rand.NewPCG(1, 1))
	kv := &memory.Store{}
	n := &memory.Network{}
	editor := n.Add("a", "dc", kv)
	countedStore := &countingStore{Store: kv}
	watcher := n.Add("b", "dc", countedStore)
	changedEndpoint, wholeEndpoint, outdatedEndpoint := newEndpoint(editor), newEndpoint(editor), newEndpoint(editor)
	file := newFile(r)
	apply(t, editor, file, "first")
	if err := watcher.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	countedStore.bytes = 0
	calls := kv.Calls()
	for i := range measuredChanges {
		file.change(r, i)
		apply(t, editor, file, fmt.Sprint("edit-", i))
		changedEndpoint.fetch(t, editor.Current().Version-1)
		wholeEndpoint.fetch(t, 0)
	}
	changed, whole := changedEndpoint.close(), wholeEndpoint.close()
	perEdit := float64(kv.Calls()-calls) / measuredChanges
	read := float64(0)
	for i := range measuredChanges {
		file.change(r, measuredChanges+i)
		apply(t, editor, file, fmt.Sprint("watched-", i))
		if err := watcher.Load(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	read = float64(countedStore.bytes) / measuredChanges
	perSecond := func(perChange float64) float64 { return perChange * changesPerDay / secondsPerDay }
	outdatedEndpoint.fetch(t, editor.Current().Version-32)
	outdated := outdatedEndpoint.close()
	f := report.Float
	return []report.Measure{
		{Name: "document of the operators", Unit: "B", Value: float64(len(file.toml()))},
		{Name: "changed sections, per VM", Unit: "B/s", Value: perSecond(changed / measuredChanges), Baseline: f(perSecond(whole / measuredChanges)), Ratio: true, AtMost: f(1), Note: "baseline: the whole document; both compressed, both ways on the connection"},
		{Name: "traffic of a VM that serves two peers", Unit: "B/s", Value: perSecond(3 * changed / measuredChanges), AtMost: f(budgetBytesPerSecond)},
		{Name: "store reads of a watching VM", Unit: "B/s", Value: perSecond(read), AtMost: f(budgetBytesPerSecond), Note: "values in base64, without HTTP headers"},
		{Name: "32 versions behind, one fetch", Unit: "B", Value: outdated, Baseline: f(whole / measuredChanges), Ratio: true, AtMost: f(1), Note: "baseline: the whole document"},
		{Name: "store calls per edit", Unit: "calls", Value: perEdit, AtMost: f(10)},
		{Name: "store calls of all edits of a day", Unit: "calls/s", Value: perSecond(perEdit), AtMost: f(20), Note: "a tenth of several hundred writes a second"},
	}
}

// measureSpread returns the longest simulated time until edits are in force on all
// VMs: for single edits, for a burst, after a watching VM is killed, and with the
// store down while a planner's VM is killed.
func measureSpread(t *testing.T) []report.Measure {
	var single, bursts, killed, outage, idle float64
	synctest.Test(t, func(t *testing.T) {
		n, kv := &memory.Network{}, &memory.Store{}
		var vms []*memory.VM
		for i := range dataCentres {
			for j := range vmsPerDataCentre {
				dc := fmt.Sprint("dc-", i)
				vms = append(vms, n.Add(fmt.Sprint(dc, "-", j), dc, kv).Start())
				time.Sleep(41 * time.Millisecond)
			}
		}
		defer func() {
			for _, v := range vms {
				v.Kill()
			}
		}()
		time.Sleep(5 * time.Second)
		before := kv.Calls()
		time.Sleep(10 * time.Minute)
		idle = float64(kv.Calls()-before) / (10 * 60 * dataCentres)
		file := &operatorFile{queueLimit: 1}
		edit := func(v *memory.VM, count int, after func()) float64 {
			for range count {
				file.queueLimit++
				apply(t, v, file, fmt.Sprint(file.queueLimit))
			}
			after()
			start := time.Now()
			for _, o := range vms {
				for o.Current().Version < v.Current().Version {
					time.Sleep(10 * time.Millisecond)
				}
			}
			return time.Since(start).Seconds()
		}
		for i := range 100 {
			single = max(single, edit(vms[i*7%len(vms)], 1, func() {}))
			time.Sleep(time.Duration(i) * 137 * time.Millisecond)
		}
		bursts = edit(vms[4], burstEdits, func() {})
		time.Sleep(5 * time.Second)
		vms[3].Kill()
		vms = append(vms[:3], vms[4:]...)
		killed = edit(vms[0], 1, func() {})
		time.Sleep(5 * time.Second)
		kv.DownAfterPut = config.HeadKey
		outage = edit(vms[2], 1, func() {
			vms[0].Kill()
			vms = vms[1:]
		})
	})
	bound := report.Float(maxInForceSeconds)
	return []report.Measure{
		{Name: "time in force, 100 edits, longest", Unit: "s", Value: single, AtMost: bound, Note: "simulated time, 8 data centres of 3 VMs"},
		{Name: "time in force, burst of 20", Unit: "s", Value: bursts, AtMost: bound, Note: "simulated time"},
		{Name: "time in force, a watching VM just killed", Unit: "s", Value: killed, AtMost: bound, Note: "simulated time"},
		{Name: "time in force, the store down and the editor's planner killed", Unit: "s", Value: outage, AtMost: bound, Note: "simulated time; between data centres only planners exchange heartbeats"},
		{Name: "store calls of an idle watching VM", Unit: "calls/s", Value: idle, AtMost: report.Float(0.2), Note: "other VMs make none"},
	}
}

func TestBench(t *testing.T) {
	measures := append(measureBytes(t), measureSpread(t)...)
	for i := range measures {
		measures[i].Area = "config"
	}
	if failed := report.Print(measures); len(failed) > 0 {
		t.Fatal(failed)
	}
}
