package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/gossip"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/serve"
)

// network carries the calls between tables in memory.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// down contains the addresses of stopped VMs. cut contains the data centres
	// that are partitioned from all others.
	down  map[string]bool
	cut   map[string]bool
	calls map[string]int
}

// link is the HTTP transport of one VM.
type link struct {
	n        *network
	from, dc string
}

func (l link) RoundTrip(req *http.Request) (*http.Response, error) {
	l.n.mu.Lock()
	h := l.n.handlers[req.URL.Host]
	to := dcOf(req.URL.Host)
	unreachable := l.n.down[l.from] || l.n.down[req.URL.Host] || (to != l.dc && (l.n.cut[to] || l.n.cut[l.dc]))
	l.n.calls[l.from]++
	l.n.mu.Unlock()
	if unreachable {
		return nil, errors.New("unreachable")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w.Result(), nil
}

func dcOf(address string) string { return address[:3] }

type cluster struct {
	network
	tables map[string]*gossip.Table
	stop   map[string]context.CancelFunc
}

// startCluster starts data centres of three VMs each, with the addresses dc1-a,
// dc1-b and so on.
func startCluster(ctx context.Context, dcs int) *cluster {
	c := &cluster{
		network: network{
			handlers: make(map[string]http.Handler), down: make(map[string]bool),
			cut: make(map[string]bool), calls: make(map[string]int),
		},
		tables: make(map[string]*gossip.Table), stop: make(map[string]context.CancelFunc),
	}
	var seeds []string
	for d := range dcs {
		for v := range 3 {
			seeds = append(seeds, fmt.Sprintf("dc%d-%c", d+1, 'a'+v))
		}
	}
	for i, address := range seeds {
		vm := &peerv1.Vm{
			VmId: address, Incarnation: "1", DataCentre: dcOf(address), PeerAddress: address, StartedUnixMs: int64(i + 1),
		}
		t := &gossip.Table{
			Self: vm, Seeds: seeds, Meter: &meter.Meter{}, Log: slog.New(slog.DiscardHandler),
			HTTP: &http.Client{Transport: link{n: &c.network, from: address, dc: vm.GetDataCentre()}},
		}
		_, h := peerv1connect.NewPeerServiceHandler(&serve.Service{Gossip: t})
		c.handlers[address], c.tables[address] = h, t
	}
	for address, t := range c.tables {
		runCtx, cancel := context.WithCancel(ctx)
		c.stop[address] = cancel
		go t.Run(runCtx)
	}
	return c
}

func (c *cluster) kill(address string) {
	c.mu.Lock()
	c.down[address] = true
	c.mu.Unlock()
	c.stop[address]()
}

func (c *cluster) setCut(dc string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[dc] = cut
}

// takeCalls returns the highest number of calls of one VM and the number of all
// calls since takeCalls was last called.
func (c *cluster) takeCalls() (most, sum int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.calls {
		most, sum = max(most, n), sum+n
	}
	c.calls = make(map[string]int)
	return most, sum
}

// age returns the time since the VM at last received an update on the VM of, or
// gossip.ExpireAfter when that VM is not live.
func (c *cluster) age(at, of string) time.Duration {
	for _, p := range c.tables[at].Live() {
		if p.VM.GetVmId() == of {
			return time.Since(p.LastSeen)
		}
	}
	return gossip.ExpireAfter
}

func runCluster(t *testing.T, dcs int, f func(is *is.I, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(is.New(t), startCluster(ctx, dcs))
	})
}

func TestAllVMsDiscoverEachOther(t *testing.T) {
	runCluster(t, 8, func(is *is.I, c *cluster) {
		time.Sleep(15 * time.Second)
		for _, table := range c.tables {
			is.Equal(len(table.Live()), 8*3-1)
			is.Equal(table.Planner("dc4").GetVmId(), "dc4-a")
		}
	})
}

// If every VM called every other one, each of the 24 VMs would make 23 calls a
// second. Instead, only planners call other data centres.
func TestOnlyPlannersCallOtherDataCentres(t *testing.T) {
	runCluster(t, 8, func(is *is.I, c *cluster) {
		time.Sleep(15*time.Second + gossip.Interval/2)
		c.takeCalls()
		time.Sleep(20 * time.Second)
		most, sum := c.takeCalls()
		is.Equal(most, 20*(2+7))
		is.Equal(sum, 20*(8*3*2+8*7/2))
	})
}

func TestPlannerFailover(t *testing.T) {
	runCluster(t, 3, func(is *is.I, c *cluster) {
		time.Sleep(15 * time.Second)
		c.kill("dc2-a")
		for range 60 {
			time.Sleep(time.Second)
			for _, address := range []string{"dc1-a", "dc1-c", "dc3-b"} {
				live := c.tables[address].Live()
				is.True(len(live) >= 3*3-2) // Only the stopped VM may be missing.
			}
			is.True(c.age("dc1-a", "dc2-b") <= 5*time.Second)
		}
		is.Equal(c.tables["dc2-c"].Planner("dc2").GetVmId(), "dc2-b")
		is.Equal(c.tables["dc3-c"].Planner("dc2").GetVmId(), "dc2-b")
	})
}

func TestPartitionedDataCentreRecovers(t *testing.T) {
	runCluster(t, 3, func(is *is.I, c *cluster) {
		time.Sleep(15 * time.Second)
		c.setCut("dc2", true)
		time.Sleep(gossip.RemoteLivenessTimeout + 5*time.Second)
		is.Equal(len(c.tables["dc2-b"].Live()), 2)
		is.Equal(len(c.tables["dc1-b"].Live()), 5)
		time.Sleep(5 * time.Minute)
		c.setCut("dc2", false)
		time.Sleep(10 * time.Second)
		is.Equal(len(c.tables["dc2-b"].Live()), 8)
		is.Equal(len(c.tables["dc3-c"].Live()), 8)
	})
}
