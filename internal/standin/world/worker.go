package world

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
)

// Bounds holds the time limits of the workers and the layout of their racks.
type Bounds struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// StopTimeout is the time from a stop to its effect.
	StopTimeout time.Duration
	// GangTimeout is how long a gang member waits for the others.
	GangTimeout time.Duration
	// RackSize is the number of workers of a rack; 0 means 4.
	RackSize int
	// RemoteFactor multiplies the runtime of a same-rack gang that is placed on
	// several racks; 0 means 1.
	RemoteFactor float64
	// ListedResults is the number of run results that a worker lists in one
	// response; 0 means 500.
	ListedResults int
	// DataCentres is the number of data centres, among which the racks are distributed in
	// turn; 0 means that the workers state none.
	DataCentres int
}

// listedResults returns ListedResults or its default.
func (b Bounds) listedResults() int {
	if b.ListedResults == 0 {
		return 500
	}
	return b.ListedResults
}

// rack returns the rack of a worker by its number.
func (b Bounds) rack(worker int) string { return fmt.Sprintf("r%d", worker/b.rackSize()) }

// rackSize returns RackSize or its default.
func (b Bounds) rackSize() int {
	if b.RackSize == 0 {
		return 4
	}
	return b.RackSize
}

// run is a task on a worker.
type run struct {
	task      planner.TaskID
	run       int64
	step      model.Step
	startedAt time.Time
	// doneAt is when the run is done; zero while its gang is incomplete.
	doneAt time.Time
	// stopAt is when a stop takes effect; zero for none.
	stopAt          time.Time
	savedCheckpoint string
	// resumedShare is the share of the work that was saved before the run started,
	// and runtime the time of the whole work.
	resumedShare float64
	runtime      time.Duration
}

// restoreDuration is the additional time of a run that starts from a checkpoint.
const restoreDuration = 100 * time.Millisecond

// setDoneAt sets when a run is done whose gang is complete.
func (r *run) setDoneAt(now time.Time, runtime time.Duration) {
	left := time.Duration(float64(runtime) * (1 - r.resumedShare))
	if r.resumedShare > 0 {
		left += restoreDuration
	}
	r.runtime, r.doneAt = runtime, now.Add(left)
}

// currentCheckpoint returns the checkpoint that would be written now.
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

// Worker is one machine. Its incarnations share one ID, as the platform allows, unless
// SetNewIDs says otherwise: then each has a Worker of its own at the same address.
type Worker struct {
	world *World
	Info  model.Worker

	up          bool
	incarnation int64
	startedAt   time.Time
	// rate is the speed of its clock relative to real time.
	rate  float64
	token int64
	lease time.Duration
	runs  map[runKey]*run
	// lastEndedRun holds the highest run of each task that ended or was stopped.
	lastEndedRun map[planner.TaskID]int64
	results      []planner.RunResult
	lastResult   int64
	// ignoredUpTo is the number of the last result listed when the lease expired.
	// The acknowledgement of results up to it is not counted.
	ignoredUpTo int64
	// slowFactor multiplies the runtime of runs. On a failing worker all runs fail.
	slowFactor float64
	failing    bool
	// stalled stops the progress of all runs. stalledAt is the time up to which the
	// stall has been applied to them.
	stalled   bool
	stalledAt time.Time
	// interferedAt is the time up to which interference has been applied to the runs.
	interferedAt time.Time
	changes      capacityChanges
	// returnAt is when the next process starts by itself; zero for never. removed says
	// that the registration was removed, and lives counts the earlier Workers at the
	// address.
	returnAt time.Time
	removed  bool
	lives    int
}

// processStart identifies the worker's process by its start time in Unix
// nanoseconds; 0 while the worker is down.
func (x *Worker) processStart() int64 {
	x.world.mu.Lock()
	defer x.world.mu.Unlock()
	if !x.up {
		return 0
	}
	return x.startedAt.UnixNano()
}

// Up reports whether the worker's process runs.
func (x *Worker) Up() bool { return x.processStart() != 0 }

// Snapshot returns what the worker would register now.
func (x *Worker) Snapshot() model.Worker {
	x.world.mu.Lock()
	defer x.world.mu.Unlock()
	info := x.Info
	info.RegisteredAt = x.clock()
	return info
}

func (x *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(x.startedAt)) * x.rate)
}

// start starts a process with a new incarnation and without runs.
func (x *Worker) start() {
	x.up, x.incarnation, x.startedAt = true, time.Now().UnixMilli(), time.Now()
	x.token, x.lease, x.lastResult, x.ignoredUpTo = 0, 0, 0, 0
	x.runs, x.lastEndedRun, x.results = make(map[runKey]*run), make(map[planner.TaskID]int64), nil
	x.Info.Incarnation, x.changes.heartbeatAt = x.incarnation, time.Now().Add(HeartbeatInterval)
}

// finish ends a run and lists its result. If a gang member is not done, the other
// members end as ResultGangFailed.
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

// advance applies the passing of time to the runs of a worker.
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
	x.postponeInterfered(now)
	for _, r := range x.sorted() {
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			x.finish(r, planner.ResultStopped)
		case (x.failing || x.world.jobs[r.task.Job].Fails) && now.Sub(r.startedAt) > 200*time.Millisecond:
			x.finish(r, planner.ResultFailed)
		case !r.doneAt.IsZero() && !now.Before(r.doneAt):
			x.finish(r, planner.ResultDone)
		case r.doneAt.IsZero() && now.Sub(r.startedAt) > x.world.Bounds.GangTimeout:
			x.finish(r, planner.ResultGangTimeout)
		}
	}
}

// postponeStalled delays the runs of a stalled worker by the time since the last
// call.
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

// rejectsToken reports whether a fencing token is outdated, and records it if not.
func (x *Worker) rejectsToken(token int64) bool {
	if token < x.token {
		return true
	}
	x.token = token
	return false
}

func (x *Worker) extendLease(deadline time.Duration) {
	x.lease = max(x.lease, min(deadline, x.clock()+x.world.Bounds.MaxLease))
}

// acceptStart carries out a start that arrives on a connection to a process; 0 for any.
func (x *Worker) acceptStart(o planner.StartOrder, process int64) error {
	w := x.world
	w.mu.Lock()
	defer w.mu.Unlock()
	x.advance(time.Now())
	k := runKey{o.Task, o.Run}
	switch {
	case !x.up:
		return x.downError()
	case process != 0 && process != x.startedAt.UnixNano():
		return fault.New(fault.AnswerLost, "the worker's process ended, and its connection with it")
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
		return fault.New(fault.Conflict, "a run with this or a higher number has ended")
	}
	w.startRun(x, o)
	if w.crashIfDue(x, time.Now()); !x.up {
		return x.downError()
	}
	return nil
}

func (x *Worker) stop(task planner.TaskID, n, token int64) error {
	w := x.world
	w.mu.Lock()
	defer w.mu.Unlock()
	x.advance(time.Now())
	switch {
	case !x.up:
		return x.downError()
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
		return planner.WorkerReport{}, x.downError()
	case x.rejectsToken(o.Token):
		return planner.WorkerReport{}, fault.New(fault.Fenced, "fence")
	}
	x.extendLease(o.Deadline)
	w.acknowledgeResults(x, o.LastAcknowledged)
	rep := planner.WorkerReport{Clock: x.clock(), Incarnation: x.incarnation}
	limit := w.Bounds.listedResults()
	rep.Results = append(rep.Results, x.results[:min(len(x.results), limit)]...)
	rep.MoreResults = len(rep.Results) == limit
	for _, r := range x.sorted() {
		rep.Running = append(rep.Running, planner.RunReport{Task: r.task, Run: r.run, Checkpoint: r.savedCheckpoint, Percent: x.percent(r)})
	}
	return rep, nil
}

func (x *Worker) percent(r *run) float64 {
	if r.doneAt.IsZero() {
		return 0
	}
	if r.step.LongRunning {
		return 100 // at work
	}
	return min(99, 100*float64(time.Since(r.startedAt))/float64(r.doneAt.Sub(r.startedAt)))
}

// Client is one VM's client of a worker.
type Client struct {
	Worker *Worker
	Link   *Link
	// AcknowledgeOnAnyConnection also acknowledges results on a connection on which their
	// incarnation has not responded yet.
	AcknowledgeOnAnyConnection bool

	// connectedProcess is the process that answered the last renewal, and
	// connectedIncarnation the incarnation that it reported; 0 for none.
	connectedProcess, connectedIncarnation int64

	mu sync.Mutex
	// startProcess and startIncarnation are the same for the connections on which starts are
	// sent.
	startProcess, startIncarnation int64
}

// Start implements planner.WorkerClient.
func (c *Client) Start(ctx context.Context, o planner.StartOrder) error {
	if c.Link.losesStart() {
		<-ctx.Done()
		return fault.Wrap(fault.AnswerLost, ctx.Err(), "no response")
	}
	process, err := c.connect(ctx, &o)
	if err != nil {
		return err
	}
	if o.MaySend != nil && !o.MaySend() {
		return fault.New(fault.Unreachable, "the start must not be sent any more")
	}
	errs := make(chan error, 1)
	if c.Link.outlives() {
		process = 0
	}
	err = c.Link.call(ctx, fault.NotStarted, c.Worker.processStart, func(context.Context) { errs <- c.Worker.acceptStart(o, process) })
	if err == nil {
		err = c.answerLostIfDown(<-errs)
	}
	if fault.Is(err, fault.AnswerLost) {
		c.setStartProcess(0, 0)
	}
	return err
}

// connect returns the process that has responded as the incarnation for which an order is
// meant; 0 if it is meant for any.
func (c *Client) connect(ctx context.Context, o *planner.StartOrder) (process int64, err error) {
	c.mu.Lock()
	process = c.startProcess
	known := c.startIncarnation == o.Incarnation
	c.mu.Unlock()
	if o.Incarnation == 0 || known {
		return process, nil
	}
	answers := make(chan renewAnswer, 1)
	err = c.Link.call(ctx, fault.NotStarted, c.Worker.processStart, func(ctx context.Context) {
		answers <- c.waitForResults(ctx, planner.LeaseRenewal{Token: o.Token}, time.Now(), 0)
	})
	if err != nil {
		return 0, unreachableIfLost(err)
	}
	a := <-answers
	switch {
	case a.err != nil:
		return 0, a.err
	case a.report.Incarnation != o.Incarnation:
		return 0, fault.New(fault.NoTarget, "another incarnation")
	}
	c.setStartProcess(a.process, o.Incarnation)
	return a.process, nil
}

func (c *Client) setStartProcess(process, incarnation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startProcess, c.startIncarnation = process, incarnation
}

// unreachableIfLost turns AnswerLost into Unreachable: the order itself was not sent.
func unreachableIfLost(err error) error {
	if fault.Is(err, fault.AnswerLost) {
		return fault.Wrap(fault.Unreachable, err, "no connection")
	}
	return err
}

// answerLostIfDown turns Unreachable into AnswerLost unless SetRefuseWhileDown was called
// with true: a machine without power refuses no connection, it does not respond.
func (c *Client) answerLostIfDown(err error) error {
	w := c.Worker.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if fault.Is(err, fault.Unreachable) && !w.crashes.refuse {
		return fault.Wrap(fault.AnswerLost, err, "no response")
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

// renewAnswer is the response to a lease renewal.
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
	if (connection == 0 || o.Incarnation != c.connectedIncarnation) && !c.AcknowledgeOnAnyConnection {
		o.LastAcknowledged = 0
	}
	c.connectedProcess = 0
	err := c.Link.call(ctx, fault.NotStarted, c.Worker.processStart, func(ctx context.Context) { answers <- c.waitForResults(ctx, o, deadline, connection) })
	if err != nil {
		return planner.WorkerReport{}, err
	}
	if c.Link.loses(o) {
		<-ctx.Done()
		return planner.WorkerReport{}, fault.Wrap(fault.AnswerLost, ctx.Err(), "no response")
	}
	a := <-answers
	if a.err == nil {
		c.connectedProcess, c.connectedIncarnation = a.process, a.report.Incarnation
	}
	return a.report, c.answerLostIfDown(a.err)
}

// waitForResults renews the lease until there is a result or the deadline, and fails
// if the worker's process changes. connection is the process that the connection was
// made to, 0 for a new connection.
func (c *Client) waitForResults(ctx context.Context, o planner.LeaseRenewal, deadline time.Time, connection int64) renewAnswer {
	process := c.Worker.processStart()
	if connection != 0 && connection != process && !c.AcknowledgeOnAnyConnection {
		return renewAnswer{err: fault.New(fault.AnswerLost, "the worker's process ended, and its connection with it")}
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
