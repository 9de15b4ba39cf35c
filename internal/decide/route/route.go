// Package route chooses the runner of a request, divides the slots of the
// runners among the VMs of a data centre, and limits and paces retries.
package route

import "time"

// Runner is the state of a runner on which Pick decides.
type Runner struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Limit is the number of requests that this VM may have there at the same
	// time.
	Limit int `json:"limit"`
	// InUse is the number of requests that this VM has there.
	InUse int `json:"in_use"`
	// Leaving and Ejected runners get no new work.
	Leaving bool `json:"leaving"`
	Ejected bool `json:"ejected"`
	// Cordoned runners get no new work while an exception in the configuration
	// applies.
	Cordoned bool `json:"cordoned"`
	// Probe says that an ejected runner may get one request as a probe.
	Probe bool `json:"probe"`
	// Suspect runners come after healthy ones at the same distance.
	Suspect bool `json:"suspect"`
}

// Location is the location of a VM.
type Location struct {
	DataCentre string
	Region     string
}

// Requirements are what a request needs from its runner.
type Requirements struct {
	Service string
	// Tried has the runners that failed the request; others are preferred.
	Tried map[string]bool
	// LocalWait is the expected wait for a runner of the VM's own data centre.
	LocalWait time.Duration
	// Bytes is the size of the request and of its expected answer together.
	Bytes int
	// MayProbe allows an ejected runner that is due for a probe.
	MayProbe bool
}

// Costs of leaving the own data centre, each as the wait in the own data centre
// that outweighs it.
const (
	// DataCentreCrossing is the cost of another data centre in the same region.
	DataCentreCrossing = 3 * time.Millisecond
	// RegionCrossing is the cost of another region, without the cost of the
	// bytes.
	RegionCrossing = 250 * time.Millisecond
	// BytesPerMillisecond is the number of bytes sent across regions that costs
	// as much as a wait of one millisecond.
	BytesPerMillisecond = 4 << 10
)

// Distance is the distance between a VM and a runner.
type Distance int

// The distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance from a location to a runner.
func (l Location) DistanceTo(r Runner) Distance {
	if l.DataCentre == r.DataCentre {
		return SameDataCentre
	}
	if l.Region == r.Region {
		return SameRegion
	}
	return OtherRegion
}

// CrossingCost returns the wait that outweighs using a runner at the given
// distance.
func (req Requirements) CrossingCost(d Distance) time.Duration {
	switch d {
	case SameRegion:
		return DataCentreCrossing
	case OtherRegion:
		return RegionCrossing + time.Duration(req.Bytes/BytesPerMillisecond)*time.Millisecond
	}
	return 0
}

// Pick returns the index of the runner for a request, or -1 if no runner that
// is worth its crossing cost has a free slot. It prefers the nearest runner,
// then untried before tried ones, healthy before suspect ones, and the one with
// the most free slots. A runner that is due for a probe takes precedence if the
// request may be a probe.
func Pick(runners []Runner, local Location, req Requirements) int {
	best := -1
	var bestOrder [3]int
	for i, r := range runners {
		if r.Service != req.Service || r.Leaving || r.Cordoned {
			continue
		}
		d := local.DistanceTo(r)
		if d != SameDataCentre && req.LocalWait <= req.CrossingCost(d) {
			continue
		}
		if r.Ejected {
			if r.Probe && req.MayProbe && r.Limit > 0 && !req.Tried[r.ID] {
				return i
			}
			continue
		}
		if r.InUse >= r.Limit {
			continue
		}
		order := [3]int{int(d), penalty(r, req), r.InUse - r.Limit}
		if best < 0 || less(order, bestOrder) {
			best, bestOrder = i, order
		}
	}
	return best
}

func penalty(r Runner, req Requirements) int {
	count := 0
	if r.Suspect {
		count++
	}
	if req.Tried[r.ID] {
		count += 2
	}
	return count
}

func less(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}
