package placement

import (
	"math"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// The speeds of workers decide among places whose scores are nearly equal. They address a
// fleet whose workers take 0.8 to 1.25 times, or a third of them 1.3 times, as long, and
// where all members of a gang advance at the pace of the slowest.

const (
	// speedTolerance is the difference of scores that the fastest and the slowest worker make
	// up for: less than an accelerator, which is a quarter on a worker of eight.
	speedTolerance = 0.1
	// anyRackTolerance replaces it for urgent units that may use several racks: one
	// accelerator of a rack of 20 workers changes their score by 0.03.
	anyRackTolerance = 0.03
	// fastestSpeed and slowestSpeed bound the factors that are told apart.
	fastestSpeed = 0.75
	slowestSpeed = 1.25
	// rackTolerance is the difference of free capacity, in workers, that the speed of the
	// members makes up for when one of several racks is chosen.
	rackTolerance = 0.5
	// fastGangWeight is the weight of a gang's own run time, relative to that of the time
	// that its faster members lose.
	fastGangWeight = 0.5
	// untriedSpeed is the factor that counts for a worker of unknown speed when a deferrable
	// task is placed, so that what is not known is learnt from work that can take longer.
	untriedSpeed = 1.1
)

// speeds has the speeds of the workers as relativeSpeed returns them.
type speeds struct {
	relative []float64
	// unknown marks the workers of unknown speed.
	unknown []bool
	// target is the speed that the members of a gang are to have; NaN for any.
	target float64
}

// relativeSpeed returns a factor on a scale on which 1 is 0, and the fastest and the slowest
// that are told apart are 1 apart.
func relativeSpeed(factor float64) float64 {
	return (max(fastestSpeed, min(slowestSpeed, factor)) - 1) / (slowestSpeed - fastestSpeed)
}

// newSpeeds returns the speeds of workers, or nil if none is known.
func newSpeeds(workers []Worker, disabled policy.Disabled) *speeds {
	var s *speeds
	if disabled[policy.WorkerSpeed] {
		return nil
	}
	for w := range workers {
		if workers[w].SpeedFactor <= 0 {
			continue
		}
		if s == nil {
			s = &speeds{relative: make([]float64, len(workers)), unknown: make([]bool, len(workers)), target: math.NaN()}
			for i := range s.unknown {
				s.unknown[i] = true
			}
		}
		s.relative[w], s.unknown[w] = relativeSpeed(workers[w].SpeedFactor), false
	}
	return s
}

// speedTerm returns what the speed of a worker adds to the score of a task there.
func (p *plan) speedTerm(u *Unit, w int) float64 {
	s := p.speeds
	if s == nil {
		return 0
	}
	x := s.relative[w]
	switch {
	case u.Urgent && !u.SameRack && u.Rack == "":
		return anyRackTolerance * x
	case u.Urgent:
		return speedTolerance * x
	case u.Tasks > 1 && !math.IsNaN(s.target):
		return speedTolerance * math.Abs(x-s.target)
	case u.Tasks == 1 && u.Deferrable && s.unknown[w]:
		return -speedTolerance * relativeSpeed(untriedSpeed)
	case u.Tasks == 1 && u.Deferrable:
		return -speedTolerance * x
	}
	return 0
}

// fit returns a worker of a group for each task of a unit, or nil. For a gang it compares
// the set that bestFit finds with sets of members of similar speed. These exist if that one
// does, since what fits on a worker does not depend on the others.
func (p *plan) fit(u *Unit, group []int, free []model.Shape, backfill bool) []int {
	best := p.bestFit(u, group, free, backfill)
	if p.speeds == nil || best == nil || u.Urgent || u.Tasks == 1 {
		return best
	}
	least := p.setCost(u, best, free)
	for _, target := range []float64{relativeSpeed(0.8), 0, relativeSpeed(slowestSpeed)} {
		p.speeds.target = target
		if ws := p.bestFit(u, group, free, backfill); ws != nil {
			if cost := p.setCost(u, ws, free); cost < least {
				best, least = ws, cost
			}
		}
	}
	p.speeds.target = math.NaN()
	return best
}

// setCost rates a set of workers for a gang: the mean score of its members, the time that
// the faster members lose and, unless the unit is deferrable, its run time.
func (p *plan) setCost(u *Unit, workers []int, free []model.Shape) float64 {
	packing, used := 0.0, make(map[int]model.Shape, len(workers))
	for _, w := range workers {
		used[w] = used[w].Plus(u.Shape)
		packing += p.freeShare(free[w].Minus(used[w]), w)
	}
	return packing/float64(len(workers)) + speedTolerance*p.gangTime(u, workers)
}

// gangTime rates the speeds of the members of a gang; lower is better.
func (p *plan) gangTime(u *Unit, workers []int) float64 {
	slowest, sum := math.Inf(-1), 0.0
	for _, w := range workers {
		slowest = max(slowest, p.speeds.relative[w])
		sum += p.speeds.relative[w]
	}
	lost := slowest - sum/float64(len(workers))
	if u.Deferrable {
		return lost
	}
	return lost + fastGangWeight*slowest
}

// rackSpeedCores returns what the speeds of the members add to the free cores of a rack when
// racks are compared for a gang.
func (p *plan) rackSpeedCores(u *Unit, workers []int) float64 {
	if p.speeds == nil || u.Tasks == 1 {
		return 0
	}
	return rackTolerance * p.in.Workers[workers[0]].Capacity.Cores() * p.gangTime(u, workers)
}
