package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxLease          = 6 * time.Second
	stopTime          = 100 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	// maxFinished is the number of ends in one response.
	maxFinished = 500
	maxWait     = 2 * time.Second
	// startTime is how long a task that lasts takes until it is at work.
	startTime = 500 * time.Millisecond
)

// run is one run of a task.
type run struct {
	task     string
	number   int64
	began    time.Time
	duration time.Duration
	// lasts says that the task runs until it is stopped.
	lasts bool
	timer *time.Timer
}

// end is the end of a run that is listed until it is taken note of.
type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// runner is one machine that runs tasks. Its lives share the id and the address.
type runner struct {
	id, rack string
	judge    *judge
	log      *record
	store    *kvStore

	mu      sync.Mutex
	address string
	server  *http.Server
	up      bool
	// cut holds all messages to and from the runner, refuses makes it answer starts with 503.
	cut, refuses bool
	// draining says that the runner leaves at leavesAt.
	draining   bool
	leavesAt   time.Time
	born       time.Time
	running    map[string]*run
	ends       []end
	lastEnd    int64
	highest    map[string]int64
	token      int64
	leaseUntil time.Duration
	changed    chan struct{}
	sequence   int
}

func newRunner(id, rack string, s *kvStore, j *judge, log *record) *runner {
	x := &runner{id: id, rack: rack, store: s, judge: j, log: log, address: "127.0.0.1:0"}
	x.start()
	go x.heartbeat()
	go x.watchLease()
	return x
}

// start begins a life of the runner.
func (x *runner) start() {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, err := net.Listen("tcp", x.address)
	for ; err != nil; l, err = net.Listen("tcp", x.address) {
		time.Sleep(10 * time.Millisecond)
	}
	x.address = l.Addr().String()
	x.up, x.born = true, time.Now()
	x.running, x.highest, x.ends, x.lastEnd, x.token, x.leaseUntil = make(map[string]*run), make(map[string]int64), nil, 0, 0, 0
	x.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", x.order(x.serveStart))
	mux.HandleFunc("POST /v1/run-stop", x.order(x.serveStop))
	mux.HandleFunc("POST /v1/hold", x.order(x.serveHold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	x.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
	x.register()
}

// crash ends the process of the runner.
func (x *runner) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.up = false
	for _, r := range x.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		x.judge.ended(r.task, r.number, "crash")
	}
	x.log.printf("%s ends with %d runs", x.id, len(x.running))
	x.running = make(map[string]*run)
	_ = x.server.Close()
}

// crashBehindCut cuts the runner off, ends its process, and starts another one when the cut heals.
func (x *runner) crashBehindCut(after time.Duration) {
	x.setCut(true)
	x.mu.Lock()
	x.up = false
	for _, r := range x.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		x.judge.ended(r.task, r.number, "crash")
	}
	x.running = make(map[string]*run)
	x.mu.Unlock()
	time.Sleep(after)
	_ = x.server.Close()
	x.start()
	x.setCut(false)
}

// leave drains the runner, which then ends and is removed for good.
func (x *runner) leave(after time.Duration) {
	x.mu.Lock()
	x.draining, x.leavesAt = true, time.Now().Add(after)
	x.register()
	x.log.printf("%s is draining with %d runs", x.id, len(x.running))
	x.mu.Unlock()
	time.Sleep(after)
	x.crash()
	x.store.remove("servers/" + x.id)
	x.log.printf("%s has left", x.id)
}

// setCut cuts the runner off from all daemons, or ends that.
func (x *runner) setCut(cut bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cut = cut
	x.log.printf("%s: cut off: %v, %d runs, %d ends not taken note of", x.id, cut, len(x.running), len(x.ends))
}

func (x *runner) setRefuses(refuses bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refuses = refuses
}

func (x *runner) clock() time.Duration { return time.Since(x.born) }

func (x *runner) clockMS() int64 { return x.clock().Milliseconds() }

// register writes the entry of the runner.
func (x *runner) register() {
	x.sequence++
	state, remaining := "ready", int64(0)
	if x.draining {
		state, remaining = "draining", max(time.Until(x.leavesAt).Milliseconds(), 0)
	}
	x.store.write("servers/"+x.id, object{
		"service": service, "address": x.address, "zone": "msunduzi-a", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "remaining_ms": remaining,
		"capacity": object{"cpu": runnerCPU, "requested_memory_mb": runnerMemoryMB, "gpu": runnerGPU}, "labels": []string{"a", x.rack},
		"clock_ms": x.clockMS(), "born": x.born.UnixMilli(), "sequence": x.sequence,
	})
}

func (x *runner) heartbeat() {
	for {
		time.Sleep(heartbeatInterval)
		x.mu.Lock()
		if x.up {
			x.register()
		}
		x.mu.Unlock()
	}
}

// watchLease ends all runs when the lease expires.
func (x *runner) watchLease() {
	for {
		time.Sleep(10 * time.Millisecond)
		x.mu.Lock()
		if x.up && x.leaseUntil > 0 && x.clock() > x.leaseUntil {
			x.leaseUntil = 0
			x.log.printf("%s: the lease lapsed with %d runs", x.id, len(x.running))
			for _, e := range x.ends {
				x.judge.lapsed(e.task, e.run)
			}
			for _, r := range x.running {
				x.finish(r, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// finish lists the end of a run. The caller must hold x.mu.
func (x *runner) finish(r *run, how string) {
	k := runName(r.task, r.number)
	if x.running[k] != r {
		return
	}
	delete(x.running, k)
	if r.timer != nil {
		r.timer.Stop()
	}
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.lastEnd++
	x.ends = append(x.ends, end{x.lastEnd, r.task, r.number, how})
	x.judge.ended(r.task, r.number, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

func runName(task string, n int64) string { return fmt.Sprintf("%s#%d", task, n) }

type orderBody struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	Wait          int64  `json:"wait_ms"`
}

// order reads an order. One that arrives, or whose response is sent, while the runner is cut off
// gets no response.
func (x *runner) order(serve func(b *orderBody, r *http.Request) (int, object)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if x.isCut() {
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("X-Expected-Instance"); id != "" && id != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := serve(&b, r)
		if x.isCut() {
			<-r.Context().Done()
			return
		}
		if body == nil {
			w.WriteHeader(status)
			return
		}
		writeJSON(w, status, body)
	}
}

func (x *runner) isCut() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cut
}

func (x *runner) refusal(reason string) (int, object) {
	return http.StatusConflict, object{"clock_ms": x.clockMS(), "born": x.born.UnixMilli(), "reason": reason}
}

func (x *runner) ok() (int, object) {
	return http.StatusOK, object{"clock_ms": x.clockMS(), "born": x.born.UnixMilli()}
}

func (x *runner) extend(deadlineMS int64) {
	if deadlineMS > 0 {
		x.leaseUntil = max(x.leaseUntil, min(time.Duration(deadlineMS)*time.Millisecond, x.clock()+maxLease))
	}
}

func (x *runner) serveStart(b *orderBody, _ *http.Request) (int, object) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.refuses:
		x.judge.refused(b.Task, b.Run, x.id)
		return http.StatusServiceUnavailable, nil
	case b.Token < x.token:
		return x.refusal("fence")
	}
	x.token = b.Token
	if time.Duration(b.Deadline)*time.Millisecond <= x.clock() {
		return x.refusal("late")
	}
	x.extend(b.Deadline)
	k := runName(b.Task, b.Run)
	switch {
	case x.running[k] != nil:
		return x.ok()
	case b.Run <= x.highest[b.Task]:
		return x.refusal("old")
	}
	r := &run{task: b.Task, number: b.Run, began: time.Now()}
	r.duration, r.lasts = workOf(b.Specification, b.Task)
	x.running[k] = r
	x.judge.started(b.Task, b.Run, x.id)
	if !r.lasts {
		r.timer = time.AfterFunc(r.duration, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(r, "done")
		})
	}
	return x.ok()
}

// workOf returns the time that a task takes, from its specification: "lasts", or the least and
// the longest time in milliseconds.
func workOf(specification, task string) (work time.Duration, lasts bool) {
	if specification == "lasts" {
		return 0, true
	}
	var least, longest int
	if _, err := fmt.Sscanf(specification, "work %d %d", &least, &longest); err != nil {
		panic("specification: " + specification)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return time.Duration(least+int(h.Sum32())%(longest-least+1)) * time.Millisecond, false
}

func (x *runner) serveStop(b *orderBody, _ *http.Request) (int, object) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b.Token < x.token {
		return x.refusal("fence")
	}
	x.token = b.Token
	x.highest[b.Task] = max(x.highest[b.Task], b.Run)
	if r := x.running[runName(b.Task, b.Run)]; r != nil {
		time.AfterFunc(stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(r, "stopped")
		})
	}
	return x.ok()
}

func (x *runner) serveHold(b *orderBody, r *http.Request) (int, object) {
	deadline := time.After(min(time.Duration(b.Wait)*time.Millisecond, maxWait))
	x.mu.Lock()
	defer x.mu.Unlock()
	if b.Token < x.token {
		return x.refusal("fence")
	}
	x.token = b.Token
	x.extend(b.Deadline)
	for len(x.ends) > 0 && x.ends[0].n <= b.LastSeen {
		x.judge.noted(x.ends[0].task, x.ends[0].run)
		x.ends = x.ends[1:]
	}
	for waiting := b.Wait > 0; waiting && len(x.ends) == 0; {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		x.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, y := range x.running {
		percent := 100.0
		if !y.lasts {
			percent = min(99, 100*float64(time.Since(y.began))/float64(y.duration))
		} else if time.Since(y.began) < startTime {
			percent = 0
		}
		running = append(running, []any{y.task, y.number, "", int(percent), 0})
	}
	for _, e := range x.ends[:min(len(x.ends), maxFinished)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	if len(x.ends) > maxFinished {
		x.log.printf("%s lists %d ends of %d", x.id, maxFinished, len(x.ends))
	}
	_, body := x.ok()
	body["running"], body["finished"] = running, finished
	return http.StatusOK, body
}

// holds returns how many runs of a job the runner has.
func (x *runner) holds(job string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, r := range x.running {
		if strings.HasPrefix(r.task, job+".") {
			n++
		}
	}
	return n
}
