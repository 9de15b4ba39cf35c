package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/boottime"
)

// RebornWait returns how long what stands on a worker waits that began a new life just
// now and is silent since, in a term of some age that has heard of few workers.
func RebornWait(termAge, maxHold time.Duration) time.Duration {
	now := boottime.Now()
	w := &worker{bornSeen: now}
	return w.givenUpAt(now.Add(-termAge), maxHold, true).Sub(now)
}

// Guards are the rules that a test can turn off.
var Guards = map[string]func(p *Planner){
	"lock check":      func(p *Planner) { p.off.lockCheck = true },
	"lock condition":  func(p *Planner) { p.off.lockCondition = true },
	"placement first": func(p *Planner) { p.off.placementFirst = true },
	"token":           func(p *Planner) { p.off.token = true },
	"lease wait":      func(p *Planner) { p.off.leaseWait = true },
	"end first":       func(p *Planner) { p.off.endFirst = true },
}
