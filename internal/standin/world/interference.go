package world

import "time"

// SetInterference sets by which factor runs take longer beside a run of another image on the
// same worker, by the image of the run and the other one.
func (w *World) SetInterference(factors map[[2]string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interference = factors
}

// postponeInterfered delays the runs of a worker by what they lost since the last call to
// the runs beside them.
func (x *Worker) postponeInterfered(now time.Time) {
	last := x.interferedAt
	x.interferedAt = now
	if last.IsZero() || len(x.world.interference) == 0 {
		return
	}
	images := make(map[string]bool)
	for _, r := range x.runs {
		if !r.doneAt.IsZero() {
			images[r.step.Image] = true
		}
	}
	for _, r := range x.runs {
		if r.doneAt.IsZero() {
			continue
		}
		rate := 1.0
		for image := range images {
			if f := x.world.interference[[2]string{r.step.Image, image}]; f > 0 {
				rate /= f
			}
		}
		lost := time.Duration((1 - rate) * float64(min(now.Sub(last), now.Sub(r.startedAt))))
		r.startedAt, r.doneAt = r.startedAt.Add(lost), r.doneAt.Add(lost)
	}
}
