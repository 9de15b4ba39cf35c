package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// withdraw excludes that a job that is not stored is accepted later: another VM may still
// have its submission, or the store may carry it out late. It returns unknown, which is of
// kind JobUnknown, once that is persisted, and nil if the job has been stored meanwhile.
func (js *JobService) withdraw(ctx context.Context, t Target, unknown error) error {
	began := time.Now()
	if wait := js.withdrawals.take(began, t.Account, js.writesPerVM()); wait > 0 {
		js.Meter.Inc("withdrawal_limited")
		return &RetryLaterError{fault.New(fault.Overloaded, "too many cancellations of jobs that are not known"), wait}
	}
	value, err := planner.Withdrawal{AtMS: began.UnixMilli()}.Encode()
	if err != nil {
		return err
	}
	existing, err := js.createOnce(ctx, store.Txn{
		Conditions: []store.Condition{{Key: store.WithdrawnKey(t.JobID)}, {Key: store.SpecKey(t.JobID)}},
		Puts:       []store.Put{{Key: store.WithdrawnKey(t.JobID), Value: value}},
	})
	switch {
	case err != nil:
		return err
	case existing != nil && existing.Key == store.SpecKey(t.JobID):
		return nil
	}
	js.Meter.Inc("job_withdrawn")
	js.Log.Info("job withdrawn", "job", t.JobID, "queue", t.Queue.Name, "account", t.Account, "again", existing != nil,
		"took_ms", time.Since(began).Milliseconds())
	return unknown
}

const (
	// accountWithdrawalShare is the share of the store's writes that the withdrawals of one
	// account may use, and withdrawalShare that of all accounts. Submissions need the rest.
	accountWithdrawalShare = 0.05
	withdrawalShare        = 0.2
	// withdrawalBurst is the time whose withdrawals may come at once, if they are more than
	// one: clients of a VM that does not respond cancel their jobs together.
	withdrawalBurst = 10 * time.Second
	// defaultStoreWrites is the number of writes per second that the store is taken to accept
	// if the platform specifies none.
	defaultStoreWrites = 400
)

// writesPerVM returns the number of writes per second that the store accepts, divided by the
// number of VMs.
func (js *JobService) writesPerVM() float64 {
	rate, vms := js.StoreWrites, 1
	if rate <= 0 {
		rate = defaultStoreWrites
	}
	if js.VMs != nil {
		vms = max(js.VMs(), 1)
	}
	return rate / float64(vms)
}

// withdrawalLimit limits the withdrawals at a VM, each of which writes to the store: callers
// can make up any number of ids. The zero value is ready to use.
type withdrawalLimit struct {
	mu       sync.Mutex
	all      bucket
	accounts map[string]*bucket
}

// take counts a withdrawal and returns 0, or how much later it may be made. writes is the
// number of the store's writes per second of which withdrawals have their shares.
func (l *withdrawalLimit) take(now time.Time, account string, writes float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts == nil {
		l.accounts = make(map[string]*bucket)
	}
	own := l.accounts[account]
	if own == nil {
		own = new(bucket)
		l.accounts[account] = own
	}
	ownRate, allRate := accountWithdrawalShare*writes, withdrawalShare*writes
	if wait := max(own.wait(now, ownRate), l.all.wait(now, allRate)); wait > 0 {
		return wait
	}
	own.used++
	l.all.used++
	return 0
}

// bucket counts events. At most as many as occur within withdrawalBurst at their rate, and
// at least one, may come at once.
type bucket struct {
	// used is the number of events less those that the rate has allowed since, at the time
	// of the last call.
	used float64
	at   time.Time
}

// wait returns how much later the next event may come at a rate of events per second; 0 if it
// may come now.
func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	b.used = max(0, b.used-now.Sub(b.at).Seconds()*rate)
	b.at = now
	over := b.used + 1 - max(1, rate*withdrawalBurst.Seconds())
	return max(0, time.Duration(over/rate*float64(time.Second)))
}
