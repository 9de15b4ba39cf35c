package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// TestSizesOutOfRangeAreDropped guards against jobs that fit on no worker and wait for
// ever, since an earlier version has recorded the capacity of an odd worker entry, whose
// record outlasts restarts.
func TestSizesOutOfRangeAreDropped(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.world.Store.Put(store.SizesKey, []byte(`{"svc":[{"milli_cpu":64000,"memory_mb":262144,"accelerators":9000000000000000000},{"accelerators":-1}]}`))
		for _, vm := range []string{"a", "b"} {
			fleet.startVM(vm)
			time.Sleep(3 * time.Second)
			summary, err := fleet.planners[vm].Summary(t.Context())
			is.NoErr(err)
			is.Equal(summary.WorkerClasses, []model.WorkerClass{{Service: "svc", Capacity: model.Shape{MilliCPU: 64000, MemoryMB: 262144, Accelerators: 8}}})
			fleet.kill(vm)
		}
	})
}

// TestUnreadableRunRecordStartsNothing guards against tasks that run twice since the planner can't
// read what has run, as after a later version wrote the record. Other jobs go on.
func TestUnreadableRunRecordStartsNothing(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.submit(jobID(1), "solve", time.Second, step(1, 1, false))
		fleet.submit(jobID(2), "solve", time.Second, step(1, 1, false))
		fleet.submit(jobID(3), "solve", time.Second, step(1, 1, false))
		fleet.world.Store.Put(store.RunKey(jobID(1)), []byte("{"))
		fleet.world.Store.Put(store.RunKey(jobID(2)), []byte("z{"))
		fleet.startVM("a")
		time.Sleep(5 * time.Second)
		is.Equal(fleet.world.State(jobID(3)), model.Completed)
		is.Equal(fleet.world.Starts(), 1)
	})
}

// TestRunRecordWithTooManyOccurrences guards against a planner that creates the units of
// occurrences that its job does not have.
func TestRunRecordWithTooManyOccurrences(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.submit(jobID(1), "solve", time.Second, step(1, 1, false))
		fleet.world.Store.Put(store.RunKey(jobID(1)), []byte(`{"units":[{"occurrence":9000000000000000000,"step":0,"index":0,"run":1},{"occurrence":-1,"step":-1,"index":-5,"run":1}]}`))
		fleet.startVM("a")
		time.Sleep(5 * time.Second)
		is.Equal(fleet.world.State(jobID(1)), model.Completed)
	})
}
