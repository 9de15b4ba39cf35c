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

// here answers with the request's payload.
type here struct{ err error }

func (h here) Do(_ context.Context, r dispatch.Request) (dispatch.Answer, error) {
	return dispatch.Answer{RequestID: r.ID, Payload: r.Payload, Attempts: 1}, h.err
}

// service is the peer service of the home.
type service struct {
	peerv1connect.UnimplementedPeerServiceHandler
	router *forward.Router
	// lose drops the answers.
	lose bool
}

func (s *service) ForwardRequest(ctx context.Context, in *peerv1.ForwardRequestRequest) (*peerv1.ForwardRequestResponse, error) {
	resp := s.router.Serve(ctx, in)
	if s.lose {
		panic(http.ErrAbortHandler)
	}
	return resp, nil
}

type peers []*peerv1.Vm

func (p peers) In(string) []*peerv1.Vm { return p }

func (p peers) Client(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+address)
}

// vm starts a VM of the home.
func vm(t *testing.T, s *service) *peerv1.Vm {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(s))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &peerv1.Vm{VmId: server.URL, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
}

func do(p peers) (dispatch.Answer, error) {
	r := &forward.Router{
		Self: &peerv1.Vm{DataCentre: "dalarna-1"}, Here: here{}, Peers: p, Meter: &meter.Meter{},
		Home: func(r dispatch.Request) string { return r.Home }, Listed: func() bool { return true },
	}
	return r.Do(context.Background(), dispatch.Request{ID: "1", Home: "uppland-1", Payload: []byte("p"), Deadline: time.Now().Add(5 * time.Second)})
}

func TestForward(t *testing.T) {
	is := is.New(t)
	whole := &service{router: &forward.Router{Here: here{}, Meter: &meter.Meter{}}}
	refuses := &service{router: &forward.Router{Here: here{err: fault.New(fault.NotReady, "not yet")}, Meter: &meter.Meter{}}}
	loses := &service{router: &forward.Router{Here: here{}, Meter: &meter.Meter{}}, lose: true}
	dead := &peerv1.Vm{PeerAddress: "127.0.0.1:1"}
	a, err := do(peers{dead, vm(t, refuses), vm(t, whole)})
	is.NoErr(err)
	is.Equal(string(a.Payload), "p")
	_, err = do(peers{dead})
	is.True(fault.Is(err, fault.HomeUnreachable)) // not run
	_, err = do(nil)
	is.True(fault.Is(err, fault.HomeUnreachable))
	_, err = do(peers{vm(t, refuses)})
	is.True(fault.Is(err, fault.NotReady))
	_, err = do(peers{vm(t, loses), vm(t, refuses)})
	is.True(fault.Is(err, fault.AnswerLost)) // the first may have run it
	a, err = do(peers{vm(t, loses), vm(t, whole)})
	is.NoErr(err)
	is.Equal(string(a.Payload), "p")
}
