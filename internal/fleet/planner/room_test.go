package planner_test

import (
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestHopelessUrgentJobKeepsNoRoom shows that an urgent job that no worker can run does not
// keep room from others for good.
func TestHopelessUrgentJobKeepsNoRoom(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const workers = 4
		fleet := newTestFleet(t, 1, workers)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		// Room is kept only once a stop has been seen.
		fleet.submit(jobID(0), "solve", time.Minute, step(1, 8, false))
		time.Sleep(time.Second)
		fleet.world.Cancel(jobID(0))
		hopeless := step(workers, 8, true)
		hopeless.Label = "none"
		fleet.submit(jobID(1), "urgent", time.Second, hopeless)
		const patience = 15 * time.Second
		time.Sleep(patience)
		for i := range workers {
			fleet.submit(jobID(2+i), "render", time.Minute, step(1, 8, false))
		}
		time.Sleep(2 * time.Second)
		for i := range workers {
			if s := fleet.world.State(jobID(2 + i)); s != model.Running {
				t.Errorf("job %d is %s beside a free worker", 2+i, s)
			}
		}
	})
}
