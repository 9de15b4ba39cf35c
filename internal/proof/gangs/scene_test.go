package gangs

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
	standin "github.com/dogwoodworks/dogwoodworks/internal/standin/worker"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

// scene is the fleet of one script with the commands that act on it.
type scene struct {
	t       *testing.T
	fleet   *fleet.Fleet
	doc     config.Document
	options map[string]string
	checker *checker
	vms     map[string]vm
	// jobs are the ids of the submitted jobs by the script's names.
	jobs    map[string]string
	records map[string]job.Record
	holds   map[string]*hold
	// listed are the VMs on the platform's list.
	listed []vmlist.VM
	// aliases are the workers that names such as @j1 stand for.
	aliases map[string]string
	// all is the list at the start.
	all []vmlist.VM
}

// scriptTimeout bounds the wait for what a script says must happen.
const scriptTimeout = 30 * time.Second

func newScene(t *testing.T, o map[string]string) *scene {
	s := &scene{
		t: t, fleet: fleet.Start(t, spec(t, o)), options: o,
		vms: make(map[string]vm), jobs: make(map[string]string), records: make(map[string]job.Record),
		holds: make(map[string]*hold), aliases: make(map[string]string),
	}
	doc := document(t, o)
	s.doc = doc
	list, err := (&vmlist.Client{BaseURL: "http://" + s.fleet.PlatformRelay.Address()}).List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s.listed, s.all = list.VMs, list.VMs
	s.nameDaemons()
	s.checker = &checker{workers: s.fleet.Workers, limit: doc.Defaults.Lease.Duration, since: make(map[worker.Part]time.Time)}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { s.checker.watch(done) })
	t.Cleanup(func() {
		close(done)
		wg.Wait()
	})
	return s
}

// nameDaemons calls the planner "lead" and the second VM "other".
func (s *scene) nameDaemons() {
	for _, d := range s.fleet.Daemons {
		f, err := d.FleetStatus()
		if err != nil {
			s.t.Fatal(err)
		}
		for _, v := range f.VMs {
			if v.Planner {
				s.vms["lead"] = &process{Daemon: s.fleet.Daemons[v.VMID]}
			}
		}
		break
	}
	for id, d := range s.fleet.Daemons {
		if lead := s.vms["lead"].(*process); d != lead.Daemon {
			s.vms["other"] = &process{Daemon: s.fleet.Daemons[id]}
		}
	}
}

// daemon returns the daemon of a name.
func (s *scene) daemon(name string) *fleet.Daemon { return s.vms[name].(*process).Daemon }

// until waits for a condition.
func (s *scene) until(ts *testscript.TestScript, what string, condition func() bool) {
	if !within(condition) {
		ts.Fatalf("not so: %s", what)
	}
}

// within reports whether a condition holds within scriptTimeout.
func within(condition func() bool) bool {
	end := time.Now().Add(scriptTimeout)
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

// planner NAME... starts planners in the test's process; they are chosen.
func (s *scene) planner(_ *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		l := newLocal(s.fleet, s.listed, s.doc, duration(s.t, s.options, "checkpoints", 0))
		s.t.Cleanup(l.kill)
		l.chosen.Store(true)
		s.vms[name] = l
	}
}

// choose NAME makes a local planner the chosen one; with a negation it is not.
func (s *scene) choose(_ *testscript.TestScript, neg bool, args []string) {
	s.vms[args[0]].(*local).chosen.Store(!neg)
}

// die NAME... ends VMs at once.
func (s *scene) die(_ *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		s.vms[name].kill()
	}
}

// drain NAME stops a daemon as planned.
func (s *scene) drain(ts *testscript.TestScript, _ bool, args []string) {
	p := s.vms[args[0]].(*process)
	p.dead = true
	if code := p.Stop(); code != 0 {
		ts.Fatalf("%s ended with %d:\n%s", args[0], code, p.Log())
	}
}

// revive NAME starts a daemon again that has ended.
func (s *scene) revive(_ *testscript.TestScript, _ bool, args []string) {
	p := s.vms[args[0]].(*process)
	p.Start()
	p.WaitReady()
	p.dead = false
}

// signal NAME stop|cont pauses or continues a daemon.
func (s *scene) signal(_ *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"stop": syscall.SIGSTOP, "cont": syscall.SIGCONT}
	s.vms[args[0]].(*process).Signal(signals[args[1]])
}

// submit VM JOB name=value... submits a job; a failed submission is tried again.
func (s *scene) submit(ts *testscript.TestScript, neg bool, args []string) {
	o := options(args[2:])
	r := job.Record{
		Account: "st-anne", Kind: "solve", Idempotent: true, Tasks: number(o, "tasks", 1), Accelerators: number(o, "accelerators", 8),
		RunMS: duration(s.t, o, "run", 300*time.Millisecond).Milliseconds(), SubmittedUnixMS: time.Now().UnixMilli(),
	}
	r.DeclaredMS = r.RunMS
	if _, once := o["once"]; once {
		r.Kind, r.Idempotent = "certificate", false
	}
	if neg {
		_, err := s.vms[args[0]].submit(r, args[1])
		if err == nil || !strings.Contains(err.Error(), o["error"]) {
			ts.Fatalf("submit: %v", err)
		}
		s.jobs[args[1]] = job.NewID(r.Account, args[1])
		return
	}
	s.until(ts, args[1]+" is admitted", func() bool {
		id, err := s.vms[args[0]].submit(r, args[1])
		s.jobs[args[1]], s.records[id] = id, r
		return err == nil
	})
}

// cancel VM JOB cancels a job.
func (s *scene) cancel(ts *testscript.TestScript, _ bool, args []string) {
	s.until(ts, args[1]+" is cancelled", func() bool { return s.vms[args[0]].cancel(s.jobs[args[1]]) == nil })
}

// view asks the living VMs for a job.
func (s *scene) view(id string) (job.Record, bool) {
	for _, v := range s.vms {
		if !v.alive() {
			continue
		}
		if r, ok := v.view(id); ok {
			return r, true
		}
	}
	return job.Record{}, false
}

// job NAME STATE... waits until a job is in one of the states.
func (s *scene) job(ts *testscript.TestScript, _ bool, args []string) {
	var last job.Record
	defer func() { ts.Logf("%s: %s after %d attempts: %s", args[0], last.State, last.Attempts, last.Reason) }()
	s.until(ts, strings.Join(args, " "), func() bool {
		r, ok := s.view(s.jobs[args[0]])
		last = r
		return ok && strings.Contains(" "+strings.Join(args[1:], " ")+" ", " "+string(r.State)+" ")
	})
}

// fault WORKER JSON orders faults.
func (s *scene) fault(ts *testscript.TestScript, _ bool, args []string) {
	var o faults.Orders
	ts.Check(json.Unmarshal([]byte(args[1]), &o))
	s.fleet.Workers[s.worker(args[0])].Faults.Replace(o)
}

// cut WORKER pass|refuse|silent|frozen [VM] sets a worker's relay, for all or for
// one VM.
func (s *scene) cut(_ *testscript.TestScript, _ bool, args []string) {
	modes := map[string]relay.Mode{"pass": relay.Pass, "refuse": relay.Refuse, "silent": relay.Silent}
	r, ok := s.fleet.WorkerRelays[s.worker(args[0])]
	if !ok {
		r = s.daemon(args[0]).Relay
	}
	switch {
	case args[1] == "frozen":
		r.FreezeOpen()
	case len(args) > 2:
		r.Set(s.daemon(args[2]).IP, modes[args[1]])
	default:
		r.SetAll(modes[args[1]])
	}
}

// store up|down|lossy ends or begins an outage of the platform.
func (s *scene) store(_ *testscript.TestScript, _ bool, args []string) {
	s.fleet.Platform.Faults.Replace(faults.Orders{})
	s.fleet.PlatformRelay.SetAll(relay.Pass)
	switch args[0] {
	case "down":
		s.fleet.PlatformRelay.SetAll(relay.Refuse)
	case "lossy":
		s.fleet.Platform.Faults.Replace(faults.Orders{DropAnswers: 1000})
	}
}

// restart WORKER ends its parts and forgets them.
func (s *scene) restart(_ *testscript.TestScript, _ bool, args []string) {
	s.fleet.Workers[s.worker(args[0])].Restart()
}

// gone WORKER... takes workers off the platform's list.
func (s *scene) gone(_ *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		id := s.worker(name)
		s.list(slices.DeleteFunc(slices.Clone(s.listed), func(vm vmlist.VM) bool { return vm.ID == id }))
	}
}

// back puts all workers on the platform's list again.
func (s *scene) back(*testscript.TestScript, bool, []string) { s.list(s.all) }

func (s *scene) list(vms []vmlist.VM) {
	s.listed = vms
	s.fleet.Platform.SetVMs(vms)
	for _, v := range s.vms {
		if l, ok := v.(*local); ok {
			l.planner.SetWorkers(vms)
		}
	}
}

// worker returns the id of a worker. A name such as @j1 stands for the first
// worker that held a part of j1 when the script first used the name.
func (s *scene) worker(name string) string {
	job, ok := strings.CutPrefix(name, "@")
	if !ok {
		return name
	}
	if id, ok := s.aliases[name]; ok {
		return id
	}
	for _, id := range slices.Sorted(maps.Keys(s.fleet.Workers)) {
		for _, p := range s.fleet.Workers[id].Parts() {
			if p.JobID == s.jobs[job] {
				s.aliases[name] = id
				return id
			}
		}
	}
	s.t.Fatalf("no worker holds a part of %s", job)
	return ""
}

// hold are the starts that are kept back at one worker.
type hold struct {
	arrived chan struct{}
	decided chan struct{}
	fate    standin.StartFate
}

// hold WORKER... keeps back the starts that arrive.
func (s *scene) hold(_ *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		h := &hold{arrived: make(chan struct{}, 1), decided: make(chan struct{})}
		s.holds[id] = h
		s.fleet.Workers[id].BeforeStart(func(worker.StartRequest) standin.StartFate {
			select {
			case h.arrived <- struct{}{}:
			default:
			}
			<-h.decided
			return h.fate
		})
	}
}

// arrived WORKER... waits until a start is kept back at each.
func (s *scene) arrived(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		select {
		case <-s.holds[id].arrived:
		case <-time.After(scriptTimeout):
			ts.Fatalf("no start arrived at %s", id)
		}
	}
}

// pass FATE WORKER... decides the starts that were kept back; later ones take
// effect. FATE is whole, lost, unanswered or silent.
func (s *scene) pass(_ *testscript.TestScript, _ bool, args []string) {
	fates := map[string]standin.StartFate{
		"whole": standin.StartNormally, "lost": standin.LoseStart,
		"unanswered": standin.LoseAnswer, "silent": standin.SilenceAnswer,
	}
	for _, id := range args[1:] {
		s.fleet.Workers[id].BeforeStart(nil)
		s.holds[id].fate = fates[args[0]]
		close(s.holds[id].decided)
	}
}

// started JOB N waits until the job's parts were started N times.
func (s *scene) started(ts *testscript.TestScript, _ bool, args []string) {
	s.until(ts, args[0]+" has starts", func() bool { return fmt.Sprint(s.startsOf(s.jobs[args[0]])) == args[1] })
}

// counter VM NAME waits until a counter is positive; with a negation it must be 0.
func (s *scene) counter(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		if n := s.vms[args[0]].counters()[args[1]]; n != 0 {
			ts.Fatalf("%s is %d", args[1], n)
		}
		return
	}
	s.until(ts, args[1]+" is counted", func() bool { return s.vms[args[0]].counters()[args[1]] > 0 })
}

// counted VM NAME checks that a counter is positive now.
func (s *scene) counted(ts *testscript.TestScript, _ bool, args []string) {
	if s.vms[args[0]].counters()[args[1]] == 0 {
		ts.Fatalf("%s is 0", args[1])
	}
}

// refused VM... waits until one of the VMs was refused for its epoch.
func (s *scene) refused(ts *testscript.TestScript, _ bool, args []string) {
	s.until(ts, "an epoch is refused", func() bool {
		n := int64(0)
		for _, name := range args {
			n += s.vms[name].counters()["planner_epoch_refused"]
		}
		return n > 0
	})
}

// empty WORKER waits until no part runs at a worker.
func (s *scene) empty(ts *testscript.TestScript, _ bool, args []string) {
	s.until(ts, args[0]+" is empty", func() bool {
		for _, p := range s.fleet.Workers[args[0]].Parts() {
			if p.State == worker.Running {
				return false
			}
		}
		return true
	})
}

// forgot WORKER... waits until workers hold no parts.
func (s *scene) forgot(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		s.until(ts, id+" holds no parts", func() bool { return len(s.fleet.Workers[id].Parts()) == 0 })
	}
}

func (s *scene) sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// starts JOB N checks how often the job's parts were started at all workers.
func (s *scene) starts(ts *testscript.TestScript, _ bool, args []string) {
	if n := s.startsOf(s.jobs[args[0]]); fmt.Sprint(n) != args[1] {
		ts.Fatalf("%s has %d starts", args[0], n)
	}
}

func (s *scene) startsOf(id string) int {
	n := 0
	for _, w := range s.fleet.Workers {
		n += w.Starts()[id]
	}
	return n
}

// calls DURATION MAX measures the calls per worker and second and checks a bound.
func (s *scene) calls(ts *testscript.TestScript, _ bool, args []string) {
	count := func() (n int) {
		for _, w := range s.fleet.Workers {
			n += w.Calls()
		}
		return n
	}
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	before := count()
	time.Sleep(d)
	rate := float64(count()-before) / d.Seconds() / float64(len(s.fleet.Workers))
	ts.Logf("%.2f calls per worker and second", rate)
	var limit float64
	_, err = fmt.Sscan(args[1], &limit)
	ts.Check(err)
	if rate > limit {
		ts.Fatalf("%.2f calls per worker and second", rate)
	}
}

// kept JOB STATE waits until the store holds a job's record in a state.
func (s *scene) kept(ts *testscript.TestScript, _ bool, args []string) {
	c := &store.Client{BaseURL: "http://" + s.fleet.PlatformRelay.Address(), Meter: &s.fleet.Platform.Meter}
	s.until(ts, args[0]+" is kept as "+args[1], func() bool {
		e, found, err := c.Get(context.Background(), job.StoreKey(dataCentre, s.jobs[args[0]]))
		return err == nil && found && strings.Contains(string(e.Value), `"state":"`+args[1]+`"`)
	})
}

// explain returns why a job stands where it does.
func (s *scene) explain(id string) string {
	for _, v := range s.vms {
		if l, ok := v.(*local); ok && l.alive() {
			x, _ := l.planner.Explain(id)
			return fmt.Sprintf("%+v; measures %+v", x, l.planner.Measures())
		}
	}
	return ""
}

// end checks what must hold in every script.
func (s *scene) end(ts *testscript.TestScript, _ bool, _ []string) {
	for id, d := range s.fleet.Daemons {
		if log := d.Log(); strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic:") {
			ts.Fatalf("log of %s:\n%s", id, log)
		}
	}
	states := make(map[job.State]int)
	for name, id := range s.jobs {
		var r job.Record
		ended := within(func() bool {
			r, _ = s.view(id)
			return r.State.Final()
		})
		if !ended {
			ts.Fatalf("not so: %s has ended: %s after %d attempts: %s; %s", name, r.State, r.Attempts, r.Reason, s.explain(id))
		}
		states[r.State]++
	}
	ts.Logf("states: %v", states)
	for id, r := range s.records {
		if !r.Idempotent && s.startsOf(id) > r.Tasks {
			ts.Fatalf("%s was started %d times", id, s.startsOf(id))
		}
		for wid, w := range s.fleet.Workers {
			if n := w.Starts()[id]; !r.Idempotent && n > 1 {
				ts.Fatalf("%s was started %d times at %s", id, n, wid)
			}
		}
	}
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	ts.Logf("longest partial time %v", s.checker.worst)
	if s.checker.found != "" {
		ts.Fatalf("%s", s.checker.found)
	}
}

func parseCounters(text string) map[string]int64 {
	m := make(map[string]int64)
	for _, line := range strings.Split(text, "\n") {
		var name string
		var n int64
		if _, err := fmt.Sscan(line, &name, &n); err == nil {
			m[name] = n
		}
	}
	return m
}
