package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// claimTime is how long room is kept for an urgent unit before it looks for
	// other room: a stop takes less.
	claimTime = 1200 * time.Millisecond
	// reservations is the number of blocked gangs for which room is kept.
	reservations = 2
	// scatterAge is the age from which a job within its guarantee starts on any
	// racks: it must begin within the platform's reclaim_ms of 2.7 s and more,
	// less a stop and a round of calls. Once it has begun, it waits for one rack:
	// on several it takes remote_factor times as long.
	scatterAge = 1300 * time.Millisecond
	// minRuntime is the least time that a running unit is expected to go on.
	minRuntime = 0.2
	// lateFactor times the objective is when a completion earns nothing more.
	lateFactor = 3
)

// plan places what waits.
func (t *term) plan(now time.Time) {
	if t.settling() {
		return
	}
	t.refreshQueues()
	v := t.view(now)
	t.explainLong(v, now)
	if len(v.waiting) == 0 {
		return
	}
	d := t.p.Decide(v.in)
	var stopped, placed []*unit
	for _, r := range d.Stops {
		stopped = append(stopped, v.running[r])
		t.preempt(v.running[r])
	}
	for _, s := range d.Starts {
		placed = append(placed, v.waiting[s.Unit])
		t.place(v, s, now)
	}
	t.logUnits("pre-empted", stopped, now)
	t.logUnits("placed", placed, now)
	for _, c := range d.Nominations {
		t.claim(v, c, now)
	}
}

const (
	// settleTime and settleEach, for each worker, bound the pause at the start of a
	// term in which workers are heard of; placing on the first few would pre-empt for
	// nothing.
	settleTime = 500 * time.Millisecond
	settleEach = 400 * time.Microsecond
	// settledShare is the share of the workers that ends that pause.
	settledShare = 0.9
)

// settling reports whether the term has not heard of most workers yet.
func (t *term) settling() bool {
	bound := settleTime + time.Duration(len(t.listed))*settleEach
	return boottime.Since(t.began) <= bound && t.heardShare() < settledShare
}

// refreshQueues takes the queues of the newest configuration.
func (t *term) refreshQueues() {
	c := t.p.Config.Current()
	if c == nil || c.Version == t.configVersion {
		return
	}
	t.configVersion = c.Version
	for _, j := range t.live {
		t.refreshQueue(j, c)
	}
}

// refreshQueue takes the queue of a job as it is in a configuration; a queue that
// is gone serves on as it was.
func (t *term) refreshQueue(j *job, c *model.Config) {
	if q := c.Queue(j.spec.Queue.Name); q != nil {
		j.queue = *q
	}
}

// preempt stops a unit to make room.
func (t *term) preempt(u *unit) {
	t.p.Meter.Inc("preempted")
	t.broken(u)
}

// place notes where a unit starts; the starts are sent once that is kept.
func (t *term) place(v *view, s placement.Assignment, now time.Time) {
	u := v.waiting[s.Unit]
	u.run++
	u.claim, u.placed = nil, now
	u.job.begun = true
	for i, k := range s.Workers {
		w := v.workers[k]
		index := u.key.index
		if index < 0 {
			index = i
		}
		m := &member{unit: u, index: index, run: u.run, token: w.token, worker: w.id, born: w.born}
		u.members = append(u.members, m)
		w.add(m)
	}
	t.touch(u.job)
	if t.p.off.placementFirst {
		for _, m := range u.members {
			t.start(m)
		}
	}
	t.p.Meter.Inc("placed")
	t.p.Meter.Time("queue_wait_time", now.Sub(u.readyAt))
}

// claim keeps the room that is being cleared for a unit.
func (t *term) claim(v *view, s placement.Assignment, now time.Time) {
	u := v.waiting[s.Unit]
	ids := make([]string, len(s.Workers))
	for i, k := range s.Workers {
		ids[i] = v.workers[k].id
	}
	if !slices.Equal(ids, u.claim) || now.Sub(u.claimed) >= claimTime {
		u.claim, u.claimed = ids, now
	}
}
