package placement

import "github.com/dogwoodworks/dogwoodworks/internal/decide/policy"

// Interference says which units slow each other on one worker. Kinds are numbered from 1.
//
// It only chooses among workers on which a unit fits anyway: eligibility, reservations,
// kept workers, racks and pre-emption disregard it.
type Interference struct {
	// SlowDown has the logarithm of the factor by which a task of the first kind is slowed
	// by one of the second; 0 for none.
	SlowDown [][]float64
	// On counts the tasks on each worker by kind; nil for a worker without any. Plan adds
	// the tasks that it places.
	On [][]int
}

// Apart is a unit that was kept apart from a kind that slows it or that it slows.
type Apart struct {
	// Unit is an index of Input.Waiting.
	Unit int
	// Worker is a worker on which the unit would have started, and Kind the kind there.
	Worker, Kind int
}

const (
	// interferenceWeight and maxInterference are the weight of a slow-down in the score, and
	// its bound. With them a slow-down of 1.2 goes before a third of the packing of a worker,
	// and one of 1.9 before all of it; both are far under notKeptWeight.
	interferenceWeight = 8
	maxInterference    = 5
)

// findApart returns a worker for each task of a waiting unit, or nil if the free capacity
// does not suffice. The unit starts where it would without interference unless that is
// beside a kind that it interferes with and it fits elsewhere.
func (p *plan) findApart(i int) []int {
	u, x := &p.in.Waiting[i], p.in.Interference
	usual := p.findWorkers(u, p.free, true)
	if usual == nil || x == nil || u.Kind == 0 || p.in.Disabled[policy.Interference] {
		return usual
	}
	before, worker, kind := p.harm(u, usual)
	if before == 0 {
		return usual
	}
	p.apart, p.spareEmpty = true, u.Tasks == 1 && p.gangWaits()
	found := p.findWorkers(u, p.free, true)
	p.apart = false
	if found == nil {
		return usual
	}
	if after, _, _ := p.harm(u, found); after >= before {
		return usual
	}
	p.out.Apart = append(p.out.Apart, Apart{Unit: i, Worker: worker, Kind: kind})
	return found
}

// gangWaits reports whether a gang waits.
func (p *plan) gangWaits() bool {
	for i := range p.in.Waiting {
		if p.in.Waiting[i].Tasks > 1 {
			return true
		}
	}
	return false
}

// harm returns by how much a unit and the kinds beside it would slow each other on workers,
// the worker where that is most, and the kind there.
func (p *plan) harm(u *Unit, workers []int) (total float64, worker, kind int) {
	tasks := make(map[int]int, len(workers))
	most := 0.0
	for _, w := range workers {
		h, k := p.in.Interference.harm(u.Kind, w, tasks[w])
		tasks[w]++
		total += h
		if h > most {
			most, worker, kind = h, w, k
		}
	}
	return total, worker, kind
}

// harm returns by how much one more task of a kind and the tasks on a worker would slow each
// other, and the kind there that counts most. chosen is the number of tasks of the same
// kind that are to start there.
func (x *Interference) harm(a, w, chosen int) (total float64, kind int) {
	on, most := x.On[w], 0.0
	for b := 1; b < len(x.SlowDown); b++ {
		n := 0
		if on != nil {
			n = on[b]
		}
		if b == a {
			n += chosen
		}
		if n == 0 {
			continue
		}
		h := x.SlowDown[a][b] + float64(n)*x.SlowDown[b][a]
		total += h
		if h > most {
			most, kind = h, b
		}
	}
	return total, kind
}

// interference returns the penalty for one more task of a unit on a worker. A single task
// does not break an empty worker for it while a gang waits.
func (p *plan) interference(u *Unit, w, tasks int) float64 {
	if !p.apart {
		return 0
	}
	if p.spareEmpty && p.free[w] == p.in.Workers[w].Capacity {
		return maxInterference
	}
	h, _ := p.in.Interference.harm(u.Kind, w, tasks)
	return min(interferenceWeight*h, maxInterference)
}

// countKind records that tasks of a unit are placed on workers.
func (p *plan) countKind(u *Unit, workers []int) {
	x := p.in.Interference
	if x == nil || u.Kind == 0 {
		return
	}
	for _, w := range workers {
		if x.On[w] == nil {
			x.On[w] = make([]int, len(x.SlowDown))
		}
		x.On[w][u.Kind]++
	}
}
