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

func TestRenewalUsesDigestOnlyForSameParts(t *testing.T) {
	is := is.New(t)
	a, b := worker.Part{JobID: "a"}, worker.Part{JobID: "b"}
	both := []worker.Part{b, a}
	m := &member{}
	req := m.renewRequest(both)
	is.Equal(req.Parts, both)
	m.recordReport(req, both, status("d1", a, b))

	req = m.renewRequest(both)
	is.Equal(req.KnownDigest, "d1")
	is.Equal(len(req.Parts), 0)
	got := m.recordReport(req, both, worker.Status{Digest: "d1", Unchanged: true})
	is.Equal(len(got.Parts), 2) // The parts of the report that the digest identifies.

	one := []worker.Part{a}
	req = m.renewRequest(one)
	is.Equal(req.Parts, one) // The lease of b was released: the worker must not renew it.

	req = m.renewRequest(both)
	m.recordReport(req, both, status("d2", a))
	req = m.renewRequest(both)
	is.Equal(req.Parts, both) // The last report listed other parts.
	m.recordReport(req, both, status("d3", a, b, worker.Part{JobID: "left over"}))
	is.Equal(m.renewRequest(both).Parts, both) // The lease of the left-over part must expire.

	m.recordReport(worker.RenewRequest{Parts: both}, both, status("d4", a, b))
	m.forgetParts = []worker.Part{{JobID: "ended"}}
	is.Equal(m.renewRequest(both).Parts, both)
}

// A worker without parts is also renewed by digest, with one call per interval.
func TestUnchangedReportWithoutPartsKeepsDigest(t *testing.T) {
	is := is.New(t)
	m := &member{}
	req := m.renewRequest(nil)
	m.recordReport(req, nil, status("d1"))
	req = m.renewRequest(nil)
	is.Equal(req.KnownDigest, "d1")
	m.due = time.Unix(1, 0)
	m.recordReport(req, nil, worker.Status{Digest: "d1", Unchanged: true})
	is.Equal(m.due, time.Unix(1, 0)) // Not called again at once.
	is.Equal(m.renewRequest(nil).KnownDigest, "d1")
}
