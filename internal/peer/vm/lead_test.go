package vm_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/nodev1/nodev1connect"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/vm"
)

// silentHosts is a transport on which some of the hosts get no response, and others one of a
// handler.
type silentHosts struct {
	silent  map[string]bool
	handler http.Handler
}

func (s silentHosts) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.silent[r.URL.Host] {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// queryTimeout is the time in which a query of the planner finds the planner and asks it.
const queryTimeout = 500 * time.Millisecond

// TestLeadIsFoundBesideSilentPeers guards against queries of the planner whose time is spent
// on peers that do not respond.
func TestLeadIsFoundBesideSilentPeers(t *testing.T) {
	mux := http.NewServeMux()
	holder := func() (lock.Holder, time.Duration) { return lock.Holder{VMID: "v", IP: "10.0.0.9", Revision: 7}, 0 }
	mux.Handle(nodev1connect.NewNodeServiceHandler(&vm.Service{Holder: holder}))
	for silent := range 3 {
		t.Run(fmt.Sprintf("%d silent", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer time.Sleep(time.Second) // the queries of silent peers end
				transport := silentHosts{silent: make(map[string]bool), handler: mux}
				first := &firstHost{}
				peers := &vm.Peers{SelfIP: "10.0.0.1", Port: 7000, HTTP: &http.Client{Transport: first}}
				for n := range 6 {
					peers.Add(fmt.Sprintf("10.0.0.%d", 2+n))
				}
				for range silent { // the first peers in the order of this VM
					first.host = ""
					_, _, err := peers.Relays()[0].Get(t.Context(), "k")
					is.True(err != nil)
					transport.silent[first.host] = true
				}
				peers = &vm.Peers{SelfIP: "10.0.0.1", Port: 7000, HTTP: &http.Client{Transport: transport}}
				for n := range 6 {
					peers.Add(fmt.Sprintf("10.0.0.%d", 2+n))
				}
				ctx, cancel := context.WithTimeout(t.Context(), queryTimeout)
				defer cancel()
				began := time.Now()
				lead, err := peers.Lead(ctx)
				is.NoErr(err)
				is.Equal(lead.GetRevision(), int64(7))
				is.True(time.Since(began) <= queryTimeout/2) // as much is left for the query itself
			})
		})
	}
}
