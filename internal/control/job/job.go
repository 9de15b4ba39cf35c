// Package job holds the record of a job, as it is kept in the store and shown
// to callers.
package job

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
)

// State is the state of an admitted job.
type State string

// The states of jobs. Done, Failed, Cancelled and Unknown are final.
const (
	Waiting   State = "waiting"
	Starting  State = "starting"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Unknown   State = "unknown"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Cancelled || s == Unknown
}

// Record is one job.
type Record struct {
	ID      string `json:"id"`
	Account string `json:"client_account"`
	Kind    string `json:"kind"`
	// DataCentre is the data centre whose planner owns the job.
	DataCentre string `json:"data_centre"`
	Rank       int    `json:"rank"`
	Tasks      int    `json:"tasks"`
	// Accelerators is the number of accelerators of each task.
	Accelerators int   `json:"accelerators"`
	Adjacent     bool  `json:"adjacent"`
	Idempotent   bool  `json:"idempotent"`
	RunMS        int64 `json:"run_ms"`
	// DeclaredMS is the run time that the caller named.
	DeclaredMS      int64 `json:"declared_ms"`
	SubmittedUnixMS int64 `json:"submitted_unix_ms"`
	State           State `json:"state"`
	// Reason says why the job is in its state.
	Reason string `json:"reason,omitempty"`
	// Attempt is the current or last attempt; empty before the first.
	Attempt string `json:"attempt,omitempty"`
	// Attempts counts the starts.
	Attempts int `json:"attempts"`
	// CheckpointMS is the work kept by checkpoints.
	CheckpointMS int64       `json:"checkpoint_ms"`
	Slots        []gang.Slot `json:"slots,omitempty"`
	// Sequence grows with every change of the record.
	Sequence uint64 `json:"sequence"`
}

// StoreKey returns the store's key of a job.
func StoreKey(dataCentre, id string) string { return "jobs/" + dataCentre + "/" + id }

// Gang returns the job as the decisions see it.
func (r *Record) Gang() gang.Job {
	return gang.Job{
		ID: r.ID, Account: r.Account, Kind: r.Kind, Rank: r.Rank,
		Tasks: r.Tasks, Accelerators: r.Accelerators, Adjacent: r.Adjacent, Idempotent: r.Idempotent,
		Declared:  time.Duration(r.DeclaredMS-r.CheckpointMS) * time.Millisecond,
		Submitted: time.UnixMilli(r.SubmittedUnixMS),
	}
}
