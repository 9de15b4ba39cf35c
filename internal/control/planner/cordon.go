package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
)

// cordoned reports whether an exception in the configuration stops new work at
// a worker.
func cordoned(doc config.Document, dataCentre, id string, now time.Time) bool {
	for _, e := range doc.Exceptions {
		if e.Set.Cordon == nil || !*e.Set.Cordon || (!e.Expires.IsZero() && !now.Before(e.Expires)) {
			continue
		}
		s := e.Scope
		if s.Account != "" || s.Kind != "" {
			continue
		}
		if (s.Target == "" || s.Target == id) && (s.DataCentre == "" || s.DataCentre == dataCentre) {
			return true
		}
	}
	return false
}

// refreshCordons closes the workers that the configuration cordons to new work,
// and opens the others. t.mu must be held.
func (t *term) refreshCordons(doc config.Document, now time.Time) {
	for id, m := range t.members {
		if c := cordoned(doc, t.p.DataCentre, id, now); c != m.cordoned {
			m.cordoned = c
			t.p.Log.Info("worker changed", "worker", id, "cordoned", c)
			t.refreshWorker(m)
		}
	}
}
