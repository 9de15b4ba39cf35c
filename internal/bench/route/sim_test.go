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
	vms               = 3
	runners           = 50
	slots             = 8
	connections       = 64
	heartbeatInterval = 1000
	warmUp            = 60_000
	endStep           = 300_000
	balanceInterval   = 60_000 // steps between two changes of the VMs' shares of the arrivals
	ageingLimit       = 60 * time.Second
)

// kind is a kind of request in a deployment.
type kind struct {
	name string
	rank int
	// meanService and declaredService are the mean and the declared service time,
	// in steps.
	meanService, declaredService float64
	// workShare is the kind's fraction of the offered work.
	workShare float64
}

type account struct {
	id string
	// guaranteeShare is a fraction of all slots, offeredShare one of the offered
	// work.
	guaranteeShare, offeredShare float64
}

var deployments = map[string][]kind{
	"brunnsrota":    {{"clash_check", 0, 400, 200, 0.20}, {"solve", 1, 4000, 12000, 0.45}, {"render", 2, 2000, 600, 0.35}},
	"umgungundlovu": {{"counter_reprint", 0, 600, 1800, 0.25}, {"online_reprint", 1, 600, 200, 0.15}, {"verification", 2, 3000, 1000, 0.60}},
}

var accounts = []account{{"a", 0.4, 0.25}, {"b", 0.3, 0.35}, {"c", 0.2, 0.30}, {"d", 0.1, 0.10}}

// policy selects the parts of the product's decisions that a run replaces.
type policy struct {
	name string
	// fifo serves requests in the order of arrival, random chooses any runner with
	// a free slot, and undivided lets every VM use all slots.
	fifo, random, undivided bool
}

type job struct {
	queue.Item
	kind     int
	service  int
	started  int
	queuedAt int
}

type vm struct {
	id            string
	q             queue.Queue
	fifo          list.List // of *job
	jobs          map[string]*job
	running       map[string]int // by account
	estimates     queue.Estimator
	history       route.History
	states        []route.Runner
	pausedUntil   []int
	refusalsInRow []int // by runner
	demand        map[string]float64
	rows          []route.Demand // demand as reported to the other VMs
}

// result holds the measures of a run after its warm-up.
type result struct {
	sends, refusals, events   int
	completed, refused        int
	completion, service       [queue.Ranks]float64
	finished                  [queue.Ranks]int
	offered, served           map[string]float64
	waitingTime, busyTime     float64
	oldestUnsent, maxAtRunner int
}

type simulation struct {
	policy policy
	kinds  []kind
	rand   *rand.Rand
	agenda.Agenda
	vms       []*vm
	load      []int // requests running at each runner
	busySlots int
	lastEvent int
	nextID    int
	result    result
}

func weights() map[string]float64 {
	w := make(map[string]float64)
	for _, a := range accounts {
		w[a.id] = a.guaranteeShare * runners * slots
	}
	return w
}

// run simulates one deployment at a load. A load of 1 offers as much work as all
// slots can do.
func run(p policy, kinds []kind, load float64, seed uint64) result {
	s := &simulation{policy: p, kinds: kinds, rand: rand.New(rand.NewPCG(seed, 1)), load: make([]int, runners)}
	s.result.offered, s.result.served = make(map[string]float64), make(map[string]float64)
	for i := range vms {
		v := &vm{id: fmt.Sprintf("vm%d", i), jobs: make(map[string]*job), running: make(map[string]int), pausedUntil: make([]int, runners), refusalsInRow: make([]int, runners), demand: make(map[string]float64)}
		v.q.AgeingLimit = ageingLimit
		for r := range runners {
			v.states = append(v.states, route.Runner{ID: fmt.Sprintf("r%d", r), Service: "s", DataCentre: "dc", Limit: slots})
		}
		s.vms = append(s.vms, v)
	}
	for i, v := range s.vms {
		s.divideSlots(v)
		s.ScheduleEvery(i*heartbeatInterval/vms, heartbeatInterval, func() { s.divideSlots(v) })
	}
	for i, k := range kinds {
		for _, a := range accounts {
			gap := k.meanService / (load * k.workShare * a.offeredShare * runners * slots)
			s.scheduleArrivals(i, a.id, gap)
		}
	}
	s.Run(endStep, s.recordSlotUse)
	s.result.events = s.EventsRun()
	s.recordUnsent()
	return s.result
}

func (s *simulation) clock() time.Time { return time.UnixMilli(int64(s.Now())) }

// scheduleArrivals schedules requests of a kind and an account at random times, with a
// mean gap in steps.
func (s *simulation) scheduleArrivals(k int, account string, gap float64) {
	next := s.Now() + 1 + int(s.rand.ExpFloat64()*gap-0.5)
	s.Schedule(next, func() {
		s.arrive(k, account)
		s.scheduleArrivals(k, account, gap)
	})
}

// arrive submits a request to a VM. The VMs' shares of the arrivals are uneven and
// change over time.
func (s *simulation) arrive(k int, account string) {
	v := s.vms[(pickVM(s.rand.Float64())+s.Now()/balanceInterval)%vms]
	s.nextID++
	const sigma = 0.8
	service := s.kinds[k].meanService * math.Exp(sigma*s.rand.NormFloat64()-sigma*sigma/2)
	cost := v.estimates.Cost(s.kinds[k].name, time.Duration(s.kinds[k].declaredService)*time.Millisecond)
	j := &job{kind: k, service: max(1, int(service)), queuedAt: s.Now(), Item: queue.Item{
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
	s.sendWaiting(v)
}

func pickVM(u float64) int {
	switch {
	case u < 0.45:
		return 0
	case u < 0.78:
		return 1
	}
	return 2
}

func (v *vm) waiting() int { return v.q.Len() + v.fifo.Len() }

// popNext removes and returns the next request to send.
func (v *vm) popNext(now time.Time) *job {
	if e := v.fifo.Front(); e != nil {
		return v.fifo.Remove(e).(*job)
	}
	it, ok := v.q.Pop(now)
	if !ok {
		return nil
	}
	return v.jobs[it.ID]
}

func (s *simulation) sendWaiting(v *vm) {
	for v.waiting() > 0 {
		i := s.chooseRunner(v)
		if i < 0 {
			return
		}
		s.start(v, v.popNext(s.clock()), i)
	}
}

func (s *simulation) chooseRunner(v *vm) int {
	states := append([]route.Runner(nil), v.states...)
	for i := range states {
		if s.Now() < v.pausedUntil[i] {
			states[i].Limit = states[i].InUse
		}
	}
	if !s.policy.random {
		return route.Pick(states, route.Location{DataCentre: "dc"}, route.Requirements{Service: "s"})
	}
	var available []int
	for i, r := range states {
		if r.InUse < r.Limit {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return -1
	}
	return available[s.rand.IntN(len(available))]
}

func (s *simulation) start(v *vm, j *job, i int) {
	if s.Now() >= warmUp {
		s.result.sends++
	}
	s.result.maxAtRunner = max(s.result.maxAtRunner, s.load[i]+1)
	if s.load[i] >= slots {
		s.refuse(v, j, i)
		return
	}
	v.refusalsInRow[i] = 0
	if j.started == 0 {
		s.result.oldestUnsent = max(s.result.oldestUnsent, s.Now()-j.queuedAt)
	}
	s.load[i]++
	s.busySlots++
	v.states[i].InUse++
	v.running[j.Account]++
	j.started = s.Now()
	s.Schedule(s.Now()+j.service, func() { s.complete(v, j, i) })
}

// refuse puts a request that a full runner refused back into the queue, and pauses
// the runner for the VM.
func (s *simulation) refuse(v *vm, j *job, i int) {
	if s.Now() >= warmUp {
		s.result.refusals++
	}
	v.refusalsInRow[i]++
	v.pausedUntil[i] = s.Now() + int(route.BusyPause(v.refusalsInRow[i]).Milliseconds())
	s.Schedule(v.pausedUntil[i], func() { s.sendWaiting(v) })
	if s.policy.fifo {
		v.fifo.PushFront(j)
		return
	}
	v.q.CorrectCharge(j.Item, 0)
	v.q.Requeue(j.Item)
}

func (s *simulation) complete(v *vm, j *job, i int) {
	s.load[i]--
	s.busySlots--
	v.states[i].InUse--
	v.running[j.Account]--
	delete(v.jobs, j.ID)
	took := time.Duration(j.service) * time.Millisecond
	v.estimates.Observe(j.Kind, took)
	if !s.policy.fifo {
		v.q.CorrectCharge(j.Item, took)
	}
	if j.queuedAt >= warmUp {
		s.result.completion[j.Rank] += float64(s.Now() - j.queuedAt)
		s.result.service[j.Rank] += float64(j.service)
		s.result.finished[j.Rank]++
	}
	if s.Now() >= warmUp {
		s.result.completed++
		s.result.served[j.Account] += float64(j.service)
	}
	s.sendWaiting(v)
}

// divideSlots exchanges demand with the other VMs and divides the slots, as the
// daemon does at a heartbeat.
func (s *simulation) divideSlots(v *vm) {
	if s.policy.undivided {
		s.sendWaiting(v)
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
	s.sendWaiting(v)
}

// recordSlotUse adds the time since the last event to the measures of slot use.
func (s *simulation) recordSlotUse(now int) {
	if s.lastEvent >= warmUp {
		for _, v := range s.vms {
			if v.waiting() > 0 {
				s.result.waitingTime += float64(now - s.lastEvent)
				s.result.busyTime += float64(now-s.lastEvent) * float64(s.busySlots) / (runners * slots)
				break
			}
		}
	}
	s.lastEvent = now
}

// recordUnsent includes the requests that were never sent in oldestUnsent.
func (s *simulation) recordUnsent() {
	for _, v := range s.vms {
		for _, j := range v.jobs {
			if j.started == 0 {
				s.result.oldestUnsent = max(s.result.oldestUnsent, s.Now()-j.queuedAt)
			}
		}
	}
}

// leastShare returns the smallest fraction that an account received of its
// guarantee, or of its demand if that was less.
func (r result) leastShare() float64 {
	lowest := math.Inf(1)
	capacity := float64(endStep-warmUp) * runners * slots
	for _, a := range accounts {
		entitled := math.Min(a.guaranteeShare*capacity, r.offered[a.id])
		lowest = math.Min(lowest, r.served[a.id]/entitled)
	}
	return lowest
}
