package world

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// Bounds are the times of the workers.
type Bounds struct {
	MaxHold     time.Duration
	StopTimeout time.Duration
	GangTimeout time.Duration
	// RackSize is the number of workers of a rack; 0 for 4.
	RackSize int
	// RemoteFactor times as long takes a gang for one rack that stands on
	// several; 0 for 1.
	RemoteFactor float64
}

// rack returns the rack of a worker by its number.
func (b Bounds) rack(worker int) string {
	size := b.RackSize
	if size == 0 {
		size = 4
	}
	return fmt.Sprintf("r%d", worker/size)
}

// run is a task on a worker.
type run struct {
	task      planner.TaskID
	run       int64
	step      model.Step
	startedAt time.Time
	// work is when the run is done; zero while its gang is not whole.
	doneAt time.Time
	// stops is when a stop takes effect; zero for none.
	stopAt          time.Time
	savedCheckpoint string
	// resumed is the share of the work that was saved before the run began, and
	// takes the time of the whole work.
	resumedShare float64
	runtime      time.Duration
}

// restoreTime is what a run that resumes takes more.
const restoreDuration = 100 * time.Millisecond

// schedule sets when a run that has all its members is done.
func (r *run) setDoneAt(now time.Time, runtime time.Duration) {
	left := time.Duration(float64(runtime) * (1 - r.resumedShare))
	if r.resumedShare > 0 {
		left += restoreDuration
	}
	r.runtime, r.doneAt = runtime, now.Add(left)
}

// checkpoint returns the value of a checkpoint that is made now.
func (r *run) currentCheckpoint(now time.Time) string {
	if !r.step.Checkpoints || r.doneAt.IsZero() {
		return r.savedCheckpoint
	}
	return strconv.FormatFloat(1-float64(max(r.doneAt.Sub(now), 0))/float64(r.runtime), 'f', 4, 64)
}

type runKey struct {
	task planner.TaskID
	run  int64
}

// Worker is one machine. Its lives have one id, as the platform allows.
type Worker struct {
	world *World
	Info  model.Worker

	up          bool
	incarnation int64
	startedAt   time.Time
	// rate is the speed of its clock.
	rate  float64
	token int64
	lease time.Duration
	runs  map[runKey]*run
	// ended holds the highest run of a task that ended or was stopped.
	lastEndedRun map[planner.TaskID]int64
	results      []planner.RunResult
	lastResult   int64
	// noted is the last end before which the lease ran out: such ends count for
	// nothing.
	ignoredUpTo int64
	// slow workers take this many times as long; failing ones fail everything.
	slowFactor float64
	failing    bool
	// still workers let their tasks stand still since stillAt.
	stalled   bool
	stalledAt time.Time
}

// life names the present life of the worker; none while it is down.
func (x *Worker) processStart() int64 {
	x.world.mu.Lock()
	defer x.world.mu.Unlock()
	if !x.up {
		return 0
	}
	return x.startedAt.UnixNano()
}

func (x *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(x.startedAt)) * x.rate)
}

// start begins a life.
func (x *Worker) start() {
	x.up, x.incarnation, x.startedAt = true, time.Now().UnixMilli(), time.Now()
	x.token, x.lease, x.lastResult, x.ignoredUpTo = 0, 0, 0, 0
	x.runs, x.lastEndedRun, x.results = make(map[runKey]*run), make(map[planner.TaskID]int64), nil
	x.Info.Incarnation = x.incarnation
}

// end lists the end of a run.
func (x *Worker) finish(r *run, kind planner.ResultKind) {
	k := runKey{r.task, r.run}
	if x.runs[k] == nil {
		return
	}
	delete(x.runs, k)
	x.world.recordResult(r, kind)
	x.lastEndedRun[r.task] = max(x.lastEndedRun[r.task], r.run)
	x.lastResult++
	checkpoint := r.savedCheckpoint
	if kind == planner.ResultStopped {
		checkpoint = r.currentCheckpoint(time.Now())
	}
	x.world.recordStop(r, kind)
	x.results = append(x.results, planner.RunResult{Number: x.lastResult, Task: r.task, Run: r.run, Kind: kind, Checkpoint: checkpoint})
	if !r.step.Gang || kind == planner.ResultDone {
		return
	}
	for _, o := range x.world.otherMembers(r) {
		o.worker.finish(o.run, planner.ResultGangFailed)
	}
}

// sorted returns the runs in a fixed order.
func (x *Worker) sorted() []*run {
	all := make([]*run, 0, len(x.runs))
	for _, r := range x.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.task != b.task {
			return a.task.Job < b.task.Job || a.task.Job == b.task.Job && a.task.Index < b.task.Index
		}
		return a.run < b.run
	})
	return all
}

// tick moves the runs of a worker on.
func (x *Worker) advance(now time.Time) {
	if !x.up {
		return
	}
	if x.clock() > x.lease {
		for _, r := range x.sorted() {
			x.finish(r, planner.ResultExpired)
		}
		x.ignoredUpTo = x.lastResult
	}
	x.postponeStalled(now)
	for _, r := range x.sorted() {
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			x.finish(r, planner.ResultStopped)
		case x.failing && now.Sub(r.startedAt) > 200*time.Millisecond:
			x.finish(r, planner.ResultFailed)
		case !r.doneAt.IsZero() && !now.Before(r.doneAt):
			x.finish(r, planner.ResultDone)
		case r.doneAt.IsZero() && now.Sub(r.startedAt) > x.world.Bounds.GangTimeout:
			x.finish(r, planner.ResultGangTimeout)
		}
	}
}

// stand puts the work of a still worker off by the time that has passed.
func (x *Worker) postponeStalled(now time.Time) {
	if !x.stalled {
		x.stalledAt = time.Time{}
		return
	}
	if !x.stalledAt.IsZero() {
		for _, r := range x.runs {
			passed := min(now.Sub(x.stalledAt), now.Sub(r.startedAt))
			if r.doneAt.IsZero() {
				continue
			}
			r.startedAt, r.doneAt = r.startedAt.Add(passed), r.doneAt.Add(passed)
		}
	}
	x.stalledAt = now
}

func (x *Worker) used() model.Shape {
	var s model.Shape
	for _, r := range x.runs {
		s = s.Plus(r.step.Shape)
	}
	return s
}

func (x *Worker) rejectsToken(token int64) bool {
	if token < x.token {
		return true
	}
	x.token = token
	return false
}

func (x *Worker) extendLease(deadline time.Duration) {
	x.lease = max(x.lease, min(deadline, x.clock()+x.world.Bounds.MaxHold))
}

func (x *Worker) acceptStart(o planner.StartOrder) error {
	w := x.world
	w.mu.Lock()
	defer w.mu.Unlock()
	x.advance(time.Now())
	k := runKey{o.Task, o.Run}
	switch {
	case !x.up:
		return fault.New(fault.Unreachable, "down")
	case x.rejectsToken(o.Token):
		return fault.New(fault.Fenced, "fence")
	case o.Deadline <= x.clock():
		return fault.New(fault.Deadline, "late")
	}
	x.extendLease(o.Deadline)
	if x.runs[k] != nil {
		return nil
	}
	if o.Run <= x.lastEndedRun[o.Task] {
		return fault.New(fault.Conflict, "old")
	}
	w.startRun(x, o)
	return nil
}

func (x *Worker) stop(task planner.TaskID, n, token int64) error {
	w := x.world
	w.mu.Lock()
	defer w.mu.Unlock()
	x.advance(time.Now())
	switch {
	case !x.up:
		return fault.New(fault.Unreachable, "down")
	case x.rejectsToken(token):
		return fault.New(fault.Fenced, "fence")
	}
	x.lastEndedRun[task] = max(x.lastEndedRun[task], n)
	if r := x.runs[runKey{task, n}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(w.Bounds.StopTimeout)
	}
	return nil
}

func (x *Worker) renew(o planner.LeaseRenewal) (planner.WorkerReport, error) {
	w := x.world
	w.mu.Lock()
	defer w.mu.Unlock()
	x.advance(time.Now())
	switch {
	case !x.up:
		return planner.WorkerReport{}, fault.New(fault.Unreachable, "down")
	case x.rejectsToken(o.Token):
		return planner.WorkerReport{}, fault.New(fault.Fenced, "fence")
	}
	x.extendLease(o.Deadline)
	w.acknowledgeResults(x, o.LastAcknowledged)
	rep := planner.WorkerReport{Clock: x.clock(), Incarnation: x.incarnation, Results: append([]planner.RunResult(nil), x.results...)}
	for _, r := range x.sorted() {
		rep.Running = append(rep.Running, planner.RunReport{Task: r.task, Run: r.run, Checkpoint: r.savedCheckpoint, Percent: x.percent(r)})
	}
	return rep, nil
}

func (x *Worker) percent(r *run) float64 {
	if r.doneAt.IsZero() {
		return 0
	}
	return min(99, 100*float64(time.Since(r.startedAt))/float64(r.doneAt.Sub(r.startedAt)))
}

// Client is a worker as one VM reaches it.
type Client struct {
	Worker *Worker
	Link   *Link
	// AnyConnection acknowledges ends also on a connection on which their life has
	// not answered.
	AnyConnection bool

	// connected is the life on whose connection the last hold was answered, and born
	// what that life said of itself; 0 for none.
	connectedProcess, connectedIncarnation int64
}

// Start implements planner.WorkerClient.
func (c *Client) Start(ctx context.Context, o planner.StartOrder) error {
	errs := make(chan error, 1)
	if err := c.Link.call(ctx, fault.NotStarted, c.Worker.processStart, func(context.Context) { errs <- c.Worker.acceptStart(o) }); err != nil {
		return err
	}
	return c.answerLostIfDown(<-errs)
}

// down makes a call to a worker that is down one without an answer: a machine
// without power does not refuse.
func (c *Client) answerLostIfDown(err error) error {
	if fault.Is(err, fault.Unreachable) {
		return fault.Wrap(fault.AnswerLost, err, "no answer")
	}
	return err
}

// Stop implements planner.WorkerClient.
func (c *Client) Stop(ctx context.Context, task planner.TaskID, n, token int64) error {
	errs := make(chan error, 1)
	if err := c.Link.call(ctx, fault.NotStarted, c.Worker.processStart, func(context.Context) { errs <- c.Worker.stop(task, n, token) }); err != nil {
		return err
	}
	return c.answerLostIfDown(<-errs)
}

// listed is the answer to a hold.
type renewAnswer struct {
	report  planner.WorkerReport
	process int64
	err     error
}

// Renew implements planner.WorkerClient.
func (c *Client) Renew(ctx context.Context, o planner.LeaseRenewal) (planner.WorkerReport, error) {
	deadline := time.Now().Add(o.MaxWait)
	answers := make(chan renewAnswer, 1)
	connection := c.connectedProcess
	if (connection == 0 || o.Incarnation != c.connectedIncarnation) && !c.AnyConnection {
		o.LastAcknowledged = 0
	}
	c.connectedProcess = 0
	err := c.Link.call(ctx, fault.NotStarted, c.Worker.processStart, func(ctx context.Context) { answers <- c.waitForResults(ctx, o, deadline, connection) })
	if err != nil {
		return planner.WorkerReport{}, err
	}
	a := <-answers
	if a.err == nil {
		c.connectedProcess, c.connectedIncarnation = a.process, a.report.Incarnation
	}
	return a.report, c.answerLostIfDown(a.err)
}

// hold waits for an end, as long as the life goes on that the call came to. on is the
// life whose connection the call is made on, 0 for a new connection.
func (c *Client) waitForResults(ctx context.Context, o planner.LeaseRenewal, deadline time.Time, connection int64) renewAnswer {
	process := c.Worker.processStart()
	if connection != 0 && connection != process && !c.AnyConnection {
		return renewAnswer{err: fault.New(fault.AnswerLost, "the connection ended with its life")}
	}
	for {
		if c.Worker.processStart() != process {
			return renewAnswer{err: fault.New(fault.Unreachable, "down")}
		}
		rep, err := c.Worker.renew(o)
		if err != nil || len(rep.Results) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return renewAnswer{rep, process, err}
		}
		time.Sleep(tickInterval)
	}
}

// Close implements planner.WorkerClient.
func (c *Client) Close() {}
