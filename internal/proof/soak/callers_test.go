package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

const (
	callers        = 3
	host           = "soak.example"
	mainKey        = "k-main"
	careKey        = "k-care"
	submitAttempts = 5
	// callTimeout is the deadline that callers send with a call.
	callTimeout = 3 * time.Second
	// guaranteedAccelerators is the guarantee of the account "care", whose jobs
	// checkReclaim submits.
	guaranteedAccelerators = 16
	// reclaimTime is the platform's reclaim_ms: the time within which all tasks of
	// a job within a guarantee must begin.
	reclaimTime = 2900 * time.Millisecond
)

var queues = []model.Queue{
	{Name: "urgent", Prefix: "/u/", Service: "svc", Priority: 0, MaxAttempts: 3, ObjectiveFactor: 1.5, ObjectiveConstant: 500 * time.Millisecond},
	{Name: "solve", Prefix: "/s/", Service: "svc", Priority: 1, MaxAttempts: 4, ObjectiveFactor: 3, ObjectiveConstant: time.Second},
	{Name: "render", Prefix: "/r/", Service: "svc", Priority: 2, MaxAttempts: 3, ObjectiveFactor: 3, ObjectiveConstant: 3 * time.Second},
}

// caller calls VMs with one API key and reuses its connections.
type caller struct {
	fleet *fleet
	http  *http.Client
	key   string
}

func (f *fleet) newCaller(key string) *caller {
	return &caller{fleet: f, key: key, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// response is the response to a call; status is 0 if none was received.
type response struct {
	status int
	body   string
}

// send makes one call to a VM and reports a broken connection to the checker.
func (c *caller) send(ctx context.Context, v *vm, method, path, key string, body []byte) response {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(v.ip, fmt.Sprint(callersPort))+path, bytes.NewReader(body))
	if err != nil {
		c.fleet.t.Error(err)
		return response{}
	}
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	timeout := callTimeout
	if until, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(until))
	}
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(timeout.Milliseconds()))
	sent, incarnation := time.Now(), v.incarnation()
	resp, err := c.http.Do(r)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			return response{resp.StatusCode, string(b)}
		}
	}
	if ctx.Err() == nil {
		c.fleet.check.recordBrokenCall(v.name, v.plannedStop(incarnation), sent, time.Now(), err)
	}
	return response{}
}

// runCaller submits jobs, queries their state and cancels some of them until ctx
// is done.
func (f *fleet) runCaller(ctx context.Context, n int, rng *rand.Rand) {
	c := f.newCaller(mainKey)
	var submitted []callerJob
	for i := 0; ctx.Err() == nil; i++ {
		j := randomJob(rng, fmt.Sprintf("%04x%012x", n+1, i))
		c.submit(ctx, rng, j)
		submitted = append(submitted, j)
		for range 2 {
			earlier := submitted[rng.IntN(len(submitted))]
			if rng.IntN(25) == 0 {
				c.cancel(ctx, rng, earlier)
			}
			c.queryState(ctx, rng, earlier)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+rng.IntN(900)) * time.Millisecond):
		}
	}
}

// callerJob is a job that a caller submits.
type callerJob struct {
	id      string
	queue   model.Queue
	step    model.Step
	runtime time.Duration
	// fails says that each run of the job fails.
	fails bool
}

func randomJob(rng *rand.Rand, id string) callerJob {
	sizes := []int64{1, 2, 4, 8}
	j := callerJob{id: id, queue: queues[rng.IntN(len(queues))], runtime: time.Duration(200+rng.IntN(2500)) * time.Millisecond}
	j.step = model.Step{
		Tasks: 1 + rng.IntN(3), Gang: rng.IntN(2) == 0, Estimate: j.runtime,
		Shape: model.Shape{MilliCPU: 1000, MemoryMB: 1000, Accelerators: sizes[rng.IntN(len(sizes))]},
	}
	return j
}

func (j *callerJob) specification() string { return "work of " + j.id }

func (j *callerJob) path() string { return j.queue.Prefix + j.id }

func (j *callerJob) body() []byte {
	b, err := json.Marshal(object{"specification": j.specification(), "steps": []object{{
		"count": j.step.Tasks, "cpu": j.step.Shape.MilliCPU, "requested_memory_mb": j.step.Shape.MemoryMB, "gpu": j.step.Shape.Accelerators,
		"estimated_ms": j.step.Estimate.Milliseconds(), "gang": j.step.Gang,
		"same_rack": j.step.SameRack, "affinity": j.step.Rack, "long_running": j.step.LongRunning,
	}}})
	if err != nil {
		panic(err)
	}
	return b
}

// randomVM returns a VM to which the balancer sends new connections.
func (c *caller) randomVM(rng *rand.Rand) *vm {
	in := c.fleet.inRotation()
	return in[rng.IntN(len(in))]
}

// submit submits a job, up to submitAttempts times until it is accepted. It
// returns the time of the acceptance, or the zero time if there was none.
func (c *caller) submit(ctx context.Context, rng *rand.Rand, j callerJob) time.Time {
	c.fleet.world.ExpectJob(world.Job{Runtime: j.runtime, Fails: j.fails, Spec: planner.Spec{
		Queue: j.queue, Job: model.Job{ID: j.id, Specification: j.specification(), Steps: []model.Step{j.step}},
	}})
	for range submitAttempts {
		v := c.randomVM(rng)
		a := c.send(ctx, v, http.MethodPost, j.path(), c.key, j.body())
		at := time.Now()
		c.fleet.check.recordSubmit(j.id, j.path(), a.status, at)
		if a.status == http.StatusOK {
			return at
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
	}
	return time.Time{}
}

func (c *caller) queryState(ctx context.Context, rng *rand.Rand, j callerJob) {
	sent := time.Now()
	a := c.send(ctx, c.randomVM(rng), http.MethodGet, j.path(), c.key, nil)
	c.fleet.check.recordState(j.id, a.status, stateOf(a), sent)
}

func (c *caller) cancel(ctx context.Context, rng *rand.Rand, j callerJob) {
	// The attempt is recorded before the call, because the response may be lost.
	c.fleet.check.recordCancelSent(j.id)
	if a := c.send(ctx, c.randomVM(rng), http.MethodDelete, j.path(), c.key, nil); a.status == http.StatusOK {
		c.fleet.world.ExpectCancel(j.id)
	}
}

func stateOf(a response) string {
	var b struct{ State string }
	if json.Unmarshal([]byte(a.body), &b) != nil {
		return ""
	}
	return b.State
}

// probe calls VMs with the API keys of the newest configuration versions, to find
// out which versions are in force.
func (f *fleet) probe(ctx context.Context, rng *rand.Rand) {
	c := f.newCaller(mainKey)
	for ctx.Err() == nil {
		v := c.randomVM(rng)
		incarnation := v.incarnation()
		version := max(f.version.Load()-int64(rng.IntN(3)), 1)
		sent := time.Now()
		a := c.send(ctx, v, http.MethodGet, "/u/ffffffffffffffff", versionKey(version), nil)
		if v.incarnation() == incarnation {
			f.check.recordProbe(incarnation, version, a.status, sent, time.Now())
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// checkReclaim submits urgent gangs within a guarantee, one after another, and
// checks that all their tasks have begun within reclaimTime.
func (f *fleet) checkReclaim(ctx context.Context) {
	c := f.newCaller(careKey)
	rng := rand.New(rand.NewPCG(uint64(f.version.Load()), 5))
	for i := range 3 {
		j := callerJob{
			id: fmt.Sprintf("ca%02x%012x", i, f.version.Load()), queue: queues[0], runtime: 500 * time.Millisecond,
			step: model.Step{Tasks: 2, Gang: true, Estimate: 500 * time.Millisecond, Shape: model.Shape{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 8}},
		}
		accepted := c.submit(ctx, rng, j)
		if accepted.IsZero() {
			f.check.addViolation("REFUSED: %s was not accepted although no fault was active", j.id)
			continue
		}
		time.Sleep(time.Until(accepted.Add(reclaimTime)))
		f.check.checkReclaimed(j.id, j.step.Tasks, accepted)
	}
}

// awaitTerminal queries all accepted jobs until each is in a terminal state.
func (f *fleet) awaitTerminal() {
	c := f.newCaller(mainKey)
	until := time.Now().Add(finishTime)
	for {
		unfinished := f.check.unfinished()
		if len(unfinished) == 0 {
			return
		}
		if time.Now().After(until) {
			for id := range unfinished {
				f.check.addViolation("LOST: %s is in no terminal state %v after the callers stopped", id, finishTime)
			}
			return
		}
		i := 0
		for id, path := range unfinished {
			i++
			key := mainKey
			if strings.HasPrefix(id, "ca") {
				key = careKey
			}
			sent := time.Now()
			a := c.send(context.Background(), f.vms[i%len(f.vms)], http.MethodGet, path, key, nil)
			f.check.recordState(id, a.status, stateOf(a), sent)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
