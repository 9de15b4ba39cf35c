package planner

import (
	"context"
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// withdrawalInterval is how often withdrawals to be removed are looked for.
	withdrawalInterval = 30 * time.Second
	// maxWithdrawalRemovals is the number of withdrawals that are removed in one transaction:
	// each needs a condition and a removal, besides the condition on the lock.
	maxWithdrawalRemovals = (store.MaxTxnEntries - 1) / 2
)

// removeWithdrawalsPeriodically removes the withdrawals of jobs that are older than the records
// of an ended job are retained, until the term ends. Callers wait for a minute at most and VMs
// stand still for seconds, so no submission from before the withdrawal is under way any more.
func (t *term) removeWithdrawalsPeriodically() {
	for t.p.recordRetention() > 0 && pause.For(t.ctx, withdrawalInterval) {
		items, _, err := t.readAll(store.WithdrawnPrefix)
		if err != nil {
			t.p.Meter.Inc("withdrawal_read_retry")
			continue
		}
		for expired := range slices.Chunk(t.expiredWithdrawals(items, time.Now()), maxWithdrawalRemovals) {
			if !t.removeWithdrawals(expired) || !pause.For(t.ctx, removalPause) {
				break
			}
		}
	}
}

// expiredWithdrawals returns the withdrawals that are no longer retained.
func (t *term) expiredWithdrawals(items []store.Item, now time.Time) []store.Item {
	var expired []store.Item
	for _, it := range items {
		w, err := decodeWithdrawal(it.Value)
		if err != nil {
			t.p.Meter.Inc("record_decode_error")
			t.p.Log.Error("withdrawal could not be decoded; it is left alone", "key", it.Key, "error", err)
			continue
		}
		if now.Sub(time.UnixMilli(w.AtMS)) > t.p.recordRetention() {
			expired = append(expired, it)
		}
	}
	return expired
}

// removeWithdrawals removes withdrawals that have not changed since they were read: a late
// removal must not remove a later withdrawal of the same job. It returns false if they may
// still exist.
func (t *term) removeWithdrawals(items []store.Item) bool {
	if !t.valid() {
		return false
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: store.LockKey, Revision: t.revision}}}
	for _, it := range items {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: it.Key, Revision: it.Revision})
		txn.Removes = append(txn.Removes, it.Key)
	}
	ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
	defer cancel()
	if _, _, err := t.p.Store.Apply(ctx, txn); err != nil {
		t.p.Meter.Inc("withdrawal_removal_" + string(fault.KindOf(err)))
		return false
	}
	t.p.Meter.Add("withdrawals_removed", int64(len(items)))
	t.p.Log.Info("old withdrawals removed", "withdrawals", len(items), "kept_ms", t.p.recordRetention().Milliseconds())
	return true
}
