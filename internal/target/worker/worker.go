// Package worker is the client of the workers, the targets that run the tasks
// of gangs under leases.
package worker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

// State is the state of a part of a gang at one worker.
type State string

// The states of a part.
const (
	Reserved State = "reserved"
	Running  State = "running"
	Done     State = "done"
	Failed   State = "failed"
	Stopped  State = "stopped"
	// Lapsed means that the lease ran out and the worker stopped the part.
	Lapsed State = "lapsed"
)

// Part names the tasks of one attempt of a job at one worker.
type Part struct {
	JobID string `json:"job_id"`
	// Attempt differs for every attempt of the same job.
	Attempt string `json:"attempt"`
}

// ReserveRequest asks a worker to hold accelerators for one attempt.
type ReserveRequest struct {
	Part
	// Epoch is the planner's epoch; a worker refuses an epoch lower than the
	// highest that it has seen.
	Epoch        uint64 `json:"epoch"`
	Accelerators []int  `json:"accelerators"`
	LeaseMS      int64  `json:"lease_ms"`
}

// StartRequest starts all tasks of a reserved part.
type StartRequest struct {
	Part
	Epoch uint64 `json:"epoch"`
	// Tasks are the indices of the gang's tasks that run here.
	Tasks []int `json:"tasks"`
	// RunMS is the work of the job that is left, in milliseconds. It stands
	// in for the program that a real worker would run.
	RunMS int64 `json:"run_ms"`
	// Job is the planner's record of the job, returned by List so that a new
	// planner can adopt the part.
	Job []byte `json:"job"`
}

// RenewRequest renews the leases of all parts at a worker.
type RenewRequest struct {
	Epoch   uint64 `json:"epoch"`
	LeaseMS int64  `json:"lease_ms"`
	Parts   []Part `json:"parts"`
	// Forget names ended parts whose end the planner has recorded.
	Forget []Part `json:"forget,omitempty"`
	// Known is the digest of a report whose held parts are the ones to renew;
	// Parts is then empty. A worker whose report has changed renews nothing and
	// answers with the new one.
	Known string `json:"known,omitempty"`
}

// PartRequest orders a checkpoint or a stop of one part.
type PartRequest struct {
	Part
	Epoch uint64 `json:"epoch"`
}

// ThrottleRequest limits the share of the processors that a part may use.
type ThrottleRequest struct {
	Part
	Epoch uint64 `json:"epoch"`
	// Percent is between 1 and 100.
	Percent int `json:"percent"`
}

// PartStatus is what a worker reports of one part.
type PartStatus struct {
	Part
	Epoch        uint64 `json:"epoch"`
	State        State  `json:"state"`
	Accelerators []int  `json:"accelerators"`
	Tasks        []int  `json:"tasks"`
	// ProgressMS is the work done by this attempt, in milliseconds.
	ProgressMS int64 `json:"progress_ms"`
	// CheckpointMS is the work kept by the last checkpoint of this attempt.
	CheckpointMS int64  `json:"checkpoint_ms"`
	LeaseLeftMS  int64  `json:"lease_left_ms"`
	Job          []byte `json:"job,omitempty"`
}

// Status is a worker's report.
type Status struct {
	WorkerID     string       `json:"worker_id"`
	Accelerators int          `json:"accelerators"`
	Epoch        uint64       `json:"epoch"`
	Leaving      bool         `json:"leaving"`
	Usage        Usage        `json:"usage"`
	Parts        []PartStatus `json:"parts"`
	// Digest names the report in a later renewal.
	Digest string `json:"digest,omitempty"`
	// Unchanged says that the report has the digest that the renewal named:
	// the held parts were renewed and are left out here.
	Unchanged bool `json:"unchanged,omitempty"`
}

const digestBytes = 12

// ReportDigest returns the digest of what a planner acts on: which parts there
// are, their states and checkpoints, and whether the worker leaves. Parts are in
// the order of the report.
func (s *Status) ReportDigest() string {
	h := sha256.New()
	_, _ = fmt.Fprintln(h, s.Leaving)
	for _, p := range s.Parts {
		_, _ = fmt.Fprintln(h, p.JobID, p.Attempt, p.State, p.CheckpointMS)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Held returns the parts of a report that hold accelerators.
func (s *Status) Held() []Part {
	var held []Part
	for _, p := range s.Parts {
		if p.State == Reserved || p.State == Running {
			held = append(held, p.Part)
		}
	}
	return held
}

// FieldEpoch is the field that a refusal of a too low epoch names.
const FieldEpoch = "epoch"

// IsEpochRefused reports whether a worker refused an order because it has seen
// a higher epoch.
func IsEpochRefused(err error) bool {
	return fault.Is(err, fault.NotStarted) && fault.FieldOf(err) == FieldEpoch
}

// TookNoEffect reports whether an order that failed certainly had no effect.
func TookNoEffect(err error) bool {
	return fault.Lookup(fault.KindOf(err)).Outcome == fault.NotRun
}

// Usage is what the tasks of a worker used a while ago.
type Usage struct {
	// LagMS is the age of the figures in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// BusyAccelerators is the number of accelerators that were in use.
	BusyAccelerators int `json:"busy_accelerators"`
}

// Client calls one worker. Errors are of kind NotStarted when the worker
// refused, Unreachable when no byte was sent and AnswerLost otherwise.
type Client struct {
	// Address is the worker's IP address and port, with its path if it has one.
	Address string
	Meter   *meter.Meter
	HTTP    *http.Client
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	c.Meter.Inc("worker_call_" + strings.TrimPrefix(path, "/v1/"))
	h := jsonhttp.Client{BaseURL: "http://" + c.Address, HTTP: c.HTTP}
	err := h.Call(ctx, method, path, in, out)
	if err != nil {
		c.Meter.Inc("worker_error_" + string(fault.KindOf(err)))
	}
	return err
}

// Reserve holds accelerators.
func (c *Client) Reserve(ctx context.Context, in ReserveRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/reserve", in, nil)
}

// Start starts a reserved part.
func (c *Client) Start(ctx context.Context, in StartRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/start", in, nil)
}

// Renew renews leases and returns the worker's report, without the records of
// the parts that were renewed.
func (c *Client) Renew(ctx context.Context, in RenewRequest) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodPost, "/v1/renew", in, &s)
	return s, err
}

// Checkpoint keeps the work done so far.
func (c *Client) Checkpoint(ctx context.Context, in PartRequest) (PartStatus, error) {
	var s PartStatus
	err := c.call(ctx, http.MethodPost, "/v1/checkpoint", in, &s)
	return s, err
}

// Throttle limits a part.
func (c *Client) Throttle(ctx context.Context, in ThrottleRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/throttle", in, nil)
}

// Stop stops a part and frees its accelerators.
func (c *Client) Stop(ctx context.Context, in PartRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/stop", in, nil)
}

// List returns the worker's report.
func (c *Client) List(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/v1/list", nil, &s)
	return s, err
}
