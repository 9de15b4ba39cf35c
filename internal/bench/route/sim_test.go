package route

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/agenda"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
)

// Sizes of the simulation. One step is one millisecond.
const (
	vms         = 3
	runners     = 50
	slots       = 8
	connections = 64
	heartbeat   = 1000
	warmUp      = 60_000
	length      = 300_000
	shift       = 60_000 // time between two changes of the balance of arrivals
	ageing      = 60 * time.Second
)

// kind is a kind of request of a deployment.
type kind struct {
	name string
	rank int
	// mean is the mean service time and declared the declared one, in steps.
	mean, declared float64
	// work is the part of the offered work.
	work float64
}

type account struct {
	id string
	// guarantee and offered are parts of all slots and of the offered work.
	guarantee, offered float64
}

var deployments = map[string][]kind{
	"brunnsrota":    {{"clash_check", 0, 400, 200, 0.20}, {"solve", 1, 4000, 12000, 0.45}, {"render", 2, 2000, 600, 0.35}},
	"umgungundlovu": {{"counter_reprint", 0, 600, 1800, 0.25}, {"online_reprint", 1, 600, 200, 0.15}, {"verification", 2, 3000, 1000, 0.60}},
}

var accounts = []account{{"a", 0.4, 0.25}, {"b", 0.3, 0.35}, {"c", 0.2, 0.30}, {"d", 0.1, 0.10}}

// policy says what of the decisions is used.
type policy struct {
	name string
	// fifo serves in the order of arrival, random chooses any runner with room
	// and whole gives every VM all slots.
	fifo, random, whole bool
}

type job struct {
	queue.Item
	kind    int
	service int
	started int
	pushed  int
}

type vm struct {
	id        string
	q         queue.Queue
	fifo      list.List // of *job
	jobs      map[string]*job
	running   map[string]int // by account
	estimates queue.Estimator
	history   route.History
	states    []route.Runner
	paused    []int
	busy      []int // refusals in a row
	demand    map[string]float64
	rows      []route.Demand // as reported
}

// result holds what a run measured after its warm-up.
type result struct {
	sends, refusals, events    int
	completed, refused         int
	completion, service        [queue.Ranks]float64
	finished                   [queue.Ranks]int
	offered, got               map[string]float64
	waitingTime, busyTime      float64
	oldestUnsent, mostAtRunner int
}

type simulation struct {
	policy policy
	kinds  []kind
	rand   *rand.Rand
	agenda.Agenda
	vms    []*vm
	load   []int // running at each runner
	busy   int
	last   int
	nextID int
	result result
}

func weights() map[string]float64 {
	w := make(map[string]float64)
	for _, a := range accounts {
		w[a.id] = a.guarantee * runners * slots
	}
	return w
}

// run simulates one deployment at a load, where 1 offers as much work as all
// slots can do.
func run(p policy, kinds []kind, load float64, seed uint64) result {
	s := &simulation{policy: p, kinds: kinds, rand: rand.New(rand.NewPCG(seed, 1)), load: make([]int, runners)}
	s.result.offered, s.result.got = make(map[string]float64), make(map[string]float64)
	for i := range vms {
		v := &vm{id: fmt.Sprintf("vm%d", i), jobs: make(map[string]*job), running: make(map[string]int), paused: make([]int, runners), busy: make([]int, runners), demand: make(map[string]float64)}
		v.q.AgeingLimit = ageing
		for r := range runners {
			v.states = append(v.states, route.Runner{ID: fmt.Sprintf("r%d", r), Service: "s", DataCentre: "dc", Limit: slots})
		}
		s.vms = append(s.vms, v)
	}
	for i, v := range s.vms {
		s.beat(v)
		s.ScheduleEvery(i*heartbeat/vms, heartbeat, func() { s.beat(v) })
	}
	for i, k := range kinds {
		for _, a := range accounts {
			gap := k.mean / (load * k.work * a.offered * runners * slots)
			s.arrivals(i, a.id, gap)
		}
	}
	s.Run(length, s.account)
	s.result.events = s.EventsRun()
	s.unsent()
	return s.result
}

func (s *simulation) clock() time.Time { return time.UnixMilli(int64(s.Now())) }

// arrivals makes requests of a kind and an account come at random times.
func (s *simulation) arrivals(k int, account string, gap float64) {
	next := s.Now() + 1 + int(s.rand.ExpFloat64()*gap-0.5)
	s.Schedule(next, func() {
		s.arrive(k, account)
		s.arrivals(k, account, gap)
	})
}

// arrive brings a request to a VM; the balance of arrivals is uneven and moves.
func (s *simulation) arrive(k int, account string) {
	v := s.vms[(pick(s.rand.Float64())+s.Now()/shift)%vms]
	s.nextID++
	const sigma = 0.8
	service := s.kinds[k].mean * math.Exp(sigma*s.rand.NormFloat64()-sigma*sigma/2)
	cost := v.estimates.Cost(s.kinds[k].name, time.Duration(s.kinds[k].declared)*time.Millisecond)
	j := &job{kind: k, service: max(1, int(service)), pushed: s.Now(), Item: queue.Item{
		ID: fmt.Sprintf("q%d", s.nextID), Account: account, Kind: s.kinds[k].name, Rank: s.kinds[k].rank,
		Arrived: s.clock(), Cost: cost,
	}}
	v.jobs[j.ID] = j
	if s.Now() >= warmUp {
		s.result.offered[account] += service
	}
	if s.policy.fifo {
		v.fifo.PushBack(j)
	} else {
		for _, it := range v.q.Push(j.Item, s.clock()) {
			delete(v.jobs, it.ID)
			s.result.refused++
		}
	}
	s.send(v)
}

func pick(u float64) int {
	switch {
	case u < 0.45:
		return 0
	case u < 0.78:
		return 1
	}
	return 2
}

func (v *vm) waiting() int { return v.q.Len() + v.fifo.Len() }

// next takes the request that goes first.
func (v *vm) next(now time.Time) *job {
	if e := v.fifo.Front(); e != nil {
		return v.fifo.Remove(e).(*job)
	}
	it, ok := v.q.Pop(now)
	if !ok {
		return nil
	}
	return v.jobs[it.ID]
}

func (s *simulation) send(v *vm) {
	for v.waiting() > 0 {
		i := s.choose(v)
		if i < 0 {
			return
		}
		s.start(v, v.next(s.clock()), i)
	}
}

func (s *simulation) choose(v *vm) int {
	states := append([]route.Runner(nil), v.states...)
	for i := range states {
		if s.Now() < v.paused[i] {
			states[i].Limit = states[i].InUse
		}
	}
	if !s.policy.random {
		return route.Pick(states, route.Location{DataCentre: "dc"}, route.Requirements{Service: "s"})
	}
	var open []int
	for i, r := range states {
		if r.InUse < r.Limit {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	return open[s.rand.IntN(len(open))]
}

func (s *simulation) start(v *vm, j *job, i int) {
	if s.Now() >= warmUp {
		s.result.sends++
	}
	s.result.mostAtRunner = max(s.result.mostAtRunner, s.load[i]+1)
	if s.load[i] >= slots {
		s.refuse(v, j, i)
		return
	}
	v.busy[i] = 0
	if j.started == 0 {
		s.result.oldestUnsent = max(s.result.oldestUnsent, s.Now()-j.pushed)
	}
	s.load[i]++
	s.busy++
	v.states[i].InUse++
	v.running[j.Account]++
	j.started = s.Now()
	s.Schedule(s.Now()+j.service, func() { s.complete(v, j, i) })
}

// refuse brings a request back that a full runner refused.
func (s *simulation) refuse(v *vm, j *job, i int) {
	if s.Now() >= warmUp {
		s.result.refusals++
	}
	v.busy[i]++
	v.paused[i] = s.Now() + int(route.BusyPause(v.busy[i]).Milliseconds())
	s.Schedule(v.paused[i], func() { s.send(v) })
	if s.policy.fifo {
		v.fifo.PushFront(j)
		return
	}
	v.q.CorrectCharge(j.Item, 0)
	v.q.Requeue(j.Item)
}

func (s *simulation) complete(v *vm, j *job, i int) {
	s.load[i]--
	s.busy--
	v.states[i].InUse--
	v.running[j.Account]--
	delete(v.jobs, j.ID)
	took := time.Duration(j.service) * time.Millisecond
	v.estimates.Observe(j.Kind, took)
	if !s.policy.fifo {
		v.q.CorrectCharge(j.Item, took)
	}
	if j.pushed >= warmUp {
		s.result.completion[j.Rank] += float64(s.Now() - j.pushed)
		s.result.service[j.Rank] += float64(j.service)
		s.result.finished[j.Rank]++
	}
	if s.Now() >= warmUp {
		s.result.completed++
		s.result.got[j.Account] += float64(j.service)
	}
	s.send(v)
}

// beat exchanges demand and divides the slots as the daemon does.
func (s *simulation) beat(v *vm) {
	if s.policy.whole {
		s.send(v)
		return
	}
	v.rows = nil
	waiting := v.q.Waiting()
	var rows []route.Demand
	for _, a := range accounts {
		v.demand[a.id] = route.Smooth(v.demand[a.id], float64(waiting[a.id]+v.running[a.id]))
		v.rows = append(v.rows, route.Demand{VM: v.id, Account: a.id, Slots: v.demand[a.id]})
	}
	var members []string
	for _, other := range s.vms {
		members = append(members, other.id)
		rows = append(rows, other.rows...)
	}
	v.history.Add(route.Divide(v.id, members, rows, weights(), runners*slots))
	v.q.Weights = v.history.Weights()
	v.q.Slots = 0
	for i := range v.states {
		v.states[i].Limit = v.history.Owned(v.states[i].ID, slots)
		v.q.Slots += float64(v.states[i].Limit)
	}
	s.send(v)
}

// account adds the time since the last event to the measures of the slots.
func (s *simulation) account(now int) {
	if s.last >= warmUp {
		for _, v := range s.vms {
			if v.waiting() > 0 {
				s.result.waitingTime += float64(now - s.last)
				s.result.busyTime += float64(now-s.last) * float64(s.busy) / (runners * slots)
				break
			}
		}
	}
	s.last = now
}

// unsent adds the requests that were never sent to the longest wait.
func (s *simulation) unsent() {
	for _, v := range s.vms {
		for _, j := range v.jobs {
			if j.started == 0 {
				s.result.oldestUnsent = max(s.result.oldestUnsent, s.Now()-j.pushed)
			}
		}
	}
}

// share returns the least part that an account got of its guarantee, or of its
// demand when that was less.
func (r result) share() float64 {
	least := math.Inf(1)
	capacity := float64(length-warmUp) * runners * slots
	for _, a := range accounts {
		due := math.Min(a.guarantee*capacity, r.offered[a.id])
		least = math.Min(least, r.got[a.id]/due)
	}
	return least
}
