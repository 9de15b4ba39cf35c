package planner

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/demand"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
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

// observe records the urgent demand in a decision's input and returns the number of
// workers to keep by service; nil before the first stop.
func (r *urgentRoom) observe(in *placement.Input, services []string, now time.Time) map[string]float64 {
	if r.demand == nil {
		r.demand = make(map[string]*demand.Tracker)
	}
	room := make(map[string]float64)
	for service, needed := range urgentDemand(in, services) {
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
// wait. services has the service of each running unit.
func urgentDemand(in *placement.Input, services []string) map[string]float64 {
	capacity, needed := make(map[string]model.Shape), make(map[string]float64)
	for i := range in.Workers {
		w := &in.Workers[i]
		capacity[w.Service] = capacity[w.Service].Max(w.Capacity)
		needed[w.Service] += 0
	}
	for i := range in.Running {
		if r := &in.Running[i]; r.Urgent && !r.Stopping {
			needed[services[i]] += float64(len(r.Workers)) * r.Shape.ShareOf(capacity[services[i]])
		}
	}
	for i := range in.Waiting {
		if u := &in.Waiting[i]; u.Urgent {
			needed[u.Service] += float64(u.Tasks) * u.Shape.ShareOf(capacity[u.Service])
		}
	}
	return needed
}

// keepUrgentRoom sets the room that is kept for urgent units.
func (t *term) keepUrgentRoom(v *view, now time.Time) {
	if t.p.Disabled[policy.UrgentRoom] {
		return
	}
	services := make([]string, len(v.running))
	for i, u := range v.running {
		services[i] = u.job.queue.Service
	}
	v.in.UrgentRoom = t.room.observe(&v.in, services, now)
}
