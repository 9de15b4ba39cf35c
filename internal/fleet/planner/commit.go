package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// batchJobs is the number of jobs whose records always fit in one transaction: each
	// needs up to two conditions and a put, besides the condition on the lock.
	batchJobs = (store.MaxTxnEntries - 1) / 3
	// batchBytes bounds the records in one write. A larger record is written alone.
	batchBytes = 32 << 10
	// maxWrites bounds the concurrent writes without a large record. A single write at a
	// time takes a round trip for some ten jobs, which is too slow for a large fleet.
	maxWrites = 8
	// maxLargeBytes is the size of the large records in flight from which no other one is
	// written: all records in flight share one link.
	maxLargeBytes = maxWrites * batchBytes
	// commitTimeout bounds one attempt of a write, besides its transfer.
	commitTimeout = 1200 * time.Millisecond
	// commitRetryPause is the pause between two attempts.
	commitRetryPause = 60 * time.Millisecond
)

// batch is one write of the planner.
type batch struct {
	txn  store.Txn
	rows []batchRow
	// large reports that the only record is larger than batchBytes.
	large bool
	// revision is the store revision of the write, once it is persisted.
	revision int64
}

// entries returns the number of entries in the transaction.
func (b *batch) entries() int { return len(b.txn.Conditions) + len(b.txn.Puts) }

// bytes returns the size of the records in the transaction.
func (b *batch) bytes() int {
	n := 0
	for _, row := range b.rows {
		n += len(row.value)
	}
	return n
}

// pendingResult is a run result that was applied and may not be persisted yet. It is
// persisted once the store has a given change of its job's record.
type pendingResult struct {
	number int64
	// job is nil for a run result that changed nothing.
	job     *job
	changes int64
}

func (p *pendingResult) isPersisted() bool {
	return p.job == nil || p.job.persistedChanges >= p.changes
}

// batchRow is one job's record in a batch.
type batchRow struct {
	job   *job
	value []byte
	state model.JobState
	// changes is the job's count of changes that this write covers.
	changes int64
	// starts are the members whose starts are sent once the write is persisted.
	starts []*member
}

// markUnwritten marks the record of a job as changed, so that it is written.
func (t *term) markUnwritten(j *job) {
	j.changes++
	if !j.unwritten {
		j.unwritten = true
		t.unwrittenJobs = append(t.unwrittenJobs, j)
	}
}

// flush starts the writes of changed records. Large records and others do not wait for each
// other. While a write of others is in flight, only full batches are started, since each
// call of the store has a cost.
func (t *term) flush() {
	for t.largeBytes < maxLargeBytes && t.startWrite(t.nextBatch(true)) {
	}
	for {
		n := t.writesInFlight - t.largeWrites
		if n >= maxWrites || n > 0 && !t.fillsBatch() || !t.startWrite(t.nextBatch(false)) {
			return
		}
	}
}

// startWrite starts a write. It returns false if there is none.
func (t *term) startWrite(b *batch) bool {
	if b == nil {
		return false
	}
	t.countInFlight(b, 1)
	t.recentLoad.rows += len(b.rows)
	t.recentLoad.writes++
	t.goTask("write", func() { t.write(b) })
	return true
}

// countInFlight adds a write to those in flight n times.
func (t *term) countInFlight(b *batch, n int) {
	t.writesInFlight += n
	if b.large {
		t.largeWrites += n
		t.largeBytes += n * b.bytes()
	}
}

// write makes a write and applies its outcome.
func (t *term) write(b *batch) {
	err := t.commit(b)
	t.locked(func() {
		t.countInFlight(b, -1)
		t.applyCommit(b, err)
	})
	if err == nil {
		t.notify()
	}
}

// mayWrite reports whether a write of the job's record may begin.
func (j *job) mayWrite(now time.Time) bool { return !j.writing && !now.Before(j.writeAfter) }

// fillsBatch reports whether the records that can be written now, without large ones, fill
// a batch.
func (t *term) fillsBatch() bool {
	n, total := 0, 0
	now := time.Now()
	for _, j := range t.unwrittenJobs {
		size := j.recordBytes()
		if !j.mayWrite(now) || size > batchBytes {
			continue
		}
		n, total = n+1, total+size
		if n >= batchJobs || total > batchBytes {
			return true
		}
	}
	return false
}

// nextBatch returns the next write of a large record or of others, or nil if there is none.
// A record that is already being written waits, since the revision for its condition is not
// known yet.
func (t *term) nextBatch(large bool) *batch {
	now := time.Now()
	if t.ctx.Err() != nil || now.Before(t.writeAfter) {
		return nil
	}
	b := &batch{large: large, txn: store.Txn{Conditions: []store.Condition{{Key: store.LockKey, Revision: t.revision}}}}
	if t.p.disabled.lockCondition {
		b.txn.Conditions = nil
	}
	var remaining []*job
	total := 0
	for _, j := range t.unwrittenJobs {
		size := j.recordBytes()
		full := b.entries()+maxRowEntries > store.MaxTxnEntries || total > 0 && total+size > batchBytes
		if !j.mayWrite(now) || full || size > batchBytes != large {
			remaining = append(remaining, j)
			continue
		}
		total += size
		t.addRow(b, j)
	}
	t.unwrittenJobs = remaining
	if len(b.rows) == 0 {
		return nil
	}
	return b
}

// maxRowEntries is the largest number of entries that one job adds to a write.
const maxRowEntries = 3

func (t *term) addRow(b *batch, j *job) {
	row := batchRow{job: j, state: j.state, value: j.encodeRecord(t.p.Bounds.MaxValueBytes), changes: j.changes}
	for _, u := range j.unitList {
		for _, m := range u.members {
			if !m.startSent {
				row.starts = append(row.starts, m)
			}
		}
	}
	j.unwritten, j.writing = false, true
	b.rows = append(b.rows, row)
	if !t.p.disabled.lockCondition {
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: store.RunKey(j.id), Revision: j.revision})
	}
	if !j.cancelled && (len(row.starts) > 0 || row.state == model.Completed) {
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: store.CancelKey(j.id)})
	}
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: store.RunKey(j.id), Value: row.value})
}

// Sizes of the parts of an encoded run record, without their strings.
const (
	unitBytes   = 60
	memberBytes = 90
	lossBytes   = 140
	// historyBytes is about the size of a time by cause.
	historyBytes = 50
)

// recordBytes returns about the size of the job's encoded run record.
func (j *job) recordBytes() int {
	n, histories := unitBytes, 0
	for _, u := range j.unitList {
		if u.run == 0 || j.ended() && len(u.members) == 0 {
			continue
		}
		n += unitBytes + len(u.checkpoint)
		for _, m := range u.members {
			n += memberBytes + len(m.worker) + len(m.address)
		}
		if u.done {
			continue
		}
		if histories < maxHistories && !j.ended() {
			histories++
			n += historyBytes
		}
		for i := range u.losses {
			l := &u.losses[i]
			n += lossBytes + len(l.Worker) + len(l.Address) + len(l.Rack)
		}
	}
	return n
}

// encodeRecord returns the encoded run record of a job, compressed if it has more than limit
// bytes; 0 for no limit. It leaves out the time by cause if it does not fit otherwise.
func (j *job) encodeRecord(limit int) []byte {
	histories := newHistories(j, time.Now())
	if b := j.encodeRecordWith(histories, limit); limit == 0 || len(b) <= limit {
		return b
	}
	return j.encodeRecordWith(nil, limit)
}

func (j *job) encodeRecordWith(h *histories, limit int) []byte {
	r := RunRecord{State: j.state, EndedMS: j.endedMS, Begun: j.begun}
	for _, u := range j.unitList {
		rec := UnitRecord{
			Occurrence: u.key.occurrence, Step: u.key.step, Index: u.key.index,
			Run: u.run, Failures: u.failures, FailedRun: u.failedRun, Checkpoint: u.checkpoint, Done: u.done,
			Spent: h.add(u),
		}
		for _, m := range u.members {
			rec.Placements = append(rec.Placements, PlacementRecord{Index: m.index, Worker: m.worker, Incarnation: m.incarnation, Token: m.token, Address: m.address})
		}
		if !u.done {
			rec.Losses, rec.Isolated = u.losses, u.isolated
			rec.Unstarted, rec.ReportedRun = u.unstarted, u.reportedRun
			rec.Stops, rec.FailedWork = u.stops, u.failedWork.Milliseconds()
		}
		// A new term reads the records of all jobs, so the record of an ended job
		// contains only the units that may still run.
		if u.run > 0 && (!j.ended() || len(u.members) > 0) {
			r.Units = append(r.Units, rec)
		}
	}
	r.Spent, r.Work = h.encoded(), j.encodedWork()
	b, err := json.Marshal(r)
	if err != nil {
		// The record contains only numbers, booleans and strings, which can always be
		// encoded.
		panic("planner: " + err.Error())
	}
	if limit > 0 && len(b) > limit {
		return compressRecord(b)
	}
	return b
}

// addPendingResult records a run result that was applied. If its job has changes that are
// not persisted, the result may be among them.
func (t *term) addPendingResult(w *worker, r RunResult) {
	p := pendingResult{number: r.Number}
	if j := t.jobs[r.Task.Job]; j != nil && j.changes > j.persistedChanges {
		p.job, p.changes = j, j.changes
	}
	w.pendingResults = append(w.pendingResults, p)
	t.unacked[w] = true
}

// acknowledgeResults acknowledges the run results that are persisted, up to the first
// that is not.
func (t *term) acknowledgeResults(w *worker) {
	n := 0
	for n < len(w.pendingResults) && w.pendingResults[n].isPersisted() {
		w.lastPersistedResult = w.pendingResults[n].number
		n++
	}
	w.pendingResults = w.pendingResults[n:]
	if len(w.pendingResults) == 0 {
		w.pendingResults = nil
		delete(t.unacked, w)
	}
	if n == 0 {
		return
	}
	w.endPause()
}

// endPause ends the pause before the worker's next renewal.
func (w *worker) endPause() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// commit makes a write. While the outcome of an attempt is unknown, it repeats the same
// write, which is safe since its conditions can hold only once.
func (t *term) commit(b *batch) error {
	start := time.Now()
	timeout := commitTimeout + b.txn.TransferTime()
	maybeApplied := false
	for {
		if !t.valid() {
			// The lock may be lost; the term resumes or ends.
			if t.ctx.Err() != nil {
				return fault.New(fault.Fenced, "this VM no longer owns the planner lock")
			}
			pause.For(t.ctx, commitRetryPause)
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		revision, current, err := t.p.Store.Apply(ctx, b.txn)
		cancel()
		switch {
		case err == nil:
			t.p.Meter.Time("commit_time", time.Since(start))
			b.revision = revision
			return nil
		case fault.Is(err, fault.Conflict):
			return t.resolveConflict(b, current)
		case fault.Is(err, fault.BadRequest), !maybeApplied && fault.Is(err, fault.StoreUnavailable):
			// A write that the store rejects was rejected at each attempt.
			return err
		}
		t.p.Meter.Inc("commit_retry_" + string(fault.KindOf(err)))
		maybeApplied = maybeApplied || fault.Is(err, fault.AnswerLost)
		if t.ctx.Err() != nil {
			return err
		}
		pause.For(t.ctx, commitRetryPause)
	}
}

// resolveConflict determines why a condition of a write did not hold.
func (t *term) resolveConflict(b *batch, current []store.Item) error {
	items := make(map[string]store.Item, len(current))
	for _, it := range current {
		items[it.Key] = it
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The write is atomic: if one record is as written, all are.
	if it, ok := items[store.RunKey(b.rows[0].job.id)]; ok && it.Revision != b.rows[0].job.revision && bytes.Equal(it.Value, b.rows[0].value) {
		b.revision = it.Revision
		// Cancellations that arrived since then must be applied before the starts are
		// sent.
		t.applyCancels(b, items)
		return nil
	}
	if items[store.LockKey].Revision != t.revision {
		return fault.New(fault.Fenced, "another VM owns the planner lock")
	}
	if !t.applyCancels(b, items) {
		return fault.New(fault.Fenced, "a record does not match the last write of this term: %s", b.firstMismatch(items))
	}
	return fault.New(fault.Conflict, "a job of the write was cancelled")
}

// applyCancels applies the cancellations among items and reports whether there are any.
// The watch may already have reported them.
func (t *term) applyCancels(b *batch, items map[string]store.Item) bool {
	found := false
	for _, row := range b.rows {
		if _, ok := items[store.CancelKey(row.job.id)]; ok {
			t.applyCancel(row.job.id, "condition")
			found = true
		}
	}
	return found
}

// firstMismatch returns the key of the first condition that did not hold.
func (b *batch) firstMismatch(items map[string]store.Item) string {
	for _, c := range b.txn.Conditions {
		if items[c.Key].Revision != c.Revision {
			return c.Key
		}
	}
	return ""
}

// applyCommit applies the outcome of a write.
func (t *term) applyCommit(b *batch, err error) {
	for _, row := range b.rows {
		row.job.writing = false
	}
	if err == nil {
		for _, row := range b.rows {
			row.job.revision, row.job.persistedChanges = b.revision, row.changes
			t.applyPersistedRow(row)
		}
		for w := range t.unacked {
			t.acknowledgeResults(w)
		}
		return
	}
	t.p.Meter.Inc("commit_" + string(fault.KindOf(err)))
	for _, row := range b.rows {
		t.markUnwritten(row.job)
	}
	switch {
	case fault.Is(err, fault.Conflict):
	case fault.Is(err, fault.BadRequest):
		t.deferRejected(b, err)
	case fault.Is(err, fault.StoreUnavailable):
		t.writeAfter = time.Now().Add(retryPause)
	default:
		t.p.Log.Warn("planner write failed", "term", t.revision, "jobs", len(b.rows), "error", err)
		t.fail("a write failed: " + err.Error())
	}
}

// rejectedWriteRetry is the pause before a record that the store has rejected is written
// again: it may have become smaller.
const rejectedWriteRetry = 2 * time.Second

// deferRejected defers the records of a write that the store will never accept, so that it is
// neither repeated at once nor holds up the records of other jobs.
func (t *term) deferRejected(b *batch, err error) {
	for _, row := range b.rows {
		row.job.writeAfter = time.Now().Add(rejectedWriteRetry)
		t.p.Meter.Inc("record_rejected")
		t.p.Log.Error("the store rejects the record of a job", "job", row.job.id, "bytes", len(row.value), "limit", t.p.Bounds.MaxValueBytes,
			"units", len(row.job.unitList), "jobs_in_write", len(b.rows), "error", err)
	}
}

// applyPersistedRow sends the starts of a persisted record and marks the job's terminal
// state as persisted.
func (t *term) applyPersistedRow(row batchRow) {
	j := row.job
	if row.state != "" && j.state == row.state {
		j.persisted = true
		t.logEnd(j, time.Now())
	}
	var checked *unit
	for _, m := range row.starts {
		if !m.removed && !m.startSent {
			if m.unit != checked {
				checked = m.unit
				t.abortIfOversized(m.unit)
				t.abortIfEvacuated(m.unit)
			}
			t.start(m)
		}
	}
}
