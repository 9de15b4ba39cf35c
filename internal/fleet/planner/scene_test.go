package planner_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

func TestMain(m *testing.M) {
	world.FollowTestTime()
	os.Exit(m.Run())
}

var sceneBounds = world.Bounds{MaxHold: 6 * time.Second, StopTimeout: 300 * time.Millisecond, GangTimeout: 3 * time.Second}

// scene is a world with VMs that plan.
type scene struct {
	t     testing.TB
	world *world.World
	// workers is their number; each has 8 accelerators.
	workers int
	rng     *rand.Rand
	config  *config
	off     func(p *planner.Planner)
	// statusKeep is that of the bounds of VMs that are started from now on.
	statusKeep time.Duration
	// maxHold is that of the bounds of VMs; 0 for that of sceneBounds.
	maxHold time.Duration
	// ended holds the jobs that await has seen to end.
	ended map[string]bool
	// decide replaces the planner's placement when it is set.
	decide func(placement.Input) placement.Decision
	// mu guards terms and unlocked: the present term of each VM, and the orders that
	// were sent while it did not hold the lock.
	mu       sync.Mutex
	terms    map[string]lock.Term
	unlocked []string
	stop     map[string]context.CancelFunc
	done     map[string]chan struct{}
	plan     map[string]*planner.Planner
	ids      []string
	cancel   context.CancelFunc
	ran      chan struct{}
}

// config is a configuration that stays.
type config struct{ c *model.Config }

func (c *config) Current() *model.Config                      { return c.c }
func (c *config) WaitForVersion(context.Context, int64) error { return nil }

var queues = []model.Queue{
	{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 3, ObjectiveFactor: 1.5, ObjectiveConstant: 500 * time.Millisecond},
	{Name: "solve", Service: "svc", Priority: 1, MaxAttempts: 3, ObjectiveFactor: 3, ObjectiveConstant: time.Second},
	{Name: "render", Service: "svc", Priority: 2, MaxAttempts: 2, ObjectiveFactor: 3, ObjectiveConstant: 3 * time.Second},
}

func newScene(t testing.TB, seed uint64, workers int) *scene {
	return newSceneWith(t, seed, workers, sceneBounds)
}

func newSceneWith(t testing.TB, seed uint64, workers int, bounds world.Bounds) *scene {
	s := &scene{
		t: t, workers: workers, world: world.New(seed, workers, bounds), rng: rand.New(rand.NewPCG(seed, 7)),
		config: &config{&model.Config{Version: 1, Queues: queues, Accounts: []model.Account{{Name: "acme", GuaranteedAccelerators: int64(4 * workers)}}}},
		terms:  make(map[string]lock.Term), stop: make(map[string]context.CancelFunc), done: make(map[string]chan struct{}), plan: make(map[string]*planner.Planner),
		ran: make(chan struct{}), ended: make(map[string]bool),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.ran)
		s.world.Run(ctx)
	}()
	return s
}

func logger() *slog.Logger {
	out := os.Stderr
	if os.Getenv("SCENE_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// start starts a VM.
func (s *scene) start(vm string) {
	log, m := logger().With("vm", vm), &meter.Meter{}
	view := &world.View{Store: s.world.Store, Link: s.world.Link(vm, "store")}
	p := &planner.Planner{
		Store: view, Config: s.config, WorkerPrefix: world.WorkerPrefix, DecodeWorker: world.DecodeWorker,
		Dial: s.dial(vm), Log: log, Meter: m, Decide: s.decide,
		Bounds: model.Bounds{MaxLease: cmp.Or(s.maxHold, sceneBounds.MaxHold), GangTimeout: sceneBounds.GangTimeout, StatusRetention: s.statusKeep},
	}
	if s.off != nil {
		s.off(p)
	}
	l := &lock.Lock{Store: view, Self: lock.Holder{VMID: vm, IP: vm, Incarnation: uuid.NewString()}, Log: log, Meter: m}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop[vm], s.done[vm], s.plan[vm] = cancel, make(chan struct{}), p
	done := s.done[vm]
	go func() {
		defer close(done)
		l.Run(ctx, func(ctx context.Context, t lock.Term) {
			s.mu.Lock()
			s.terms[vm] = t
			s.mu.Unlock()
			p.RunTerm(ctx, t)
		})
	}()
}

// dial returns clients of the workers that note orders without the lock.
func (s *scene) dial(vm string) func(id, address string, maySend func() bool) planner.WorkerClient {
	dial := s.world.Dial(vm)
	return func(id, address string, maySend func() bool) planner.WorkerClient {
		return &watched{dial(id, address, maySend), func(order string) { s.ordered(vm, order) }}
	}
}

// ordered notes an order of a VM that does not hold the lock for certain.
func (s *scene) ordered(vm, order string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.terms[vm].Valid() {
		s.unlocked = append(s.unlocked, fmt.Sprintf("LOCK: %s sent %s without the lock", vm, order))
	}
}

// violations returns what was broken.
func (s *scene) violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.world.Violations(), s.unlocked...)
}

// watched is a worker whose orders are noted.
type watched struct {
	planner.WorkerClient
	note func(order string)
}

func (w *watched) Start(ctx context.Context, o planner.StartOrder) error {
	w.note("a start")
	return w.WorkerClient.Start(ctx, o)
}

func (w *watched) Stop(ctx context.Context, task planner.TaskID, run, token int64) error {
	w.note("a stop")
	return w.WorkerClient.Stop(ctx, task, run, token)
}

func (w *watched) Renew(ctx context.Context, o planner.LeaseRenewal) (planner.WorkerReport, error) {
	w.note("a hold")
	return w.WorkerClient.Renew(ctx, o)
}

// kill ends a VM; its lock runs out by itself.
func (s *scene) kill(vm string) {
	s.link(vm, "store").Cut(true)
	s.stop[vm]()
	<-s.done[vm]
	s.link(vm, "store").Cut(false)
}

func (s *scene) link(vm, to string) *world.Link { return s.world.Link(vm, to) }

// close ends all VMs and the world.
func (s *scene) close() {
	for vm, stop := range s.stop {
		s.link(vm, "store").Resume()
		stop()
		<-s.done[vm]
	}
	s.cancel()
	<-s.ran
	// The time of a bubble stands still once its test has returned: calls that are
	// still on their way, such as a renewal, have to end before.
	time.Sleep(world.MaxCall)
}

// submit hands a job in.
func (s *scene) submit(id, queue string, runtime time.Duration, steps ...model.Step) {
	for i := range steps {
		steps[i].Estimate = runtime
	}
	s.submitFor("acme", id, queue, runtime, steps...)
}

// submitFor hands a job of an account in; its steps have their estimates.
func (s *scene) submitFor(account, id, queue string, runtime time.Duration, steps ...model.Step) {
	q := model.Queue{}
	for _, x := range queues {
		if x.Name == queue {
			q = x
		}
	}
	s.world.Submit(world.Job{Runtime: runtime, Spec: planner.Spec{
		Job:   model.Job{ID: id, Specification: "spec " + id, Steps: steps},
		Queue: q, Account: account, AcceptedMS: time.Now().UnixMilli(), ConfigVersion: 1,
	}})
	s.ids = append(s.ids, id)
}

// step returns a step of tasks with a number of accelerators.
func step(tasks int, accelerators int64, gang bool) model.Step {
	return model.Step{Tasks: tasks, Gang: gang, Shape: model.Shape{MilliCPU: 1000, MemoryMB: 1000, Accelerators: accelerators}}
}

// await waits until all jobs have ended, and returns those that have not.
func (s *scene) await(limit time.Duration) []string {
	var open []string
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		open = open[:0]
		for _, id := range s.ids {
			s.ended[id] = s.ended[id] || s.world.State(id).Terminal()
			if !s.ended[id] {
				open = append(open, id)
			}
		}
		if len(open) == 0 {
			return nil
		}
	}
	return open
}

// bubble runs f with a time of its own.
func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func jobID(n int) string { return fmt.Sprintf("%016x", n) }
