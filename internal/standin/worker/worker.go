// Package worker is a stand-in for workers. One process may serve several.
package worker

import (
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	target "github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// Worker is one worker. The zero value with an ID has 8 accelerators.
type Worker struct {
	ID     string
	Faults faults.Set
	// Accelerators is 8 when zero.
	Accelerators int

	mu    sync.Mutex
	epoch uint64
	parts map[target.Part]*part
	// starts counts the starts of each job.
	starts map[string]int
	calls  int
	// startHook is called before a start is executed and decides how it is handled.
	startHook func(in target.StartRequest) StartHandling
	usage     []usageSample
}

// StartHandling says how the stand-in handles a start.
type StartHandling int

// The ways to handle a start.
const (
	// StartNormally executes the start and responds.
	StartNormally StartHandling = iota
	// LoseStart closes the connection without executing the start.
	LoseStart
	// LoseAnswer executes the start and closes the connection.
	LoseAnswer
	// HangAnswer executes the start and never responds.
	HangAnswer
)

// DefaultAccelerators is the number of accelerators of a worker that sets none.
const DefaultAccelerators = 8

// Register adds the worker's HTTP routes.
func (w *Worker) Register(e faults.Router) {
	w.Faults.Install(e)
	e.Use(w.countCalls)
	e.POST("/v1/reserve", w.reserve)
	e.POST("/v1/start", w.start)
	e.POST("/v1/renew", w.renew)
	e.POST("/v1/checkpoint", w.checkpoint)
	e.POST("/v1/throttle", w.throttle)
	e.POST("/v1/stop", w.stop)
	e.GET("/v1/list", w.list)
	e.GET("/standin/starts", func(c echo.Context) error { return c.JSON(http.StatusOK, w.Starts()) })
}

func (w *Worker) countCalls(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		w.mu.Lock()
		w.calls++
		w.mu.Unlock()
		return next(c)
	}
}

// Calls returns the number of calls so far.
func (w *Worker) Calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// Starts returns the number of starts of each job on this worker, by job ID.
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.starts)
}

// SetStartHook sets a function that is called before each start is executed and
// decides how the start is handled. With nil, starts are handled normally.
func (w *Worker) SetStartHook(f func(in target.StartRequest) StartHandling) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startHook = f
}

// Restart removes all parts and the epoch, as a restart of the worker's machine does.
// The counts of starts and calls are retained.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch, w.parts = 0, nil
}

// Parts returns the current state of all parts.
func (w *Worker) Parts() []target.PartStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	return w.report(now).Parts
}

func (w *Worker) acceleratorCount() int {
	if w.Accelerators == 0 {
		return DefaultAccelerators
	}
	return w.Accelerators
}

// checkEpoch rejects an epoch lower than an earlier one, and records a higher one. The
// caller must hold w.mu.
func (w *Worker) checkEpoch(epoch uint64) error {
	if epoch < w.epoch {
		return fault.WithField(fault.NotStarted, target.FieldEpoch, "%d is lower than %d", epoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

// settle applies an ordered expiry of the leases, then updates parts that are done or
// whose leases have expired. The caller must hold w.mu.
func (w *Worker) settle(now time.Time) {
	if w.Faults.Update(func(o *faults.Orders) bool {
		expire := o.ExpireLeases
		o.ExpireLeases = false
		return expire
	}) {
		for _, p := range w.parts {
			p.expires = now
		}
	}
	for key, p := range w.parts {
		if p.settle(now) {
			delete(w.parts, key)
		}
	}
	w.sampleUsage(now)
}

func (w *Worker) reserve(c echo.Context) error {
	var in target.ReserveRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if err := w.checkEpoch(in.Epoch); err != nil {
		return err
	}
	if w.Faults.Get().Leaving {
		return fault.New(fault.NotStarted, "leaving")
	}
	for _, a := range in.Accelerators {
		if a < 0 || a >= w.acceleratorCount() {
			return fault.WithField(fault.BadRequest, "accelerators", "%d does not exist", a)
		}
		if w.occupied(a, in.Part) {
			return fault.New(fault.NotStarted, "accelerator %d is occupied by another part", a)
		}
	}
	if w.parts == nil {
		w.parts = make(map[target.Part]*part)
	}
	if _, ok := w.parts[in.Part]; !ok {
		w.parts[in.Part] = &part{status: target.PartStatus{
			Part: in.Part, Epoch: in.Epoch, State: target.Reserved, Accelerators: in.Accelerators,
		}}
	}
	w.parts[in.Part].expires = now.Add(time.Duration(in.LeaseMS) * time.Millisecond)
	return c.NoContent(http.StatusNoContent)
}

// occupied reports whether a part other than except occupies an accelerator. The
// caller must hold w.mu.
func (w *Worker) occupied(accelerator int, except target.Part) bool {
	for key, p := range w.parts {
		if key != except && p.holdsAccelerators() && slices.Contains(p.status.Accelerators, accelerator) {
			return true
		}
	}
	return false
}

func (w *Worker) start(c echo.Context) error {
	var in target.StartRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	w.mu.Lock()
	hook := w.startHook
	w.mu.Unlock()
	effect := StartNormally
	if hook != nil {
		effect = hook(in)
	}
	if effect == LoseStart {
		panic(http.ErrAbortHandler)
	}
	err := w.startPart(in)
	switch {
	case effect == LoseAnswer:
		panic(http.ErrAbortHandler)
	case effect == HangAnswer:
		<-c.Request().Context().Done()
		return nil
	case err != nil:
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// startPart starts a reserved part. A repeated start of a running or finished part has
// no effect.
func (w *Worker) startPart(in target.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if err := w.checkEpoch(in.Epoch); err != nil {
		return err
	}
	p, ok := w.parts[in.Part]
	if !ok {
		return fault.New(fault.NotStarted, "part is not reserved")
	}
	switch p.status.State {
	case target.Reserved:
	case target.Running, target.Done:
		return nil
	default:
		return fault.New(fault.NotStarted, "the part is %s", p.status.State)
	}
	if w.Faults.Get().FailStarts {
		p.status.State = target.Failed
		return fault.New(fault.NotStarted, "stand-in is set to fail every start")
	}
	if w.starts == nil {
		w.starts = make(map[string]int)
	}
	w.starts[in.JobID]++
	p.status.State = target.Running
	p.status.Tasks = in.Tasks
	p.status.Job = in.Job
	p.begin(now, time.Duration(in.RunMS)*time.Millisecond)
	return nil
}

func (w *Worker) renew(c echo.Context) error {
	var in target.RenewRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	if w.Faults.Get().StopRenewing {
		return fault.New(fault.NotStarted, "stand-in is set to reject renewals")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if err := w.checkEpoch(in.Epoch); err != nil {
		return err
	}
	for _, key := range in.Forget {
		p, ok := w.parts[key]
		if ok && !p.holdsAccelerators() {
			delete(w.parts, key)
		}
	}
	s := w.report(now)
	s.Digest = s.ReportDigest()
	if in.KnownDigest != "" && in.KnownDigest == s.Digest {
		w.extend(s.ActiveParts(), in, now)
		s.Parts, s.Unchanged = nil, true
		return c.JSON(http.StatusOK, s)
	}
	w.extend(in.Parts, in, now)
	s.Parts = w.report(now).Parts
	for i, ps := range s.Parts {
		if slices.Contains(in.Parts, ps.Part) {
			s.Parts[i].Job = nil
		}
	}
	return c.JSON(http.StatusOK, s)
}

// extend renews the leases of those parts that occupy accelerators. The caller must
// hold w.mu.
func (w *Worker) extend(parts []target.Part, in target.RenewRequest, now time.Time) {
	for _, key := range parts {
		p, ok := w.parts[key]
		if ok && p.holdsAccelerators() {
			p.expires = now.Add(time.Duration(in.LeaseMS) * time.Millisecond)
			p.status.Epoch = in.Epoch
		}
	}
}

// report returns the worker's status. The caller must hold w.mu.
func (w *Worker) report(now time.Time) target.Status {
	s := target.Status{WorkerID: w.ID, Accelerators: w.acceleratorCount(), Epoch: w.epoch, Leaving: w.Faults.Get().Leaving, Usage: w.laggingUsage(now)}
	for _, p := range w.parts {
		p.status.LeaseLeftMS = p.expires.Sub(now).Milliseconds()
		s.Parts = append(s.Parts, p.status)
	}
	sort.Slice(s.Parts, func(i, j int) bool {
		return s.Parts[i].JobID+s.Parts[i].Attempt < s.Parts[j].JobID+s.Parts[j].Attempt
	})
	return s
}

func (w *Worker) list(c echo.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	return c.JSON(http.StatusOK, w.report(now))
}

// find returns the part of an order after checking the order's epoch. The caller must
// hold w.mu.
func (w *Worker) find(key target.Part, epoch uint64) (*part, error) {
	w.settle(time.Now())
	if err := w.checkEpoch(epoch); err != nil {
		return nil, err
	}
	p, ok := w.parts[key]
	if !ok {
		return nil, fault.New(fault.NotFound, "part does not exist")
	}
	return p, nil
}

func (w *Worker) checkpoint(c echo.Context) error {
	var in target.PartRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p, err := w.find(in.Part, in.Epoch)
	if err != nil {
		return err
	}
	if p.status.State == target.Running || p.status.State == target.Done {
		p.status.CheckpointMS = p.status.ProgressMS
	}
	return c.JSON(http.StatusOK, p.status)
}

func (w *Worker) throttle(c echo.Context) error {
	var in target.ThrottleRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Percent < 1 || in.Percent > 100 {
		return fault.WithField(fault.BadRequest, "percent", "%d is not between 1 and 100", in.Percent)
	}
	p, err := w.find(in.Part, in.Epoch)
	if err != nil {
		return err
	}
	p.throttle(time.Now(), in.Percent)
	return c.NoContent(http.StatusNoContent)
}

func (w *Worker) stop(c echo.Context) error {
	var in target.PartRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p, err := w.find(in.Part, in.Epoch)
	if err != nil {
		return err
	}
	switch p.status.State {
	case target.Reserved:
		delete(w.parts, in.Part)
	case target.Running:
		p.status.State = target.Stopped
	}
	return c.NoContent(http.StatusNoContent)
}
