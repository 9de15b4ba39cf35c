package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestWritesKeepUp plays 256 slots of tasks of a second each, every one a job of its
// own, beside a store in another region (a round trip of some 50 ms). In a planner
// that writes ten jobs at a time, one write after the other, records fall behind for
// good: callers wait, and no end is acknowledged. Seven jobs in ten of what the
// slots can do are to be done in time.
func TestWritesKeepUp(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		const workers, slots, seconds = 32, 32 * 8, 6
		s := newScene(t, 1, workers)
		defer s.close()
		s.start("a")
		time.Sleep(time.Second)
		s.link("a", "store").Slow(42 * time.Millisecond)
		for i := range slots * seconds {
			s.submit(jobID(i), "render", time.Second, step(1, 1, false))
		}
		ended, unnoted := 0, 0
		for range seconds {
			time.Sleep(time.Second)
			unnoted = max(unnoted, s.world.Unnoted())
		}
		for _, id := range s.ids {
			if s.world.State(id) == model.Completed {
				ended++
			}
		}
		t.Logf("%d of %d ended, at most %d ends were not acknowledged", ended, slots*seconds, unnoted)
		is.True(ended >= slots*seconds*7/10)
		// A second's ends and what is on its way.
		is.True(unnoted < 2*slots)
		is.Equal(s.world.Violations(), []string(nil))
	})
}
