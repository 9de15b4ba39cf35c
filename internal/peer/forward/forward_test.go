package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/control/dispatch"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/forward"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// echo responds with the request's payload and the given error.
type echo struct{ err error }

func (e echo) Do(_ context.Context, r dispatch.Request) (dispatch.Answer, error) {
	return dispatch.Answer{RequestID: r.ID, Payload: r.Payload, Attempts: 1}, e.err
}

// service is the peer service of a VM of the home data centre.
type service struct {
	peerv1connect.UnimplementedPeerServiceHandler
	router *forward.Router
	// dropResponses makes the service drop its responses.
	dropResponses bool
}

func (s *service) ForwardRequest(ctx context.Context, in *peerv1.ForwardRequestRequest) (*peerv1.ForwardRequestResponse, error) {
	resp := s.router.Serve(ctx, in)
	if s.dropResponses {
		panic(http.ErrAbortHandler)
	}
	return resp, nil
}

type peers []*peerv1.Vm

func (p peers) VMsIn(string) []*peerv1.Vm { return p }

func (p peers) Client(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+address)
}

// startVM starts a VM of the home data centre that serves s.
func startVM(t *testing.T, s *service) *peerv1.Vm {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(s))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &peerv1.Vm{VmId: server.URL, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
}

func do(p peers) (dispatch.Answer, error) {
	r := &forward.Router{
		Self: &peerv1.Vm{DataCentre: "dalarna-1"}, Local: echo{}, Peers: p, Meter: &meter.Meter{},
		Home: func(r dispatch.Request) string { return r.Home }, Listed: func() bool { return true },
	}
	return r.Do(context.Background(), dispatch.Request{ID: "1", Home: "uppland-1", Payload: []byte("p"), Deadline: time.Now().Add(5 * time.Second)})
}

func TestForward(t *testing.T) {
	is := is.New(t)
	healthy := &service{router: &forward.Router{Local: echo{}, Meter: &meter.Meter{}}}
	notReady := &service{router: &forward.Router{Local: echo{err: fault.New(fault.NotReady, "not yet")}, Meter: &meter.Meter{}}}
	responseLost := &service{router: &forward.Router{Local: echo{}, Meter: &meter.Meter{}}, dropResponses: true}
	unreachable := &peerv1.Vm{PeerAddress: "127.0.0.1:1"}
	a, err := do(peers{unreachable, startVM(t, notReady), startVM(t, healthy)})
	is.NoErr(err)
	is.Equal(string(a.Payload), "p")
	_, err = do(peers{unreachable})
	is.True(fault.Is(err, fault.HomeUnreachable)) // the request did not run
	_, err = do(nil)
	is.True(fault.Is(err, fault.HomeUnreachable))
	_, err = do(peers{startVM(t, notReady)})
	is.True(fault.Is(err, fault.NotReady))
	_, err = do(peers{startVM(t, responseLost), startVM(t, notReady)})
	is.True(fault.Is(err, fault.AnswerLost)) // the first VM may have run it
	a, err = do(peers{startVM(t, responseLost), startVM(t, healthy)})
	is.NoErr(err)
	is.Equal(string(a.Payload), "p")
}
