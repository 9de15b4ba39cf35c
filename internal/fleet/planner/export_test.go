package planner

// Guards are the rules that a test can turn off.
var Guards = map[string]func(p *Planner){
	"lock check":      func(p *Planner) { p.off.lockCheck = true },
	"lock condition":  func(p *Planner) { p.off.lockCondition = true },
	"placement first": func(p *Planner) { p.off.placementFirst = true },
	"token":           func(p *Planner) { p.off.token = true },
	"lease wait":      func(p *Planner) { p.off.leaseWait = true },
	"end first":       func(p *Planner) { p.off.endFirst = true },
}
