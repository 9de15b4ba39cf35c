package planner

import (
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// watchWait bounds one watch of the jobs, so that an unresponsive one is detected.
	watchWait = 3 * time.Second
	// watchSlack is the additional time for the response to a watch.
	watchSlack = 800 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 200 * time.Millisecond
)

// watchJobs applies new jobs and cancellations from the store until the term ends.
func (t *term) watchJobs() {
	for t.ctx.Err() == nil {
		var from int64
		t.locked(func() { from = t.jobsRevision })
		ctx, cancel := context.WithTimeout(t.ctx, watchWait+watchSlack)
		events, next, err := t.p.Store.Watch(ctx, store.JobPrefix, from, watchWait)
		cancel()
		if fault.Is(err, fault.RetryHorizon) {
			t.p.Meter.Inc("planner_watch_restart")
			events, next, err = t.rereadJobs(from)
		}
		if err != nil {
			t.p.Meter.Inc("planner_watch_retry")
			pause.For(t.ctx, retryPause)
			continue
		}
		t.locked(func() {
			t.jobsRevision = next
			t.applyJobItems(events, "watch")
			t.forgetRemoved()
		})
		if len(events) > 0 {
			t.notify()
		}
	}
}

// rereadJobs reads all records of jobs since the store no longer has the changes after a revision.
func (t *term) rereadJobs(from int64) ([]store.Item, int64, error) {
	start := time.Now()
	items, at, err := t.readAll(store.JobPrefix)
	if err == nil {
		t.p.Log.Info("jobs read again: the store has discarded their changes", "term", t.revision, "from", from, "to", at, "records", len(items), "took_ms", time.Since(start).Milliseconds())
	}
	return items, at, err
}

// applyJobItems applies records of jobs and cancellations. Cancellations are applied
// last, since a page may list one before its job.
func (t *term) applyJobItems(items []store.Item, source string) {
	for _, id := range t.applySpecs(items, source) {
		t.applyCancel(id, source)
	}
}

// applySpecs applies records of jobs and returns the ids of the jobs that are cancelled.
func (t *term) applySpecs(items []store.Item, source string) (cancelled []string) {
	for _, it := range items {
		id, cancel, ok := store.SplitJobKey(it.Key)
		if !ok || it.Deleted {
			continue
		}
		if cancel {
			cancelled = append(cancelled, id)
			continue
		}
		spec, err := DecodeSpec(it.Value)
		if err != nil {
			t.p.Meter.Inc("record_decode_error")
			t.p.Log.Error("job record could not be decoded", "job", id, "error", err)
			continue
		}
		if j := t.jobs[id]; j != nil && it.Revision > j.revision && j.isFinal() {
			// A job's record is written once, before its run record. So the records of this
			// one were removed, and the id was accepted again.
			delete(t.jobs, id)
		}
		t.applySpec(spec, source)
	}
	return cancelled
}
