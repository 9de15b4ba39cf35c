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
	callers  = 3
	host     = "soak.example"
	mainKey  = "k-main"
	careKey  = "k-care"
	attempts = 5
	// callTimeout is the deadline that callers state.
	callTimeout = 3 * time.Second
	// guaranteed is the number of accelerators of the account of reclaim.
	guaranteed = 16
	// reclaimTime is the platform's reclaim_ms.
	reclaimTime = 2900 * time.Millisecond
)

var queues = []model.Queue{
	{Name: "urgent", Prefix: "/u/", Service: "svc", Priority: 0, MaxAttempts: 3, ObjectiveFactor: 1.5, ObjectiveConstant: 500 * time.Millisecond},
	{Name: "solve", Prefix: "/s/", Service: "svc", Priority: 1, MaxAttempts: 4, ObjectiveFactor: 3, ObjectiveConstant: time.Second},
	{Name: "render", Prefix: "/r/", Service: "svc", Priority: 2, MaxAttempts: 3, ObjectiveFactor: 3, ObjectiveConstant: 3 * time.Second},
}

// caller keeps its connections to each VM open.
type caller struct {
	fleet *fleet
	http  *http.Client
	key   string
}

func (f *fleet) newCaller(key string) *caller {
	return &caller{fleet: f, key: key, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// answer is the answer to a call; status is 0 without one.
type answer struct {
	status int
	body   string
}

// send makes one call at a VM, and tells the checker of a broken connection.
func (c *caller) send(ctx context.Context, v *vm, method, path, key string, body []byte) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(v.ip, fmt.Sprint(callersPort))+path, bytes.NewReader(body))
	if err != nil {
		c.fleet.t.Error(err)
		return answer{}
	}
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(callTimeout.Milliseconds()))
	sent := time.Now()
	resp, err := c.http.Do(r)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			return answer{resp.StatusCode, string(b)}
		}
	}
	if ctx.Err() == nil {
		c.fleet.check.brokenOff(v.name, v.plannedStop(), sent, time.Now(), err)
	}
	return answer{}
}

// call submits jobs, asks for them and cancels some, until ctx ends.
func (f *fleet) call(ctx context.Context, n int, rng *rand.Rand) {
	c := f.newCaller(mainKey)
	var mine []task
	for i := 0; ctx.Err() == nil; i++ {
		t := drawTask(rng, fmt.Sprintf("%04x%012x", n+1, i))
		c.submit(ctx, rng, t)
		mine = append(mine, t)
		for range 2 {
			old := mine[rng.IntN(len(mine))]
			if rng.IntN(25) == 0 {
				c.cancel(ctx, rng, old)
			}
			c.ask(ctx, rng, old)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+rng.IntN(900)) * time.Millisecond):
		}
	}
}

// task is a job of a caller.
type task struct {
	id      string
	queue   model.Queue
	step    model.Step
	runtime time.Duration
}

func drawTask(rng *rand.Rand, id string) task {
	sizes := []int64{1, 2, 4, 8}
	t := task{id: id, queue: queues[rng.IntN(len(queues))], runtime: time.Duration(200+rng.IntN(2500)) * time.Millisecond}
	t.step = model.Step{
		Tasks: 1 + rng.IntN(3), Gang: rng.IntN(2) == 0, Estimate: t.runtime,
		Shape: model.Shape{MilliCPU: 1000, MemoryMB: 1000, Accelerators: sizes[rng.IntN(len(sizes))]},
	}
	return t
}

func (t *task) specification() string { return "work of " + t.id }

func (t *task) path() string { return t.queue.Prefix + t.id }

func (t *task) body() []byte {
	b, err := json.Marshal(object{"specification": t.specification(), "steps": []object{{
		"count": t.step.Tasks, "cpu": t.step.Shape.MilliCPU, "requested_memory_mb": t.step.Shape.MemoryMB, "gpu": t.step.Shape.Accelerators,
		"estimated_ms": t.step.Estimate.Milliseconds(), "gang": t.step.Gang,
	}}})
	if err != nil {
		panic(err)
	}
	return b
}

// any returns a VM that gets new connections.
func (c *caller) any(rng *rand.Rand) *vm {
	in := c.fleet.inRotation()
	return in[rng.IntN(len(in))]
}

// submit hands a job in, again after any answer but an acceptance, and reports
// when it was accepted; zero when it was not.
func (c *caller) submit(ctx context.Context, rng *rand.Rand, t task) time.Time {
	c.fleet.world.Expect(world.Job{Runtime: t.runtime, Spec: planner.Spec{
		Queue: t.queue, Job: model.Job{ID: t.id, Specification: t.specification(), Steps: []model.Step{t.step}},
	}})
	for range attempts {
		v := c.any(rng)
		a := c.send(ctx, v, http.MethodPost, t.path(), c.key, t.body())
		at := time.Now()
		c.fleet.check.submitted(t.id, t.path(), a.status, at)
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

func (c *caller) ask(ctx context.Context, rng *rand.Rand, t task) {
	sent := time.Now()
	a := c.send(ctx, c.any(rng), http.MethodGet, t.path(), c.key, nil)
	c.fleet.check.shown(t.id, a.status, stateOf(a), sent)
}

func (c *caller) cancel(ctx context.Context, rng *rand.Rand, t task) {
	// The checker knows of the try first: an answer may be lost.
	c.fleet.check.cancelSent(t.id)
	if a := c.send(ctx, c.any(rng), http.MethodDelete, t.path(), c.key, nil); a.status == http.StatusOK {
		c.fleet.world.ExpectCancel(t.id)
	}
}

func stateOf(a answer) string {
	var b struct{ State string }
	if json.Unmarshal([]byte(a.body), &b) != nil {
		return ""
	}
	return b.State
}

// probe asks with the keys of the newest versions whether they are in force.
func (f *fleet) probe(ctx context.Context, rng *rand.Rand) {
	c := f.newCaller(mainKey)
	for ctx.Err() == nil {
		v := c.any(rng)
		life := v.incarnation()
		version := max(f.version.Load()-int64(rng.IntN(3)), 1)
		sent := time.Now()
		a := c.send(ctx, v, http.MethodGet, "/u/ffffffffffffffff", versionKey(version), nil)
		if v.incarnation() == life {
			f.check.probed(life, version, a.status, sent, time.Now())
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// reclaim hands in an urgent gang within a guarantee, and waits for its start
// and end.
func (f *fleet) reclaim(ctx context.Context) {
	c := f.newCaller(careKey)
	rng := rand.New(rand.NewPCG(uint64(f.version.Load()), 5))
	for i := range 3 {
		t := task{
			id: fmt.Sprintf("ca%02x%012x", i, f.version.Load()), queue: queues[0], runtime: 500 * time.Millisecond,
			step: model.Step{Tasks: 2, Gang: true, Estimate: 500 * time.Millisecond, Shape: model.Shape{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 8}},
		}
		accepted := c.submit(ctx, rng, t)
		if accepted.IsZero() {
			f.check.violate("REFUSED: %s was not accepted without a fault", t.id)
			continue
		}
		time.Sleep(time.Until(accepted.Add(reclaimTime)))
		f.check.reclaimed(t.id, t.step.Tasks, accepted)
	}
}

// finish asks for all accepted jobs until they have ended.
func (f *fleet) finish() {
	c := f.newCaller(mainKey)
	until := time.Now().Add(finishTime)
	for {
		open := f.check.open()
		if len(open) == 0 {
			return
		}
		if time.Now().After(until) {
			for id := range open {
				f.check.violate("LOST: %s has not ended %v after its callers left", id, finishTime)
			}
			return
		}
		i := 0
		for id, path := range open {
			i++
			key := mainKey
			if strings.HasPrefix(id, "ca") {
				key = careKey
			}
			sent := time.Now()
			a := c.send(context.Background(), f.vms[i%len(f.vms)], http.MethodGet, path, key, nil)
			f.check.shown(id, a.status, stateOf(a), sent)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
