package planner_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// evacuationTime is the platform's evacuation_ms.
const evacuationTime = 5 * time.Second

// evacuationStore is a store that loses or delays some calls of one VM.
type evacuationStore struct {
	store.Store
	meter *meter.Meter
	// reads counts the readings of the evacuations. lose loses their responses.
	reads atomic.Int64
	lose  atomic.Bool
	// writeTime is the additional time of a write of run records.
	writeTime atomic.Int64
}

func (s *evacuationStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if prefix == world.EvacuationPrefix {
		s.reads.Add(1)
		if s.lose.Load() {
			<-ctx.Done()
			return nil, 0, fault.Wrap(fault.StoreUnavailable, ctx.Err(), "no response")
		}
	}
	return s.Store.Range(ctx, prefix)
}

func (s *evacuationStore) Apply(ctx context.Context, t store.Txn) (int64, []store.Item, error) {
	if len(t.Puts) > 0 && strings.HasPrefix(t.Puts[0].Key, store.RunPrefix) {
		pause.For(ctx, time.Duration(s.writeTime.Load()))
	}
	return s.Store.Apply(ctx, t)
}

// inEvacuationFleet runs f with a fleet of four workers that evacuates data centres: w0 and
// w2 are in a, the others in b, and each is a rack of its own.
func inEvacuationFleet(t *testing.T, f func(is *is.I, fleet *testFleet)) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		bounds := testBounds
		bounds.DataCentres, bounds.RackSize = 2, 1
		fleet := newTestFleetWith(t, 1, 4, bounds)
		defer fleet.close()
		fleet.evacuationTime = evacuationTime
		fleet.world.SetEvacuationBound(evacuationTime)
		f(is, fleet)
		is.Equal(fleet.allViolations(), nil)
	})
}

// startEvacuationVM starts a VM with a store of which the test loses or delays calls.
func (f *testFleet) startEvacuationVM(vm string) *evacuationStore {
	s := &evacuationStore{}
	f.configure = func(p *planner.Planner) { s.Store, s.meter, p.Store = p.Store, p.Meter, s }
	f.startVM(vm)
	f.configure = nil
	return s
}

func (f *testFleet) evacuate(dc string) { f.world.Evacuate(dc, world.EvacuationPrefix+dc) }

func (f *testFleet) endEvacuation(dc string) { f.world.EndEvacuation(dc, world.EvacuationPrefix+dc) }

// submitTasks submits jobs of one task that needs a whole worker.
func (f *testFleet) submitTasks(first, n int, runtime time.Duration) {
	for i := range n {
		f.submit(jobID(first+i), "solve", runtime, step(1, 8, false))
	}
}

// TestEvacuation guards against starts in an evacuated data centre, the stop of runs there,
// more calls than the platform accepts, and capacity that stays unused afterwards.
func TestEvacuation(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		s := fleet.startEvacuationVM("a")
		time.Sleep(time.Second)
		fleet.submitTasks(0, 4, 12*time.Second)
		time.Sleep(time.Second)
		is.Equal(fleet.world.StartsIn("a"), 2)
		fleet.evacuate("a")
		time.Sleep(time.Second)
		is.Equal(s.meter.Count("evacuations_in_force"), int64(1))
		fleet.submitTasks(4, 10, 4*time.Second)
		time.Sleep(20 * time.Second)
		is.Equal(fleet.world.StartsIn("a"), 2)
		fleet.endEvacuation("a")
		time.Sleep(time.Second)
		is.True(fleet.world.StartsIn("a") > 2)
		is.Equal(fleet.waitForEnd(20*time.Second), nil)
		is.Equal(fleet.world.Stopped, 0)
		is.True(s.reads.Load() <= 2*25)
	})
}

// TestEvacuationOutlastsPlanner guards against starts by a planner that does not know the
// evacuations yet, or can't read them.
func TestEvacuationOutlastsPlanner(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.evacuate("a")
		time.Sleep(time.Second)
		fleet.kill("a")
		fleet.submitTasks(0, 4, 2*time.Second)
		s := fleet.startEvacuationVM("b")
		s.lose.Store(true)
		time.Sleep(8 * time.Second)
		is.Equal(s.meter.Count("placed"), int64(0))
		is.Equal(fleet.world.Starts(), 0)
		s.lose.Store(false)
		time.Sleep(2 * time.Second)
		is.Equal(fleet.world.StartsIn("b"), 2)
		s.lose.Store(true)
		time.Sleep(10 * time.Second)
		fleet.endEvacuation("a")
		time.Sleep(2 * time.Second)
		is.Equal(fleet.world.StartsIn("a"), 0)
		s.lose.Store(false)
		is.Equal(fleet.waitForEnd(10*time.Second), nil)
	})
}

// TestPlacementIsWithdrawn guards against the start of a gang, whole or in part, whose
// placement is written while the evacuation arrives.
func TestPlacementIsWithdrawn(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		s := fleet.startEvacuationVM("a")
		time.Sleep(time.Second)
		s.writeTime.Store(int64(900 * time.Millisecond))
		fleet.submit(jobID(0), "urgent", 2*time.Second, step(4, 8, true))
		time.Sleep(100 * time.Millisecond)
		fleet.evacuate("a")
		time.Sleep(4 * time.Second)
		is.Equal(fleet.world.Starts(), 0)
		is.Equal(s.meter.Count("start_evacuated"), int64(2))
		fleet.endEvacuation("a")
		is.Equal(fleet.waitForEnd(10*time.Second), nil)
	})
}

// TestStartsAwaitConfirmation guards against starts whose placement is written after the last
// reading of the evacuations has become too old, and against their loss.
func TestStartsAwaitConfirmation(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		s := fleet.startEvacuationVM("a")
		time.Sleep(2 * time.Second)
		s.lose.Store(true)
		s.writeTime.Store(int64(time.Second))
		time.Sleep(2500 * time.Millisecond)
		fleet.submitTasks(0, 4, time.Second)
		time.Sleep(200 * time.Millisecond)
		is.Equal(s.meter.Count("placed"), int64(4))
		fleet.evacuate("a")
		time.Sleep(6 * time.Second)
		is.Equal(fleet.world.Starts(), 0)
		s.lose.Store(false)
		s.writeTime.Store(0)
		is.Equal(fleet.waitForEnd(10*time.Second), nil)
		is.Equal(fleet.world.StartsIn("a"), 0)
		is.Equal(s.meter.Count("start_evacuated"), int64(2))
	})
}

// waitingClient is a client whose starts wait for a connection, and stand still between the
// check whether they may be sent and the sending.
type waitingClient struct {
	planner.WorkerClient
	connect, still time.Duration
}

func (c *waitingClient) Start(ctx context.Context, o planner.StartOrder) error {
	time.Sleep(c.connect)
	maySend := o.MaySend
	o.MaySend = func() bool {
		defer time.Sleep(c.still)
		return maySend()
	}
	return c.WorkerClient.Start(context.WithoutCancel(ctx), o)
}

// startWaitingVM starts the VM a with waiting clients.
func (f *testFleet) startWaitingVM(connect, still time.Duration) *evacuationStore {
	s := &evacuationStore{}
	f.configure = func(p *planner.Planner) {
		s.Store, s.meter, p.Store = p.Store, p.Meter, s
		dial := p.Dial
		p.Dial = func(id, address string, maySend func() bool) planner.WorkerClient {
			return &waitingClient{dial(id, address, maySend), connect, still}
		}
	}
	f.startVM("a")
	return s
}

// TestStartIsCheckedAfterConnecting guards against a start that was permitted before it had to
// wait for a connection.
func TestStartIsCheckedAfterConnecting(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		fleet.startWaitingVM(time.Second, 0)
		time.Sleep(time.Second)
		fleet.submitTasks(0, 4, time.Second)
		time.Sleep(100 * time.Millisecond)
		fleet.evacuate("a")
		is.Equal(fleet.waitForEnd(10*time.Second), nil)
		is.Equal(fleet.world.StartsIn("a"), 0)
	})
}

// TestLateStartIsRejected guards against a start that stood still after its check until the
// bound was over: only its deadline prevents it.
func TestLateStartIsRejected(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		fleet.evacuationTime = 2 * time.Second
		fleet.world.SetEvacuationBound(2 * time.Second)
		s := fleet.startWaitingVM(0, 1400*time.Millisecond)
		time.Sleep(time.Second)
		for n := s.reads.Load(); s.reads.Load() == n; time.Sleep(time.Millisecond) {
		}
		time.Sleep(50 * time.Millisecond)
		s.lose.Store(true)
		fleet.evacuate("a")
		time.Sleep(800 * time.Millisecond)
		fleet.submitTasks(0, 4, time.Second)
		time.Sleep(5 * time.Second)
		is.True(s.meter.Count("placed") > 0)
		is.Equal(fleet.world.StartsIn("a"), 0)
	})
}

// TestPausedPlanner guards against starts by a planner that stood still when the evacuation
// began.
func TestPausedPlanner(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		fleet.startVM("a")
		fleet.startVM("b")
		time.Sleep(time.Second)
		fleet.submitTasks(0, 8, 2*time.Second)
		for _, vm := range []string{"a", "b"} {
			go fleet.suspend(vm, 5*time.Second)
		}
		time.Sleep(10 * time.Millisecond)
		fleet.evacuate("a")
		time.Sleep(12 * time.Second)
		starts := fleet.world.StartsIn("a")
		is.Equal(fleet.waitForEnd(30*time.Second), nil)
		is.Equal(fleet.world.StartsIn("a"), starts)
	})
}

// TestQuickEvacuations guards against an evacuation that is lost among others that begin and
// end in quick succession, and against one that stays in force.
func TestQuickEvacuations(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		fleet.startVM("a")
		time.Sleep(time.Second)
		fleet.submitTasks(0, 40, 300*time.Millisecond)
		for i := range 60 {
			dc := string(rune('a' + i%2))
			fleet.evacuate(dc)
			time.Sleep(time.Duration(fleet.rng.IntN(300)) * time.Millisecond)
			fleet.endEvacuation(dc)
		}
		fleet.evacuate("a")
		fleet.evacuate("b")
		time.Sleep(evacuationTime)
		fleet.submitTasks(40, 4, time.Second)
		before := fleet.world.Starts()
		time.Sleep(5 * time.Second)
		is.Equal(fleet.world.Starts(), before)
		fleet.endEvacuation("a")
		fleet.endEvacuation("b")
		is.Equal(fleet.waitForEnd(60*time.Second), nil)
	})
}

// TestUnusableEvacuations guards against keys that put other evacuations out of force, or
// are counted at each reading.
func TestUnusableEvacuations(t *testing.T) {
	inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
		s := fleet.startEvacuationVM("a")
		for _, name := range []string{"", "b/c", "/", "nowhere"} {
			fleet.world.Store.Put(world.EvacuationPrefix+name, []byte("{}"))
		}
		fleet.evacuate("a")
		time.Sleep(6 * time.Second)
		is.Equal(s.meter.Count("evacuation_key_unusable"), int64(4))
		is.Equal(s.meter.Count("evacuations_in_force"), int64(2))
		fleet.submitTasks(0, 3, time.Second)
		is.Equal(fleet.waitForEnd(10*time.Second), nil)
		is.Equal(fleet.world.StartsIn("a"), 0)
	})
}

// TestEvacuatedRackOfData guards against a unit that waits for the rack of its data while
// that is evacuated or leaves.
func TestEvacuatedRackOfData(t *testing.T) {
	for name, lose := range map[string]func(f *testFleet){
		"evacuated": func(f *testFleet) { f.evacuate("a") },
		"draining":  func(f *testFleet) { f.world.Drain("w0") },
	} {
		t.Run(name, func(t *testing.T) {
			inEvacuationFleet(t, func(is *is.I, fleet *testFleet) {
				fleet.startVM("a")
				lose(fleet)
				time.Sleep(time.Second)
				s := step(1, 8, false)
				s.Rack = "r0"
				fleet.submit(jobID(0), "solve", 300*time.Millisecond, s)
				is.Equal(fleet.waitForEnd(2*time.Second), nil)
			})
		})
	}
}

// evacuationSchedules is the number of random schedules with evacuations.
const evacuationSchedules = 800

// runEvacuationSchedule runs a random schedule of faults in which data centres are evacuated.
// The bound is short, so that a start that was sent before it may arrive after it.
func runEvacuationSchedule(t *testing.T, seed uint64, disable func(p *planner.Planner)) []string {
	const bound = 2 * time.Second
	return runScheduleWith(t, seed, disable, func(f *testFleet) {
		f.evacuationTime = bound
		f.world.SetEvacuationBound(bound)
		f.world.SetDataCentres(2)
		f.afterFault = func() {
			dc := string(rune('a' + f.rng.IntN(2)))
			if f.rng.IntN(3) == 0 {
				f.endEvacuation(dc)
				return
			}
			f.evacuate(dc)
		}
		f.afterFaults = func() {
			f.endEvacuation("a")
			f.endEvacuation("b")
		}
	})
}

// TestRunProtocolWithEvacuations runs random schedules of faults with evacuations.
func TestRunProtocolWithEvacuations(t *testing.T) {
	runShards(t, evacuationSchedules, func(t *testing.T, seed uint64) []string { return runEvacuationSchedule(t, seed, nil) })
}

// TestEvacuationCheckIsNeeded shows that without the check before each start a schedule
// causes a start in an evacuated data centre.
func TestEvacuationCheckIsNeeded(t *testing.T) {
	for seed := range uint64(guardSchedules) {
		for _, v := range runEvacuationSchedule(t, seed, planner.IgnoreEvacuations) {
			if strings.HasPrefix(v, "EVACUATION") {
				t.Logf("seed %d: %s", seed, v)
				return
			}
		}
	}
	t.Fatalf("none of %d schedules shows a violation without the check", guardSchedules)
}
