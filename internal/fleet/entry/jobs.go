package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// answerReserve is kept of a call's deadline for the answer.
	answerReserve = 150 * time.Millisecond
	// writeRetry is the pause between two attempts of a write.
	writeRetry = 60 * time.Millisecond
	// unclearTime is how long a change without an answer is repeated while no way
	// to the store works. Another VM may reach it, so the caller is told early.
	unclearTime = 400 * time.Millisecond
	// lostTime is how long a change is repeated after its first attempt without an
	// answer: another VM may find out sooner what became of it, and a caller whose
	// deadline passes is told nothing.
	lostTime = 800 * time.Millisecond
	// tellTimeout bounds the telling of the planner; it reads the store as well.
	tellTimeout = 500 * time.Millisecond
	// askTimeout bounds a question to the planner.
	askTimeout = 500 * time.Millisecond
)

// Submit accepts a job. It returns nil once the store holds it, an error that
// says not run when it can't come to be held, and AnswerLost when it may.
func (d *JobService) Submit(ctx context.Context, t Target, j model.Job) error {
	began := time.Now()
	if t.JobID == "" {
		return fault.WithField(fault.BadRequest, "id", "is missing")
	}
	if err := Check(&j); err != nil {
		return err
	}
	if err := d.fits(&t, &j); err != nil {
		return err
	}
	s := planner.Spec{Job: j, Queue: t.Queue, Account: t.Account, AcceptedMS: time.Now().UnixMilli(), ConfigVersion: t.Version}
	value, err := s.Encode()
	if err != nil {
		return err
	}
	if err := d.recheck(&t); err != nil {
		return err
	}
	known, err := d.write(ctx, store.Txn{
		Conditions: []store.Condition{{Key: store.SpecKey(j.ID)}},
		Puts:       []store.Put{{Key: store.SpecKey(j.ID), Value: value}},
	})
	if err != nil {
		return err
	}
	if known != nil {
		return d.again(&s, known)
	}
	d.Meter.Inc("job_accepted")
	d.Meter.Time("accept_time", time.Since(began))
	d.Log.Info("job accepted", "job", j.ID, "queue", t.Queue.Name, "account", t.Account, "version", t.Version,
		"steps", len(j.Steps), "took_ms", time.Since(began).Milliseconds())
	d.tell(ctx, func(ctx context.Context) error { return d.Planner.Submit(ctx, j.ID, value) })
	return nil
}

// again answers a submission of an id that the store holds already.
func (d *JobService) again(s *planner.Spec, known *store.Item) error {
	held, err := planner.DecodeSpec(known.Value)
	if err != nil {
		return err
	}
	if !sameJob(&held.Job, &s.Job) || held.Queue.Name != s.Queue.Name {
		return fault.WithField(fault.KeyReused, "id", "another job has this id")
	}
	d.Meter.Inc("job_accepted_again")
	return nil
}

func sameJob(a, b *model.Job) bool {
	x, errX := (&planner.Spec{Job: *a}).Encode()
	y, errY := (&planner.Spec{Job: *b}).Encode()
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// fits refuses a job that no worker of the service could ever run.
func (d *JobService) fits(t *Target, j *model.Job) error {
	digest, ok := d.lastDigest()
	if !ok {
		return nil
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		known, room := false, false
		for _, r := range digest.WorkerClasses {
			if r.Service != t.Queue.Service {
				continue
			}
			known = true
			room = room || s.CountedShape().Fits(r.Capacity)
		}
		if known && !room {
			return fault.New(fault.NeverFits, "no worker of %s could run a task of step %d", t.Queue.Service, i)
		}
	}
	return nil
}

// write makes a change that happens once: its only condition is that a key does
// not exist. It returns the item when the key exists already.
func (d *JobService) write(ctx context.Context, txn store.Txn) (*store.Item, error) {
	ctx, cancel := reserved(ctx)
	defer cancel()
	var u unclear
	for {
		attempt, end := u.bound(ctx)
		_, current, err := d.Store.Apply(attempt, txn)
		end()
		if err == nil {
			return nil, nil
		}
		if fault.Is(err, fault.Conflict) {
			for i := range current {
				if current[i].Key == txn.Conditions[0].Key {
					return d.held(&current[i], txn, u.lost()), nil
				}
			}
			err = fault.New(fault.StoreUnavailable, "the store named no item")
		} else if refusal := u.note(err); refusal != nil {
			return nil, refusal
		}
		d.Meter.Inc("write_retry_" + string(fault.KindOf(err)))
		if !u.isOver() && pauseFor(ctx, writeRetry) {
			continue
		}
		if u.lost() {
			return nil, fault.Wrap(fault.AnswerLost, err, "the store did not answer in time")
		}
		return nil, &RetryLaterError{fault.Wrap(fault.StoreUnavailable, err, "no time is left"), retryAfter}
	}
}

// unclear follows the attempts of one change.
type unclear struct {
	// lostAt is when an attempt first had no answer: it may yet be carried out. Zero
	// for none.
	lostAt time.Time
	// away is since when no way to the store works; zero while one may.
	away time.Time
}

// note takes the error of an attempt in, and returns what to tell the caller at
// once; nil to try again.
func (u *unclear) note(err error) error {
	if !fault.Is(err, fault.StoreUnavailable) {
		u.away = time.Time{}
		if fault.Is(err, fault.AnswerLost) && !u.lost() {
			u.lostAt = time.Now()
		}
		return nil
	}
	if u.away.IsZero() {
		u.away = time.Now()
	}
	switch {
	case !u.lost():
		return &RetryLaterError{err, retryAfter}
	case time.Since(u.away) > unclearTime:
		return &RetryLaterError{fault.Wrap(fault.AnswerLost, err, "the store did not answer, and can't be asked"), retryAfter}
	}
	return nil
}

// lost reports whether an attempt had no answer.
func (u *unclear) lost() bool { return !u.lostAt.IsZero() }

// bound returns a context for the next attempt.
func (u *unclear) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if !u.lost() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, u.lostAt.Add(lostTime))
}

// isOver reports whether the caller is to be told that it is unclear what became of
// the change.
func (u *unclear) isOver() bool {
	return u.lost() && time.Since(u.lostAt) >= lostTime
}

// held returns the item that a write met; nil when it is that of an earlier
// attempt of the same write.
func (d *JobService) held(it *store.Item, txn store.Txn, unanswered bool) *store.Item {
	if unanswered && bytes.Equal(it.Value, txn.Puts[0].Value) {
		return nil
	}
	return it
}

// pauseFor waits, and reports whether time is left for another attempt.
func pauseFor(ctx context.Context, delay time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		return false
	}
	return pause.For(ctx, delay)
}

// reserved returns a context that ends early enough for an answer before the deadline of
// ctx.
func reserved(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-answerReserve))
}

// tell tells the planner of a change that the store holds. The planner reads
// the store as well, so a failure only costs time.
func (d *JobService) tell(ctx context.Context, call func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	go func() {
		defer cancel()
		if err := call(ctx); err != nil {
			d.Meter.Inc("tell_failed")
		}
	}()
}

// State returns the state of a job: from the planner, else from the store.
func (d *JobService) State(ctx context.Context, t Target) (model.JobState, error) {
	ctx, end := reserved(ctx)
	defer end()
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	s, known, err := d.Planner.State(askCtx, t.JobID)
	cancel()
	if err == nil && known {
		return s, d.recheck(&t)
	}
	if err != nil {
		d.Meter.Inc("state_from_store")
	}
	for {
		s, err := d.stored(ctx, t.JobID)
		if err == nil {
			return s, d.recheck(&t)
		}
		if fault.Is(err, fault.JobUnknown) {
			return "", err
		}
		if !pauseFor(ctx, writeRetry) {
			return "", &RetryLaterError{fault.Wrap(fault.StoreUnavailable, err, "state"), retryAfter}
		}
	}
}

// stored returns the state of a job by the records of the store.
func (d *JobService) stored(ctx context.Context, id string) (model.JobState, error) {
	parts, _, err := d.Store.Range(ctx, store.JobPrefix+id+"/")
	if err != nil {
		return "", err
	}
	accepted, cancelled := false, false
	for _, it := range parts {
		accepted = accepted || it.Key == store.SpecKey(id)
		cancelled = cancelled || it.Key == store.CancelKey(id)
	}
	if !accepted {
		return "", fault.New(fault.JobUnknown, "no such job")
	}
	it, found, err := d.Store.Get(ctx, store.RunKey(id))
	if err != nil {
		return "", err
	}
	if !found {
		return planner.RecordedState(cancelled, nil), nil
	}
	r, err := planner.DecodeRunRecord(it.Value)
	if err != nil {
		return "", err
	}
	return planner.RecordedState(cancelled, r), nil
}

// Cancel cancels a job. It returns nil once the store holds the cancellation.
func (d *JobService) Cancel(ctx context.Context, t Target) error {
	if t.JobID == "" {
		return fault.WithField(fault.BadRequest, "id", "is missing")
	}
	if _, err := d.State(ctx, t); err != nil {
		return err
	}
	began := time.Now()
	txn := store.Txn{
		Conditions: []store.Condition{{Key: store.CancelKey(t.JobID)}},
		Puts:       []store.Put{{Key: store.CancelKey(t.JobID), Value: []byte("{}")}},
	}
	if _, err := d.write(ctx, txn); err != nil {
		return err
	}
	d.Meter.Inc("job_cancel_accepted")
	d.Log.Info("cancellation accepted", "job", t.JobID, "queue", t.Queue.Name, "took_ms", time.Since(began).Milliseconds())
	d.tell(ctx, func(ctx context.Context) error { return d.Planner.Cancel(ctx, t.JobID) })
	return nil
}

const (
	// digestFresh is the age up to which a digest is used without asking.
	digestFresh = 500 * time.Millisecond
	// digestUsable is the age up to which one is used when the planner can't be
	// asked.
	digestUsable = 2 * time.Second
	// roomsUsable is the age up to which the kinds of workers are used: they
	// change rarely.
	roomsUsable = 30 * time.Second
)

// Pending returns the number of jobs of a queue that wait.
func (d *JobService) Pending(ctx context.Context, t Target) (int64, error) {
	ctx, end := reserved(ctx)
	defer end()
	for {
		digest, err := d.freshDigest(ctx)
		if err == nil {
			return digest.Pending[t.Queue.Name], d.recheck(&t)
		}
		if !pauseFor(ctx, writeRetry) {
			return 0, &RetryLaterError{fault.Wrap(fault.NotReady, err, "pending"), retryAfter}
		}
	}
}

// freshDigest returns the planner's digest; calls at the same time share one
// question.
func (d *JobService) freshDigest(ctx context.Context) (model.PlannerSummary, error) {
	d.mu.Lock()
	if time.Since(d.digestAt) < digestFresh {
		defer d.mu.Unlock()
		return d.digest, nil
	}
	if ch := d.asking; ch != nil {
		d.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
		}
		return d.usableDigest()
	}
	ch := make(chan struct{})
	d.asking = ch
	d.mu.Unlock()
	began := time.Now()
	// Also after a panic: others wait for the answer.
	defer func() {
		d.mu.Lock()
		d.asking = nil
		d.mu.Unlock()
		close(ch)
	}()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if digest, err := d.Planner.Summary(ctx); err == nil {
		d.mu.Lock()
		d.digest, d.digestAt = digest, began
		d.mu.Unlock()
	}
	return d.usableDigest()
}

func (d *JobService) usableDigest() (model.PlannerSummary, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.digestAt) < digestUsable {
		return d.digest, nil
	}
	return model.PlannerSummary{}, fault.New(fault.NotReady, "the planner can't be asked")
}

// lastDigest returns the last digest if its list of workers can be used.
func (d *JobService) lastDigest() (model.PlannerSummary, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.digest, time.Since(d.digestAt) < roomsUsable
}
