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
	task  planner.TaskID
	run   int64
	step  model.Step
	began time.Time
	// work is when the run is done; zero while its gang is not whole.
	work time.Time
	// stops is when a stop takes effect; zero for none.
	stops time.Time
	saved string
	// resumed is the share of the work that was saved before the run began, and
	// takes the time of the whole work.
	resumed float64
	takes   time.Duration
}

// restoreTime is what a run that resumes takes more.
const restoreTime = 100 * time.Millisecond

// schedule sets when a run that has all its members is done.
func (r *run) schedule(now time.Time, takes time.Duration) {
	left := time.Duration(float64(takes) * (1 - r.resumed))
	if r.resumed > 0 {
		left += restoreTime
	}
	r.takes, r.work = takes, now.Add(left)
}

// checkpoint returns the value of a checkpoint that is made now.
func (r *run) checkpoint(now time.Time) string {
	if !r.step.Checkpoints || r.work.IsZero() {
		return r.saved
	}
	return strconv.FormatFloat(1-float64(max(r.work.Sub(now), 0))/float64(r.takes), 'f', 4, 64)
}

type key struct {
	task planner.TaskID
	run  int64
}

// Worker is one machine. Its lives have one id, as the platform allows.
type Worker struct {
	w    *World
	Info model.Worker

	up      bool
	born    int64
	started time.Time
	// rate is the speed of its clock.
	rate  float64
	token int64
	lease time.Duration
	runs  map[key]*run
	// ended holds the highest run of a task that ended or was stopped.
	ended  map[planner.TaskID]int64
	ends   []planner.RunResult
	number int64
	// noted is the last end before which the lease ran out: such ends count for
	// nothing.
	noted int64
	// slow workers take this many times as long; failing ones fail everything.
	slow    float64
	failing bool
	// still workers let their tasks stand still since stillAt.
	still   bool
	stillAt time.Time
}

// life names the present life of the worker; none while it is down.
func (x *Worker) life() int64 {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	if !x.up {
		return 0
	}
	return x.started.UnixNano()
}

func (x *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(x.started)) * x.rate)
}

// start begins a life.
func (x *Worker) start() {
	x.up, x.born, x.started = true, time.Now().UnixMilli(), time.Now()
	x.token, x.lease, x.number, x.noted = 0, 0, 0, 0
	x.runs, x.ended, x.ends = make(map[key]*run), make(map[planner.TaskID]int64), nil
	x.Info.Incarnation = x.born
}

// end lists the end of a run.
func (x *Worker) end(r *run, how planner.ResultKind) {
	k := key{r.task, r.run}
	if x.runs[k] == nil {
		return
	}
	delete(x.runs, k)
	x.w.noteEnd(r, how)
	x.ended[r.task] = max(x.ended[r.task], r.run)
	x.number++
	saved := r.saved
	if how == planner.ResultStopped {
		saved = r.checkpoint(time.Now())
	}
	x.w.waste(r, how)
	x.ends = append(x.ends, planner.RunResult{Number: x.number, Task: r.task, Run: r.run, Kind: how, Checkpoint: saved})
	if !r.step.Gang || how == planner.ResultDone {
		return
	}
	for _, o := range x.w.members(r) {
		o.worker.end(o.run, planner.ResultGangFailed)
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
func (x *Worker) tick(now time.Time) {
	if !x.up {
		return
	}
	if x.clock() > x.lease {
		for _, r := range x.sorted() {
			x.end(r, planner.ResultExpired)
		}
		x.noted = x.number
	}
	x.stand(now)
	for _, r := range x.sorted() {
		switch {
		case !r.stops.IsZero() && !now.Before(r.stops):
			x.end(r, planner.ResultStopped)
		case x.failing && now.Sub(r.began) > 200*time.Millisecond:
			x.end(r, planner.ResultFailed)
		case !r.work.IsZero() && !now.Before(r.work):
			x.end(r, planner.ResultDone)
		case r.work.IsZero() && now.Sub(r.began) > x.w.Bounds.GangTimeout:
			x.end(r, planner.ResultGangTimeout)
		}
	}
}

// stand puts the work of a still worker off by the time that has passed.
func (x *Worker) stand(now time.Time) {
	if !x.still {
		x.stillAt = time.Time{}
		return
	}
	if !x.stillAt.IsZero() {
		for _, r := range x.runs {
			passed := min(now.Sub(x.stillAt), now.Sub(r.began))
			if r.work.IsZero() {
				continue
			}
			r.began, r.work = r.began.Add(passed), r.work.Add(passed)
		}
	}
	x.stillAt = now
}

func (x *Worker) used() model.Shape {
	var s model.Shape
	for _, r := range x.runs {
		s = s.Plus(r.step.Shape)
	}
	return s
}

func (x *Worker) fenced(token int64) bool {
	if token < x.token {
		return true
	}
	x.token = token
	return false
}

func (x *Worker) extend(deadline time.Duration) {
	x.lease = max(x.lease, min(deadline, x.clock()+x.w.Bounds.MaxHold))
}

func (x *Worker) order(o planner.StartOrder) error {
	w := x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	x.tick(time.Now())
	k := key{o.Task, o.Run}
	switch {
	case !x.up:
		return fault.New(fault.Unreachable, "down")
	case x.fenced(o.Token):
		return fault.New(fault.Fenced, "fence")
	case o.Deadline <= x.clock():
		return fault.New(fault.Deadline, "late")
	}
	x.extend(o.Deadline)
	if x.runs[k] != nil {
		return nil
	}
	if o.Run <= x.ended[o.Task] {
		return fault.New(fault.Conflict, "old")
	}
	w.begin(x, o)
	return nil
}

func (x *Worker) stop(task planner.TaskID, n, token int64) error {
	w := x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	x.tick(time.Now())
	switch {
	case !x.up:
		return fault.New(fault.Unreachable, "down")
	case x.fenced(token):
		return fault.New(fault.Fenced, "fence")
	}
	x.ended[task] = max(x.ended[task], n)
	if r := x.runs[key{task, n}]; r != nil && r.stops.IsZero() {
		r.stops = time.Now().Add(w.Bounds.StopTimeout)
	}
	return nil
}

func (x *Worker) hold(o planner.LeaseRenewal) (planner.WorkerReport, error) {
	w := x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	x.tick(time.Now())
	switch {
	case !x.up:
		return planner.WorkerReport{}, fault.New(fault.Unreachable, "down")
	case x.fenced(o.Token):
		return planner.WorkerReport{}, fault.New(fault.Fenced, "fence")
	}
	x.extend(o.Deadline)
	w.note(x, o.LastAcknowledged)
	rep := planner.WorkerReport{Clock: x.clock(), Incarnation: x.born, Results: append([]planner.RunResult(nil), x.ends...)}
	for _, r := range x.sorted() {
		rep.Running = append(rep.Running, planner.RunReport{Task: r.task, Run: r.run, Checkpoint: r.saved, Percent: x.percent(r)})
	}
	return rep, nil
}

func (x *Worker) percent(r *run) float64 {
	if r.work.IsZero() {
		return 0
	}
	return min(99, 100*float64(time.Since(r.began))/float64(r.work.Sub(r.began)))
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
	connected, born int64
}

// Start implements planner.WorkerClient.
func (c *Client) Start(ctx context.Context, o planner.StartOrder) error {
	errs := make(chan error, 1)
	if err := c.Link.call(ctx, fault.NotStarted, c.Worker.life, func(context.Context) { errs <- c.Worker.order(o) }); err != nil {
		return err
	}
	return c.down(<-errs)
}

// down makes a call to a worker that is down one without an answer: a machine
// without power does not refuse.
func (c *Client) down(err error) error {
	if fault.Is(err, fault.Unreachable) {
		return fault.Wrap(fault.AnswerLost, err, "no answer")
	}
	return err
}

// Stop implements planner.WorkerClient.
func (c *Client) Stop(ctx context.Context, task planner.TaskID, n, token int64) error {
	errs := make(chan error, 1)
	if err := c.Link.call(ctx, fault.NotStarted, c.Worker.life, func(context.Context) { errs <- c.Worker.stop(task, n, token) }); err != nil {
		return err
	}
	return c.down(<-errs)
}

// listed is the answer to a hold.
type listed struct {
	report planner.WorkerReport
	life   int64
	err    error
}

// Renew implements planner.WorkerClient.
func (c *Client) Renew(ctx context.Context, o planner.LeaseRenewal) (planner.WorkerReport, error) {
	until := time.Now().Add(o.MaxWait)
	answers := make(chan listed, 1)
	on := c.connected
	if (on == 0 || o.Incarnation != c.born) && !c.AnyConnection {
		o.LastAcknowledged = 0
	}
	c.connected = 0
	err := c.Link.call(ctx, fault.NotStarted, c.Worker.life, func(ctx context.Context) { answers <- c.hold(ctx, o, until, on) })
	if err != nil {
		return planner.WorkerReport{}, err
	}
	a := <-answers
	if a.err == nil {
		c.connected, c.born = a.life, a.report.Incarnation
	}
	return a.report, c.down(a.err)
}

// hold waits for an end, as long as the life goes on that the call came to. on is the
// life whose connection the call is made on, 0 for a new connection.
func (c *Client) hold(ctx context.Context, o planner.LeaseRenewal, until time.Time, on int64) listed {
	life := c.Worker.life()
	if on != 0 && on != life && !c.AnyConnection {
		return listed{err: fault.New(fault.AnswerLost, "the connection ended with its life")}
	}
	for {
		if c.Worker.life() != life {
			return listed{err: fault.New(fault.Unreachable, "down")}
		}
		rep, err := c.Worker.hold(o)
		if err != nil || len(rep.Results) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			return listed{rep, life, err}
		}
		time.Sleep(tick)
	}
}

// Close implements planner.WorkerClient.
func (c *Client) Close() {}
