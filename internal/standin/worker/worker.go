// Package worker is a stand-in for workers; one process may serve many.
package worker

import (
	"net/http"
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
}

type part struct {
	status    target.PartStatus
	expires   time.Time
	startedAt time.Time
	run       time.Duration
}

// DefaultAccelerators is the number of accelerators of a worker.
const DefaultAccelerators = 8

// Register adds the worker's paths.
func (w *Worker) Register(e faults.Router) {
	w.Faults.Install(e)
	e.POST("/v1/reserve", w.reserve)
	e.POST("/v1/start", w.start)
	e.POST("/v1/renew", w.renew)
	e.POST("/v1/checkpoint", w.checkpoint)
	e.POST("/v1/throttle", w.throttle)
	e.POST("/v1/stop", w.stop)
	e.GET("/v1/list", w.list)
	e.GET("/standin/starts", func(c echo.Context) error { return c.JSON(http.StatusOK, w.Starts()) })
}

// Starts returns how often each job was started here.
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]int, len(w.starts))
	for id, n := range w.starts {
		all[id] = n
	}
	return all
}

func (w *Worker) count() int {
	if w.Accelerators == 0 {
		return DefaultAccelerators
	}
	return w.Accelerators
}

// seeEpoch refuses an epoch lower than one seen before. w.mu is held.
func (w *Worker) seeEpoch(epoch uint64) error {
	if epoch < w.epoch {
		return fault.New(fault.NotStarted, "epoch %d is lower than %d", epoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

// settle ends parts whose time has come. w.mu is held.
func (w *Worker) settle(now time.Time) {
	for key, p := range w.parts {
		if p.status.State == target.Running {
			p.status.ProgressMS = now.Sub(p.startedAt).Milliseconds()
			end := p.startedAt.Add(p.run)
			if !now.Before(end) && !p.expires.Before(end) {
				p.status.ProgressMS = p.run.Milliseconds()
				p.status.State = target.Done
			}
		}
		held := p.status.State == target.Running || p.status.State == target.Reserved
		if !held || now.Before(p.expires) {
			continue
		}
		if p.status.State == target.Reserved {
			delete(w.parts, key)
			continue
		}
		p.status.State = target.Lapsed
	}
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
	if err := w.seeEpoch(in.Epoch); err != nil {
		return err
	}
	if w.Faults.Get().Leaving {
		return fault.New(fault.NotStarted, "leaving")
	}
	for _, a := range in.Accelerators {
		if a < 0 || a >= w.count() {
			return fault.WithField(fault.BadRequest, "accelerators", "%d does not exist", a)
		}
		if w.holder(a, in.Part) {
			return fault.New(fault.NotStarted, "accelerator %d is held", a)
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

// holder reports whether another part holds an accelerator. w.mu is held.
func (w *Worker) holder(accelerator int, except target.Part) bool {
	for key, p := range w.parts {
		if key == except || (p.status.State != target.Running && p.status.State != target.Reserved) {
			continue
		}
		for _, a := range p.status.Accelerators {
			if a == accelerator {
				return true
			}
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
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if err := w.seeEpoch(in.Epoch); err != nil {
		return err
	}
	p, ok := w.parts[in.Part]
	if !ok {
		return fault.New(fault.NotStarted, "not reserved")
	}
	if p.status.State != target.Reserved {
		return c.NoContent(http.StatusNoContent)
	}
	if w.Faults.Get().FailStarts {
		p.status.State = target.Failed
		return fault.New(fault.NotStarted, "stand-in fails every start")
	}
	if w.starts == nil {
		w.starts = make(map[string]int)
	}
	w.starts[in.JobID]++
	p.status.State = target.Running
	p.status.Tasks = in.Tasks
	p.status.Job = in.Job
	p.startedAt = now
	p.run = time.Duration(in.RunMS) * time.Millisecond
	return c.NoContent(http.StatusNoContent)
}

func (w *Worker) renew(c echo.Context) error {
	var in target.RenewRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	if w.Faults.Get().StopRenewing {
		return fault.New(fault.NotStarted, "stand-in refuses renewals")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if err := w.seeEpoch(in.Epoch); err != nil {
		return err
	}
	for _, key := range in.Forget {
		p, ok := w.parts[key]
		if ok && p.status.State != target.Running && p.status.State != target.Reserved {
			delete(w.parts, key)
		}
	}
	for _, key := range in.Parts {
		p, ok := w.parts[key]
		if ok {
			p.expires = now.Add(time.Duration(in.LeaseMS) * time.Millisecond)
			p.status.Epoch = in.Epoch
		}
	}
	return c.JSON(http.StatusOK, w.report(now))
}

// report returns the worker's report. w.mu is held.
func (w *Worker) report(now time.Time) target.Status {
	s := target.Status{WorkerID: w.ID, Accelerators: w.count(), Epoch: w.epoch, Leaving: w.Faults.Get().Leaving}
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

// find decodes an order about a part and returns the part. w.mu is held.
func (w *Worker) find(key target.Part, epoch uint64) (*part, error) {
	w.settle(time.Now())
	if err := w.seeEpoch(epoch); err != nil {
		return nil, err
	}
	p, ok := w.parts[key]
	if !ok {
		return nil, fault.New(fault.NotFound, "no such part")
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
	p.status.CheckpointMS = p.status.ProgressMS
	return c.JSON(http.StatusOK, p.status)
}

func (w *Worker) throttle(c echo.Context) error {
	var in target.ThrottleRequest
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.find(in.Part, in.Epoch); err != nil {
		return err
	}
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
