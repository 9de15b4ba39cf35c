package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
)

// RestartWait returns how long the runs on a worker wait that restarted just now and is
// unresponsive since, in a term of a given age in which few workers have responded.
func RestartWait(termAge, maxLease time.Duration) time.Duration {
	now := boottime.Now()
	w := &worker{restartedAt: now}
	return w.abandonAt(now.Add(-termAge), maxLease, true).Sub(now)
}

// StartOnAnyIncarnation sends starts also to other incarnations than those on which their tasks
// were placed.
func StartOnAnyIncarnation(p *Planner) { p.disabled.restartCheck = true }

// IgnoreEvacuations sends starts without the check whether the data centre is evacuated.
func IgnoreEvacuations(p *Planner) { p.disabled.evacuationCheck = true }

// Guards disable the guards of the run protocol, by name.
var Guards = map[string]func(p *Planner){
	"lock check":              func(p *Planner) { p.disabled.lockCheck = true },
	"lock condition":          func(p *Planner) { p.disabled.lockCondition = true },
	"persist placement first": func(p *Planner) { p.disabled.persistPlacementFirst = true },
	"token":                   func(p *Planner) { p.disabled.tokenPerTerm = true },
	"wait for lease expiry":   func(p *Planner) { p.disabled.waitForLeaseExpiry = true },
	"persist result first":    func(p *Planner) { p.disabled.persistResultFirst = true },
	"await all results":       func(p *Planner) { p.disabled.awaitAllResults = true },
}

// KnownSpeeds returns the factors of the workers whose speed the current term knows.
func KnownSpeeds(p *Planner) map[string]float64 {
	t, err := p.currentTerm()
	if err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[string]float64)
	for _, w := range t.workers {
		if w.speed > 0 {
			known[w.id] = w.speed
		}
	}
	return known
}
