package worker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	target "github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

var p1 = target.Part{JobID: "j", Attempt: "1"}

// server is a stand-in that is called without sockets.
type server struct {
	is *is.I
	e  *echo.Echo
	w  *Worker
}

func newServer(t *testing.T) *server {
	s := &server{is: is.New(t), e: jsonhttp.NewEcho(jsonhttp.Limits{}, &meter.Meter{}), w: &Worker{ID: "w"}}
	s.w.Register(s.e)
	return s
}

// accepts makes one call and reports whether it was accepted.
func (s *server) accepts(path string, in any) bool {
	b, err := json.Marshal(in)
	s.is.NoErr(err)
	rec := httptest.NewRecorder()
	s.e.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/"+path, bytes.NewReader(b)))
	return rec.Code < http.StatusBadRequest
}

func (s *server) state() target.PartStatus {
	parts := s.w.Parts()
	if len(parts) == 0 {
		return target.PartStatus{}
	}
	return parts[0]
}

// startPart reserves and starts a part with a lease of 1 s in epoch 5.
func (s *server) startPart(ms int64) {
	s.is.True(s.accepts("reserve", target.ReserveRequest{Part: p1, Epoch: 5, Accelerators: []int{0}, LeaseMS: 1000}))
	s.is.True(s.accepts("start", target.StartRequest{Part: p1, Epoch: 5, Tasks: []int{0}, RunMS: ms}))
}

func TestLowerEpochIsRejectedWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t)
		s.startPart(5000)
		time.Sleep(900 * time.Millisecond)
		s.is.True(!s.accepts("renew", target.RenewRequest{Epoch: 4, LeaseMS: 1000, Parts: []target.Part{p1}}))
		for _, path := range []string{"stop", "checkpoint"} {
			s.is.True(!s.accepts(path, target.PartRequest{Part: p1, Epoch: 4}))
		}
		s.is.True(!s.accepts("reserve", target.ReserveRequest{Part: target.Part{JobID: "k"}, Epoch: 4, Accelerators: []int{1}}))
		s.is.Equal(s.state().State, target.Running)
		time.Sleep(100 * time.Millisecond)
		s.is.Equal(s.state().State, target.Expired)
		s.is.True(!s.accepts("start", target.StartRequest{Part: p1, Epoch: 5, RunMS: 1}))
		s.is.Equal(s.w.Starts()["j"], 1)
	})
}

func TestOccupiedAcceleratorIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t)
		s.startPart(5000)
		other := target.ReserveRequest{Part: target.Part{JobID: "k", Attempt: "1"}, Epoch: 6, Accelerators: []int{0}, LeaseMS: 1000}
		s.is.True(!s.accepts("reserve", other))
		s.is.True(s.accepts("stop", target.PartRequest{Part: p1, Epoch: 6}))
		s.is.True(s.accepts("reserve", other))
	})
}

func TestThrottleSlowsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t)
		s.startPart(600)
		time.Sleep(300 * time.Millisecond)
		s.is.True(s.accepts("throttle", target.ThrottleRequest{Part: p1, Epoch: 5, Percent: 50}))
		time.Sleep(400 * time.Millisecond)
		s.is.True(s.accepts("checkpoint", target.PartRequest{Part: p1, Epoch: 5}))
		s.is.Equal(s.state().CheckpointMS, int64(500))
		time.Sleep(200 * time.Millisecond)
		s.is.Equal(s.state().State, target.Done)
	})
}

// A renewal that lists only the digest extends the lease only while the worker's
// status still has this digest.
func TestRenewalByDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t)
		s.startPart(10_000)
		known := s.digest()
		time.Sleep(600 * time.Millisecond)
		s.is.True(s.accepts("renew", target.RenewRequest{Epoch: 5, LeaseMS: 1000, KnownDigest: known}))
		time.Sleep(600 * time.Millisecond)
		s.is.Equal(s.state().State, target.Running)
		s.is.True(s.accepts("checkpoint", target.PartRequest{Part: p1, Epoch: 5}))
		s.is.True(s.accepts("renew", target.RenewRequest{Epoch: 5, LeaseMS: 1000, KnownDigest: known}))
		time.Sleep(600 * time.Millisecond)
		s.is.Equal(s.state().State, target.Expired)
	})
}

// digest returns the digest of the worker's report.
func (s *server) digest() string {
	status := target.Status{Parts: s.w.Parts()}
	return status.ReportDigest()
}
