package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
)

// The run record has the time by cause of the units that are not done, so that it survives a
// change of the planner. Each time is that from the job's acceptance until the record was
// written, so the next term needs no clock of this VM: what is missing until it began is the
// gap, which it charges to cause.EarlierTerm.

// maxHistories bounds the distinct times by cause in a record. Units that wait share one, and
// units beyond the bound are restored with that of the job.
const maxHistories = 32

// histories collects the distinct times by cause of a record.
type histories struct {
	now  time.Time
	list [][]int64
	// until caches the time by cause until the accounts of a step's units began, which takes
	// time in proportion to the units of the job.
	until map[begunStep]cause.Spent
}

// begunStep identifies the units of a step whose accounts began at the same time.
type begunStep struct {
	stepKey
	begun time.Time
}

// newHistories returns the times by cause of a job, beginning with its own; nil if it has
// ended.
func newHistories(j *job, now time.Time) *histories {
	if j.ended() {
		return nil
	}
	own := j.chainSpent(j.representative(), now)
	return &histories{now: now, list: [][]int64{own.Encode()}, until: make(map[begunStep]cause.Spent)}
}

// representative returns the unit whose time by cause is that of the job: one that has begun to
// wait for its first run and has no record of its own, or else the one that was done last; nil
// for none.
func (j *job) representative() *unit {
	var last *unit
	for _, u := range j.unitList {
		switch {
		case u.ledger.Begun().IsZero():
		case !u.done && u.run == 0:
			return u
		case u.done && (last == nil || u.doneAt.After(last.doneAt)):
			last = u
		}
	}
	return last
}

// add adds the time by cause of a unit and returns its index; 0 for that of the job.
func (h *histories) add(u *unit) int {
	if h == nil || u.done || u.ledger.Begun().IsZero() {
		return 0
	}
	spent, parts := h.spentUntilBegun(u), u.ledger.SpentAt(h.now)
	spent.Add(&parts)
	pairs := spent.Encode()
	for i, p := range h.list {
		if slices.Equal(p, pairs) {
			return i
		}
	}
	if len(h.list) >= maxHistories {
		return 0
	}
	h.list = append(h.list, pairs)
	return len(h.list) - 1
}

func (h *histories) spentUntilBegun(u *unit) cause.Spent {
	if u.spentBefore != nil {
		return u.spentUntilBegun()
	}
	k := begunStep{u.stepKey(), u.ledger.Begun()}
	spent, ok := h.until[k]
	if !ok {
		spent = u.spentUntilBegun()
		h.until[k] = spent
	}
	return spent
}

// encoded returns the list for the record.
func (h *histories) encoded() [][]int64 {
	if h == nil {
		return nil
	}
	return h.list
}

// restoreHistory sets the time by cause until this term began, and the measured work, from a
// record. What the record does not cover is charged to cause.EarlierTerm.
func (j *job) restoreHistory(r *RunRecord) {
	j.restoreWork(r)
	if len(r.Spent) == 0 {
		return
	}
	taken := j.takenAt.Sub(j.accepted)
	restored := make([]cause.Spent, len(r.Spent))
	for i, pairs := range r.Spent {
		restored[i] = cause.Decode(pairs)
		restored[i].Fill(cause.EarlierTerm, taken)
	}
	j.before = restored[0]
	for i := range r.Units {
		x := &r.Units[i]
		u := j.units[unitKey{x.Occurrence, x.Step, x.Index}]
		if u != nil && !u.done && x.Spent > 0 && x.Spent < len(restored) {
			u.spentBefore = &restored[x.Spent]
		}
	}
}
