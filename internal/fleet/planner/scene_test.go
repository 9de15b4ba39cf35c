package planner_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

func TestMain(m *testing.M) {
	world.FollowTestTime()
	os.Exit(m.Run())
}

var testBounds = world.Bounds{MaxLease: 6 * time.Second, StopTimeout: 300 * time.Millisecond, GangTimeout: 3 * time.Second}

// testFleet is a simulated fleet with VMs that run a planner.
type testFleet struct {
	t     testing.TB
	world *world.World
	// workers is the number of workers; each has 8 accelerators.
	workers int
	rng     *rand.Rand
	config  *fixedConfig
	// configure changes the planners of VMs that are started from now on; may be nil.
	configure func(p *planner.Planner)
	// configureLock changes the locks of VMs that are started from now on; may be nil.
	configureLock func(l *lock.Lock)
	// statusRetention is the status retention of VMs that are started from now on.
	statusRetention time.Duration
	// maxLease is the longest lease of VMs that are started from now on; 0 for that of
	// testBounds.
	maxLease time.Duration
	// evacuationTime is the longest time until the last start in an evacuated data centre, for
	// VMs that are started from now on; 0 if data centres are not evacuated.
	evacuationTime time.Duration
	// afterFault is called after each fault of a random schedule, and afterFaults when they
	// are over; nil for none.
	afterFault, afterFaults func()
	// maxValue is the largest value that the store accepts, in bytes, for VMs that are
	// started from now on; 0 for no limit.
	maxValue int
	// ended holds the jobs that waitForEnd has seen to end.
	ended map[string]bool
	// mu guards terms and ordersWithoutLock: the current term of each VM, and the orders
	// that were sent while the VM did not own the lock.
	// accounts checks the time by cause that the planners log for each job.
	accounts          accountChecker
	mu                sync.Mutex
	terms             map[string]lock.Term
	ordersWithoutLock []string
	stopVM            map[string]context.CancelFunc
	vmDone            map[string]chan struct{}
	planners          map[string]*planner.Planner
	jobIDs            []string
	cancel            context.CancelFunc
	worldDone         chan struct{}
}

// fixedConfig is a configuration that does not change.
type fixedConfig struct{ c *model.Config }

func (c *fixedConfig) Current() *model.Config                      { return c.c }
func (c *fixedConfig) WaitForVersion(context.Context, int64) error { return nil }

var queues = []model.Queue{
	{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 3, ObjectiveFactor: 1.5, ObjectiveConstant: 500 * time.Millisecond},
	{Name: "solve", Service: "svc", Priority: 1, MaxAttempts: 3, ObjectiveFactor: 3, ObjectiveConstant: time.Second},
	{Name: "render", Service: "svc", Priority: 2, MaxAttempts: 2, ObjectiveFactor: 3, ObjectiveConstant: 3 * time.Second},
}

func newTestFleet(t testing.TB, seed uint64, workers int) *testFleet {
	return newTestFleetWith(t, seed, workers, testBounds)
}

func newTestFleetWith(t testing.TB, seed uint64, workers int, bounds world.Bounds) *testFleet {
	f := &testFleet{
		t: t, workers: workers, world: world.New(seed, workers, bounds), rng: rand.New(rand.NewPCG(seed, 7)),
		config: &fixedConfig{&model.Config{Version: 1, Queues: queues, Accounts: []model.Account{{Name: "acme", GuaranteedAccelerators: int64(4 * workers)}}}},
		terms:  make(map[string]lock.Term), stopVM: make(map[string]context.CancelFunc), vmDone: make(map[string]chan struct{}), planners: make(map[string]*planner.Planner),
		worldDone: make(chan struct{}), ended: make(map[string]bool),
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.worldDone)
		f.world.Run(ctx)
	}()
	return f
}

func (f *testFleet) logger() *slog.Logger {
	h := &accountHandler{slog.DiscardHandler, &f.accounts}
	if os.Getenv("SCENE_LOG") != "" {
		h.Handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})
	}
	return slog.New(h)
}

// startVM starts a VM with a planner.
func (f *testFleet) startVM(vm string) {
	f.world.Store.SetMaxValue(f.maxValue)
	log, m := f.logger().With("vm", vm), &meter.Meter{}
	view := &world.View{Store: f.world.Store, Link: f.world.Link(vm, "store")}
	p := &planner.Planner{
		Store: view, Config: f.config, WorkerPrefix: world.WorkerPrefix, DecodeWorker: world.DecodeWorker,
		EvacuationPrefix: world.EvacuationPrefix, DecodeEvacuation: world.DecodeEvacuation,
		Dial: f.dial(vm), Log: log, Meter: m,
		Bounds: model.Bounds{MaxLease: cmp.Or(f.maxLease, testBounds.MaxLease), GangTimeout: testBounds.GangTimeout, StatusRetention: f.statusRetention, StableWindow: world.StableWindow, HeartbeatInterval: world.HeartbeatInterval, MaxValueBytes: f.maxValue, EvacuationTime: f.evacuationTime},
	}
	if f.configure != nil {
		f.configure(p)
	}
	l := &lock.Lock{Store: view, Self: lock.Holder{VMID: vm, IP: vm, Incarnation: uuid.NewString()}, Log: log, Meter: m}
	if f.configureLock != nil {
		f.configureLock(l)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stopVM[vm], f.vmDone[vm], f.planners[vm] = cancel, make(chan struct{}), p
	vmDone := f.vmDone[vm]
	go func() {
		defer close(vmDone)
		l.Run(ctx, func(ctx context.Context, t lock.Term) {
			f.mu.Lock()
			f.terms[vm] = t
			f.mu.Unlock()
			p.RunTerm(ctx, t)
		})
	}()
}

// dial returns a function that returns clients of the workers. They record orders that
// are sent without the lock.
func (f *testFleet) dial(vm string) func(id, address string, maySend func() bool) planner.WorkerClient {
	dial := f.world.Dial(vm)
	return func(id, address string, maySend func() bool) planner.WorkerClient {
		return &recordingClient{dial(id, address, maySend), func(order string) { f.recordOrder(vm, order) }}
	}
}

// recordOrder records an order of a VM that does not certainly own the lock.
func (f *testFleet) recordOrder(vm, order string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.terms[vm].Valid() {
		f.ordersWithoutLock = append(f.ordersWithoutLock, fmt.Sprintf("LOCK: %s sent %s without the lock", vm, order))
	}
}

// allViolations returns the allViolations of the run protocol.
func (f *testFleet) allViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.world.Violations(), f.ordersWithoutLock, f.accounts.violations())
}

// recordingClient is a client that reports each order before it sends it.
type recordingClient struct {
	planner.WorkerClient
	record func(order string)
}

func (w *recordingClient) Start(ctx context.Context, o planner.StartOrder) error {
	w.record("a start")
	return w.WorkerClient.Start(ctx, o)
}

func (w *recordingClient) Stop(ctx context.Context, task planner.TaskID, run, token int64) error {
	w.record("a stop")
	return w.WorkerClient.Stop(ctx, task, run, token)
}

func (w *recordingClient) Renew(ctx context.Context, o planner.LeaseRenewal) (planner.WorkerReport, error) {
	w.record("a lease renewal")
	return w.WorkerClient.Renew(ctx, o)
}

// kill stops a VM without releasing its lock, which expires.
func (f *testFleet) kill(vm string) {
	f.link(vm, "store").Cut(true)
	f.stopVM[vm]()
	<-f.vmDone[vm]
	f.link(vm, "store").Cut(false)
}

func (f *testFleet) link(vm, to string) *world.Link { return f.world.Link(vm, to) }

// close stops all VMs and the world.
func (f *testFleet) close() {
	for vm, stopVM := range f.stopVM {
		f.link(vm, "store").Resume()
		stopVM()
		<-f.vmDone[vm]
	}
	f.cancel()
	<-f.worldDone
	// The clock of a synctest bubble stops when its test function returns: calls in
	// flight, such as a renewal, must end before that.
	time.Sleep(world.MaxCall)
}

// submit submits a job of the account acme whose steps are estimated at its runtime.
func (f *testFleet) submit(id, queue string, runtime time.Duration, steps ...model.Step) {
	for i := range steps {
		steps[i].Estimate = runtime
	}
	f.submitAs("acme", id, queue, runtime, steps...)
}

// submitAs submits a job of an account. The steps must have their estimates.
func (f *testFleet) submitAs(account, id, queue string, runtime time.Duration, steps ...model.Step) {
	q := model.Queue{}
	for _, x := range queues {
		if x.Name == queue {
			q = x
		}
	}
	f.world.Submit(world.Job{Runtime: runtime, Spec: planner.Spec{
		Job:   model.Job{ID: id, Specification: "spec " + id, Steps: steps},
		Queue: q, Account: account, AcceptedMS: time.Now().UnixMilli(), ConfigVersion: 1,
	}})
	f.jobIDs = append(f.jobIDs, id)
}

// step returns a step of tasks that need a number of accelerators each.
func step(tasks int, accelerators int64, gang bool) model.Step {
	return model.Step{Tasks: tasks, Gang: gang, Shape: model.Shape{MilliCPU: 1000, MemoryMB: 1000, Accelerators: accelerators}}
}

// waitForEnd waits until all jobs have ended, for at most limit, and returns those that
// have not.
func (f *testFleet) waitForEnd(limit time.Duration) []string {
	var unfinished []string
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		unfinished = unfinished[:0]
		for _, id := range f.jobIDs {
			f.ended[id] = f.ended[id] || f.world.State(id).Terminal()
			if !f.ended[id] {
				unfinished = append(unfinished, id)
			}
		}
		if len(unfinished) == 0 {
			return nil
		}
	}
	return unfinished
}

// bubble runs f in a synctest bubble, which has a simulated clock.
func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func jobID(n int) string { return fmt.Sprintf("%016x", n) }
