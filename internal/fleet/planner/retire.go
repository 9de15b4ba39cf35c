package planner

import (
	"context"
	"sort"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// retireFactor times the time for which states are told is how long the
	// records of an ended job are kept: a submission that comes again meets them,
	// and the clocks of VMs differ by seconds.
	retireFactor = 2
	// retirePause is the time between two removals.
	retirePause = 5 * time.Second
	// retireJobs is the number of jobs whose records are removed at a time: each
	// needs a condition and three removals, besides the condition on the lock.
	retireJobs = (store.MaxTxnEntries - 1) / 4
)

// retained is how long the records of an ended job are kept; 0 for good.
func (p *Planner) retained() time.Duration { return retireFactor * p.Bounds.StatusRetention }

// retirable returns the jobs whose records are kept no longer, the oldest first.
func (t *term) retirable(now time.Time) []*job {
	keep := t.p.retained()
	if keep == 0 || len(t.behind) > 0 || now.Sub(t.retiredAt) < retirePause {
		return nil
	}
	t.retiredAt = now
	var old []*job
	for _, j := range t.jobs {
		if j.ended() && j.kept && !j.dirty && !j.writing && !j.holdsRoom() && now.Sub(time.UnixMilli(j.endedMS)) > keep {
			old = append(old, j)
		}
	}
	sort.Slice(old, func(a, b int) bool { return old[a].endedMS < old[b].endedMS })
	return old[:min(len(old), retireJobs)]
}

func (j *job) holdsRoom() bool {
	for _, u := range j.order {
		if len(u.members) > 0 {
			return true
		}
	}
	return false
}

// retire removes the records of jobs that ended long ago, a few at a time.
func (t *term) retire() {
	var old []*job
	txn := store.Txn{Conditions: []store.Condition{{Key: store.LockKey, Revision: t.revision}}}
	t.locked(func() {
		old = t.retirable(time.Now())
		for _, j := range old {
			txn.Conditions = append(txn.Conditions, store.Condition{Key: store.RunKey(j.id), Revision: j.revision})
			txn.Removes = append(txn.Removes, store.SpecKey(j.id), store.CancelKey(j.id), store.RunKey(j.id))
		}
	})
	if len(old) == 0 || !t.valid() {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
	defer cancel()
	_, current, err := t.p.Store.Apply(ctx, txn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && !fault.Is(err, fault.Conflict) {
		// Removing them again is harmless.
		t.p.Meter.Inc("retire_" + string(fault.KindOf(err)))
		return
	}
	if err != nil {
		old = gone(old, current)
	}
	for _, j := range old {
		delete(t.jobs, j.id)
	}
	t.p.Meter.Add("job_retired", int64(len(old)))
	t.p.Log.Info("records of ended jobs removed", "jobs", len(old), "known", len(t.jobs), "kept_ms", t.p.retained().Milliseconds())
}

// gone returns the jobs that have no run record any more: an attempt without an
// answer removed them.
func gone(old []*job, current []store.Item) []*job {
	held := make(map[string]bool, len(current))
	for _, it := range current {
		held[it.Key] = true
	}
	var out []*job
	for _, j := range old {
		if !held[store.RunKey(j.id)] {
			out = append(out, j)
		}
	}
	return out
}
