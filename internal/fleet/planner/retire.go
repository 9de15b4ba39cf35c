package planner

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// retentionFactor times the status retention is how long the records of an ended job
	// are retained. A repeated submission must still find them, and the clocks of VMs
	// differ by seconds.
	retentionFactor = 2
	// removalInterval is how often records to be removed are looked for, and removalPause
	// the pause between two removals: more than one may be due.
	removalInterval = 5 * time.Second
	removalPause    = 100 * time.Millisecond
	// maxRemovals is the number of jobs whose records are removed in one transaction:
	// each needs a condition and three removals, besides the condition on the lock.
	maxRemovals = (store.MaxTxnEntries - 1) / 4
)

// recordRetention returns how long the records of an ended job are retained; 0 means
// permanently.
func (p *Planner) recordRetention() time.Duration { return retentionFactor * p.Bounds.StatusRetention }

// expiredJobs returns the jobs whose records are no longer retained, the oldest first.
func (t *term) expiredJobs(now time.Time) []*job {
	retention := t.p.recordRetention()
	if retention == 0 {
		return nil
	}
	var expired []*job
	for _, j := range t.jobs {
		if j.removedAt == 0 && j.isFinal() && now.Sub(time.UnixMilli(j.endedMS)) > retention {
			expired = append(expired, j)
		}
	}
	sort.Slice(expired, func(a, b int) bool { return expired[a].endedMS < expired[b].endedMS })
	return expired[:min(len(expired), maxRemovals)]
}

// isFinal reports whether the job has ended, the store has its state, and no run of it is
// left.
func (j *job) isFinal() bool {
	return j.ended() && j.persisted && !j.unwritten && !j.writing && !j.hasMembers()
}

func (j *job) hasMembers() bool {
	for _, u := range j.unitList {
		if len(u.members) > 0 {
			return true
		}
	}
	return false
}

// removeExpiredPeriodically removes the records of jobs that ended long ago until the term
// ends. It keeps up with the jobs that arrive: a term begins by reading all records.
func (t *term) removeExpiredPeriodically() {
	for pause.For(t.ctx, removalInterval) {
		t.locked(t.compactEnded)
		for t.removeExpired() && pause.For(t.ctx, removalPause) {
		}
	}
}

// removeExpired removes the records of up to maxRemovals jobs that ended long ago, and
// reports whether there may be more. While records wait to be written, it removes none.
func (t *term) removeExpired() (more bool) {
	var expired []*job
	txn := store.Txn{Conditions: []store.Condition{{Key: store.LockKey, Revision: t.revision}}}
	t.locked(func() {
		if more = len(t.unwrittenJobs) > 0; more {
			return
		}
		expired = t.expiredJobs(time.Now())
		more = len(expired) == maxRemovals
		for _, j := range expired {
			txn.Conditions = append(txn.Conditions, store.Condition{Key: store.RunKey(j.id), Revision: j.revision})
			txn.Removes = append(txn.Removes, store.SpecKey(j.id), store.CancelKey(j.id), store.RunKey(j.id))
		}
	})
	if len(expired) == 0 {
		return more
	}
	if !t.valid() {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
	defer cancel()
	revision, current, err := t.p.Store.Apply(ctx, txn)
	if fault.Is(err, fault.Conflict) {
		if expired = withoutRecord(expired, current); len(expired) == 0 {
			return false
		}
		revision, err = t.storeRevision(ctx)
	}
	if err != nil {
		// The next attempt may remove them again without harm.
		t.p.Meter.Inc("retire_" + string(fault.KindOf(err)))
		return false
	}
	t.locked(func() {
		for _, j := range expired {
			j.removedAt = revision
		}
		t.removed = append(t.removed, expired...)
		t.forgetRemoved()
		t.p.Meter.Add("job_retired", int64(len(expired)))
		t.p.Log.Info("records of ended jobs removed", "jobs", len(expired), "revision", revision, "read_to", t.jobsRevision, "known", len(t.jobs), "kept_ms", t.p.recordRetention().Milliseconds())
	})
	return more
}

// storeRevision returns the present revision of the store.
func (t *term) storeRevision(ctx context.Context) (int64, error) {
	page, err := t.p.Store.Page(ctx, store.LockKey, "")
	return page.At, err
}

// forgetRemoved forgets the jobs whose removal the term has read.
func (t *term) forgetRemoved() {
	t.removed = slices.DeleteFunc(t.removed, func(j *job) bool {
		if j.removedAt > t.jobsRevision {
			return false
		}
		if t.jobs[j.id] == j {
			delete(t.jobs, j.id)
		}
		return true
	})
}

// withoutRecord returns those of the expired jobs whose run records are not among the
// current items: an earlier removal that got no response did take effect.
func withoutRecord(expired []*job, current []store.Item) []*job {
	existing := make(map[string]bool, len(current))
	for _, it := range current {
		existing[it.Key] = true
	}
	var out []*job
	for _, j := range expired {
		if !existing[store.RunKey(j.id)] {
			out = append(out, j)
		}
	}
	return out
}
