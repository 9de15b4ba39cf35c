package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

func status(digest string, parts ...worker.Part) worker.Status {
	s := worker.Status{Digest: digest}
	for _, p := range parts {
		s.Parts = append(s.Parts, worker.PartStatus{Part: p, State: worker.Running})
	}
	return s
}

func TestRenewalNamesPartsUnlessTheReportHeldJustThem(t *testing.T) {
	is := is.New(t)
	a, b := worker.Part{JobID: "a"}, worker.Part{JobID: "b"}
	both := []worker.Part{b, a}
	m := &member{}
	in := m.renewRequest(both)
	is.Equal(in.Parts, both)
	m.recordReport(in, both, status("d1", a, b))

	in = m.renewRequest(both)
	is.Equal(in.Known, "d1")
	is.Equal(len(in.Parts), 0)
	got := m.recordReport(in, both, worker.Status{Digest: "d1", Unchanged: true})
	is.Equal(len(got.Parts), 2) // The report that the digest stands for.

	one := []worker.Part{a}
	in = m.renewRequest(one)
	is.Equal(in.Parts, one) // b was released: the worker must not renew it.

	in = m.renewRequest(both)
	m.recordReport(in, both, status("d2", a))
	in = m.renewRequest(both)
	is.Equal(in.Parts, both) // The last report had changed.
	m.recordReport(in, both, status("d3", a, b, worker.Part{JobID: "left over"}))
	is.Equal(m.renewRequest(both).Parts, both) // What is left over must lapse.

	m.recordReport(worker.RenewRequest{Parts: both}, both, status("d4", a, b))
	m.forgetParts = []worker.Part{{JobID: "ended"}}
	is.Equal(m.renewRequest(both).Parts, both)
}

// A worker without parts is renewed by one call too.
func TestUnchangedReportWithoutPartsIsKept(t *testing.T) {
	is := is.New(t)
	m := &member{}
	in := m.renewRequest(nil)
	m.recordReport(in, nil, status("d1"))
	in = m.renewRequest(nil)
	is.Equal(in.Known, "d1")
	m.due = time.Unix(1, 0)
	m.recordReport(in, nil, worker.Status{Digest: "d1", Unchanged: true})
	is.Equal(m.due, time.Unix(1, 0)) // Not called again at once.
	is.Equal(m.renewRequest(nil).Known, "d1")
}
