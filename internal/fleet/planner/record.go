package planner

import (
	"encoding/json"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// Spec is the record of an accepted job. It is written once.
type Spec struct {
	Job model.Job `json:"job"`
	// Queue is that of the configuration at the acceptance; it serves on when
	// the configuration drops it.
	Queue   model.Queue `json:"queue"`
	Account string      `json:"account,omitempty"`
	// AcceptedMS is the Unix time of the acceptance in milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	// ConfigVersion is the version under which the job was accepted.
	ConfigVersion int64 `json:"config_version"`
}

// Encode returns the record as the store keeps it.
func (s *Spec) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode job %s", s.Job.ID)
	}
	return b, nil
}

// DecodeSpec reads the record of a job.
func DecodeSpec(b []byte) (*Spec, error) {
	var s Spec
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decode a job")
	}
	if s.Job.ID == "" || len(s.Job.Steps) == 0 {
		return nil, fault.New(fault.Internal, "a job's record has no id or no steps")
	}
	return &s, nil
}

// RunRecord is the planner's record of a job.
type RunRecord struct {
	// State is set once the job has ended.
	State   model.JobState `json:"state,omitempty"`
	EndedMS int64          `json:"ended_ms,omitempty"`
	// Begun says that a task was placed once.
	Begun bool         `json:"begun,omitempty"`
	Units []UnitRecord `json:"units,omitempty"`
}

// UnitRecord is the record of a gang, or of a task of a step that is no gang.
type UnitRecord struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step,omitempty"`
	// Index is the task's; -1 for a gang.
	Index int `json:"index"`
	// Run is the highest run that was placed.
	Run      int64  `json:"run,omitempty"`
	Failures int    `json:"failures,omitempty"`
	Saved    string `json:"saved,omitempty"`
	Done     bool   `json:"done,omitempty"`
	// Places are the tasks that may be running.
	Places []PlaceRecord `json:"places,omitempty"`
}

// PlaceRecord is where a run of a task was placed.
type PlaceRecord struct {
	Index  int    `json:"index"`
	Worker string `json:"worker"`
	Born   int64  `json:"born"`
	Token  int64  `json:"token"`
}

// DecodeRunRecord reads the planner's record of a job.
func DecodeRunRecord(b []byte) (*RunRecord, error) {
	var r RunRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decode a run record")
	}
	return &r, nil
}

// RecordedState returns the state of a job by its records alone.
func RecordedState(cancelled bool, r *RunRecord) model.JobState {
	switch {
	case r != nil && r.State != "":
		return r.State
	case cancelled:
		return model.Cancelled
	case r != nil && r.Begun:
		return model.Running
	}
	return model.Queued
}
