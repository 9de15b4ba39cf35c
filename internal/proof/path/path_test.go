// Package path tests the path of a request from caller to runner with daemons that
// run as separate processes.
package path

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const configuration = `
[[kinds]]
name = "clash_check"
class = "urgent"
idempotent = true
service = "rota"
[[accounts]]
id = "st-anne"
`

func start(t *testing.T) *fleet.Fleet {
	return fleet.Start(t, fleet.Spec{
		VMs: []fleet.VM{
			{ID: "a", DataCentre: "uppland-1", Region: "uppland"},
			{ID: "b", DataCentre: "uppland-1", Region: "uppland"},
		},
		Runners: []vmlist.VM{{ID: "r1", DataCentre: "uppland-1", Region: "uppland", Service: "rota", Slots: 8, Connections: 64}},
		Config:  configuration,
	})
}

func send(d *fleet.Daemon) (caller.AnswerBody, error) {
	var a caller.AnswerBody
	in := caller.RequestBody{Account: "st-anne", Kind: "clash_check", Payload: []byte("draft 7")}
	err := d.CallerClient().Call(context.Background(), http.MethodPost, "/v1/requests", in, &a)
	return a, err
}

func TestRequestIsServed(t *testing.T) {
	is := is.New(t)
	f := start(t)
	a, err := send(f.Daemons["b"])
	is.NoErr(err)
	is.Equal(string(a.Payload), "r1: draft 7")
}

func TestPlatformUnreachableStillServes(t *testing.T) {
	is := is.New(t)
	f := start(t)
	f.PlatformRelay.SetAll(relay.Refuse)
	_, err := send(f.Daemons["a"])
	is.NoErr(err)
}

func TestPausedPeerIsRemovedAndReturns(t *testing.T) {
	f := start(t)
	a, b := f.Daemons["a"], f.Daemons["b"]
	hasVMs := func(n int) func() bool {
		return func() bool {
			fleet, err := a.FleetStatus()
			return err == nil && len(fleet.VMs) == n
		}
	}
	b.Signal(syscall.SIGSTOP)
	f.Until(10*time.Second, "b is removed from the fleet status", hasVMs(1))
	b.Signal(syscall.SIGCONT)
	f.Until(10*time.Second, "b is in the fleet status again", hasVMs(2))
}

// TestVMRestartedWithoutPlatformServes restarts a VM while the platform is down. It
// must get its configuration and its targets from its peer.
func TestVMRestartedWithoutPlatformServes(t *testing.T) {
	f := start(t)
	b := f.Daemons["b"]
	f.PlatformRelay.SetAll(relay.Refuse)
	b.Kill()
	b.Start()
	b.WaitReady()
	f.Until(10*time.Second, "b serves", func() bool {
		_, err := send(b)
		return err == nil
	})
}
