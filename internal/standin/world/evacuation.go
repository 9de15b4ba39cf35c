package world

import (
	"strings"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/planner"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

// EvacuationPrefix is the store prefix of the evacuations.
const EvacuationPrefix = "evacuate/"

// evacuations is what the operators have ordered.
type evacuations struct {
	// since is when each evacuated data centre was.
	since map[string]time.Time
	// bound is the longest time until the last start in an evacuated data centre.
	bound time.Duration
	// starts counts the starts by data centre.
	starts map[string]int
}

// dataCentre returns the data centre of a worker by its number.
func (b Bounds) dataCentre(worker int) string {
	if b.DataCentres == 0 {
		return ""
	}
	return string(rune('a' + worker/b.rackSize()%b.DataCentres))
}

// DecodeEvacuation decodes the key of an evacuation.
func DecodeEvacuation(it store.Item) (model.Evacuation, error) {
	name := strings.TrimPrefix(it.Key, EvacuationPrefix)
	if name == "" || strings.Contains(name, "/") {
		return model.Evacuation{}, fault.New(fault.BadAnswer, "%q names no data centre", it.Key)
	}
	return model.Evacuation{DataCentre: name, Revision: it.Revision}, nil
}

// SetEvacuationBound sets the longest time until the last start in an evacuated data centre.
func (w *World) SetEvacuationBound(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuations.bound = d
}

// SetDataCentres distributes the workers among n data centres in turn.
func (w *World) SetDataCentres(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.workers {
		x.Info.DataCentre = string(rune('a' + i%n))
		w.register(x)
	}
}

// Evacuate evacuates a data centre by writing a key that the operators use.
func (w *World) Evacuate(dataCentre, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Store.Put(key, []byte("{}"))
	if w.evacuations.since == nil {
		w.evacuations.since = make(map[string]time.Time)
	}
	if w.evacuations.since[dataCentre].IsZero() {
		w.evacuations.since[dataCentre] = time.Now()
	}
}

// EndEvacuation ends the evacuation of a data centre by removing its key.
func (w *World) EndEvacuation(dataCentre, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.evacuations.since, dataCentre)
	w.Store.Remove(key)
}

// StartsIn returns the number of starts in a data centre.
func (w *World) StartsIn(dataCentre string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.evacuations.starts[dataCentre]
}

// checkEvacuation counts a start and records a violation if the worker's data centre was
// evacuated longer than the bound before.
func (w *World) checkEvacuation(x *Worker, task planner.TaskID) {
	e, dc := &w.evacuations, x.Info.DataCentre
	if e.starts == nil {
		e.starts = make(map[string]int)
	}
	e.starts[dc]++
	if since := e.since[dc]; !since.IsZero() && time.Since(since) > e.bound {
		w.recordViolation("EVACUATION: %v started on %s in %s, which was evacuated %v before", task, x.Info.ID, dc, time.Since(since))
	}
}
