package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/demand"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// demandWindow is how long a rise of the urgent demand is remembered.
	demandWindow = 10 * time.Second
	// roomStops is the time within which a rise counts, in mean times of a stop: that of a
	// stop, and as long again, since a gang waits for the slowest of its stops.
	roomStops = 2
	// stopTimeWeight is the weight of the latest stop in the mean time of a stop.
	stopTimeWeight = 0.1
)

// urgentRoom decides how much room is kept for urgent units, from the demand that it
// observes. The term's lock guards it.
type urgentRoom struct {
	// demand tracks the urgent demand of each service, in workers.
	demand map[string]*demand.Tracker
	// stopTime is the mean time until a stopped run is listed as ended; 0 before the first.
	stopTime time.Duration
}

// observe records the urgent demand by service, in workers, and returns the number of
// workers to keep; nil before the first stop.
func (r *urgentRoom) observe(demands map[string]float64, now time.Time) map[string]float64 {
	if r.demand == nil {
		r.demand = make(map[string]*demand.Tracker)
	}
	room := make(map[string]float64)
	for service, needed := range demands {
		d := r.demand[service]
		if d == nil {
			d = &demand.Tracker{}
			r.demand[service] = d
		}
		d.Observe(needed, now, roomStops*r.stopTime, demandWindow)
		if n := needed + d.Rise(); n > 0 {
			room[service] = n
		}
	}
	if r.stopTime == 0 {
		return nil
	}
	return room
}

// recordStop records how long a stop took that its worker has carried out.
func (r *urgentRoom) recordStop(took time.Duration) {
	if r.stopTime == 0 {
		r.stopTime = took
	}
	r.stopTime += time.Duration(stopTimeWeight * float64(took-r.stopTime))
}

// urgentDemand returns how many workers of each service the urgent units need that run or
// wait. A unit that has waited for longer than demandWindow does not count: what it lacks
// is not room.
func (v *view) urgentDemand(now time.Time) map[string]float64 {
	capacity, needed := make(map[string]model.Shape), make(map[string]float64)
	for i := range v.in.Workers {
		w := &v.in.Workers[i]
		capacity[w.Service] = capacity[w.Service].Max(w.Capacity)
		needed[w.Service] += 0
	}
	for i, u := range v.running {
		if r := &v.in.Running[i]; r.Urgent && !r.Stopping {
			service := u.job.queue.Service
			needed[service] += float64(len(r.Workers)) * r.Shape.ShareOf(capacity[service])
		}
	}
	for i, u := range v.waiting {
		if x := &v.in.Waiting[i]; x.Urgent && now.Sub(u.readyAt) < demandWindow {
			needed[x.Service] += float64(x.Tasks) * x.Shape.ShareOf(capacity[x.Service])
		}
	}
	return needed
}

// keepUrgentRoom sets the room that is kept for urgent units.
func (t *term) keepUrgentRoom(v *view, now time.Time) {
	if t.p.Disabled[policy.UrgentRoom] {
		return
	}
	v.in.UrgentRoom = t.room.observe(v.urgentDemand(now), now)
}
