package dispatch

import (
	"slices"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// DemandRow is the demand of one client account for one service at one VM.
type DemandRow struct {
	Service string
	Account string
	// Waiting and Running are numbers of requests, smoothed over several seconds.
	Waiting float64
	Running float64
}

// DemandReport is the demand that a peer VM reported in its heartbeat.
type DemandReport struct {
	VM         string
	DataCentre string
	Leaving    bool
	Rows       []DemandRow
}

// Demand returns the demand that this VM reports in its heartbeats.
func (d *Dispatcher) Demand() []DemandRow {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.demand)
}

// discoveryPeriod is the time after the start in which listed VMs count as live
// before their first heartbeat arrives.
const discoveryPeriod = 3 * time.Second

// minReportedDemand is the number of requests below which an account is not
// reported.
const minReportedDemand = 0.1

// redistribute updates the local demand report, reads the peers' reports and
// redistributes the runners' slots among the entry VMs.
func (s *scheduler) redistribute(now time.Time) {
	if s.d.Peers != nil {
		s.peers = s.d.Peers()
	}
	s.publishDemand()
	s.waitingByDataCentre = make(map[string]float64)
	for _, p := range s.peers {
		for _, row := range p.Rows {
			s.waitingByDataCentre[p.DataCentre+"/"+row.Service] += row.Waiting
		}
	}
	for _, service := range s.localServices() {
		s.divideSlots(service, now)
	}
	s.applyCordons()
	s.setLimits()
	s.publishRunners()
}

// publishDemand updates the local demand report. Slots are distributed by
// smoothed demand, so that short bursts do not move them.
func (s *scheduler) publishDemand() {
	rows := make(map[[2]string]*DemandRow)
	row := func(service, account string) *DemandRow {
		k := [2]string{service, account}
		if rows[k] == nil {
			rows[k] = &DemandRow{Service: service, Account: account}
		}
		return rows[k]
	}
	for service, q := range s.queues {
		for account, n := range q.Waiting() {
			row(service, account).Waiting = float64(n)
		}
	}
	for _, a := range s.attempts {
		if a.occupiesSlot {
			row(a.target.vm.Service, a.call.r.Account).Running++
		}
	}
	for _, last := range s.localDemand {
		r := row(last.Service, last.Account)
		r.Waiting = route.Smooth(last.Waiting, r.Waiting)
		r.Running = route.Smooth(last.Running, r.Running)
	}
	all := make([]DemandRow, 0, len(rows))
	for _, r := range rows {
		if r.Waiting+r.Running >= minReportedDemand {
			all = append(all, *r)
		}
	}
	s.localDemand = all
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.demand = all
}

// localServices returns the services of the runners in the local data centre.
func (s *scheduler) localServices() []string {
	var all []string
	for _, t := range s.targets {
		if t.vm.DataCentre == s.d.DataCentre && !slices.Contains(all, t.vm.Service) {
			all = append(all, t.vm.Service)
		}
	}
	return all
}

// divideNewServices distributes the slots of services that have no distribution
// yet.
func (s *scheduler) divideNewServices() {
	for _, service := range s.localServices() {
		if s.division(service).Weights() == nil {
			s.divideSlots(service, time.Now())
		}
	}
}

func (s *scheduler) division(service string) *route.History {
	h, ok := s.divisions[service]
	if !ok {
		h = &route.History{}
		s.divisions[service] = h
	}
	return h
}

func (s *scheduler) divideSlots(service string, now time.Time) {
	slots := 0
	for _, t := range s.targets {
		if t.vm.Service == service && t.vm.DataCentre == s.d.DataCentre {
			slots += t.vm.Slots
		}
	}
	weights := make(map[string]float64)
	for _, a := range s.d.Config().Document.Accounts {
		weights[a.ID] = max(1, float64(a.Guarantee.Slots))
	}
	members := []string{s.d.VM}
	rows := demandOf(s.d.VM, service, s.localDemand)
	for _, p := range s.peers {
		if p.DataCentre == s.d.DataCentre {
			peer := demandOf(p.VM, service, p.Rows)
			rows = append(rows, peer...)
			if !p.Leaving || len(peer) > 0 {
				members = append(members, p.VM)
			}
		}
	}
	if now.Sub(s.started) < discoveryPeriod {
		members = append(members, s.listedEntryVMs()...)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	s.division(service).Add(route.Divide(s.d.VM, members, rows, weights, float64(slots)))
}

// listedEntryVMs returns the IDs of the listed entry VMs in the local data
// centre that are not leaving.
func (s *scheduler) listedEntryVMs() []string {
	var all []string
	for _, vm := range s.entries {
		if vm.Role == vmlist.Entry && vm.DataCentre == s.d.DataCentre && !vm.Leaving {
			all = append(all, vm.ID)
		}
	}
	return all
}

func demandOf(vm, service string, rows []DemandRow) []route.Demand {
	var all []route.Demand
	for _, r := range rows {
		if r.Service == service {
			all = append(all, route.Demand{VM: vm, Account: r.Account, Slots: r.Waiting + r.Running})
		}
	}
	return all
}
