package world

// SetSpeed sets the run time of tasks that start on a worker from now on, relative to
// nominal. A gang takes as long as its slowest member.
func (w *World) SetSpeed(id string, factor float64) {
	x := w.current(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	x.slowFactor = factor
}

// slowest returns the largest run time factor of the workers of a gang.
func slowest(members []member) float64 {
	factor := 0.0
	for _, m := range members {
		factor = max(factor, m.worker.slowFactor)
	}
	return factor
}
