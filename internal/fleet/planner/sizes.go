package planner

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// sizes are the largest capacities that the workers of each service have ever had. They
// outlast the term: a worker that has shrunk grows again, and one that is not listed
// returns.
type sizes struct {
	byService map[string][]model.Shape
	// revision is the store revision of their record; 0 if there is none.
	revision int64
	// unwritten reports whether the store lacks a size, and writing whether a write is in
	// flight.
	unwritten, writing bool
	// completeAt is when each worker that was up at the first reading of the registrations
	// must have registered; zero before that reading.
	completeAt boottime.Time
}

// add adds a capacity, and reports whether it exceeds those that were known.
func (s *sizes) add(service string, c model.Shape) bool {
	known := s.byService[service]
	if slices.ContainsFunc(known, c.Fits) {
		return false
	}
	if s.byService == nil {
		s.byService = make(map[string][]model.Shape)
	}
	known = slices.DeleteFunc(slices.Clone(known), func(x model.Shape) bool { return x.Fits(c) })
	s.byService[service] = append(known, c)
	return true
}

// restore adds the sizes of the record.
func (s *sizes) restore(it store.Item) error {
	s.revision = it.Revision
	var byService map[string][]model.Shape
	if err := json.Unmarshal(it.Value, &byService); err != nil {
		return fault.Wrap(fault.Internal, err, "decode %s", it.Key)
	}
	for service, all := range byService {
		for _, c := range all {
			if !c.InRange() {
				// Written by a version that did not check the entries of workers.
				s.unwritten = true
				continue
			}
			s.add(service, c)
		}
	}
	return nil
}

// classes returns the sizes as classes of workers, none before they are complete.
func (s *sizes) classes() []model.WorkerClass {
	var all []model.WorkerClass
	if s.completeAt == 0 || boottime.Now() < s.completeAt {
		return nil
	}
	for service, sizes := range s.byService {
		for _, c := range sizes {
			all = append(all, model.WorkerClass{Service: service, Capacity: c})
		}
	}
	return all
}

// restoreSizes applies the record of the sizes. A malformed one is replaced.
func (t *term) restoreSizes(it store.Item) {
	if err := t.sizes.restore(it); err != nil {
		t.p.Meter.Inc("record_decode_error")
		t.p.Log.Error("sizes of workers could not be decoded", "error", err)
		return
	}
	t.sizes.completeAt = t.startedAt
}

// completeSizes begins the time after which the sizes are complete.
func (t *term) completeSizes() {
	if t.sizes.completeAt == 0 {
		t.sizes.completeAt = boottime.Now().Add(t.p.Bounds.HeartbeatInterval)
	}
}

// addSize adds the capacity of a worker to the sizes.
func (t *term) addSize(info *model.Worker) {
	if t.sizes.add(info.Service, info.Capacity) {
		t.sizes.unwritten = true
		t.p.Log.Info("larger worker found", "worker", info.ID, "service", info.Service, "capacity", info.Capacity)
	}
}

// writeSizes starts to write the sizes that the store lacks. After a failure they are
// written when the workers have been listed again.
func (t *term) writeSizes() {
	s := &t.sizes
	if !s.unwritten || s.writing || !t.valid() {
		return
	}
	value, err := json.Marshal(s.byService)
	if err != nil {
		// Shapes and strings can always be encoded.
		panic("planner: " + err.Error())
	}
	s.unwritten, s.writing = false, true
	txn := store.Txn{
		Conditions: []store.Condition{{Key: store.LockKey, Revision: t.revision}, {Key: store.SizesKey, Revision: s.revision}},
		Puts:       []store.Put{{Key: store.SizesKey, Value: value}},
	}
	t.goTask("write sizes", func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		revision, current, err := t.p.Store.Apply(ctx, txn)
		cancel()
		t.locked(func() { t.applySizesWritten(revision, current, err) })
	})
}

// applySizesWritten applies the outcome of a write of the sizes.
func (t *term) applySizesWritten(revision int64, current []store.Item, err error) {
	t.sizes.writing = false
	if err == nil {
		t.sizes.revision = revision
		return
	}
	t.sizes.unwritten = true
	t.p.Meter.Inc("sizes_retry_" + string(fault.KindOf(err)))
	for _, it := range current {
		if it.Key == store.SizesKey {
			t.restoreSizes(it)
		}
	}
}
