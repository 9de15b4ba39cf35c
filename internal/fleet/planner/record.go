package planner

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// Spec is the record of an accepted job. It is written once.
type Spec struct {
	Job model.Job `json:"job"`
	// Queue is the job's queue as configured at its acceptance. The job retains it if the
	// configuration no longer has the queue.
	Queue   model.Queue `json:"queue"`
	Account string      `json:"account,omitempty"`
	// AcceptedMS is the Unix time of the acceptance in milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	// ConfigVersion is the version of the configuration under which the job was accepted.
	ConfigVersion int64 `json:"config_version"`
}

// Encode returns the record in its stored form.
func (s *Spec) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode job %s", s.Job.ID)
	}
	return b, nil
}

// DecodeSpec decodes the record of a job. It returns an error of kind Internal if the
// record is malformed or has no id or no steps.
func DecodeSpec(b []byte) (*Spec, error) {
	var s Spec
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decode job record")
	}
	if s.Job.ID == "" || len(s.Job.Steps) == 0 {
		return nil, fault.New(fault.Internal, "job record has no id or no steps")
	}
	return &s, nil
}

// Withdrawal is the record of a job that was cancelled before it was accepted. It is written
// once.
type Withdrawal struct {
	// AtMS is the Unix time of the cancellation in milliseconds.
	AtMS int64 `json:"at_ms"`
}

// Encode returns the record in its stored form.
func (w Withdrawal) Encode() ([]byte, error) {
	b, err := json.Marshal(w)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a withdrawal")
	}
	return b, nil
}

// decodeWithdrawal decodes the record of a withdrawal. It returns an error of kind Internal if
// the record is malformed.
func decodeWithdrawal(b []byte) (Withdrawal, error) {
	var w Withdrawal
	if err := json.Unmarshal(b, &w); err != nil || w.AtMS <= 0 {
		return Withdrawal{}, fault.New(fault.Internal, "the record of a withdrawal has no time: %q", b)
	}
	return w, nil
}

// RunRecord is the planner's record of the state of a job.
type RunRecord struct {
	// State is the terminal state; empty while the job has not ended.
	State   model.JobState `json:"state,omitempty"`
	EndedMS int64          `json:"ended_ms,omitempty"`
	// Begun reports whether a task of the job was known to have started. Those of Units that are
	// placed may have started since.
	Begun bool         `json:"begun,omitempty"`
	Units []UnitRecord `json:"units,omitempty"`
	// Spent has the distinct times by cause of the units that are not done, each from the
	// job's acceptance until this record; the first is that of the job. See cause.Decode.
	Spent [][]int64 `json:"spent,omitempty"`
	// Work is the longest measured work of a unit of each step, in milliseconds; 0 if it is
	// not known.
	Work []int64 `json:"work,omitempty"`
}

// UnitRecord is the record of a schedulable unit: a gang, or one task of a step that is
// no gang.
type UnitRecord struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step,omitempty"`
	// Index is the index of the task; -1 for a gang.
	Index int `json:"index"`
	// Run is the number of the last run that was placed.
	Run      int64 `json:"run,omitempty"`
	Failures int   `json:"failures,omitempty"`
	// FailedRun is the number of the last run that Failures counts.
	FailedRun  int64  `json:"failed_run,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
	Done       bool   `json:"done,omitempty"`
	// Spent is the index of the unit's time by cause in RunRecord.Spent; 0 for that of the
	// job.
	Spent int `json:"spent,omitempty"`
	// Stops is how often a unit that is not done was stopped for an urgent one.
	Stops int `json:"stops,omitempty"`
	// FailedWork is the work of runs that failed by the job's own fault, in milliseconds.
	FailedWork int64 `json:"failed_work,omitempty"`
	// Losses are the losses of the tasks of a unit that is not done.
	Losses []LossRecord `json:"losses,omitempty"`
	// Isolated reports whether the last run has its workers to itself.
	Isolated bool `json:"isolated,omitempty"`
	// Unstarted and ReportedRun are the starts after the losses that do not count as last ones.
	Unstarted   int64 `json:"unstarted,omitempty"`
	ReportedRun int64 `json:"reported_run,omitempty"`
	// Placements are the tasks that may be running.
	Placements []PlacementRecord `json:"places,omitempty"`
}

// PlacementRecord is where a run of a task was placed.
type PlacementRecord struct {
	Index       int    `json:"index"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born"`
	Token       int64  `json:"token"`
	// Address is the worker's address; no two workers that run have the same.
	Address string `json:"address,omitempty"`
}

// compressedRecord is the first byte of a compressed record; others begin with that of a
// JSON object.
const compressedRecord = 'z'

// maxRecordBytes bounds a record that is decompressed.
const maxRecordBytes = 256 << 20

const (
	// recordBytesPerTask exceeds what a task adds to a compressed record in its worst state:
	// lost twice and placed again. recordBytesPerDoneTask is the same for one that is done.
	recordBytesPerTask     = 64
	recordBytesPerDoneTask = 24
)

// RecordFits reports whether the record of a job fits in a value of a size in bytes, 0 for no
// limit. Of its occurrences, one is taken to run at a time.
func RecordFits(tasks, occurrences, maxValueBytes int) bool {
	size := tasks * (recordBytesPerTask + recordBytesPerDoneTask*max(occurrences-1, 0))
	return maxValueBytes == 0 || size <= maxValueBytes
}

// compressRecord compresses an encoded record.
func compressRecord(b []byte) []byte {
	var out bytes.Buffer
	out.WriteByte(compressedRecord)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(b)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// The level is valid, and a buffer accepts all bytes.
		panic("planner: " + err.Error())
	}
	return out.Bytes()
}

// DecodeRunRecord decodes the planner's record of a job, compressed or not. It returns an
// error of kind Internal if the record is malformed.
func DecodeRunRecord(b []byte) (*RunRecord, error) {
	if len(b) > 0 && b[0] == compressedRecord {
		var err error
		if b, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxRecordBytes)); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "decompress run record")
		}
	}
	var r RunRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decode run record")
	}
	return &r, nil
}

// RecordedState returns the state of a job according to its records.
func RecordedState(cancelled bool, r *RunRecord) model.JobState {
	switch {
	case r != nil && r.State != "":
		return r.State
	case cancelled:
		return model.Cancelled
	case r != nil && (r.Begun || r.isPlaced()):
		return model.Running
	}
	return model.Queued
}

// isPlaced reports whether a task of the job is placed.
func (r *RunRecord) isPlaced() bool {
	return slices.ContainsFunc(r.Units, func(u UnitRecord) bool { return len(u.Placements) > 0 })
}
