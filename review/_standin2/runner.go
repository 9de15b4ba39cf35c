package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is one life of a runner. It writes what happens to its standard output, a line
// each: START, END or LISTED, and the time in Unix milliseconds.
type runner struct {
	id, service, kind, rack, store, advertised string
	maxHold, stopTime                          time.Duration
	gpu                                        int
	born                                       int64
	began                                      time.Time

	mu     sync.Mutex
	token  int64
	lease  time.Duration
	runs   map[string]*taskRun
	ended  map[string]int64
	ends   [][]any
	n      int64
	seen   int64
	change chan struct{}
}

type taskRun struct {
	task   string
	run    int64
	began  time.Time
	work   time.Duration
	stopAt time.Time
}

func runnerMain(args []string) error {
	fs := flag.NewFlagSet("runner", flag.ContinueOnError)
	x := &runner{runs: make(map[string]*taskRun), ended: make(map[string]int64), change: make(chan struct{})}
	var listen string
	fs.StringVar(&listen, "listen", "", "address to listen on")
	fs.StringVar(&x.advertised, "advertised", "", "address to register; that of listen if empty")
	fs.StringVar(&x.store, "store", "", "address of the store")
	fs.StringVar(&x.id, "id", "", "id")
	fs.StringVar(&x.service, "service", "svc", "service")
	fs.StringVar(&x.kind, "kind", "a", "kind")
	fs.StringVar(&x.rack, "rack", "r1", "rack")
	fs.DurationVar(&x.maxHold, "max-hold", 6*time.Second, "longest lease")
	fs.DurationVar(&x.stopTime, "stop-time", 100*time.Millisecond, "time of a stop")
	fs.IntVar(&x.gpu, "gpu", 8, "accelerators")
	if err := fs.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	if x.advertised == "" {
		x.advertised = l.Addr().String()
	}
	x.began, x.born = time.Now(), time.Now().UnixMilli()
	x.say("UP", "", 0, "")
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", x.start)
	mux.HandleFunc("POST /v1/run-stop", x.stop)
	mux.HandleFunc("POST /v1/hold", x.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go x.beat()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			x.mu.Lock()
			x.advance()
			x.mu.Unlock()
		}
	}()
	return http.Serve(l, mux)
}

func (x *runner) say(what, task string, run int64, more string) {
	fmt.Printf("%s %s %d %s %s %d %s\n", what, x.id, x.born, dash(task), strconv.FormatInt(run, 10), time.Now().UnixMilli(), dash(more))
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (x *runner) clock() time.Duration { return time.Since(x.began) }

// beat registers the runner at the platform.
func (x *runner) beat() {
	for n := 1; ; n++ {
		b, _ := json.Marshal(object{
			"service": x.service, "address": x.advertised, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": object{"cpu": 128000, "requested_memory_mb": 524288, "gpu": x.gpu}, "labels": []string{x.kind, x.rack},
			"clock_ms": x.clock().Milliseconds(), "sequence": n, "born": x.born,
		})
		resp, err := http.Post("http://"+x.store+"/standin/beat?id="+x.id, "application/json", strings.NewReader(string(b)))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(1500 * time.Millisecond)
	}
}

// advance ends the runs whose time has come.
func (x *runner) advance() {
	now := time.Now()
	for _, r := range x.runs {
		switch {
		case x.clock() > x.lease:
			x.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			x.end(r, "stopped")
		case now.Sub(r.began) >= r.work:
			x.end(r, "done")
		}
	}
}

func (x *runner) end(r *taskRun, how string) {
	delete(x.runs, r.task)
	x.ended[r.task] = max(x.ended[r.task], r.run)
	x.n++
	x.ends = append(x.ends, []any{x.n, r.task, r.run, how, ""})
	close(x.change)
	x.change = make(chan struct{})
	x.say("END", r.task, r.run, how)
}

type order struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	Wait          int64  `json:"wait_ms"`
}

// read reads an order, and refuses it if it is for another runner or its token is too low.
// The caller must unlock x.mu if it returns true.
func (x *runner) read(w http.ResponseWriter, r *http.Request, o *order) bool {
	if json.NewDecoder(r.Body).Decode(o) != nil {
		reply(w, http.StatusBadRequest, x.body("", nil))
		return false
	}
	if e := r.Header.Get("X-Expected-Instance"); e != "" && e != x.id {
		reply(w, http.StatusMisdirectedRequest, x.body("", nil))
		return false
	}
	x.mu.Lock()
	x.advance()
	if o.Token < x.token {
		x.mu.Unlock()
		reply(w, http.StatusConflict, x.body("fence", nil))
		return false
	}
	x.token = o.Token
	return true
}

func (x *runner) body(reason string, more object) object {
	b := object{"clock_ms": x.clock().Milliseconds(), "born": x.born}
	if reason != "" {
		b["reason"] = reason
	}
	for k, v := range more {
		b[k] = v
	}
	return b
}

func (x *runner) extend(deadline int64) {
	x.lease = max(x.lease, min(time.Duration(deadline)*time.Millisecond, x.clock()+x.maxHold))
}

func (x *runner) start(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.read(w, r, &o) {
		return
	}
	status, reason := http.StatusConflict, ""
	d := time.Duration(o.Deadline) * time.Millisecond
	switch present := x.runs[o.Task]; {
	case d <= x.clock():
		reason = "late"
	case present != nil && present.run == o.Run:
		x.extend(o.Deadline)
		status = http.StatusOK
	case o.Run <= x.ended[o.Task] || present != nil:
		x.extend(o.Deadline)
		reason = "old"
	default:
		x.extend(o.Deadline)
		x.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, began: time.Now(), work: workOf(o.Specification)}
		status = http.StatusOK
		x.say("START", o.Task, o.Run, x.kind)
	}
	x.mu.Unlock()
	reply(w, status, x.body(reason, nil))
}

// workOf returns the work that a specification names: "work-ms=N".
func workOf(spec string) time.Duration {
	_, rest, _ := strings.Cut(spec, "work-ms=")
	n, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return time.Duration(n) * time.Millisecond
}

func (x *runner) stop(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.read(w, r, &o) {
		return
	}
	x.ended[o.Task] = max(x.ended[o.Task], o.Run)
	if p := x.runs[o.Task]; p != nil && p.run <= o.Run && p.stopAt.IsZero() {
		p.stopAt = time.Now().Add(x.stopTime)
	}
	x.mu.Unlock()
	reply(w, http.StatusOK, x.body("", nil))
}

func (x *runner) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.read(w, r, &o) {
		return
	}
	if o.Deadline > 0 {
		x.extend(o.Deadline)
	}
	if o.LastSeen > x.seen {
		x.seen = o.LastSeen
	}
	for len(x.ends) > 0 && x.ends[0][0].(int64) <= o.LastSeen {
		x.say("NOTED", x.ends[0][1].(string), x.ends[0][2].(int64), x.ends[0][3].(string))
		x.ends = x.ends[1:]
	}
	end := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waiting := true; waiting && len(x.ends) == 0 && o.Wait > 0; {
		change := x.change
		x.mu.Unlock()
		select {
		case <-change:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		x.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, p := range x.runs {
		percent := min(99, int(100*time.Since(p.began)/max(p.work, 1)))
		running = append(running, []any{p.task, p.run, "", percent, 0})
	}
	finished = append(finished, x.ends[:min(len(x.ends), 500)]...)
	body := x.body("", object{"running": running, "finished": finished})
	x.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
