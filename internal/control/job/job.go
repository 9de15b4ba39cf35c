// Package job holds the record of a job, as it is kept in the store and shown
// to callers.
package job

import (
	"strconv"
	"time"

	"github.com/google/uuid"

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
	// CheckpointMS is the work, in milliseconds, that the last checkpoint common
	// to all parts keeps, over all attempts.
	CheckpointMS int64 `json:"checkpoint_ms"`
	// BaseMS is the CheckpointMS that the current attempt started from; it
	// never exceeds CheckpointMS.
	BaseMS int64       `json:"base_ms"`
	Slots  []gang.Slot `json:"slots,omitempty"`
	// CancelRequested says that the caller cancelled the job; it is never
	// started again and ends cancelled unless it has ended before.
	CancelRequested bool `json:"cancel_requested,omitempty"`
	// EndedUnixMS is the time of the end; 0 until State is final.
	EndedUnixMS int64 `json:"ended_unix_ms,omitempty"`
	// Sequence grows with every change of the record.
	Sequence uint64 `json:"sequence"`
}

// idNamespace makes the ids of keyed jobs differ from other name-based ids.
var idNamespace = uuid.NewSHA1(uuid.NameSpaceOID, []byte("dogwoodworks.job"))

// NewID returns the id of a submission. A key of the client account gives the
// same id each time, so that a repeated submission is the same job; an empty
// key gives a fresh one.
func NewID(account, key string) string {
	if key == "" {
		return uuid.NewString()
	}
	return uuid.NewSHA1(idNamespace, []byte(strconv.Quote(account)+strconv.Quote(key))).String()
}

// Keyed reports whether the id was made from a key.
func (r *Record) Keyed() bool {
	id, err := uuid.Parse(r.ID)
	return err == nil && id.Version() == 5
}

// StoreKey returns the store's key of a job.
func StoreKey(dataCentre, id string) string { return "jobs/" + dataCentre + "/" + id }

// Gang returns the job as the decisions see it.
func (r *Record) Gang() gang.Job {
	return gang.Job{
		ID: r.ID, Account: r.Account, Kind: r.Kind, Rank: r.Rank,
		Tasks: r.Tasks, Accelerators: r.Accelerators, Adjacent: r.Adjacent, Idempotent: r.Idempotent,
		DeclaredRunTime: r.Remaining(),
		Submitted:       time.UnixMilli(r.SubmittedUnixMS),
	}
}

// Remaining returns the declared run time that is left, at least 1 ms.
func (r *Record) Remaining() time.Duration {
	return time.Duration(max(1, r.DeclaredMS-r.CheckpointMS)) * time.Millisecond
}

// SameRequest reports whether two records are of the same submission.
func (r *Record) SameRequest(o *Record) bool {
	return r.Account == o.Account && r.Kind == o.Kind && r.Tasks == o.Tasks &&
		r.Accelerators == o.Accelerators && r.Adjacent == o.Adjacent &&
		r.RunMS == o.RunMS && r.DeclaredMS == o.DeclaredMS
}

// Decision is one decision about a job, kept for explanations.
type Decision struct {
	UnixMS int64  `json:"unix_ms"`
	Reason string `json:"reason"`
}
