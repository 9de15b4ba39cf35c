package planner

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// nominationTime is how long workers stay nominated for an urgent unit before others
	// are considered. A stop completes within this time.
	nominationTime = 1200 * time.Millisecond
	// maxReservations is the number of blocked gangs that get a reservation.
	maxReservations = 2
	// anyRackAge is the age from which the first run of a job within its guarantee may be
	// spread over several racks. The job must start within the platform's reclaim_ms,
	// which is 2.7 s or more, less the time for a stop and a round of calls. Later runs
	// wait for a single rack, since a run on several racks takes remote_factor times as
	// long.
	anyRackAge = 1300 * time.Millisecond
	// minRemaining is the smallest expected remaining time of a running unit, in seconds.
	minRemaining = 0.2
	// worthlessFactor times the objective is the age from which a completion has no
	// value.
	worthlessFactor = 3
)

// plan places waiting units.
func (t *term) plan(now time.Time) {
	if t.warmingUp() || t.awaitsConfirmation(now) {
		return
	}
	t.recordLeaseWaits(now)
	t.refreshQueues()
	t.refreshSpeeds(now)
	v := t.view(now)
	t.logLongWaiting(v, now)
	if len(v.waiting) == 0 {
		return
	}
	t.keepUrgentRoom(v, now)
	t.requestCauses(v, now)
	decision := t.p.Decide(v.in)
	t.applyCauses(v, decision.Reasons, now)
	t.logOverdue(v, &decision, now)
	t.logStalled(v, &decision, now)
	t.logApart(v, &decision)
	var stopped, placed []*unit
	for _, r := range decision.Stops {
		stopped = append(stopped, v.running[r])
		t.preempt(v.running[r])
	}
	for _, a := range decision.Starts {
		if v.waiting[a.Unit].delaysStart() || !v.keepsIsolation(v.waiting[a.Unit], a.Workers) {
			continue
		}
		placed = append(placed, v.waiting[a.Unit])
		t.place(v, a, now)
	}
	t.logUnits("pre-empted", stopped, now)
	t.logUnits("placed", placed, now)
	for _, n := range decision.Nominations {
		t.nominate(v, n, now)
	}
}

const (
	// warmUpBase, and warmUpPerWorker for each listed worker, bound the wait for
	// responses of workers at the start of a term. Placing units on the first few workers
	// that respond would cause needless pre-emption.
	warmUpBase      = 500 * time.Millisecond
	warmUpPerWorker = 400 * time.Microsecond
	// warmUpShare is the share of workers that must have responded to end that wait
	// early.
	warmUpShare = 0.9
)

// warmingUp reports whether the term still waits for the responses of most workers.
func (t *term) warmingUp() bool {
	bound := warmUpBase + time.Duration(len(t.listed))*warmUpPerWorker
	return boottime.Since(t.startedAt) <= bound && t.respondedShare() < warmUpShare && !t.p.Disabled[policy.WarmUp]
}

// refreshQueues updates the queues of the live jobs from the current configuration.
func (t *term) refreshQueues() {
	cfg := t.p.Config.Current()
	if cfg == nil || cfg.Version == t.configVersion {
		return
	}
	t.configVersion = cfg.Version
	for _, j := range t.live {
		t.refreshQueue(j, cfg)
	}
}

// refreshQueue updates a job's queue from a configuration, unless the queue is from a newer one.
// If the configuration no longer has the queue, the job retains the last known one.
func (t *term) refreshQueue(j *job, cfg *model.Config) {
	q := cfg.Queue(j.spec.Queue.Name)
	if q == nil || cfg.Version <= j.queueVersion {
		return
	}
	if q.Service != j.queue.Service {
		t.p.Meter.Inc("job_service_changed")
		t.p.Log.Info("job sent to another service", "job", j.id, "queue", q.Name, "service", q.Service, "version", cfg.Version, "before", j.queue.Service, "before_version", j.queueVersion)
	}
	j.queue, j.queueVersion = *q, cfg.Version
}

// preempt stops a unit to free its resources.
func (t *term) preempt(u *unit) {
	t.p.Meter.Inc("preempted")
	u.stops++
	t.abortRun(u, cause.Preempted)
}

// place records the placement of a unit. The starts are sent once the placement is
// persisted.
func (t *term) place(v *view, a placement.Assignment, now time.Time) {
	u := v.waiting[a.Unit]
	u.run++
	u.nominated, u.placedAt = nil, now
	u.isolated, u.isolateUntil, u.shareAfter = v.isolated[u], time.Time{}, time.Time{}
	u.ledger.BeginRun(now)
	u.beginMeasuring()
	for i, k := range a.Workers {
		w := v.workers[k]
		index := u.key.index
		if index < 0 {
			index = i
		}
		m := &member{unit: u, index: index, run: u.run, token: w.token, worker: w.id, incarnation: w.incarnation, address: w.info.Address}
		u.members = append(u.members, m)
		w.add(m)
	}
	t.markUnwritten(u.job)
	if t.p.disabled.persistPlacementFirst {
		for _, m := range u.members {
			t.start(m)
		}
	}
	t.p.Meter.Inc("placed")
	t.p.Meter.Time("queue_wait_time", now.Sub(u.readyAt))
}

// nominate records the workers on which resources are being cleared for a unit.
func (t *term) nominate(v *view, a placement.Assignment, now time.Time) {
	u := v.waiting[a.Unit]
	ids := make([]string, len(a.Workers))
	for i, k := range a.Workers {
		ids[i] = v.workers[k].id
	}
	if !slices.Equal(ids, u.nominated) || now.Sub(u.nominatedAt) >= nominationTime {
		u.nominated, u.nominatedAt = ids, now
	}
}
