package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/demand"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// demandWindow is how long a rise of the urgent demand is remembered.
const demandWindow = 10 * time.Second

// keepUrgentRoom records the present urgent demand and sets the room that is kept for
// urgent units.
func (t *term) keepUrgentRoom(v *view, now time.Time) {
	if t.p.Disabled[policy.UrgentRoom] {
		return
	}
	capacity := make(map[string]model.Shape)
	for i := range v.in.Workers {
		w := &v.in.Workers[i]
		c := capacity[w.Service]
		capacity[w.Service] = model.Shape{
			MilliCPU: max(c.MilliCPU, w.Capacity.MilliCPU), MemoryMB: max(c.MemoryMB, w.Capacity.MemoryMB),
			Accelerators: max(c.Accelerators, w.Capacity.Accelerators),
		}
	}
	needed := make(map[string]float64)
	for i, u := range v.running {
		if r := &v.in.Running[i]; r.Urgent && !r.Stopping {
			service := u.job.queue.Service
			needed[service] += float64(len(r.Workers)) * r.Shape.ShareOf(capacity[service])
		}
	}
	for i := range v.in.Waiting {
		if u := &v.in.Waiting[i]; u.Urgent {
			needed[u.Service] += float64(u.Tasks) * u.Shape.ShareOf(capacity[u.Service])
		}
	}
	for service := range capacity {
		d := t.urgentDemand[service]
		if d == nil {
			d = &demand.Tracker{}
			t.urgentDemand[service] = d
		}
		d.Observe(needed[service], now, t.stopTime, demandWindow)
		if n := needed[service] + d.Rise(); n > 0 && t.stopTime > 0 {
			if v.in.UrgentRoom == nil {
				v.in.UrgentRoom = make(map[string]float64)
			}
			v.in.UrgentRoom[service] = n
		}
	}
}

// stopTimeWeight is the weight of the latest stop in the mean time of a stop.
const stopTimeWeight = 0.1

// recordStopTime records how long a stop took that the worker has carried out.
func (t *term) recordStopTime(m *member, now time.Time) {
	if m.stopSentAt.IsZero() {
		return
	}
	took := now.Sub(m.stopSentAt)
	if t.stopTime == 0 {
		t.stopTime = took
	}
	t.stopTime += time.Duration(stopTimeWeight * float64(took-t.stopTime))
}
