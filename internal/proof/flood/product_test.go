package flood

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/callers"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
)

const (
	productConfig = `
[defaults]
request_timeout = "20s"
[[kinds]]
name = "check"
class = "urgent"
idempotent = true
service = "rota"
expected = "50ms"
[[accounts]]
id = "guild"
`
	productHead = "POST /v1/requests HTTP/1.1\r\nHost: vm\r\nContent-Type: application/json\r\n"
)

// startProduct starts one of the product's own daemons, with the memory and descriptors of
// its settings.
func startProduct(t *testing.T, memoryMB int) (*target, *fleet.Daemon) {
	t.Helper()
	t.Setenv("DOGWOODD_LIMITS_MEMORY", fmt.Sprint(memoryMB<<20))
	t.Setenv(filesVariable, fmt.Sprint(files))
	f := fleet.Start(t, fleet.Spec{
		Config: productConfig, VMs: []fleet.VM{{ID: "a", DataCentre: "uppland-1", Region: "uppland"}},
		Runners: []vmlist.VM{{ID: "r1", DataCentre: "uppland-1", Region: "uppland", Service: "rota", Slots: 8, Connections: 64}},
	})
	d := f.Daemons["a"]
	var n atomic.Int64
	return &target{pid: d.PID(), ip: d.IP, memoryMB: memoryMB, maxSockets: files, ordinary: func() (int, error) {
		if outcome := callers.Send(d.CallerAddress, "guild", "check", n.Add(1)); outcome != callers.Answered {
			return 0, fmt.Errorf("outcome %s", outcome)
		}
		return http.StatusOK, nil
	}}, d
}

// productListeners are the listeners of the product's daemon, and the start of a request to
// each.
var productListeners = []struct {
	name, head string
	address    func(d *fleet.Daemon) string
}{
	{"callers", productHead, func(d *fleet.Daemon) string { return d.CallerAddress }},
	{
		"operators", "POST /v1/config HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer test-token\r\n",
		func(d *fleet.Daemon) string { return d.OperatorAddress },
	},
	{
		"peers", "POST /dogwoodworks.peer.v1.PeerService/FetchConfig HTTP/1.1\r\nHost: vm\r\nContent-Type: application/proto\r\n",
		func(d *fleet.Daemon) string { return d.PeerListener },
	},
}

// TestProductSurvivesFlood guards against a process that runs out of memory or
// descriptors because of requests that never end or cost much, at any of its listeners.
func TestProductSurvivesFlood(t *testing.T) {
	for _, l := range productListeners {
		floods := unfinished(l.head)
		if l.name == "callers" {
			maps.Copy(floods, complete(l.head, requestBody(0), requestBody(bodyBytes)))
		}
		for kind, f := range floods {
			if l.name != "callers" && kind != "header_lines" && kind != "bodies" {
				continue
			}
			t.Run(l.name+"/"+kind, func(t *testing.T) {
				x, d := startProduct(t, memoryMB)
				x.run(t, l.address(d), f)
			})
		}
	}
}

// TestSuspendedProductSurvivesFlood guards against memory that the kernel takes for clients
// while the process reads nothing.
func TestSuspendedProductSurvivesFlood(t *testing.T) {
	for _, l := range productListeners {
		t.Run(l.name, func(t *testing.T) {
			x, d := startProduct(t, suspendedMemoryMB)
			x.runSuspended(t, l.address(d), unfinished(l.head)["bodies"])
		})
	}
}

// requestBody returns a request whose encoding has a size, or the smallest one.
func requestBody(size int) []byte {
	encode := func(n int) []byte {
		b, err := json.Marshal(caller.RequestBody{Account: "guild", Kind: "check", Payload: []byte(strings.Repeat("x", n))})
		if err != nil {
			panic(err)
		}
		return b
	}
	if n := (size - len(encode(0))) / 4 * 3; n > 0 {
		return encode(n)
	}
	return encode(3)
}

// TestProductServesLegalRequest guards against limits that refuse a request within the
// limits when there is no other load.
func TestProductServesLegalRequest(t *testing.T) {
	x, d := startProduct(t, memoryMB)
	x.awaitAnswer(t)
	for i, p := range legal(productHead+caller.HeaderKey+": key %s\r\n", requestBody(0), requestBody) {
		t.Run(p.name, func(t *testing.T) {
			p.request = []byte(strings.Replace(string(p.request), "%s", fmt.Sprintf("legal%d", i), 1))
			p.send(t, d.CallerAddress)
		})
	}
}
