package planner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// withdraw writes the withdrawal of a job at a time.
func (f *testFleet) withdraw(is *is.I, id string, at time.Time) {
	value, err := planner.Withdrawal{AtMS: at.UnixMilli()}.Encode()
	is.NoErr(err)
	is.True(f.world.Store.Create(store.WithdrawnKey(id), value))
}

// TestOldWithdrawalsAreRemoved guards against a store that fills with withdrawals, and
// against the removal of those before which a submission may still come.
func TestOldWithdrawalsAreRemoved(t *testing.T) {
	for name, faults := range map[string]world.Faults{"no faults": {}, "answers lost": {Lose: 0.4}, "late": {Late: 0.3}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newTestFleet(t, 1, 2)
				defer fleet.close()
				fleet.statusRetention = 60 * time.Second
				st := fleet.world.Store
				const withdrawals = 40
				for i := range withdrawals {
					fleet.withdraw(is, jobID(i), time.Now())
				}
				st.Put(store.WithdrawnKey(jobID(1000)), []byte("{"))
				fleet.startVM("a")
				time.Sleep(time.Second)
				fleet.link("a", "store").Set(faults)
				for range 11 {
					time.Sleep(10 * time.Second)
					for i := range withdrawals {
						is.True(st.Has(store.WithdrawnKey(jobID(i))))
					}
				}
				time.Sleep(3 * time.Minute)
				fleet.link("a", "store").Set(world.Faults{})
				time.Sleep(time.Minute)
				for i := range withdrawals {
					is.True(!st.Has(store.WithdrawnKey(jobID(i))))
				}
				is.True(st.Has(store.WithdrawnKey(jobID(1000)))) // of a later version, perhaps
			})
		})
	}
}

// lateRemovals is a store that leaves removals unanswered and carries them out late.
type lateRemovals struct {
	store.Store
	late chan store.Txn
}

func (l *lateRemovals) Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	if len(t.Removes) == 0 {
		return l.Store.Apply(ctx, t)
	}
	l.late <- t
	return 0, nil, fault.New(fault.AnswerLost, "no response")
}

// TestLateRemovalKeepsLaterWithdrawal guards against a removal that the store carries out
// late, and that removes a later withdrawal of the same job.
func TestLateRemovalKeepsLaterWithdrawal(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.statusRetention = 10 * time.Second
		st := &lateRemovals{late: make(chan store.Txn, 1)}
		fleet.configure = func(p *planner.Planner) {
			st.Store = p.Store
			p.Store = st
		}
		key := store.WithdrawnKey(jobID(1))
		fleet.withdraw(is, jobID(1), time.Now().Add(-time.Hour))
		fleet.startVM("a")
		removal := <-st.late
		fleet.world.Store.Remove(key)
		fleet.withdraw(is, jobID(1), time.Now())
		_, _, err := st.Store.Apply(t.Context(), removal)
		is.True(fault.Is(err, fault.Conflict))
		is.True(fleet.world.Store.Has(key))
	})
}
