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
	// answerReserve is the part of a call's time that is reserved for the response.
	answerReserve = 150 * time.Millisecond
	// retryPause is the pause between two attempts of a store call or a query.
	writeRetry = 60 * time.Millisecond
	// unavailableRetryTime is how long a write whose result is unknown is repeated
	// while the store is unreachable. The caller gets an early error, since another
	// VM may reach the store.
	unclearTime = 400 * time.Millisecond
	// unansweredRetryTime is how long a write is repeated after its first attempt
	// without a response. Another VM may learn the result sooner, and a caller whose
	// deadline passes gets no response at all.
	lostTime = 800 * time.Millisecond
	// notifyTimeout bounds a notification of the planner, which reads the store as
	// well.
	tellTimeout = 500 * time.Millisecond
	// queryTimeout bounds a query of the planner.
	askTimeout = 500 * time.Millisecond
)

// Submit accepts a job. It returns nil once the job is persisted, an error with the
// outcome "not run" when the job is not and can't become persisted, and an error of
// kind AnswerLost when it may be.
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

// checkResubmission accepts a submission whose id is persisted already if the job is
// the same. Otherwise its error is of kind KeyReused.
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

// checkFits returns an error of kind NeverFits if no worker of the service could ever
// run a task of the job.
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

// createOnce makes a change whose only condition is that a key does not exist, and
// repeats it as needed; so it is made at most once. It returns the existing item if
// the key existed before.
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
			err = fault.New(fault.StoreUnavailable, "the store's conflict response does not contain the key")
		} else if refusal := u.note(err); refusal != nil {
			return nil, refusal
		}
		d.Meter.Inc("write_retry_" + string(fault.KindOf(err)))
		if !u.isOver() && pauseFor(ctx, writeRetry) {
			continue
		}
		if u.lost() {
			return nil, fault.Wrap(fault.AnswerLost, err, "the store did not confirm the write in time")
		}
		return nil, &RetryLaterError{fault.Wrap(fault.StoreUnavailable, err, "the deadline leaves no time to repeat the write"), retryAfter}
	}
}

// writeAttempts records the failed attempts of one write.
type unclear struct {
	// unansweredAt is when an attempt first got no response, so that the write may
	// have been made or may yet be made. Zero for none.
	lostAt time.Time
	// unavailableSince is when the store became unreachable; zero while it may be
	// reachable.
	away time.Time
}

// record records the error of an attempt. It returns the error to return to the
// caller at once, nil to try again.
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
		return &RetryLaterError{fault.Wrap(fault.AnswerLost, err, "the store did not confirm the write and is now unreachable"), retryAfter}
	}
	return nil
}

// resultUnknown reports whether an attempt got no response.
func (u *unclear) lost() bool { return !u.lostAt.IsZero() }

// attemptContext returns the context of the next attempt.
func (u *unclear) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if !u.lost() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, u.lostAt.Add(lostTime))
}

// isExpired reports whether the retry time is over, so that the caller is told that
// the result is unknown.
func (u *unclear) isOver() bool {
	return u.lost() && time.Since(u.lostAt) >= lostTime
}

// foreignItem returns the existing item that a write conflicts with, or nil if an
// earlier attempt of the same write created it.
func (d *JobService) held(it *store.Item, txn store.Txn, unanswered bool) *store.Item {
	if unanswered && bytes.Equal(it.Value, txn.Puts[0].Value) {
		return nil
	}
	return it
}

// pauseFor waits for delay, and reports whether time for another attempt is left.
func pauseFor(ctx context.Context, delay time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		return false
	}
	return pause.For(ctx, delay)
}

// withAnswerReserve returns a context that ends answerReserve before the deadline of
// ctx, so that the response can still be sent.
func reserved(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-answerReserve))
}

// notify notifies the planner of a persisted change. The planner reads the store as
// well, so a failure only delays the change.
func (d *JobService) tell(ctx context.Context, call func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	go func() {
		defer cancel()
		if err := call(ctx); err != nil {
			d.Meter.Inc("tell_failed")
		}
	}()
}

// State returns the state of a job from the planner, or from the store if the planner
// can't be reached or does not have the job.
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

// stateFromStore derives the state of a job from its records in the store.
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

// Cancel cancels a job. It returns nil once the cancellation is persisted.
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
	// summaryFreshAge is the age up to which a summary is used without a query.
	digestFresh = 500 * time.Millisecond
	// maxSummaryAge is the age up to which a summary is used when a query of the
	// planner fails.
	digestUsable = 2 * time.Second
	// maxWorkerClassesAge is the age up to which the summary's worker classes, which
	// change rarely, are used.
	roomsUsable = 30 * time.Second
)

// Pending returns the number of a queue's jobs of which no task has started.
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
	// Deferred, since other calls wait for the channel also after a panic.
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
	return model.PlannerSummary{}, fault.New(fault.NotReady, "the planner has not responded recently")
}

// lastDigest returns the last digest if its list of workers can be used.
func (d *JobService) lastDigest() (model.PlannerSummary, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.digest, time.Since(d.digestAt) < roomsUsable
}
