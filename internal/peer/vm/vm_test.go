package vm_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1/nodev1connect"
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

// notCalled is the access of a VM that can't reach the store.
type notCalled struct{ path.Access }

func (notCalled) Get(context.Context, string) (store.Item, bool, error) {
	return store.Item{}, false, fault.Wrap(fault.StoreUnavailable, path.ErrNotCalled, "relay")
}

func (notCalled) Changes(context.Context, string, int64) ([]store.Item, int64, error) {
	return nil, 0, fault.Wrap(fault.StoreUnavailable, path.ErrNotCalled, "relay")
}

func (notCalled) Apply(context.Context, store.Txn) (int64, []store.Item, error) {
	return 0, nil, fault.Wrap(fault.StoreUnavailable, path.ErrNotCalled, "relay")
}

// TestRelayTellsThatStoreWasNotCalled checks that a VM learns from a peer that can't reach the
// store itself that the store has not refused the call.
func TestRelayTellsThatStoreWasNotCalled(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewNodeServiceHandler(&vm.Service{Direct: notCalled{}}))
	s := httptest.NewServer(mux)
	defer s.Close()
	address := s.Listener.Addr().(*net.TCPAddr)
	peers := &vm.Peers{SelfIP: "10.0.0.1", Port: address.Port, HTTP: s.Client()}
	peers.Add(address.IP.String())
	relay := peers.Relays()[0]
	_, _, err := relay.Get(t.Context(), "k")
	is.True(errors.Is(err, path.ErrNotCalled))
	_, _, err = relay.Range(t.Context(), "k")
	is.True(errors.Is(err, path.ErrNotCalled))
	_, _, err = relay.Apply(t.Context(), store.Txn{})
	is.True(errors.Is(err, path.ErrNotCalled))
	is.True(fault.Is(err, fault.StoreUnavailable))
}

// TestPeerThatRefusesChangeIsNotAskedFirst guards against changes that go to the same peer
// again and again although it can't reach the store.
func TestPeerThatRefusesChangeIsNotAskedFirst(t *testing.T) {
	is := is.New(t)
	transport := &answers{handlers: make(map[string]http.Handler)}
	peers := &vm.Peers{SelfIP: "10.0.0.1", Port: 7000, HTTP: &http.Client{Transport: transport}}
	for _, ip := range []string{"10.0.0.2", "10.0.0.3"} {
		mux := http.NewServeMux()
		mux.Handle(nodev1connect.NewNodeServiceHandler(&vm.Service{Direct: notCalled{}}))
		transport.handlers[ip+":7000"] = mux
		peers.Add(ip)
	}
	for range 2 {
		_, _, err := peers.Relays()[0].Apply(t.Context(), store.Txn{})
		is.True(err != nil)
	}
	is.Equal(len(transport.hosts), 2)
	is.True(transport.hosts[0] != transport.hosts[1])
}

// answers is a transport to handlers by host, and records the hosts of the requests.
type answers struct {
	handlers map[string]http.Handler
	hosts    []string
}

func (a *answers) RoundTrip(r *http.Request) (*http.Response, error) {
	a.hosts = append(a.hosts, r.URL.Host)
	w := httptest.NewRecorder()
	a.handlers[r.URL.Host].ServeHTTP(w, r)
	return w.Result(), nil
}
