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
	// batchJobs is the number of jobs whose records fit in one transaction for
	// certain: each needs two conditions and a put, besides the condition on the
	// lock.
	batchJobs = (store.MaxTxnEntries - 1) / 3
	// maxWrites bounds the writes that are under way at once. One write alone takes
	// a round trip for some ten jobs, which is too few a second for a large fleet.
	maxWrites = 8
	// commitTimeout bounds one attempt of a write.
	commitTimeout = 1200 * time.Millisecond
	// commitRetry is the pause between two attempts.
	commitRetry = 60 * time.Millisecond
)

// batch is one write of the planner.
type batch struct {
	txn  store.Txn
	rows []batchRow
	// revision is that of the store once the write is kept.
	revision int64
}

// entries returns the number of entries of the write.
func (b *batch) entries() int { return len(b.txn.Conditions) + len(b.txn.Puts) }

// pendingEnd is an end that a worker listed. It is kept once the store holds a
// change of its job's record.
type pendingEnd struct {
	number int64
	// job is nil for an end that changed nothing.
	job    *job
	change int64
}

func (e *pendingEnd) isKept() bool { return e.job == nil || e.job.keptChange >= e.change }

// batchRow is one job of a batch.
type batchRow struct {
	job   *job
	value []byte
	state model.JobState
	// change is the record's change that is written.
	change int64
	// starts are the members that may start once the write is kept.
	starts []*member
}

// touch marks the record of a job to be written.
func (t *term) touch(j *job) {
	j.change++
	if !j.dirty {
		j.dirty = true
		t.behind = append(t.behind, j)
	}
}

// flush begins the writes of what changed. Beside a write that is under way only a
// full one begins: each call of the store is paid for.
func (t *term) flush() {
	for t.writes < maxWrites && t.ctx.Err() == nil && (t.writes == 0 || t.fillsBatch()) {
		b := t.batch()
		if b == nil {
			return
		}
		t.writes++
		t.recent.rows += len(b.rows)
		t.recent.writes++
		t.begin("write", func() { t.write(b) })
	}
}

// write makes a write and takes in its outcome.
func (t *term) write(b *batch) {
	err := t.commit(b)
	t.locked(func() {
		t.writes--
		t.committed(b, err)
	})
	if err == nil {
		t.poke()
	}
}

// fillsBatch reports whether the records that can be written fill a write.
func (t *term) fillsBatch() bool {
	n := 0
	for _, j := range t.behind {
		if j.writing {
			continue
		}
		if n++; n >= batchJobs {
			return true
		}
	}
	return false
}

// batch returns the next write, nil for none. A record that is being written waits:
// its condition is known only then.
func (t *term) batch() *batch {
	if time.Now().Before(t.keepAfter) {
		return nil
	}
	b := &batch{txn: store.Txn{Conditions: []store.Condition{{Key: store.LockKey, Revision: t.revision}}}}
	if t.p.off.lockCondition {
		b.txn.Conditions = nil
	}
	var left []*job
	for _, j := range t.behind {
		if j.writing || b.entries()+maxRowEntries > store.MaxTxnEntries {
			left = append(left, j)
			continue
		}
		t.addRow(b, j)
	}
	t.behind = left
	if len(b.rows) == 0 {
		return nil
	}
	return b
}

// maxRowEntries is the number of entries of a write that one job takes at most.
const maxRowEntries = 3

func (t *term) addRow(b *batch, j *job) {
	row := batchRow{job: j, state: j.state, value: j.encode(), change: j.change}
	for _, u := range j.order {
		for _, m := range u.members {
			if !m.sent {
				row.starts = append(row.starts, m)
			}
		}
	}
	j.dirty, j.writing = false, true
	b.rows = append(b.rows, row)
	if !t.p.off.lockCondition {
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: store.RunKey(j.id), Revision: j.revision})
	}
	if !j.cancelled && (len(row.starts) > 0 || row.state == model.Completed) {
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: store.CancelKey(j.id)})
	}
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: store.RunKey(j.id), Value: row.value})
}

// encode returns the record of a job.
func (j *job) encode() []byte {
	r := RunRecord{State: j.state, EndedMS: j.endedMS, Begun: j.begun}
	for _, u := range j.order {
		x := UnitRecord{
			Occurrence: u.key.occurrence, Step: u.key.step, Index: u.key.index,
			Run: u.run, Failures: u.failures, Saved: u.saved, Done: u.done,
		}
		for _, m := range u.members {
			x.Places = append(x.Places, PlaceRecord{Index: m.index, Worker: m.worker, Born: m.born, Token: m.token})
		}
		// Of a job that has ended, only what may still run matters: a new term reads
		// the records of all jobs.
		if u.run > 0 && (!j.ended() || len(u.members) > 0) {
			r.Units = append(r.Units, x)
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		// The record holds numbers and texts only.
		panic("planner: " + err.Error())
	}
	return b
}

// addPending notes an end that was taken in. What its job's record is behind with may be
// that end.
func (t *term) addPending(w *worker, e RunResult) {
	x := pendingEnd{number: e.Number}
	if j := t.jobs[e.Task.Job]; j != nil && j.change > j.keptChange {
		x.job, x.change = j, j.change
	}
	w.pending = append(w.pending, x)
	t.unacked[w] = true
}

// keepEnds lets a worker forget the ends that are kept, up to the first that is not.
func (t *term) keepEnds(w *worker) {
	n := 0
	for n < len(w.pending) && w.pending[n].isKept() {
		w.kept = w.pending[n].number
		n++
	}
	w.pending = w.pending[n:]
	if len(w.pending) == 0 {
		w.pending = nil
		delete(t.unacked, w)
	}
	if n == 0 {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// commit makes a write. While it is not known whether an attempt was carried
// out, the same write is made again: its conditions hold once only.
func (t *term) commit(b *batch) error {
	began := time.Now()
	unanswered := false
	for {
		if !t.valid() {
			// The term is suspended, or about to end.
			if t.ctx.Err() != nil {
				return fault.New(fault.Fenced, "the lock is not held any more")
			}
			pause.For(t.ctx, commitRetry)
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		revision, current, err := t.p.Store.Apply(ctx, b.txn)
		cancel()
		switch {
		case err == nil:
			t.p.Meter.Time("commit_time", time.Since(began))
			b.revision = revision
			return nil
		case fault.Is(err, fault.Conflict):
			return t.conflict(b, current)
		case !unanswered && fault.Is(err, fault.StoreUnavailable):
			return err
		}
		t.p.Meter.Inc("commit_retry_" + string(fault.KindOf(err)))
		unanswered = unanswered || fault.Is(err, fault.AnswerLost)
		if t.ctx.Err() != nil {
			return err
		}
		pause.For(t.ctx, commitRetry)
	}
}

// conflict finds out why a condition did not hold.
func (t *term) conflict(b *batch, current []store.Item) error {
	items := make(map[string]store.Item, len(current))
	for _, it := range current {
		items[it.Key] = it
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// The write happens as a whole: when one record is as written, all are.
	if it, ok := items[store.RunKey(b.rows[0].job.id)]; ok && it.Revision != b.rows[0].job.revision && bytes.Equal(it.Value, b.rows[0].value) {
		b.revision = it.Revision
		// Cancellations that came since then are not to be overtaken by starts.
		t.takeCancels(b, items)
		return nil
	}
	if items[store.LockKey].Revision != t.revision {
		return fault.New(fault.Fenced, "another planner holds the lock")
	}
	if !t.takeCancels(b, items) {
		return fault.New(fault.Fenced, "a run record is not as this term wrote it: %s", b.differing(items))
	}
	return fault.New(fault.Conflict, "a job was cancelled")
}

// takeCancels takes the cancellations among items, and reports whether there are
// any; the watch may have told of them already.
func (t *term) takeCancels(b *batch, items map[string]store.Item) bool {
	found := false
	for _, row := range b.rows {
		if _, ok := items[store.CancelKey(row.job.id)]; ok {
			t.takeCancel(row.job.id, "condition")
			found = true
		}
	}
	return found
}

// differing names the first record whose condition did not hold.
func (b *batch) differing(items map[string]store.Item) string {
	for _, c := range b.txn.Conditions {
		if items[c.Key].Revision != c.Revision {
			return c.Key
		}
	}
	return ""
}

// committed takes in the outcome of a write.
func (t *term) committed(b *batch, err error) {
	for _, row := range b.rows {
		row.job.writing = false
	}
	if err == nil {
		for _, row := range b.rows {
			row.job.revision, row.job.keptChange = b.revision, row.change
			t.keptRow(row)
		}
		for w := range t.unacked {
			t.keepEnds(w)
		}
		return
	}
	t.p.Meter.Inc("commit_" + string(fault.KindOf(err)))
	for _, row := range b.rows {
		t.touch(row.job)
	}
	switch {
	case fault.Is(err, fault.Conflict):
	case fault.Is(err, fault.StoreUnavailable):
		t.keepAfter = time.Now().Add(retryPause)
	default:
		t.p.Log.Warn("planner write failed", "term", t.revision, "jobs", len(b.rows), "error", err)
		t.fail("a write failed: " + err.Error())
	}
}

// keptRow starts what was placed, and shows the end of a job.
func (t *term) keptRow(row batchRow) {
	j := row.job
	if row.state != "" && j.state == row.state {
		j.kept = true
	}
	for _, m := range row.starts {
		if !m.gone && !m.sent {
			t.start(m)
		}
	}
}
