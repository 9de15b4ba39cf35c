package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestTermBeginsSoonAfterLostReadings guards against work that waits while a VM owns the
// planner lock and waits for records whose response is lost.
func TestTermBeginsSoonAfterLostReadings(t *testing.T) {
	for _, lost := range []int{1, 3, 6} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newTestFleet(t, 1, 4)
				defer fleet.close()
				fleet.link("a", "store").LosePages(lost)
				fleet.startVM("a")
				time.Sleep(500 * time.Millisecond)
				fleet.submit(jobID(1), "solve", time.Second, step(2, 4, false))
				// As long as work may wait beside free workers, and its runtime.
				time.Sleep(maxIdleWait + time.Second)
				is.Equal(fleet.world.State(jobID(1)), model.Completed)
			})
		})
	}
}
