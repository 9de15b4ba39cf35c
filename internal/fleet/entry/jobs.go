package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// answerReserve is the part of a call's time that is reserved for the response.
	answerReserve = 150 * time.Millisecond
	// retryPause is the pause between two attempts of a store call or a query.
	retryPause = 60 * time.Millisecond
	// unavailableRetryTime is how long a write whose result is unknown is repeated
	// while the store is unreachable. The caller gets an early error, since another
	// VM may reach the store.
	unavailableRetryTime = 400 * time.Millisecond
	// unansweredRetryTime is how long a write is repeated after its first attempt
	// without a response. Another VM may learn the result sooner, and a caller whose
	// deadline passes gets no response at all.
	unansweredRetryTime = 800 * time.Millisecond
	// notifyTimeout bounds a notification of the planner, which reads the store as
	// well.
	notifyTimeout = 500 * time.Millisecond
	// queryTimeout bounds a query of the planner.
	queryTimeout = 500 * time.Millisecond
)

// Submit accepts a job. It returns nil once the job is persisted, an error with the
// outcome "not run" when the job is not and can't become persisted, and an error of
// kind AnswerLost when it may be.
func (js *JobService) Submit(ctx context.Context, t Target, j model.Job) error {
	end, err := js.begin()
	if err != nil {
		return err
	}
	defer end()
	return js.submit(ctx, t, j)
}

func (js *JobService) submit(ctx context.Context, t Target, j model.Job) error {
	began := time.Now()
	if t.JobID == "" {
		return fault.WithField(fault.BadRequest, "id", "is missing")
	}
	if err := Check(&j); err != nil {
		return err
	}
	if err := js.checkRecordFits(&j); err != nil {
		return err
	}
	if err := js.checkFits(&t, &j); err != nil {
		return err
	}
	memory, err := js.reserveMemory(ctx, &t, &j)
	if err != nil {
		return err
	}
	stored := false
	defer func() { js.memory.end(memory, stored) }()
	s := planner.Spec{Job: j, Queue: t.Queue, Account: t.Account, AcceptedMS: time.Now().UnixMilli(), ConfigVersion: t.Version}
	value, err := s.Encode()
	if err != nil {
		return err
	}
	if err := js.recheck(&t); err != nil {
		return err
	}
	existing, err := js.createOnce(ctx, store.Txn{
		Conditions: []store.Condition{{Key: store.SpecKey(j.ID)}, {Key: store.WithdrawnKey(j.ID)}},
		Puts:       []store.Put{{Key: store.SpecKey(j.ID), Value: value}},
	})
	stored = err == nil && existing == nil || fault.Is(err, fault.AnswerLost)
	switch {
	case err != nil:
		return err
	case existing != nil && existing.Key == store.WithdrawnKey(j.ID):
		return fault.WithField(fault.KeyReused, "id", "the job with this id was cancelled before it was accepted")
	case existing != nil:
		return js.checkResubmission(&s, existing)
	}
	js.Meter.Inc("job_accepted")
	js.Meter.Time("accept_time", time.Since(began))
	js.Log.Info("job accepted", "job", j.ID, "queue", t.Queue.Name, "account", t.Account, "version", t.Version,
		"steps", len(j.Steps), "took_ms", time.Since(began).Milliseconds())
	if !js.Disabled[policy.Notices] {
		js.notify(ctx, func(ctx context.Context) error { return js.Planner.Submit(ctx, j.ID, value) })
	}
	return nil
}

// checkResubmission accepts a submission whose id is persisted already if the job is
// the same. Otherwise its error is of kind KeyReused.
func (js *JobService) checkResubmission(s *planner.Spec, existing *store.Item) error {
	persisted, err := planner.DecodeSpec(existing.Value)
	if err != nil {
		return err
	}
	if !sameJob(&persisted.Job, &s.Job) || persisted.Queue.Name != s.Queue.Name {
		return fault.WithField(fault.KeyReused, "id", "another job has this id")
	}
	js.Meter.Inc("job_accepted_again")
	return nil
}

func sameJob(a, b *model.Job) bool {
	encodedA, errA := (&planner.Spec{Job: *a}).Encode()
	encodedB, errB := (&planner.Spec{Job: *b}).Encode()
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// checkRecordFits returns an error of kind BadRequest if the planner's record of a job might
// outgrow the store's largest value, so that the job would never go on.
func (js *JobService) checkRecordFits(j *model.Job) error {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks
	}
	if !planner.RecordFits(tasks, j.Occurrences, js.MaxValueBytes) {
		return fault.WithField(fault.BadRequest, "steps", "have %d tasks and %d repetitions, whose record the store can't hold", tasks, j.Occurrences)
	}
	return nil
}

// checkFits returns an error of kind NeverFits if no worker of the service could ever
// run a task of the job.
func (js *JobService) checkFits(t *Target, j *model.Job) error {
	summary, ok := js.lastSummary()
	if !ok || js.Disabled[policy.RefuseUnfit] {
		return nil
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		serviceKnown, fits := false, false
		for _, class := range summary.WorkerClasses {
			if class.Service != t.Queue.Service {
				continue
			}
			serviceKnown = true
			fits = fits || s.CountedShape().Fits(class.Capacity)
		}
		if serviceKnown && !fits {
			return fault.New(fault.NeverFits, "no worker of %s could run a task of step %d", t.Queue.Service, i)
		}
	}
	return nil
}

// createOnce applies a transaction that creates the key of its first put, on the condition that
// this and other keys do not exist. Because of the condition, it can be repeated and still
// takes effect at most once. createOnce returns the item of the first condition whose key
// existed before.
func (js *JobService) createOnce(ctx context.Context, txn store.Txn) (*store.Item, error) {
	ctx, cancel := withAnswerReserve(ctx)
	defer cancel()
	var attempts writeAttempts
	for {
		attemptCtx, end := attempts.attemptContext(ctx)
		_, current, err := js.Store.Apply(attemptCtx, txn)
		end()
		if err == nil {
			return nil, nil
		}
		if fault.Is(err, fault.Conflict) {
			if it := firstExisting(txn.Conditions, current); it != nil {
				return js.foreignItem(it, txn, attempts.resultUnknown()), nil
			}
			err = fault.New(fault.StoreUnavailable, "the store's conflict response contains no key of a condition")
		} else if refusal := attempts.record(err); refusal != nil {
			return nil, refusal
		}
		js.Meter.Inc("write_retry_" + string(fault.KindOf(err)))
		if !attempts.isExpired() && pauseFor(ctx, retryPause) {
			continue
		}
		if attempts.resultUnknown() {
			return nil, fault.Wrap(fault.AnswerLost, err, "the store did not confirm the write in time")
		}
		return nil, &RetryLaterError{fault.Wrap(fault.StoreUnavailable, err, "the deadline leaves no time to repeat the write"), retryAfter}
	}
}

// firstExisting returns the item of the first condition that is among the current items, or nil.
func firstExisting(conditions []store.Condition, current []store.Item) *store.Item {
	for _, c := range conditions {
		for i := range current {
			if current[i].Key == c.Key {
				return &current[i]
			}
		}
	}
	return nil
}

// writeAttempts records the failed attempts of one write.
type writeAttempts struct {
	// unansweredAt is when an attempt first got no response, so that the write may
	// have been made or may yet be made. Zero for none.
	unansweredAt time.Time
	// unavailableSince is when the store became unreachable; zero while it may be
	// reachable.
	unavailableSince time.Time
}

// record records the error of an attempt. It returns the error to return to the
// caller at once, nil to try again.
func (w *writeAttempts) record(err error) error {
	if fault.Is(err, fault.BadRequest) && !w.resultUnknown() {
		return err
	}
	if !fault.Is(err, fault.StoreUnavailable) {
		w.unavailableSince = time.Time{}
		if fault.Is(err, fault.AnswerLost) && !w.resultUnknown() {
			w.unansweredAt = time.Now()
		}
		return nil
	}
	if w.unavailableSince.IsZero() {
		w.unavailableSince = time.Now()
	}
	switch {
	case !w.resultUnknown():
		return &RetryLaterError{err, retryAfter}
	case time.Since(w.unavailableSince) > unavailableRetryTime:
		return &RetryLaterError{fault.Wrap(fault.AnswerLost, err, "the store did not confirm the write and is now unreachable"), retryAfter}
	}
	return nil
}

// resultUnknown reports whether an attempt got no response.
func (w *writeAttempts) resultUnknown() bool { return !w.unansweredAt.IsZero() }

// attemptContext returns the context of the next attempt.
func (w *writeAttempts) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !w.resultUnknown() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, w.unansweredAt.Add(unansweredRetryTime))
}

// isExpired reports whether unansweredRetryTime is over. The caller then gets an error
// that says that the result is unknown.
func (w *writeAttempts) isExpired() bool {
	return w.resultUnknown() && time.Since(w.unansweredAt) >= unansweredRetryTime
}

// foreignItem returns the existing item that a write conflicts with, or nil if an
// earlier attempt of the same write created it.
func (js *JobService) foreignItem(it *store.Item, txn store.Txn, unanswered bool) *store.Item {
	if put := &txn.Puts[0]; unanswered && it.Key == put.Key && bytes.Equal(it.Value, put.Value) {
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
func withAnswerReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-answerReserve))
}

// notify notifies the planner of a persisted change. The planner reads the store as
// well, so a failure only delays the change.
func (js *JobService) notify(ctx context.Context, call func(ctx context.Context) error) {
	end, err := js.begin()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	go func() {
		defer end()
		defer cancel()
		if err := call(ctx); err != nil {
			js.Meter.Inc("tell_failed")
		}
	}()
}

// State returns the state of a job from the planner, or from the store if the planner
// can't be reached or does not have the job.
func (js *JobService) State(ctx context.Context, t Target) (model.JobState, error) {
	end, err := js.begin()
	if err != nil {
		return "", err
	}
	defer end()
	return js.state(ctx, t)
}

func (js *JobService) state(ctx context.Context, t Target) (model.JobState, error) {
	began := time.Now()
	defer func() { js.Meter.Time("state_time", time.Since(began)) }()
	ctx, end := withAnswerReserve(ctx)
	defer end()
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	s, known, plannerErr := js.Planner.State(queryCtx, t.JobID)
	cancel()
	if plannerErr == nil && known {
		return s, js.recheck(&t)
	}
	plannerTook := time.Since(began)
	if plannerErr != nil {
		js.Meter.Inc("state_from_store")
	}
	for attempt := 1; ; attempt++ {
		s, err := js.stateFromStore(ctx, t.JobID)
		if err == nil {
			js.Log.Info("state read from the store", "job", t.JobID, "state", s, "attempts", attempt, "planner_error", plannerErr,
				"took_ms", time.Since(began).Milliseconds())
			return s, js.recheck(&t)
		}
		if fault.Is(err, fault.JobUnknown) {
			return "", err
		}
		if !pauseFor(ctx, retryPause) {
			js.Meter.Inc("state_unanswered")
			js.Log.Warn("state not read", "job", t.JobID, "planner_error", plannerErr, "planner_ms", plannerTook.Milliseconds(),
				"attempts", attempt, "error", err, "took_ms", time.Since(began).Milliseconds())
			return "", &RetryLaterError{fault.Wrap(fault.StoreUnavailable, err, "state"), retryAfter}
		}
	}
}

// stateFromStore derives the state of a job from its records in the store.
func (js *JobService) stateFromStore(ctx context.Context, id string) (model.JobState, error) {
	items, _, err := js.Store.Range(ctx, store.JobPrefix+id+"/")
	if err != nil {
		return "", err
	}
	accepted, cancelled := false, false
	for _, it := range items {
		accepted = accepted || it.Key == store.SpecKey(id)
		cancelled = cancelled || it.Key == store.CancelKey(id)
	}
	if !accepted {
		return "", fault.New(fault.JobUnknown, "no such job")
	}
	it, found, err := js.Store.Get(ctx, store.RunKey(id))
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

// Cancel cancels a job. It returns nil once the cancellation is persisted, and an error of kind
// JobUnknown once it is certain that no such job is accepted later.
func (js *JobService) Cancel(ctx context.Context, t Target) error {
	if t.JobID == "" {
		return fault.WithField(fault.BadRequest, "id", "is missing")
	}
	end, err := js.begin()
	if err != nil {
		return err
	}
	defer end()
	_, err = js.state(ctx, t)
	if fault.Is(err, fault.JobUnknown) {
		err = js.withdraw(ctx, t, err)
	}
	if err != nil {
		return err
	}
	began := time.Now()
	txn := store.Txn{
		Conditions: []store.Condition{{Key: store.CancelKey(t.JobID)}},
		Puts:       []store.Put{{Key: store.CancelKey(t.JobID), Value: []byte("{}")}},
	}
	if _, err := js.createOnce(ctx, txn); err != nil {
		return err
	}
	js.Meter.Inc("job_cancel_accepted")
	js.Log.Info("cancellation accepted", "job", t.JobID, "queue", t.Queue.Name, "took_ms", time.Since(began).Milliseconds())
	js.notify(ctx, func(ctx context.Context) error { return js.Planner.Cancel(ctx, t.JobID) })
	return nil
}

const (
	// summaryFreshAge is the age up to which a summary is used without a query.
	summaryFreshAge = 500 * time.Millisecond
	// maxSummaryAge is the age up to which a summary is used when a query of the
	// planner fails.
	maxSummaryAge = 2 * time.Second
	// maxWorkerClassesAge is the age up to which the summary's worker classes, which
	// change rarely, are used.
	maxWorkerClassesAge = 30 * time.Second
)

// Pending returns the number of a queue's jobs of which no task has started.
func (js *JobService) Pending(ctx context.Context, t Target) (int64, error) {
	end, err := js.begin()
	if err != nil {
		return 0, err
	}
	defer end()
	ctx, cancel := withAnswerReserve(ctx)
	defer cancel()
	for {
		summary, err := js.freshSummary(ctx)
		if err == nil {
			return summary.Pending[t.Queue.Name], js.recheck(&t)
		}
		if !pauseFor(ctx, retryPause) {
			return 0, &RetryLaterError{fault.Wrap(fault.NotReady, err, "pending"), retryAfter}
		}
	}
}

// freshSummary returns the planner's summary, from a query if it is older than
// summaryFreshAge. Concurrent calls share one query.
func (js *JobService) freshSummary(ctx context.Context) (model.PlannerSummary, error) {
	js.mu.Lock()
	if time.Since(js.summaryAt) < summaryFreshAge {
		defer js.mu.Unlock()
		return js.summary, nil
	}
	if done := js.query; done != nil {
		js.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return js.cachedSummary()
	}
	done := make(chan struct{})
	js.query = done
	js.mu.Unlock()
	began := time.Now()
	// Deferred, since other calls wait for the channel also after a panic.
	defer func() {
		js.mu.Lock()
		js.query = nil
		js.mu.Unlock()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if summary, err := js.Planner.Summary(ctx); err == nil {
		js.mu.Lock()
		js.summary, js.summaryAt = summary, began
		js.mu.Unlock()
	}
	return js.cachedSummary()
}

func (js *JobService) cachedSummary() (model.PlannerSummary, error) {
	js.mu.Lock()
	defer js.mu.Unlock()
	if time.Since(js.summaryAt) < maxSummaryAge {
		return js.summary, nil
	}
	return model.PlannerSummary{}, fault.New(fault.NotReady, "the planner has not responded recently")
}

// lastSummary returns the last summary, and whether its worker classes are recent
// enough to be used.
func (js *JobService) lastSummary() (model.PlannerSummary, bool) {
	js.mu.Lock()
	defer js.mu.Unlock()
	return js.summary, time.Since(js.summaryAt) < maxWorkerClassesAge
}
