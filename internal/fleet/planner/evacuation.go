package planner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// Nothing may start in a data centre later than Bounds.EvacuationTime after the store has
// acknowledged its evacuation. A start that was sent before the evacuation was known may
// arrive late, so its deadline on the worker's clock is derived from the time up to which
// it is certain that there was no evacuation.

const (
	// evacuationInterval is the interval between two readings of the evacuations. The
	// platform charges reads, and two per second are acceptable.
	evacuationInterval = 700 * time.Millisecond
	// maxEvacuationReadings bounds the concurrent readings. A store that responds only after
	// seconds still confirms the evacuations once per interval.
	maxEvacuationReadings = 6
	// evacuationShare is the share of Bounds.EvacuationTime after a confirmation in which a
	// start may take effect. The rest covers the error of the workers' clocks.
	evacuationShare = 0.7
	// minConfirmationLife is the least such time. With a shorter one, readings at intervals
	// would leave no time in which units can be placed.
	minConfirmationLife = evacuationInterval + 2*orderTimeout
	// maxLoggedEvacuations bounds the log lines about unusable keys in one reading.
	maxLoggedEvacuations = 8
)

// evacuations is what a term knows of the evacuations. The term's lock guards it.
type evacuations struct {
	// inForce has the evacuations by data centre.
	inForce map[string]*evacuation
	// confirmedAt is when the last reading was sent that shows them, or a later reading
	// than that; 0 before the first.
	confirmedAt boottime.Time
	// revision is the store revision of the newest reading.
	revision int64
	// unusable has the revisions of the keys that were logged as unusable.
	unusable map[string]int64
	// readings are the readings that are in progress.
	readings []*listReading
	// waiting reports whether the last scheduling pass placed nothing for lack of a
	// confirmation.
	waiting bool
}

// evacuation is an evacuation in force.
type evacuation struct {
	revision int64
	// unknown reports whether it was logged that no worker is in the data centre.
	unknown bool
}

// followsEvacuations reports whether the platform evacuates data centres.
func (p *Planner) followsEvacuations() bool {
	return p.Bounds.EvacuationTime > 0 && p.DecodeEvacuation != nil
}

// confirmationLife is how long after a confirmation a start may take effect.
func (p *Planner) confirmationLife() time.Duration {
	return max(time.Duration(evacuationShare*float64(p.Bounds.EvacuationTime)), minConfirmationLife)
}

// followEvacuations reads the evacuations at intervals until the term ends. It does not
// watch them, since a watch may be silent, so that readings are needed besides it.
func (t *term) followEvacuations() {
	if !t.p.followsEvacuations() {
		return
	}
	defer t.p.Meter.Set("evacuations_in_force", 0)
	for {
		t.locked(t.readEvacuations)
		if !pause.For(t.ctx, evacuationInterval) {
			return
		}
	}
}

// readEvacuations begins a reading beside those in progress, which may wait for a store that
// has lost them.
func (t *term) readEvacuations() {
	if !t.p.followsEvacuations() || len(t.evacuations.readings) >= maxEvacuationReadings {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.p.confirmationLife())
	r := &listReading{boottime.Now(), cancel}
	t.evacuations.readings = append(t.evacuations.readings, r)
	t.goTask("read evacuations", func() {
		defer cancel()
		items, revision, err := t.p.Store.Range(ctx, t.p.EvacuationPrefix)
		t.locked(func() {
			t.evacuations.readings = slices.DeleteFunc(t.evacuations.readings, func(x *listReading) bool { return x == r })
			if err == nil {
				t.applyEvacuations(items, revision, r.sentAt)
			}
		})
		if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
			t.p.Meter.Inc("evacuation_read_retry")
		}
	})
}

// applyEvacuations applies a reading of the evacuations and ends the readings that were sent
// earlier. A reading of an older revision than the last confirms the last one: the state of
// the newer revision was read later than either was sent.
func (t *term) applyEvacuations(items []store.Item, revision int64, sentAt boottime.Time) {
	e := &t.evacuations
	age := boottime.Since(max(e.confirmedAt, t.startedAt))
	e.confirmedAt = max(e.confirmedAt, sentAt)
	for _, r := range e.readings {
		if r.sentAt <= sentAt {
			r.cancel()
		}
	}
	if revision >= e.revision {
		e.revision = revision
		t.setEvacuations(t.decodeEvacuations(items), age)
	}
	t.logUnknownCentres()
	if e.waiting {
		t.notify()
	}
}

// decodeEvacuations decodes the keys of the evacuations. An unusable key is counted and
// logged once for each of its revisions.
func (t *term) decodeEvacuations(items []store.Item) []model.Evacuation {
	e := &t.evacuations
	var all []model.Evacuation
	unusable := make(map[string]int64)
	logged := 0
	for _, it := range items {
		x, err := t.p.DecodeEvacuation(it)
		if err != nil {
			unusable[it.Key] = it.Revision
			if e.unusable[it.Key] != it.Revision {
				t.p.Meter.Inc("evacuation_key_unusable")
				logged++
			}
			if e.unusable[it.Key] != it.Revision && logged <= maxLoggedEvacuations {
				t.p.Log.Warn("evacuation key is not as expected", "key", it.Key, "revision", it.Revision, "data_centre", x.DataCentre, "error", err)
			}
		}
		if x.DataCentre != "" {
			all = append(all, x)
		}
	}
	e.unusable = unusable
	return all
}

// setEvacuations puts evacuations in force and ends the others. age is that of the last
// confirmation before.
func (t *term) setEvacuations(all []model.Evacuation, age time.Duration) {
	e := &t.evacuations
	before := e.inForce
	e.inForce = make(map[string]*evacuation, len(all))
	changed := false
	for _, x := range all {
		if old := before[x.DataCentre]; old != nil && old.revision == x.Revision {
			e.inForce[x.DataCentre] = old
			continue
		}
		changed = true
		e.inForce[x.DataCentre] = &evacuation{revision: x.Revision}
		workers, runs := t.countIn(x.DataCentre)
		t.p.Log.Warn("data centre evacuated", "data_centre", x.DataCentre, "revision", x.Revision, "workers", workers, "runs", runs,
			"confirmation_age_ms", age.Milliseconds())
	}
	for dc, old := range before {
		if e.inForce[dc] == nil {
			changed = true
			workers, runs := t.countIn(dc)
			t.p.Log.Info("evacuation ended", "data_centre", dc, "revision", old.revision, "workers", workers, "runs", runs,
				"confirmation_age_ms", age.Milliseconds())
		}
	}
	t.p.Meter.Set("evacuations_in_force", int64(len(e.inForce)))
	if changed {
		t.notify()
	}
}

// countIn returns the numbers of listed workers in a data centre and of the tasks that are
// placed there.
func (t *term) countIn(dataCentre string) (workers, runs int) {
	for _, w := range t.listed {
		if w.info.DataCentre == dataCentre {
			workers++
			runs += len(w.members)
		}
	}
	return workers, runs
}

// logUnknownCentres logs evacuations of data centres without workers, once each.
func (t *term) logUnknownCentres() {
	if t.listedAt == 0 {
		return
	}
	logged := 0
	for dc, x := range t.evacuations.inForce {
		if workers, _ := t.countIn(dc); workers > 0 || x.unknown {
			continue
		}
		x.unknown = true
		logged++
		t.p.Meter.Inc("evacuation_key_unusable")
		if logged <= maxLoggedEvacuations {
			t.p.Log.Warn("no worker is in the evacuated data centre", "data_centre", dc, "revision", x.revision)
		}
	}
}

// isEvacuated reports whether the data centre of a worker is evacuated.
func (t *term) isEvacuated(w *worker) bool {
	return w.info.DataCentre != "" && t.evacuations.inForce[w.info.DataCentre] != nil
}

// confirmsStarts reports whether the last confirmation is recent enough for a start that
// takes effect within a time from now.
func (t *term) confirmsStarts(within time.Duration) bool {
	if !t.p.followsEvacuations() {
		return true
	}
	at := t.evacuations.confirmedAt
	return at != 0 && boottime.Since(at)+within <= t.p.confirmationLife()
}

// awaitsConfirmation reports whether nothing may be placed for lack of a confirmation, and
// charges the waiting units' time to the store from then on.
func (t *term) awaitsConfirmation(now time.Time) bool {
	waits := !t.confirmsStarts(orderTimeout)
	if waits && !t.evacuations.waiting {
		t.chargeStore(now)
		if t.evacuations.confirmedAt != 0 {
			t.p.Meter.Inc("evacuation_confirmation_late")
			t.p.Log.Warn("nothing is placed until the evacuations are read", "confirmation_age_ms", boottime.Since(t.evacuations.confirmedAt).Milliseconds())
		}
	}
	t.evacuations.waiting = waits
	return waits
}

// postponesStart reports whether a start waits for a confirmation. It is made once there is
// one.
func (t *term) postponesStart(m *member) bool {
	if t.p.disabled.evacuationCheck || t.confirmsStarts(orderTimeout) {
		return false
	}
	t.goTask("await evacuations", func() {
		for again := true; again && pause.For(t.ctx, orderRetryPause); {
			t.locked(func() {
				again = !m.removed && !m.startSent && !m.stopping && !t.confirmsStarts(orderTimeout)
				if !again && !m.removed && !m.startSent {
					t.start(m)
				}
			})
		}
	})
	return true
}

// forbidsStart reports whether a member must not start since its worker's data centre is
// evacuated.
func (t *term) forbidsStart(m *member) bool {
	w := t.workers[m.worker]
	return w != nil && t.isEvacuated(w) && !t.p.disabled.evacuationCheck
}

// maySendStart reports whether the start of a member may be sent now.
func (t *term) maySendStart(m *member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.p.disabled.evacuationCheck || !t.forbidsStart(m) && t.confirmsStarts(0)
}

// confirmedDeadline limits the deadline of a start on a worker's clock: the worker rejects
// it later than confirmationLife after the last confirmation.
func (t *term) confirmedDeadline(w *worker, deadline time.Duration) time.Duration {
	if !t.p.followsEvacuations() || t.p.disabled.evacuationCheck {
		return deadline
	}
	return min(deadline, w.clockAt(t.evacuations.confirmedAt.Add(t.p.confirmationLife())))
}

// abortIfEvacuated aborts a unit none of whose starts was sent if one of its tasks was placed
// in a data centre that has been evacuated since.
func (t *term) abortIfEvacuated(u *unit) {
	forbidden := false
	for _, m := range u.members {
		if m.startSent {
			return
		}
		forbidden = forbidden || t.forbidsStart(m)
	}
	if forbidden && !u.aborting {
		t.abortRun(u, cause.Evacuated)
	}
}

// abandonCause returns the cause and the reason of a start that is abandoned, and counts it
// if it is an evacuation.
func (t *term) abandonCause(m *member, reason string) (c cause.Cause, why string) {
	if !t.forbidsStart(m) {
		return cause.StartFailed, reason
	}
	t.p.Meter.Inc("start_evacuated")
	return cause.Evacuated, "its data centre is evacuated"
}
