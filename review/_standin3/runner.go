package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// shape is what a task takes of a runner.
type shape struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"requested_memory_mb"`
	GPU    int64 `json:"gpu"`
}

// run is one run of a task on a runner; work is 0 for a task that lasts.
type run struct {
	task  string
	n     int64
	work  time.Duration
	began time.Time
}

// runner is one runner of the platform, which does what the protocol says.
type runner struct {
	sim           *sim
	id, service   string
	zone, address string
	rack          string
	capacity      shape
	server        *http.Server
	born          time.Time

	mu       sync.Mutex
	changed  chan struct{}
	token    int64
	deadline int64
	running  map[string]*run
	highest  map[string]int64
	finished [][]any
	ends     int64
	sequence int64
	draining bool
	gone     bool
	// hangs is closed when the runner answers again; nil while it answers.
	hangs chan struct{}
}

func (s *sim) newRunner(id, service, zone, rack string, capacity shape) *runner {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	r := &runner{
		sim: s, id: id, service: service, zone: zone, rack: rack, address: l.Addr().String(), capacity: capacity, born: time.Now(),
		changed: make(chan struct{}), running: make(map[string]*run), highest: make(map[string]int64),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("POST /v1/run-start", r.unlessHanging(r.start))
	mux.HandleFunc("POST /v1/run-stop", r.unlessHanging(r.stop))
	mux.HandleFunc("POST /v1/hold", r.unlessHanging(r.hold))
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	r.beat()
	go r.live()
	return r
}

// hang leaves all calls without an answer for a time, and does nothing for them.
func (r *runner) hang(d time.Duration) {
	r.mu.Lock()
	r.hangs = make(chan struct{})
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.sim.note("runner %s answers no calls from now on", r)
	time.AfterFunc(d, func() {
		r.mu.Lock()
		close(r.hangs)
		r.hangs = nil
		r.mu.Unlock()
		r.sim.note("runner %s answers calls again", r)
	})
}

// cutAndCrash cuts the runner off from all daemons for a time, in which it answers nothing. Its
// process ends at once; when the cut ends, it has started again under its id, with nothing of
// before.
func (r *runner) cutAndCrash(down time.Duration) {
	r.mu.Lock()
	r.hangs = make(chan struct{})
	for _, x := range r.running {
		r.sim.ended(r, x, "crashed")
	}
	r.running, r.highest, r.finished = make(map[string]*run), make(map[string]int64), nil
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.sim.note("runner %s is cut off, and crashes", r)
	time.AfterFunc(down, func() {
		_ = r.server.Close()
		l, err := net.Listen("tcp4", r.address)
		check(err)
		r.mu.Lock()
		close(r.hangs)
		r.hangs, r.born, r.token, r.deadline, r.ends, r.sequence = nil, time.Now(), 0, 0, 0, 0
		r.server = &http.Server{Handler: r.server.Handler}
		server := r.server
		r.mu.Unlock()
		go func() { _ = server.Serve(l) }()
		r.sim.note("runner %s has started again and is reached again", r)
		r.beat()
	})
}

// unlessHanging carries a call out unless the runner hangs when it comes.
func (r *runner) unlessHanging(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		hangs := r.hangs
		r.mu.Unlock()
		if hangs == nil {
			f(w, q)
			return
		}
		<-hangs
		panic(http.ErrAbortHandler)
	}
}

// beat writes the runner's registration.
func (r *runner) beat() {
	r.mu.Lock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	e := object{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.capacity.GPU, "state": state,
		"cold_remaining_ms": 0, "capacity": r.capacity, "labels": []string{"a", r.rack}, "clock_ms": r.clock(),
		"sequence": r.sequence, "born": r.born.UnixMilli(),
	}
	if r.draining {
		e["remaining_ms"] = drainTime.Milliseconds()
	}
	gone := r.gone || r.hangs != nil && r.sim.crashes
	r.mu.Unlock()
	if !gone {
		r.sim.store.put("servers/"+r.id, e)
	}
}

// live registers the runner and ends what is done or whose lease is over.
func (r *runner) live() {
	next := time.Now().Add(beatInterval)
	for range time.Tick(10 * time.Millisecond) {
		r.mu.Lock()
		for _, x := range r.running {
			switch {
			case r.clock() > r.deadline:
				r.finish(x, "lapsed")
			case x.work > 0 && time.Since(x.began) >= x.work:
				r.finish(x, "done")
			}
		}
		gone := r.gone
		r.mu.Unlock()
		if gone {
			return
		}
		if time.Now().After(next) {
			next = next.Add(beatInterval)
			r.beat()
		}
	}
}

// drain says that the runner is about to leave; it leaves drainTime later.
func (r *runner) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.beat()
	r.sim.note("runner %s of %s reports draining", r.id, r.service)
	time.AfterFunc(drainTime+500*time.Millisecond, func() {
		r.mu.Lock()
		r.gone = true
		for _, x := range r.running {
			r.sim.ended(r, x, "gone")
		}
		r.running = make(map[string]*run)
		r.mu.Unlock()
		_ = r.server.Close()
		r.sim.store.remove("servers/" + r.id)
		r.sim.note("runner %s has left", r.id)
	})
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// finish ends a run. r.mu is held.
func (r *runner) finish(x *run, how string) {
	delete(r.running, x.task)
	r.ends++
	r.finished = append(r.finished, []any{r.ends, x.task, x.n, how, ""})
	r.sim.ended(r, x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// order is the body of a call to a runner.
type order struct {
	Task          string
	Run           int64
	Specification string
	Deadline      int64  `json:"deadline_ms"`
	Token         *int64 `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	Wait          int64  `json:"wait_ms"`
}

// accept reads an order and checks its incarnation and its fencing token. It returns nil if
// it has answered. Otherwise r.mu is held.
func (r *runner) accept(w http.ResponseWriter, q *http.Request) *order {
	w.Header().Set("X-Instance-Id", r.id)
	if x := q.Header.Get("X-Expected-Instance"); x != "" && x != r.id {
		reply(w, http.StatusMisdirectedRequest, object{})
		return nil
	}
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, object{})
		return nil
	}
	token := int64(0)
	if o.Token != nil {
		token = *o.Token
	}
	r.mu.Lock()
	if token < r.token {
		reply(w, http.StatusConflict, r.body(object{"reason": "fence"}))
		r.mu.Unlock()
		return nil
	}
	r.token = token
	return &o
}

func (r *runner) body(o object) object {
	o["clock_ms"], o["born"] = r.clock(), r.born.UnixMilli()
	return o
}

// extend applies the deadline of an order. r.mu is held.
func (r *runner) extend(ms int64) {
	r.deadline = max(r.deadline, min(ms, r.clock()+maxHold.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	o := r.accept(w, q)
	if o == nil {
		return
	}
	defer r.mu.Unlock()
	if x := r.running[o.Task]; x != nil && x.n == o.Run {
		r.extend(o.Deadline)
		reply(w, http.StatusOK, r.body(object{}))
		return
	}
	reason := ""
	switch {
	case o.Deadline <= r.clock():
		reason = "late"
	case o.Run <= r.highest[o.Task]:
		reason = "old"
	case !r.hasRoom(r.sim.shapeOf(o.Task)):
		reason = "room"
	}
	if reason != "late" {
		r.extend(o.Deadline)
	}
	if reason != "" {
		reply(w, http.StatusConflict, r.body(object{"reason": reason}))
		return
	}
	r.highest[o.Task] = o.Run
	x := &run{task: o.Task, n: o.Run, work: r.sim.workOf(o.Task), began: time.Now()}
	r.running[o.Task] = x
	r.sim.started(r, x, o.Specification)
	reply(w, http.StatusOK, r.body(object{}))
}

func (r *runner) hasRoom(s shape) bool {
	for _, x := range r.running {
		y := r.sim.shapeOf(x.task)
		s = shape{s.CPU + y.CPU, s.Memory + y.Memory, s.GPU + y.GPU}
	}
	return s.CPU <= r.capacity.CPU && s.Memory <= r.capacity.Memory && s.GPU <= r.capacity.GPU
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	o := r.accept(w, q)
	if o == nil {
		return
	}
	defer r.mu.Unlock()
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.n <= o.Run {
		r.finish(x, "stopped")
	}
	reply(w, http.StatusOK, r.body(object{}))
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o := r.accept(w, q)
	if o == nil {
		return
	}
	defer r.mu.Unlock()
	r.extend(o.Deadline)
	for len(r.finished) > 0 && r.finished[0][0].(int64) <= o.LastSeen {
		r.sim.noted(r, r.finished[0])
		r.finished = r.finished[1:]
	}
	over := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(r.finished) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		r.mu.Lock()
		if hangs := r.hangs; hangs != nil {
			// The deferred unlock follows the panic.
			r.mu.Unlock()
			<-hangs
			r.mu.Lock()
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, x := range r.running {
		// A task that lasts is at work from its start on.
		percent := 100.0
		if x.work > 0 {
			percent = min(100, 100*time.Since(x.began).Seconds()/x.work.Seconds())
		}
		running = append(running, []any{x.task, x.n, "", int64(percent), r.sim.shapeOf(x.task).CPU})
	}
	finished := r.finished[:min(len(r.finished), 500)]
	if finished == nil {
		finished = [][]any{}
	}
	reply(w, http.StatusOK, r.body(object{"running": running, "finished": finished}))
}

func (r *runner) String() string { return fmt.Sprintf("%s (%s)", r.id, r.service) }
