package planner_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// schedules is the number of random schedules of the property test.
const schedules = 2000

// schedule plays one random schedule and returns what it broke.
func schedule(t *testing.T, seed uint64, off func(p *planner.Planner)) (broken []string) {
	bubble(t, func(t *testing.T) {
		s := newScene(t, seed, 2+int(seed%4))
		s.off, s.statusKeep = off, 20*time.Second
		defer s.close()
		vms := []string{"a", "b"}
		for _, vm := range vms {
			s.start(vm)
		}
		time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond)
		for i := range 12 {
			if i < 8 {
				s.randomJob(i)
			}
			s.randomTrouble(vms)
			time.Sleep(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
		}
		s.heal(vms)
		for _, id := range s.await(90 * time.Second) {
			broken = append(broken, "LOST: "+id+" has not ended")
		}
		broken = append(broken, s.violations()...)
	})
	return broken
}

func (s *scene) randomJob(i int) {
	runtime := time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
	queue := queues[s.rng.IntN(len(queues))].Name
	sizes := []int64{1, 2, 4, 8}
	gang := s.rng.IntN(2) == 0
	size := sizes[s.rng.IntN(len(sizes))]
	tasks := min(1+s.rng.IntN(3), s.workers*int(8/size))
	s.submit(jobID(i), queue, runtime, step(tasks, size, gang))
	if i > 0 && s.rng.IntN(6) == 0 {
		s.world.Cancel(jobID(s.rng.IntN(i)))
	}
}

// randomTrouble lets one thing go wrong or right again.
func (s *scene) randomTrouble(vms []string) {
	vm := vms[s.rng.IntN(len(vms))]
	id := fmt.Sprintf("w%d", s.rng.IntN(2))
	faults := world.Faults{Refuse: 0.1, Lose: 0.3 * s.rng.Float64(), Late: 0.3 * s.rng.Float64()}
	switch s.rng.IntN(14) {
	case 0:
		s.link(vm, "store").Set(faults)
	case 1, 2:
		s.link(vm, id).Set(faults)
	case 3, 4:
		s.link(vm, id).Cut(s.rng.IntN(3) > 0)
	case 5:
		s.link(vm, "store").Cut(s.rng.IntN(2) == 0)
	case 6:
		s.world.Crash(id)
		time.Sleep(restartTime + time.Duration(s.rng.IntN(1500))*time.Millisecond)
		s.world.Restart(id)
	case 7, 8:
		s.kill(vm)
		time.Sleep(time.Duration(s.rng.IntN(500)) * time.Millisecond)
		s.start(vm)
	case 9, 10:
		s.suspend(vm, time.Duration(500+s.rng.IntN(4000))*time.Millisecond)
	case 11:
		s.world.Store.SetDown(true)
		time.Sleep(time.Duration(s.rng.IntN(3000)) * time.Millisecond)
		s.world.Store.SetDown(false)
	case 12:
		s.world.Store.Compact()
	case 13:
		s.world.SetFailing(id, s.rng.IntN(2) == 0)
	}
}

// restartTime is the least time that a machine needs to start anew.
const restartTime = 150 * time.Millisecond

// suspend holds all calls of a VM back: what it had decided to send goes out
// when it resumes.
func (s *scene) suspend(vm string, d time.Duration) {
	names := []string{"store", "w0", "w1", "w2", "w3", "w4"}
	for _, to := range names {
		s.link(vm, to).Pause()
	}
	time.Sleep(d)
	for _, to := range names {
		s.link(vm, to).Resume()
	}
}

func (s *scene) heal(vms []string) {
	s.world.Store.SetDown(false)
	for _, vm := range vms {
		for _, to := range []string{"store", "w0", "w1", "w2", "w3", "w4"} {
			l := s.link(vm, to)
			l.Set(world.Faults{})
			l.Cut(false)
			l.Resume()
		}
	}
	for _, id := range []string{"w0", "w1"} {
		s.world.SetFailing(id, false)
	}
}

// TestRunProtocol plays random schedules of faults against two planners.
func TestRunProtocol(t *testing.T) {
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < schedules; seed += shards {
				if broken := schedule(t, uint64(seed), nil); len(broken) > 0 {
					t.Fatalf("seed %d: %v", seed, broken)
				}
			}
		})
	}
}

// guardSchedules bounds the schedules in which a missing guard must show.
const guardSchedules = 600

// TestGuardsAreNeeded shows that each rule of the run protocol is needed: with
// it turned off, a schedule breaks a promise.
func TestGuardsAreNeeded(t *testing.T) {
	for name, off := range planner.Guards {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range guardSchedules {
				if broken := schedule(t, uint64(seed), off); len(broken) > 0 {
					t.Logf("seed %d: %v", seed, broken[0])
					return
				}
			}
			t.Fatalf("no schedule of %d shows that it is needed", guardSchedules)
		})
	}
}

// rebornBesideAStart plays a worker that begins a new life while a start is repeated:
// the task is done in the new life before that has been heard of.
func rebornBesideAStart(t *testing.T, down time.Duration, anyConnection bool) (broken []string) {
	bubble(t, func(t *testing.T) {
		s := newScene(t, 1, 1)
		s.world.AnyConnection = anyConnection
		defer s.close()
		s.start("a")
		time.Sleep(time.Second)
		const before = 4
		for i := range before {
			s.submit(jobID(i), "solve", 200*time.Millisecond, step(1, 1, false))
		}
		time.Sleep(2 * time.Second)
		s.submit(jobID(before), "solve", 30*time.Millisecond, step(1, 1, false))
		s.world.Crash("w0")
		time.Sleep(down)
		s.world.Restart("w0")
		if open := s.await(20 * time.Second); len(open) > 0 {
			broken = append(broken, fmt.Sprintf("LOST: %v", open))
		}
		broken = append(broken, s.world.Violations()...)
	})
	return broken
}

// TestEndsNeedTheirConnection shows that ends may be acknowledged only on a connection
// on which their life has answered: a new life numbers its ends from 1 again.
func TestEndsNeedTheirConnection(t *testing.T) {
	needed := false
	for down := restartTime; down < 600*time.Millisecond; down += 10 * time.Millisecond {
		if broken := rebornBesideAStart(t, down, false); len(broken) > 0 {
			t.Errorf("down for %v: %v", down, broken)
		}
		needed = needed || len(rebornBesideAStart(t, down, true)) > 0
	}
	if !needed {
		t.Error("on any connection: no schedule breaks a promise")
	}
}

// resumed plays a planner that is suspended until after the next one took over
// and that alone reaches a worker then.
func resumed(t *testing.T, off func(p *planner.Planner)) (broken []string) {
	bubble(t, func(t *testing.T) {
		s := newScene(t, 1, 2)
		s.off = off
		defer s.close()
		s.start("a")
		time.Sleep(500 * time.Millisecond)
		s.submit(jobID(1), "solve", 20*time.Second, step(1, 8, false))
		time.Sleep(500 * time.Millisecond)
		s.link("b", "w0").Cut(true)
		s.start("b")
		s.suspend("a", 5*time.Second)
		time.Sleep(6 * time.Second)
		broken = s.world.Violations()
	})
	return broken
}

// TestHoldsStopWithTheLock shows that a planner whose lock is over does not put
// off the end of leases when it resumes. The check before each order is not the
// only guard: the loss of the lock ends the term, and a silent worker's lease is
// not prolonged.
func TestHoldsStopWithTheLock(t *testing.T) {
	for name, off := range map[string]func(p *planner.Planner){"all guards": nil, "no check": planner.Guards["lock check"]} {
		t.Run(name, func(t *testing.T) {
			if broken := resumed(t, off); len(broken) > 0 {
				t.Fatalf("broken: %v", broken)
			}
		})
	}
}

// TestOneSchedule plays the schedule of SCENE_SEED, with SCENE_LOG set its log.
func TestOneSchedule(t *testing.T) {
	text := os.Getenv("SCENE_SEED")
	if text == "" {
		text = "1"
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	if broken := schedule(t, seed, nil); len(broken) > 0 {
		t.Fatalf("seed %d: %v", seed, broken)
	}
}
