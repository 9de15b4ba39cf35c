package placement

import (
	"sort"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

const (
	// maxIdleShare bounds the share of a service's capacity that stays free for urgent
	// units while other units wait.
	maxIdleShare = 0.4
	// notKeptWeight makes urgent units start on kept workers while these have room.
	notKeptWeight = 100
)

// usage is the capacity of a service and the part of it that is free.
type usage struct {
	capacity, free model.Shape
	// idle says that over maxIdleShare of each resource is free.
	idle bool
}

// add adds capacity to what is free; a negative one occupies it.
func (u *usage) add(free model.Shape) {
	u.free = u.free.Plus(free)
	used := u.capacity.Minus(u.free)
	u.idle = 1-used.ShareOf(u.capacity) > maxIdleShare
}

// keepForUrgent selects the workers on which only urgent units may start: for each
// service as many as Input.UrgentRoom says, in the racks and on the workers where most
// urgent work runs.
func (p *plan) keepForUrgent() {
	p.kept, p.services = make([]bool, len(p.in.Workers)), make(map[string]*usage)
	if len(p.in.UrgentRoom) == 0 {
		return
	}
	room := make(map[string]float64, len(p.in.UrgentRoom))
	for service, n := range p.in.UrgentRoom {
		room[service] = n
		p.services[service] = &usage{}
	}
	for w := range p.in.Workers {
		x := &p.in.Workers[w]
		if s := p.services[x.Service]; s != nil && x.Schedulable {
			s.capacity = s.capacity.Plus(x.Capacity)
			s.add(x.Free)
		}
	}
	for _, w := range p.byUrgentWork() {
		x := &p.in.Workers[w]
		if x.Schedulable && room[x.Service] > 0 {
			p.kept[w] = true
			room[x.Service]--
		}
	}
}

// byUrgentWork returns all workers, those of the racks with most urgent work first, and
// within a rack those with most urgent work.
func (p *plan) byUrgentWork() []int {
	urgent, inRack := make([]int64, len(p.in.Workers)), make([]int64, len(p.racks))
	for i := range p.in.Running {
		r := &p.in.Running[i]
		for _, w := range r.Workers {
			if r.Urgent {
				urgent[w] += r.Shape.Accelerators + 1
				inRack[p.rackOf[w]] += r.Shape.Accelerators + 1
			}
		}
	}
	order := append([]int(nil), p.all...)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if x, y := p.rackOf[a], p.rackOf[b]; x != y {
			if inRack[x] != inRack[y] {
				return inRack[x] > inRack[y]
			}
			return x < y
		}
		return urgent[a] > urgent[b]
	})
	return order
}

// mayUse reports whether a unit may start on a worker that may be kept for urgent units.
// A unit that can run in one rack or with one label only may use all of its workers, and
// every unit may while a large share of the capacity is free.
func (p *plan) mayUse(u *Unit, w int) bool {
	return !p.kept[w] || u.Urgent || u.Rack != "" || u.Label != "" || p.services[u.Service].idle
}

// notKept returns the cores of the workers of a group that are not kept for urgent units.
func (p *plan) notKept(workers []int) float64 {
	if len(p.in.UrgentRoom) == 0 {
		return 0
	}
	sum := 0.0
	for _, w := range workers {
		if !p.kept[w] {
			sum += p.in.Workers[w].Capacity.Cores()
		}
	}
	return sum
}
