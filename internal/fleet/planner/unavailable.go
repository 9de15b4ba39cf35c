package planner

// limitStops marks the running units of steps with MaxUnavailable that must not be stopped in
// this pass: so many stay preemptible that no more tasks of a step are unavailable than it
// allows.
func (t *term) limitStops(v *view) {
	allowed := make(map[stepKey]int)
	for i, u := range v.running {
		if s := u.step(); !s.LongRunning || s.MaxUnavailable == 0 {
			continue
		}
		k := u.stepKey()
		if _, ok := allowed[k]; !ok {
			allowed[k] = t.mayStop(k)
		}
		if allowed[k] < u.tasks() || !t.isAtWork(u) {
			v.in.Running[i].NotPreemptible = true
			continue
		}
		allowed[k] -= u.tasks()
	}
}

// mayStop returns how many tasks of a long-running step may be stopped now.
func (t *term) mayStop(k stepKey) int {
	step := &k.job.spec.Job.Steps[k.step]
	unavailable := step.Tasks
	for _, u := range k.job.unitList {
		if u.stepKey() == k && t.isAtWork(u) {
			unavailable -= u.tasks()
		}
	}
	return step.MaxUnavailable - unavailable
}

// isAtWork reports whether all tasks of a long-running unit were at work at the last reports of
// their workers, and none is being stopped.
func (t *term) isAtWork(u *unit) bool {
	for _, m := range u.members {
		w := t.workers[m.worker]
		if m.stopping || m.percent < 100 || w == nil || w.unresponsive {
			return false
		}
	}
	return len(u.members) == u.tasks() && !u.aborting
}
