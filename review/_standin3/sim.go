// Command standin3 plays the cases of the third review: it starts daemons as processes, with a
// platform, runners and clients of its own on loopback addresses, and checks one rule.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the settings state them.
const (
	beatInterval = 1500 * time.Millisecond
	drainTime    = 2500 * time.Millisecond
	maxHold      = 10 * time.Second
	stableWindow = 4 * time.Second
	finishTime   = 14 * time.Second
	applyTime    = 2500 * time.Millisecond
	startSpread  = 300 * time.Millisecond
	addGap       = 1300 * time.Millisecond
	queueKey     = "d4a3hwrr6x73d3zji9n7"
	queueHost    = "jobs.example"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if current != nil {
			current.close()
		}
		os.Exit(2)
	}
}

// current is the simulation of this process, whose daemons end with it.
var current *sim

// job is a job of the clients.
type job struct {
	id         string
	shape      shape
	work       time.Duration
	tasks      int
	lasts      bool
	accepted   bool
	acceptedAt time.Time
	daemon     string
	states     []string
	runs       []string
	active     int
	done       bool
	// notedAt is when the end as done was taken note of, and again the starts after it.
	notedAt    time.Time
	again      int
	lastActive time.Time
}

// sim is the platform, its clients and the daemons of a case.
type sim struct {
	dir     string
	began   time.Time
	store   *kvStore
	address string
	record  *os.File
	trouble bool
	// statusTime is how long a job's state is to be known after its end.
	statusTime time.Duration
	// crashes says that a runner that doesn't answer has crashed, so that it doesn't register.
	crashes bool

	mu      sync.Mutex
	jobs    map[string]*job
	order   []*job
	daemons []*daemon
}

// daemon is one process of the system.
type daemon struct {
	name, ip string
	settings string
	front    string
	ready    string
	cmd      *exec.Cmd
	log      *os.File
}

func newSim(record string) *sim {
	dir, err := os.MkdirTemp("", "standin3-")
	check(err)
	f, err := os.Create(record)
	check(err)
	s := &sim{
		dir: dir, began: time.Now(), store: newStore(), record: f, trouble: os.Getenv("TROUBLE") != "0", jobs: make(map[string]*job),
		statusTime: 120 * time.Second,
	}
	current = s
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s.store.handler()) }()
	return s
}

// note writes a line to the record.
func (s *sim) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked(format, args...)
}

func (s *sim) noteLocked(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// startDaemons starts daemons, one in each zone in turn: n when the system starts for the first
// time, within 0.3 s, and more on machines that are added one after the other.
func (s *sim) startDaemons(n, more int, zones []string) {
	first := n
	n += more
	base := 10 + os.Getpid()%200
	ports := freePorts(base, 5)
	for i := range n {
		ip := fmt.Sprintf("127.%d.1.%d", base, i+1)
		s.daemons = append(s.daemons, &daemon{
			name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i+1), ip: ip,
			front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		})
	}
	var seeds []string
	for _, d := range s.daemons[:min(3, first)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.ip, ports[2])))
	}
	for i, d := range s.daemons {
		d.settings = filepath.Join(s.dir, d.name+".toml")
		check(os.WriteFile(d.settings, []byte(fmt.Sprintf(settings, d.name, d.ip, zones[i%len(zones)], ports[3], ports[4],
			strings.Join(seeds, ","), i < first, d.front, d.ready, fmt.Sprintf("%s:%d", d.ip, ports[2]), int(s.statusTime.Seconds()), s.address)), 0o600))
		var err error
		d.log, err = os.Create(filepath.Join(s.dir, d.name+".log"))
		check(err)
		s.start(d)
		if i < first {
			time.Sleep(startSpread / time.Duration(first))
		} else {
			time.Sleep(addGap)
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range s.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s is not ready", d.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("%d daemons are ready", n)
}

// start starts a daemon with the command of the deploy file.
func (s *sim) start(d *daemon) {
	d.cmd = exec.Command("target/dogwoodd", "platform")
	d.cmd.Env = []string{"DOGWOODWORKS_NODE_FILE=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(d.cmd.Start())
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// freePorts returns n ports that are free on the first address of the daemons; the last two are
// the ends of a range of two.
func freePorts(base, n int) []int {
	var ports []int
	for p := 20000 + os.Getpid()*7%20000; len(ports) < n; p++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:%d", base, p))
		if err != nil {
			ports = nil
			continue
		}
		_ = l.Close()
		ports = append(ports, p)
	}
	return ports
}

const settings = `node_name = "%s"
role = "daemon"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip_address = "%s"
zone = "%s"
region = "north"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = %t
in_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "call"
[zones]
north-a = "north"
north-b = "north"
[listen]
front = "%s"
readiness = "%s"
control = "%s"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stable_window_ms = 4000
acknowledge_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_stretch_ms = 6000
strict_revocation = false
revoke_ms = 5000
recovery_s = 12
max_hold_ms = 10000
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = %d
remote_factor = 3
checkpoint_interval_s = 2
restore_ms = 600
lease_ms = 3000
thaw_ms = 300
reclaim_ms = 2900
[platform]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`

// close ends all processes that the case started.
func (s *sim) close() {
	for _, d := range s.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			_ = d.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// jobOf returns the job of a task's name.
func (s *sim) jobOf(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	return s.jobs[id]
}

func (s *sim) shapeOf(task string) shape {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobOf(task); j != nil {
		return j.shape
	}
	return shape{}
}

func (s *sim) workOf(task string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobOf(task); j != nil {
		return j.work
	}
	return time.Second
}

// move changes the number of runs of a job that are at work.
func (s *sim) move(j *job, n int) {
	j.active += n
	j.lastActive = time.Now()
}

// started notes the start of a run.
func (s *sim) started(r *runner, x *run, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked("%s starts %s run %d", r, x.task, x.n)
	if j := s.jobOf(x.task); j != nil {
		if !j.notedAt.IsZero() {
			j.again++
			s.noteLocked("BROKEN: TWICE: %s starts again, %.1f s after its end as done was taken note of; its runs: %v, now run %d on %s",
				x.task, time.Since(j.notedAt).Seconds(), j.runs, x.n, r)
		}
		s.move(j, 1)
		j.runs = append(j.runs, fmt.Sprintf("run %d on %s", x.n, r))
	}
}

// ended notes the end of a run.
func (s *sim) ended(r *runner, x *run, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked("%s ends %s run %d: %s", r, x.task, x.n, how)
	if j := s.jobOf(x.task); j != nil {
		s.move(j, -1)
		j.done = j.done || how == "done"
	}
}

// noted notes that a daemon has taken note of an end.
func (s *sim) noted(r *runner, end []any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked("%s: the end of %v run %v as %v is taken note of", r, end[1], end[2], end[3])
	if j := s.jobOf(end[1].(string)); j != nil && end[3] == "done" && j.notedAt.IsZero() {
		j.notedAt = time.Now()
	}
}

var client = &http.Client{Timeout: 4 * time.Second}

// call makes one call of a client. The status is 0 if it gets no answer.
func (s *sim) call(d *daemon, method, path string, body any) (int, map[string]any) {
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		check(err)
		in = bytes.NewReader(b)
	}
	q, err := http.NewRequest(method, "http://"+d.front+path, in)
	check(err)
	q.Host = queueHost
	q.Header.Set("X-Api-Key", queueKey)
	q.Header.Set("X-Deadline-Milliseconds", "3000")
	q.Header.Set("Content-Type", "application/json")
	r, err := client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	out := map[string]any{}
	_ = json.NewDecoder(r.Body).Decode(&out)
	return r.StatusCode, out
}

// submit hands a job in at a daemon, and again at the next ones until it is accepted.
func (s *sim) submit(i int, queue string, j *job) {
	s.mu.Lock()
	s.jobs[j.id] = j
	s.order = append(s.order, j)
	s.mu.Unlock()
	step := object{"count": max(1, j.tasks), "cpu": j.shape.CPU, "requested_memory_mb": j.shape.Memory, "gpu": j.shape.GPU}
	if j.lasts {
		step["long_running"] = true
	} else {
		step["estimated_ms"] = j.work.Milliseconds()
	}
	body := object{"specification": "work " + j.id, "steps": []object{step}}
	for attempt := range 5 {
		d := s.daemons[(i+attempt)%len(s.daemons)]
		status, _ := s.call(d, http.MethodPost, queue+j.id, body)
		s.note("client: POST %s at %s -> %d", j.id, d.name, status)
		if status/100 == 2 {
			s.mu.Lock()
			j.accepted, j.acceptedAt, j.daemon = true, time.Now(), d.name
			s.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state asks for a job's state.
func (s *sim) state(i int, queue string, j *job) (int, string) {
	status, out := s.call(s.daemons[i%len(s.daemons)], http.MethodGet, queue+j.id, nil)
	state, _ := out["state"].(string)
	return status, state
}

func jobID(i int) string { return fmt.Sprintf("%08x%08x", 0x5c0e7a21, uint32(i)*2654435761) }
