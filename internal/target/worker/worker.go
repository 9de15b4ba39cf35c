// Package worker is the HTTP client for workers, the targets that run the tasks
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
	// Expired means that the lease expired and the worker stopped the part.
	Expired State = "lapsed"
)

// Part identifies the tasks of one attempt of a job at one worker.
type Part struct {
	JobID string `json:"job_id"`
	// Attempt is unique among the attempts of a job.
	Attempt string `json:"attempt"`
}

// ReserveRequest asks a worker to reserve accelerators for one attempt.
type ReserveRequest struct {
	Part
	// Epoch is the planner's epoch. A worker refuses an epoch lower than the
	// highest one it has received.
	Epoch        uint64 `json:"epoch"`
	Accelerators []int  `json:"accelerators"`
	LeaseMS      int64  `json:"lease_ms"`
}

// StartRequest starts all tasks of a reserved part.
type StartRequest struct {
	Part
	Epoch uint64 `json:"epoch"`
	// Tasks are the indices of the gang's tasks that run at this worker.
	Tasks []int `json:"tasks"`
	// RunMS is the remaining work of the job in milliseconds. Stand-in workers
	// use it in place of the program that a real worker would run.
	RunMS int64 `json:"run_ms"`
	// Job is the planner's record of the job. The worker returns it in its list,
	// so that a new planner can adopt the part.
	Job []byte `json:"job"`
}

// RenewRequest renews the leases of all parts at a worker.
type RenewRequest struct {
	Epoch   uint64 `json:"epoch"`
	LeaseMS int64  `json:"lease_ms"`
	Parts   []Part `json:"parts"`
	// Forget lists parts in a terminal state that the planner has recorded.
	Forget []Part `json:"forget,omitempty"`
	// KnownDigest is the digest of the last report that the planner received. It
	// replaces Parts, which is then empty: the worker renews the parts of that
	// report that occupy accelerators. A worker whose report has changed renews
	// nothing and responds with the new report.
	KnownDigest string `json:"known,omitempty"`
}

// PartRequest requests a checkpoint or a stop of one part.
type PartRequest struct {
	Part
	Epoch uint64 `json:"epoch"`
}

// ThrottleRequest limits the share of the CPU that a part may use.
type ThrottleRequest struct {
	Part
	Epoch uint64 `json:"epoch"`
	// Percent is the share of the CPU, between 1 and 100.
	Percent int `json:"percent"`
}

// PartStatus is a worker's report on one part.
type PartStatus struct {
	Part
	Epoch        uint64 `json:"epoch"`
	State        State  `json:"state"`
	Accelerators []int  `json:"accelerators"`
	Tasks        []int  `json:"tasks"`
	// ProgressMS is the work done by this attempt, in milliseconds.
	ProgressMS int64 `json:"progress_ms"`
	// CheckpointMS is the work saved by the last checkpoint of this attempt, in
	// milliseconds.
	CheckpointMS int64  `json:"checkpoint_ms"`
	LeaseLeftMS  int64  `json:"lease_left_ms"`
	Job          []byte `json:"job,omitempty"`
}

// Status is a worker's report on itself and its parts.
type Status struct {
	WorkerID     string       `json:"worker_id"`
	Accelerators int          `json:"accelerators"`
	Epoch        uint64       `json:"epoch"`
	Leaving      bool         `json:"leaving"`
	Usage        Usage        `json:"usage"`
	Parts        []PartStatus `json:"parts"`
	// Digest identifies the report in a later renewal.
	Digest string `json:"digest,omitempty"`
	// Unchanged reports that the digest equals the one in the renewal. The parts
	// that occupy accelerators were renewed and are omitted from the report.
	Unchanged bool `json:"unchanged,omitempty"`
}

const digestBytes = 12

// ReportDigest returns a digest of the fields that a planner acts on: the parts
// with their states and checkpoints, and whether the worker is leaving. The
// digest depends on the order of the parts.
func (s *Status) ReportDigest() string {
	h := sha256.New()
	_, _ = fmt.Fprintln(h, s.Leaving)
	for _, p := range s.Parts {
		_, _ = fmt.Fprintln(h, p.JobID, p.Attempt, p.State, p.CheckpointMS)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// ActiveParts returns the parts of a report that occupy accelerators.
func (s *Status) ActiveParts() []Part {
	var held []Part
	for _, p := range s.Parts {
		if p.State == Reserved || p.State == Running {
			held = append(held, p.Part)
		}
	}
	return held
}

// FieldEpoch is the error field with which a worker refuses an outdated epoch.
const FieldEpoch = "epoch"

// IsEpochRefused reports whether a worker refused a request because it has
// received a higher epoch.
func IsEpochRefused(err error) bool {
	return fault.Is(err, fault.NotStarted) && fault.FieldOf(err) == FieldEpoch
}

// HadNoEffect reports whether a failed request is known to have had no effect.
func HadNoEffect(err error) bool {
	return fault.Lookup(fault.KindOf(err)).Outcome == fault.NotRun
}

// Usage is the resource usage of a worker's tasks, measured some time ago.
type Usage struct {
	// LagMS is the age of the measurement in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// BusyAccelerators is the number of accelerators that were in use.
	BusyAccelerators int `json:"busy_accelerators"`
}

// Client calls one worker. Errors are of kind NotStarted when the worker
// refused the request, Unreachable when no byte was sent and AnswerLost
// otherwise.
type Client struct {
	// Address is the worker's IP address and port, optionally followed by a path.
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

// Reserve reserves accelerators for a part.
func (c *Client) Reserve(ctx context.Context, in ReserveRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/reserve", in, nil)
}

// Start starts all tasks of a reserved part.
func (c *Client) Start(ctx context.Context, in StartRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/start", in, nil)
}

// Renew renews leases and returns the worker's report, without the job records
// of the renewed parts.
func (c *Client) Renew(ctx context.Context, in RenewRequest) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodPost, "/v1/renew", in, &s)
	return s, err
}

// Checkpoint saves the work done so far and returns the status of the part.
func (c *Client) Checkpoint(ctx context.Context, in PartRequest) (PartStatus, error) {
	var s PartStatus
	err := c.call(ctx, http.MethodPost, "/v1/checkpoint", in, &s)
	return s, err
}

// Throttle limits the CPU share of a part.
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
