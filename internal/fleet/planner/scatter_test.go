package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestSecondRunStaysInOneRack guards against spreading the second run of an urgent gang
// over several racks, where it would take longer. The first run fails; the next must be
// placed in one rack again, and units that can be pre-empted there must yield.
func TestSecondRunStaysInOneRack(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		// Each rack has four workers.
		fleet := newTestFleet(t, 1, 8)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		const firstJob, gang, secondJob, cancelled = 10, 1, 20, 13
		wholeWorker := step(1, 8, false)
		for i := range 4 {
			fleet.submit(jobID(firstJob+i), "solve", time.Minute, wholeWorker)
		}
		time.Sleep(time.Second)
		gangStep := step(2, 8, true)
		gangStep.SameRack = true
		fleet.submit(jobID(gang), "urgent", 3*time.Second, gangStep)
		time.Sleep(500 * time.Millisecond)
		for i := range 2 {
			fleet.submit(jobID(secondJob+i), "solve", time.Minute, wholeWorker)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(fleet.racksOf(jobID(gang))), 1)
		// One worker is free in the other rack. A worker of the run fails when the job is
		// already older than the age from which a first run may be spread over racks.
		fleet.world.Cancel(jobID(cancelled))
		time.Sleep(time.Second)
		for id := range fleet.world.WorkerRacks(jobID(gang)) {
			fleet.world.SetFailing(id, true)
			time.Sleep(400 * time.Millisecond)
			fleet.world.SetFailing(id, false)
			break
		}
		time.Sleep(1200 * time.Millisecond)
		is.Equal(len(fleet.world.WorkerRacks(jobID(gang))), 2)
		is.Equal(len(fleet.racksOf(jobID(gang))), 1)
		time.Sleep(10 * time.Second)
		is.Equal(fleet.world.State(jobID(gang)), model.Completed)
		is.Equal(fleet.world.Violations(), []string(nil))
	})
}

// racksOf returns the racks on which tasks of a job run.
func (f *testFleet) racksOf(id string) map[string]bool {
	racks := make(map[string]bool)
	for _, rack := range f.world.WorkerRacks(id) {
		racks[rack] = true
	}
	return racks
}
