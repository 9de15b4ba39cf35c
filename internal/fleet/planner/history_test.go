package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// TestTimeByCauseOutlastsThePlanner guards against a job whose whole time before a change of
// the planner is charged to one cause: the first job runs, the second waits for a worker and is
// pre-empted, and of the third's tasks some run and some wait when the planner is lost.
func TestTimeByCauseOutlastsThePlanner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, 1, 2)
		defer fleet.close()
		fleet.startVM("a")
		time.Sleep(time.Second)
		const longRun = 4 * time.Second
		fleet.submit(jobID(1), "solve", longRun, step(2, 8, true))
		time.Sleep(100 * time.Millisecond)
		fleet.submit(jobID(2), "solve", 2*longRun, step(2, 8, true))
		time.Sleep(longRun + time.Second)
		fleet.submit(jobID(3), "urgent", longRun, step(1, 8, false))
		time.Sleep(time.Second)
		fleet.submit(jobID(4), "render", longRun, step(4, 4, false))
		time.Sleep(2 * time.Second)
		killedAt := time.Now()
		fleet.kill("a")
		fleet.startVM("b")
		is.Equal(len(fleet.waitForEnd(time.Minute)), 0)
		time.Sleep(100 * time.Millisecond)
		is.Equal(fleet.allViolations(), []string(nil)) // also: the parts add up to the age
		parts := fleet.accounts.parts(jobID(2))
		t.Logf("killed at %v; job 2: %v; job 4: %v", killedAt, parts, fleet.accounts.parts(jobID(4)))
		is.True(parts["no_capacity_ms"] >= (longRun - time.Second).Milliseconds()) // waited for job 1
		is.True(parts["preempted_ms"] >= 500)                                      // by job 3, before the change
		// The gap lasts from the last write of the job's record, when it was pre-empted and
		// its runs had stopped, until the next term.
		is.True(parts["earlier_term_ms"] > 0)
		is.True(parts["earlier_term_ms"] <= 5500)
	})
}

// TestRecordsOfOlderVersionsDecode guards against a record without the time by cause that is
// refused, and against one whose times are malformed.
func TestRecordsOfOlderVersionsDecode(t *testing.T) {
	for _, record := range []string{
		`{"begun":true,"units":[{"index":0,"run":2,"failures":1,"failed_run":1}]}`,
		`{"begun":true,"units":[{"index":0,"run":2,"spent":7}],"spent":[[7,-5,9],[999,4]],"work":[1,2,3]}`,
	} {
		r, err := planner.DecodeRunRecord([]byte(record))
		if err != nil || len(r.Units) != 1 || r.Units[0].Run != 2 {
			t.Fatalf("%s: got %v, %v", record, r, err)
		}
		bubble(t, func(t *testing.T) {
			fleet := newTestFleet(t, 1, 1)
			defer fleet.close()
			fleet.submit(jobID(1), "solve", time.Second, step(1, 8, false))
			fleet.world.Store.Put(store.RunKey(jobID(1)), []byte(record))
			fleet.startVM("a")
			if unfinished := fleet.waitForEnd(20 * time.Second); len(unfinished) > 0 || fleet.world.State(jobID(1)) != model.Completed {
				t.Fatalf("%s: jobs not ended: %v", record, unfinished)
			}
			time.Sleep(100 * time.Millisecond)
			if wrong := strings.Join(fleet.allViolations(), "; "); wrong != "" {
				t.Fatal(wrong)
			}
		})
	}
}
