package soak

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeHistory is a workerHistory with fixed values.
type fakeHistory struct {
	begun    int
	last     time.Time
	finished bool
	failures int
}

func (h *fakeHistory) Begun(string) (int, time.Time) { return h.begun, h.last }
func (h *fakeHistory) Finished(string) bool          { return h.finished }
func (h *fakeHistory) FailedRuns(string) int         { return h.failures }

// TestCheckerReportsViolations gives each check a case that it must report and one
// that it must accept.
func TestCheckerReportsViolations(t *testing.T) {
	at := time.Now()
	later := at.Add(visibleTime + time.Second)
	errReset := errors.New("connection reset")
	accept := func(c *checker) { c.recordSubmit("a", "/u/a", http.StatusOK, at) }
	for _, x := range []struct {
		name    string
		history fakeHistory
		do      func(c *checker)
		want    string
	}{
		{"refused and ran", fakeHistory{begun: 1}, func(c *checker) { c.recordSubmit("a", "/u/a", 503, at) }, "REFUSED"},
		{"refused and did not run", fakeHistory{}, func(c *checker) { c.recordSubmit("a", "/u/a", 503, at) }, ""},
		{"unknown outcome and ran", fakeHistory{begun: 1}, func(c *checker) {
			c.recordSubmit("a", "/u/a", 502, at)
			c.recordSubmit("a", "/u/a", 503, at)
		}, ""},
		{"refused with an unexpected status", fakeHistory{}, func(c *checker) { c.recordSubmit("a", "/u/a", 404, at) }, "REFUSED"},
		{"accepted and unknown", fakeHistory{}, func(c *checker) {
			accept(c)
			c.recordState("a", 410, "", later)
		}, "LOST"},
		{"unknown before it was accepted", fakeHistory{}, func(c *checker) { c.recordState("a", 410, "", later) }, ""},
		{"completed early", fakeHistory{}, func(c *checker) {
			accept(c)
			c.recordState("a", 200, "completed", later)
		}, "MIXED"},
		{"completed", fakeHistory{finished: true}, func(c *checker) {
			accept(c)
			c.recordState("a", 200, "completed", later)
		}, ""},
		{"running again", fakeHistory{finished: true}, func(c *checker) {
			accept(c)
			c.recordState("a", 200, "completed", later)
			c.recordState("a", 200, "running", later)
		}, "LOST"},
		{"cancelled without a call", fakeHistory{}, func(c *checker) {
			accept(c)
			c.recordState("a", 200, "cancelled", later)
		}, "LOST"},
		{"cancelled by its caller", fakeHistory{}, func(c *checker) {
			accept(c)
			c.recordCancelSent("a")
			c.recordState("a", 200, "cancelled", later)
		}, ""},
		{"failed too soon", fakeHistory{failures: minAttempts - 1}, func(c *checker) {
			accept(c)
			c.recordState("a", 200, "failed", later)
		}, "LOST"},
		{"configuration goes back", fakeHistory{}, func(c *checker) {
			c.recordProbe("v#1", 5, 410, at, at)
			c.recordProbe("v#1", 5, 401, at.Add(rollbackTime+time.Millisecond), later)
		}, "CONFIG"},
		{"configuration of another incarnation", fakeHistory{}, func(c *checker) {
			c.recordProbe("v#1", 5, 410, at, at)
			c.recordProbe("v#2", 5, 401, later, later)
		}, ""},
		{"configuration late", fakeHistory{}, func(c *checker) {
			c.setFaultFree(true)
			c.recordConfigAck(5, c.faultFreeSince)
			c.recordProbe("v#1", 5, 401, c.faultFreeSince.Add(applyTime+time.Millisecond), later)
		}, "CONFIG"},
		{"configuration late during faults", fakeHistory{}, func(c *checker) {
			c.recordConfigAck(5, at)
			c.recordProbe("v#1", 5, 401, at.Add(applyTime+time.Millisecond), later)
		}, ""},
		{"cut by a planned stop", fakeHistory{}, func(c *checker) { c.recordBrokenCall("v", at, at.Add(time.Second), at.Add(2*time.Second), errReset) }, "LOST"},
		{"cut by a kill", fakeHistory{}, func(c *checker) { c.recordBrokenCall("v", time.Time{}, at, later, errReset) }, ""},
		{"call timeout during a planned stop", fakeHistory{}, func(c *checker) { c.recordBrokenCall("v", at, at.Add(-time.Second), at.Add(2*time.Second), errReset) }, ""},
		{"unexpected exits up to the limit", fakeHistory{}, func(c *checker) {
			for range unexpectedExitLimit {
				c.recordUnexpectedExit("v")
			}
		}, "FAULT"},
		{"one unexpected exit", fakeHistory{}, func(c *checker) { c.recordUnexpectedExit("v") }, ""},
		{"no answer in time", fakeHistory{}, func(c *checker) { c.recordUnanswered("a", []string{"v", "w"}, true) }, "LOST"},
		{"no answer of a stopped VM", fakeHistory{}, func(c *checker) { c.recordUnanswered("a", []string{"v"}, false) }, ""},
		{"not reclaimed", fakeHistory{begun: 1, last: at}, func(c *checker) { c.checkReclaimed("a", 2, at) }, "RECLAIM"},
		{"reclaimed late", fakeHistory{begun: 2, last: later}, func(c *checker) { c.checkReclaimed("a", 2, at) }, "RECLAIM"},
		{"reclaimed", fakeHistory{begun: 2, last: at}, func(c *checker) { c.checkReclaimed("a", 2, at) }, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			c := newChecker(&x.history)
			x.do(c)
			found := strings.Join(c.violations(), "; ")
			is.Equal(found != "", x.want != "")
			is.True(strings.HasPrefix(found, x.want))
		})
	}
}
