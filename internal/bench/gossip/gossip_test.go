// Package gossip measures the traffic of heartbeats.
package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/gossip"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/serve"
)

const (
	dataCentres      = 8
	vmsPerDataCentre = 8
	settleTime       = 12 * time.Second
	measuringTime    = 16 * time.Second
	// trafficBound is the required bound on a daemon's control traffic, in bytes
	// per second.
	trafficBound = 18 << 10
)

// countedConn is a connection that adds the bytes of both directions to bytes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

// newTable starts the server of VM i and returns its table, which does not run yet.
// n counts the bytes that both send and receive.
func newTable(t *testing.T, i int, n *atomic.Int64) *gossip.Table {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{c, n}, nil
	}
	g := &gossip.Table{
		Meter: &meter.Meter{}, Log: slog.New(slog.DiscardHandler),
		HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2}},
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&serve.Service{Gossip: g}))
	s := httptest.NewUnstartedServer(mux)
	s.Listener = countedListener{s.Listener, n}
	g.Self = &peerv1.Vm{
		VmId: fmt.Sprintf("entry-vm-%03d", i), Incarnation: fmt.Sprintf("0f7d2c1e-5c1b-4c57-9d0a-%012d", i),
		DataCentre: fmt.Sprintf("uppland-%d", i/vmsPerDataCentre), Region: "uppland",
		PeerAddress: s.Listener.Addr().String(), StartedUnixMs: time.Now().UnixMilli(),
	}
	s.Start()
	t.Cleanup(s.Close)
	return g
}

func TestTraffic(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var total atomic.Int64
	var tables []*gossip.Table
	for i := range dataCentres * vmsPerDataCentre {
		g := newTable(t, i, &total)
		if i > 0 {
			g.Seeds = []string{tables[0].Self.GetPeerAddress()}
		}
		tables = append(tables, g)
	}
	for _, g := range tables {
		go g.Run(ctx)
		time.Sleep(time.Second / (dataCentres * vmsPerDataCentre))
	}
	time.Sleep(settleTime)
	before := total.Load()
	time.Sleep(measuringTime)
	perVM := float64(total.Load()-before) / measuringTime.Seconds() / float64(len(tables))
	live := len(tables)
	for _, g := range tables {
		live = min(live, len(g.Live())+1)
	}
	failed := report.Print([]report.Measure{
		{Area: "gossip", Name: "heartbeat traffic of a VM, both ways, 64 VMs", Unit: "B/s", Value: perVM, AtMost: report.Float(trafficBound), Note: "without demand, leaving targets and configuration"},
		{Area: "gossip", Name: "fewest VMs seen live", Unit: "VMs", Value: float64(live), AtLeast: report.Float(dataCentres * vmsPerDataCentre)},
	})
	if len(failed) > 0 {
		t.Errorf("out of bounds: %v", failed)
	}
}
