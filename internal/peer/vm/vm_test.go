package vm_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/peer/vm"
)

// firstHost is a transport that fails each request and records the host of the first.
type firstHost struct{ host string }

func (f *firstHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.host == "" {
		f.host = r.URL.Host
	}
	return nil, errors.New("no response")
}

// maxRelayed is the number of configurations of 0.4 MB that a link of 10 Mbit/s carries
// within the time that a relayed call may take.
const maxRelayed = 4

func TestVMsDoNotAllRelayThroughOnePeer(t *testing.T) {
	for _, vms := range []int{45, 97, 300} {
		ip := func(n int) string { return fmt.Sprintf("10.%d.0.%d", n%6+1, 20+n/6) }
		calls := make(map[string]int)
		// The store turns a third of the VMs away.
		for self := 0; self < vms; self += 3 {
			transport := &firstHost{}
			peers := &vm.Peers{SelfIP: ip(self), Port: 7000, HTTP: &http.Client{Transport: transport}}
			for n := range vms {
				peers.Add(ip(n))
			}
			if _, _, err := peers.Relays()[0].Get(t.Context(), "k"); err == nil {
				t.Fatal("no error from an unreachable peer")
			}
			calls[transport.host]++
		}
		for host, n := range calls {
			if n > maxRelayed {
				t.Errorf("%d VMs: %d relay through %s", vms, n, host)
			}
		}
	}
}

// TestOddPeerIsNotAdded guards against calls to a peer whose entry in the list of VMs has no
// IP address.
func TestOddPeerIsNotAdded(t *testing.T) {
	is := is.New(t)
	p := vm.Peers{SelfIP: "10.0.0.1", Port: 7000}
	for _, ip := range []string{"", "10.0.0.1", "10.0.0.999", "10.0.0.2:80", "a\nb", "host"} {
		p.Add(ip)
	}
	is.Equal(len(p.Relays()), 0)
	p.Add("10.0.0.2")
	is.Equal(len(p.Relays()), 1)
}
