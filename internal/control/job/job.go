// Package job defines the record of a job, as it is persisted in the store and
// shown to callers, and the service that accepts, lists and cancels jobs at any VM.
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

// Final reports whether the state is terminal: a job in it never changes again.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Cancelled || s == Unknown
}

// Record is the persisted state of a job.
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
	// DeclaredMS is the run time that the caller declared, in milliseconds.
	DeclaredMS      int64 `json:"declared_ms"`
	SubmittedUnixMS int64 `json:"submitted_unix_ms"`
	State           State `json:"state"`
	// Reason explains why the job is in its state.
	Reason string `json:"reason,omitempty"`
	// Attempt is the id of the current or last attempt; empty before the first.
	Attempt string `json:"attempt,omitempty"`
	// Attempts is the number of attempts so far.
	Attempts int `json:"attempts"`
	// CheckpointMS is the work, in milliseconds of run time over all attempts, that
	// every part of the gang has saved in a checkpoint.
	CheckpointMS int64 `json:"checkpoint_ms"`
	// BaseMS is the value of CheckpointMS from which the current attempt started;
	// it never exceeds CheckpointMS.
	BaseMS int64       `json:"base_ms"`
	Slots  []gang.Slot `json:"slots,omitempty"`
	// CancelRequested reports whether the caller cancelled the job. Such a job is
	// never started again, and its final state is Cancelled unless it has reached
	// another final state before.
	CancelRequested bool `json:"cancel_requested,omitempty"`
	// EndedUnixMS is the time at which the job reached its final state, in Unix
	// milliseconds; 0 until then.
	EndedUnixMS int64 `json:"ended_unix_ms,omitempty"`
	// Sequence increases with every change of the record.
	Sequence uint64 `json:"sequence"`
}

// idNamespace is the UUID namespace of the ids of keyed jobs. It makes them differ
// from other name-based UUIDs.
var idNamespace = uuid.NewSHA1(uuid.NameSpaceOID, []byte("dogwoodworks.job"))

// NewID returns the id of a submission. The same account and idempotency key give
// the same id, so that a repeated submission is the same job; an empty key gives a
// random id.
func NewID(account, key string) string {
	if key == "" {
		return uuid.NewString()
	}
	return uuid.NewSHA1(idNamespace, []byte(strconv.Quote(account)+strconv.Quote(key))).String()
}

// Keyed reports whether the id was derived from an idempotency key.
func (r *Record) Keyed() bool {
	id, err := uuid.Parse(r.ID)
	return err == nil && id.Version() == 5
}

// StoreKey returns the key under which the record of a job is stored.
func StoreKey(dataCentre, id string) string { return "jobs/" + dataCentre + "/" + id }

// Gang returns the job in the form that the gang scheduler uses.
func (r *Record) Gang() gang.Job {
	return gang.Job{
		ID: r.ID, Account: r.Account, Kind: r.Kind, Rank: r.Rank,
		Tasks: r.Tasks, Accelerators: r.Accelerators, Adjacent: r.Adjacent, Idempotent: r.Idempotent,
		DeclaredRunTime: r.Remaining(),
		Submitted:       time.UnixMilli(r.SubmittedUnixMS),
	}
}

// Remaining returns the declared run time less the checkpointed work, at least
// 1 ms.
func (r *Record) Remaining() time.Duration {
	return time.Duration(max(1, r.DeclaredMS-r.CheckpointMS)) * time.Millisecond
}

// SameRequest reports whether two records were made from equal requests.
func (r *Record) SameRequest(o *Record) bool {
	return r.Account == o.Account && r.Kind == o.Kind && r.Tasks == o.Tasks &&
		r.Accelerators == o.Accelerators && r.Adjacent == o.Adjacent &&
		r.RunMS == o.RunMS && r.DeclaredMS == o.DeclaredMS
}

// Decision is one scheduling decision about a job, recorded for explanations.
type Decision struct {
	UnixMS int64  `json:"unix_ms"`
	Reason string `json:"reason"`
}
