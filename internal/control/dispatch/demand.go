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
	// Waiting and Running are numbers of requests, smoothed over some seconds.
	Waiting float64
	Running float64
}

// Report is what a VM told in its heartbeat.
type Report struct {
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

// discovery is the time after the start in which listed VMs count as live
// although they were not heard of.
const discovery = 3 * time.Second

// leastDemand is the demand below which an account is not reported.
const leastDemand = 0.1

// exchange renews the own report, reads those of the others and divides the
// slots anew.
func (s *scheduler) exchange(now time.Time) {
	if s.d.Peers != nil {
		s.peers = s.d.Peers()
	}
	s.publish()
	s.waitingAt = make(map[string]float64)
	for _, p := range s.peers {
		for _, row := range p.Rows {
			s.waitingAt[p.DataCentre+"/"+row.Service] += row.Waiting
		}
	}
	for _, service := range s.services() {
		s.divide(service, now)
	}
	s.cordon()
	s.setLimits()
	s.view()
}

// publish renews the own report. Slots move with the smoothed demand only.
func (s *scheduler) publish() {
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
		if a.held {
			row(a.target.vm.Service, a.call.r.Account).Running++
		}
	}
	for _, old := range s.own {
		r := row(old.Service, old.Account)
		r.Waiting = route.Smooth(old.Waiting, r.Waiting)
		r.Running = route.Smooth(old.Running, r.Running)
	}
	all := make([]DemandRow, 0, len(rows))
	for _, r := range rows {
		if r.Waiting+r.Running >= leastDemand {
			all = append(all, *r)
		}
	}
	s.own = all
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.demand = all
}

// services returns the services of the runners of the own data centre.
func (s *scheduler) services() []string {
	var all []string
	for _, t := range s.targets {
		if t.vm.DataCentre == s.d.DataCentre && !slices.Contains(all, t.vm.Service) {
			all = append(all, t.vm.Service)
		}
	}
	return all
}

// divideNew divides the slots of services that have no division yet.
func (s *scheduler) divideNew() {
	for _, service := range s.services() {
		if s.division(service).Weights() == nil {
			s.divide(service, time.Now())
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

func (s *scheduler) divide(service string, now time.Time) {
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
	rows := demandOf(s.d.VM, service, s.own)
	for _, p := range s.peers {
		if p.DataCentre == s.d.DataCentre {
			peer := demandOf(p.VM, service, p.Rows)
			rows = append(rows, peer...)
			if !p.Leaving || len(peer) > 0 {
				members = append(members, p.VM)
			}
		}
	}
	if now.Sub(s.started) < discovery {
		members = append(members, s.listed()...)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	s.division(service).Add(route.Divide(s.d.VM, members, rows, weights, float64(slots)))
}

// listed returns the listed entry VMs of the own data centre.
func (s *scheduler) listed() []string {
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
