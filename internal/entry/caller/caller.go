// Package caller implements the HTTP API for callers.
package caller

import (
	"context"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/dispatch"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// Headers of the callers' API.
const (
	HeaderKey  = "Idempotency-Key"
	HeaderHome = "Home-Data-Centre"
)

// Limits of input fields.
const (
	maxIDBytes      = 128
	maxTimeoutMS    = 24 * 60 * 60 * 1000
	maxTasks        = 1024
	maxAccelerators = 64
	maxRunMS        = 90 * 24 * 60 * 60 * 1000
)

// RequestBody is the body of a request.
type RequestBody struct {
	Account string `json:"client_account"`
	Kind    string `json:"kind"`
	Payload []byte `json:"payload"`
	// TimeoutMS is the time that the caller waits, in milliseconds; 0 selects
	// the configured time.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
}

// AnswerBody is the body of the answer to a request.
type AnswerBody struct {
	Outcome   fault.Outcome `json:"outcome"`
	RequestID string        `json:"request_id"`
	Payload   []byte        `json:"payload"`
	Runner    string        `json:"runner,omitempty"`
	Attempts  int           `json:"attempts"`
	// Recorded reports that the answer is that of an earlier submission with
	// the same idempotency key.
	Recorded bool `json:"recorded"`
}

// JobBody is the body of a job submission.
type JobBody struct {
	Account      string `json:"client_account"`
	Kind         string `json:"kind"`
	Tasks        int    `json:"tasks"`
	Accelerators int    `json:"accelerators"`
	Adjacent     bool   `json:"adjacent,omitempty"`
	// DeclaredMS is the run time that the caller expects, in milliseconds.
	DeclaredMS int64 `json:"declared_ms"`
	// RunMS is the run time in milliseconds that the stand-in workers use; 0
	// means DeclaredMS.
	RunMS int64 `json:"run_ms,omitempty"`
}

// JobAnswer is the answer to a job submission.
type JobAnswer struct {
	JobID string `json:"job_id"`
}

// JobList is the answer to a list of jobs.
type JobList struct {
	Jobs []job.View `json:"jobs"`
}

// Requests executes requests.
type Requests interface {
	Do(ctx context.Context, r dispatch.Request) (dispatch.Answer, error)
}

// Jobs accepts, lists and cancels jobs.
type Jobs interface {
	Submit(ctx context.Context, r job.Record) error
	List(ctx context.Context, id string, explain bool) ([]job.View, error)
	Cancel(ctx context.Context, id string) error
}

// Server handles callers' calls. Its fields must be set before use.
type Server struct {
	DataCentre string
	Requests   Requests
	Jobs       Jobs
	Config     func() config.Head
	// Ready reports whether the VM accepts new work.
	Ready func() bool
	// ServesRequests reports whether the VM can serve requests. It remains true for some
	// time after a planned stop begins, when Ready already reports false.
	ServesRequests func() bool
	Meter          *meter.Meter
}

// Register adds the routes of the API to e.
func (s *Server) Register(e *echo.Echo) {
	e.POST("/v1/requests", s.request)
	e.POST("/v1/jobs", s.submitJob)
	e.GET("/v1/jobs", s.listJobs)
	e.GET("/v1/jobs/:id", s.viewJob)
	e.POST("/v1/jobs/:id/cancel", s.cancelJob)
}

func (s *Server) request(c echo.Context) error {
	if !s.ServesRequests() {
		return fault.New(fault.NotReady, "this VM has no configuration yet")
	}
	var in RequestBody
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	r := dispatch.Request{
		ID: uuid.NewString(), Account: in.Account, Kind: in.Kind, Payload: in.Payload,
		Key: c.Request().Header.Get(HeaderKey), Home: c.Request().Header.Get(HeaderHome),
	}
	if err := checkRequest(in, r); err != nil {
		return err
	}
	if in.TimeoutMS > 0 {
		r.Deadline = time.Now().Add(time.Duration(in.TimeoutMS) * time.Millisecond)
	}
	a, err := s.Requests.Do(c.Request().Context(), r)
	if !s.Ready() {
		// Close the connection, so that the caller's next request goes to
		// another VM.
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	if err != nil {
		return err
	}
	s.Meter.Inc(fault.Lookup(fault.OK).Counter)
	return c.JSON(http.StatusOK, AnswerBody{
		Outcome: fault.Answered, RequestID: a.RequestID, Payload: a.Payload,
		Runner: a.Runner, Attempts: a.Attempts, Recorded: a.Recorded,
	})
}

func checkRequest(in RequestBody, r dispatch.Request) error {
	ids := []struct{ field, v string }{
		{"client_account", in.Account}, {"kind", in.Kind}, {HeaderKey, r.Key}, {HeaderHome, r.Home},
	}
	for _, id := range ids {
		if len(id.v) > maxIDBytes {
			return fault.WithField(fault.BadRequest, id.field, "is over %d bytes", maxIDBytes)
		}
		if !utf8.ValidString(id.v) {
			return fault.WithField(fault.BadRequest, id.field, "is not UTF-8")
		}
	}
	return checkRange("timeout_ms", in.TimeoutMS, 0, maxTimeoutMS)
}

func checkRange(field string, v, low, high int64) error {
	if v < low || v > high {
		return fault.WithField(fault.BadRequest, field, "%d is not between %d and %d", v, low, high)
	}
	return nil
}

func (s *Server) submitJob(c echo.Context) error {
	if !s.Ready() {
		return fault.New(fault.NotReady, "this VM takes no new work")
	}
	var in JobBody
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	key := c.Request().Header.Get(HeaderKey)
	if len(key) > maxIDBytes {
		return fault.WithField(fault.BadRequest, HeaderKey, "is over %d bytes", maxIDBytes)
	}
	r, err := s.newRecord(in)
	if err != nil {
		return err
	}
	r.ID = job.NewID(r.Account, key)
	if err := s.Jobs.Submit(c.Request().Context(), r); err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, JobAnswer{JobID: r.ID})
}

func (s *Server) newRecord(in JobBody) (job.Record, error) {
	doc := s.Config().Document
	kind, ok := doc.KindNamed(in.Kind)
	if !ok || kind.Service != "" {
		return job.Record{}, fault.WithField(fault.BadRequest, "kind", "%q is not a kind of job", in.Kind)
	}
	if _, ok := doc.AccountNamed(in.Account); !ok {
		return job.Record{}, fault.WithField(fault.BadRequest, "client_account", "%q is not known", in.Account)
	}
	if in.RunMS == 0 {
		in.RunMS = in.DeclaredMS
	}
	ranges := []struct {
		field        string
		v, low, high int64
	}{
		{"tasks", int64(in.Tasks), 1, maxTasks},
		{"accelerators", int64(in.Accelerators), 1, maxAccelerators},
		{"declared_ms", in.DeclaredMS, 1, maxRunMS},
		{"run_ms", in.RunMS, 1, maxRunMS},
	}
	for _, r := range ranges {
		if err := checkRange(r.field, r.v, r.low, r.high); err != nil {
			return job.Record{}, err
		}
	}
	return job.Record{
		Account: in.Account, Kind: in.Kind, DataCentre: s.DataCentre,
		Rank: kind.Class.Rank(), Tasks: in.Tasks, Accelerators: in.Accelerators, Adjacent: in.Adjacent,
		Idempotent: kind.Idempotent, RunMS: in.RunMS, DeclaredMS: in.DeclaredMS,
		SubmittedUnixMS: time.Now().UnixMilli(), State: job.Waiting, Sequence: 1,
	}, nil
}

func (s *Server) listJobs(c echo.Context) error {
	views, err := s.Jobs.List(c.Request().Context(), "", false)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, JobList{Jobs: views})
}

func (s *Server) viewJob(c echo.Context) error {
	views, err := s.Jobs.List(c.Request().Context(), c.Param("id"), c.QueryParam("explain") != "")
	if err != nil {
		return err
	}
	if len(views) == 0 {
		return fault.WithField(fault.NotFound, "job_id", "%q is not known", c.Param("id"))
	}
	return c.JSON(http.StatusOK, views[0])
}

func (s *Server) cancelJob(c echo.Context) error {
	if err := s.Jobs.Cancel(c.Request().Context(), c.Param("id")); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
