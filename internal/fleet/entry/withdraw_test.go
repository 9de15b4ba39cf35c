package entry_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/entry"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/path"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// storeWrites is the users' writes_per_s.
const storeWrites = 400

// entryVM is a VM that serves callers, with its link to the store.
type entryVM struct {
	*entry.JobService
	link  *world.Link
	meter *meter.Meter
}

// newEntryVM returns one of a number of VMs, all of which can't reach the planner.
func newEntryVM(w *world.World, name string, vms int) *entryVM {
	cfg := &fixed{&model.Config{
		Version: 1, Queues: []model.Queue{{Name: "q", Prefix: "/q/"}},
		Accounts: []model.Account{{Name: "st-anne", Keys: []string{"k1"}}, {Name: "counters", Keys: []string{"k2"}}},
	}}
	v := &entryVM{link: w.Link(name, "store"), meter: &meter.Meter{}}
	v.JobService = &entry.JobService{
		Config: cfg, Planner: cfg, Store: path.Direct{Store: &world.View{Store: w.Store, Link: v.link}},
		StoreWrites: storeWrites, VMs: func() int { return vms }, Log: slog.New(slog.DiscardHandler), Meter: v.meter,
	}
	return v
}

// call makes a call of a client that waits for 3 s.
func (v *entryVM) call(key, id string, do func(ctx context.Context, t entry.Target) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerWaits)
	defer cancel()
	t, err := v.Find(ctx, entry.Call{Path: "/q/" + id, Key: key})
	if err != nil {
		return err
	}
	return do(ctx, t)
}

func (v *entryVM) submit(key, id string) error {
	return v.call(key, id, func(ctx context.Context, t entry.Target) error {
		return v.Submit(ctx, t, model.Job{ID: id, Steps: []model.Step{{Tasks: 1}}})
	})
}

func (v *entryVM) cancel(key, id string) error { return v.call(key, id, v.Cancel) }

// inWorld runs f beside a store.
func inWorld(t *testing.T, f func(is *is.I, w *world.World)) {
	synctest.Test(t, func(t *testing.T) {
		f(is.New(t), world.New(1, 1, world.Bounds{MaxLease: time.Second}))
		time.Sleep(world.MaxCall)
	})
}

const withdrawnID = "00000000000000a1"

// TestCancelledJobIsNotAcceptedLater guards against jobs that start after their cancellation
// was acknowledged with "no such job", since a VM that stood still or a late write of the
// store accepts them afterwards.
func TestCancelledJobIsNotAcceptedLater(t *testing.T) {
	for name, delay := range map[string]func(l *world.Link){
		"VM stands still": func(l *world.Link) { l.Pause() },
		"late write":      func(l *world.Link) { l.Set(world.Faults{Late: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(is *is.I, w *world.World) {
				still, other := newEntryVM(w, "a", 2), newEntryVM(w, "b", 2)
				delay(still.link)
				submitted := make(chan error, 1)
				go func() { submitted <- still.submit("k1", withdrawnID) }()
				time.Sleep(50 * time.Millisecond)
				err := other.cancel("k1", withdrawnID)
				is.Equal(fault.KindOf(err), fault.JobUnknown)
				still.link.Resume()
				still.link.Set(world.Faults{})
				is.True(<-submitted != nil)
				time.Sleep(world.MaxCall)
				is.True(!w.Store.Has(store.SpecKey(withdrawnID)))
			})
		})
	}
}

// TestSubmissionAfterItsCancellation checks what callers are told about a job that was
// cancelled before it was accepted.
func TestSubmissionAfterItsCancellation(t *testing.T) {
	inWorld(t, func(is *is.I, w *world.World) {
		v := newEntryVM(w, "a", 1)
		for range 2 {
			is.Equal(fault.KindOf(v.cancel("k1", withdrawnID)), fault.JobUnknown)
		}
		for range 2 {
			err := v.submit("k1", withdrawnID)
			is.Equal(fault.KindOf(err), fault.KeyReused)
			is.Equal(fault.FieldOf(err), "id")
		}
		is.Equal(fault.KindOf(v.call("k1", withdrawnID, func(ctx context.Context, t entry.Target) error {
			_, err := v.State(ctx, t)
			return err
		})), fault.JobUnknown)
	})
}

// TestCancellationRacesSubmission checks that a job is either cancelled or never accepted,
// whichever of its submission and its cancellation comes first.
func TestCancellationRacesSubmission(t *testing.T) {
	inWorld(t, func(is *is.I, w *world.World) {
		a, b := newEntryVM(w, "a", 2), newEntryVM(w, "b", 2)
		cancelled, withdrawn := 0, 0
		for i := range 200 {
			id := fmt.Sprintf("%016x", i)
			submitted := make(chan error, 1)
			go func() {
				time.Sleep(time.Duration(i%8) * 5 * time.Millisecond)
				submitted <- a.submit("k1", id)
			}()
			err := b.cancel("k1", id)
			accepted := <-submitted == nil
			is.Equal(accepted, w.Store.Has(store.SpecKey(id)))
			if err == nil {
				is.True(accepted)
				is.True(w.Store.Has(store.CancelKey(id)))
				cancelled++
			} else {
				is.Equal(fault.KindOf(err), fault.JobUnknown)
				is.True(!accepted)
				withdrawn++
			}
			time.Sleep(200 * time.Millisecond)
		}
		t.Logf("%d cancelled, %d withdrawn", cancelled, withdrawn)
		is.True(cancelled > 0)
		is.True(withdrawn > 0)
	})
}

// TestUnknownJobIsNotWithdrawnWithoutTheStore guards against an acknowledged cancellation
// that is written nowhere.
func TestUnknownJobIsNotWithdrawnWithoutTheStore(t *testing.T) {
	inWorld(t, func(is *is.I, w *world.World) {
		v := newEntryVM(w, "a", 1)
		w.Store.SetDown(true)
		began := time.Now()
		err := v.cancel("k1", withdrawnID)
		is.Equal(fault.KindOf(err), fault.StoreUnavailable)
		is.True(time.Since(began) < callerWaits)
		var retryLater *entry.RetryLaterError
		is.True(errors.As(err, &retryLater))
	})
}

// TestFloodOfUnknownCancellations guards against one account that uses up the writes of the
// store by cancelling jobs that it never submitted.
func TestFloodOfUnknownCancellations(t *testing.T) {
	const (
		vms, perSecond = 8, 100
		duration       = 20 * time.Second
	)
	inWorld(t, func(is *is.I, w *world.World) {
		all := make([]*entryVM, vms)
		for i := range all {
			all[i] = newEntryVM(w, fmt.Sprint(i), vms)
		}
		var calls sync.WaitGroup
		for i := range int(duration.Seconds()) * perSecond {
			for k, v := range all {
				calls.Go(func() {
					err := v.cancel("k1", fmt.Sprintf("%08x%08x", k, i))
					var retryLater *entry.RetryLaterError
					limited := fault.Is(err, fault.Overloaded) && errors.As(err, &retryLater) && retryLater.After > 0
					if !limited && !fault.Is(err, fault.JobUnknown) {
						t.Errorf("%v", err)
					}
				})
			}
			time.Sleep(time.Second / perSecond)
		}
		// Others are served meanwhile.
		is.Equal(fault.KindOf(all[0].cancel("k2", withdrawnID)), fault.JobUnknown)
		is.NoErr(all[0].submit("k2", "00000000000000a2"))
		calls.Wait()
		withdrawn := int64(0)
		for _, v := range all {
			withdrawn += v.meter.Count("job_withdrawn")
		}
		share := 0.05 * storeWrites * (duration.Seconds() + 10)
		t.Logf("%d withdrawals, %.0f allowed", withdrawn, share)
		is.True(float64(withdrawn) <= share+1)
		is.True(withdrawn > 0)
	})
}
