package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const mb = int64(1 << 20)

// summary returns one of a planner whose jobs may take 100 MB, of which accounts take some.
func summary(accounts map[string]int64) model.PlannerSummary {
	s := model.PlannerSummary{MaxJobMemory: 100 * mb, AccountMemory: accounts}
	for _, n := range accounts {
		s.JobMemory += n
	}
	return s
}

// TestAccountLeavesMemoryForOthers guards against one account whose jobs fill the planner's
// memory, and against a large job that is refused in calm.
func TestAccountLeavesMemoryForOthers(t *testing.T) {
	for _, c := range []struct {
		name     string
		accounts map[string]int64
		account  string
		need     int64
		ok       bool
	}{
		{"large job in calm", nil, "a", 90 * mb, true},
		{"larger than the memory", nil, "a", 101 * mb, false},
		{"half", map[string]int64{"a": 40 * mb}, "a", 5 * mb, true},
		{"more than is left to others", map[string]int64{"a": 48 * mb}, "a", 5 * mb, false},
		{"another account beside it", map[string]int64{"a": 50 * mb}, "b", 40 * mb, true},
		{"a third", map[string]int64{"a": 50 * mb, "b": 25 * mb}, "c", 10 * mb, true},
		{"full", map[string]int64{"a": 50 * mb, "b": 50 * mb}, "c", 1, false},
	} {
		var l memoryLimit
		if ok := l.take(summary(c.accounts), time.Now(), c.account, c.need, 1, 1) != nil; ok != c.ok {
			t.Errorf("%s: accepted %v", c.name, ok)
		}
	}
}

// TestReservationsLastUntilReported guards against jobs that are in no summary yet, and of
// which more are accepted than fit, and against reservations that are never released.
func TestReservationsLastUntilReported(t *testing.T) {
	is := is.New(t)
	var l memoryLimit
	now := time.Now()
	at := now.Add
	take := func(summaryAt time.Time, need int64) *reservation {
		return l.take(summary(nil), summaryAt, "a", need, 1, 1)
	}
	first := take(now, 60*mb)
	is.True(first != nil)
	is.True(take(at(time.Minute), 60*mb) == nil) // still being accepted
	l.end(first, true)
	is.True(take(at(reportTime/2), 60*mb) == nil) // the planner may not have read it
	second := take(at(2*reportTime), 60*mb)
	is.True(second != nil)
	l.end(second, false)
	is.Equal(l.reserved, int64(0))
	is.Equal(len(l.reservations), 0)
}

// TestVMsShareFreeMemory guards against VMs that each accept all that is free before the
// planner has reported the jobs of the others.
func TestVMsShareFreeMemory(t *testing.T) {
	is := is.New(t)
	var l memoryLimit
	accepted := 0
	for range 100 {
		if l.take(summary(nil), time.Now(), "a", mb, 4, unreportedShare) != nil {
			accepted++
		}
	}
	is.Equal(accepted, 12) // half of 100 MB among 4
}
