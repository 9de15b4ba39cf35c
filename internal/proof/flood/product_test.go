package flood

import (
	"encoding/json"
	"fmt"
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

// startProduct starts one of the product's own daemons, with memory and descriptors of
// the flood's settings.
func startProduct(t *testing.T) (*target, *fleet.Daemon) {
	t.Helper()
	t.Setenv("DOGWOODD_LIMITS_MEMORY", fmt.Sprint(memoryMB<<20))
	t.Setenv(filesVariable, fmt.Sprint(files))
	f := fleet.Start(t, fleet.Spec{
		Config: productConfig, VMs: []fleet.VM{{ID: "a", DataCentre: "uppland-1", Region: "uppland"}},
		Runners: []vmlist.VM{{ID: "r1", DataCentre: "uppland-1", Region: "uppland", Service: "rota", Slots: 8, Connections: 64}},
	})
	d := f.Daemons["a"]
	var n atomic.Int64
	return &target{pid: d.PID(), ordinary: func() (int, error) {
		if outcome := callers.Send(d.CallerAddress, "guild", "check", n.Add(1)); outcome != callers.Answered {
			return 0, fmt.Errorf("outcome %s", outcome)
		}
		return http.StatusOK, nil
	}}, d
}

// TestProductSurvivesFlood guards against a process that runs out of memory or
// descriptors because of requests that never end, at any of its listeners.
func TestProductSurvivesFlood(t *testing.T) {
	for _, l := range []struct{ name, head string }{
		{"callers", productHead},
		{"operators", "POST /v1/config HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer test-token\r\n"},
		{"peers", "POST /dogwoodworks.peer.v1.PeerService/FetchConfig HTTP/1.1\r\nHost: vm\r\nContent-Type: application/proto\r\n"},
	} {
		for kind, request := range kinds(l.head) {
			if l.name != "callers" && kind != "header_lines" && kind != "bodies" {
				continue
			}
			t.Run(l.name+"/"+kind, func(t *testing.T) {
				x, d := startProduct(t)
				address := map[string]string{"callers": d.CallerAddress, "operators": d.OperatorAddress, "peers": d.PeerListener}[l.name]
				x.run(t, address, request)
			})
		}
	}
}

// TestProductServesLegalRequest guards against limits that refuse a request within the
// limits when there is no other load.
func TestProductServesLegalRequest(t *testing.T) {
	x, d := startProduct(t)
	x.awaitAnswer(t)
	body := func(size int) []byte {
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
	for i, p := range legal(productHead+caller.HeaderKey+": key %s\r\n", body(0), body) {
		t.Run(p.name, func(t *testing.T) {
			p.request = []byte(strings.Replace(string(p.request), "%s", fmt.Sprintf("legal%d", i), 1))
			p.send(t, d.CallerAddress)
		})
	}
}
