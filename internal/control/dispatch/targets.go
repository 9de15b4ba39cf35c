package dispatch

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/target/runner"
)

// target is one runner and its scheduling state.
type target struct {
	vm     vmlist.VM
	client *runner.Client
	state  route.Runner
	// pausedUntil is the end of the pause after the runner refused a request as
	// busy.
	pausedUntil time.Time
	// refusals is the number of consecutive refusals as busy.
	refusals int
	// isolated is the number of attempts in flight that must be alone here.
	isolated int
	// held keeps new requests away until the runner is free for one that must
	// be alone.
	held bool
}

// leavingExpiry is the time after which a leaving notice is discarded.
const leavingExpiry = 10 * time.Minute

// post queues a command for the scheduler goroutine.
func (d *Dispatcher) post(f func(*scheduler)) {
	d.start()
	select {
	case d.commands <- f:
	case <-d.stopped:
	}
}

// SetRunners replaces the list of runners.
func (d *Dispatcher) SetRunners(vms []vmlist.VM) {
	vms = slices.Clone(vms)
	d.post(func(s *scheduler) { s.setRunners(vms) })
}

// SetEntryVMs replaces the list of entry VMs, including this VM.
func (d *Dispatcher) SetEntryVMs(vms []vmlist.VM) {
	vms = slices.Clone(vms)
	d.post(func(s *scheduler) { s.entries = vms })
}

// MarkLeaving stops new work at a runner that was seen leaving at the given
// time. A notice older than leavingExpiry is ignored.
func (d *Dispatcher) MarkLeaving(id string, seen time.Time) {
	if time.Since(seen) > leavingExpiry {
		return
	}
	d.start()
	if d.addLeaving(id, seen) {
		d.post(func(s *scheduler) { s.refreshLeaving() })
	}
}

// addLeaving records a leaving notice. It reports whether the notice is the
// first one for a listed runner.
func (d *Dispatcher) addLeaving(id string, seen time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	firstSeen, alreadyLeaving := d.leaving[id]
	if _, listed := d.targetsByID[id]; !listed {
		return false
	}
	if !alreadyLeaving || seen.Before(firstSeen) {
		d.leaving[id] = seen
	}
	if !alreadyLeaving {
		d.Meter.Inc("target_leaving")
		d.Log.Info("target is leaving", "target", id)
	}
	return !alreadyLeaving
}

// setListed records which runners are listed. It discards the leaving notices of
// runners that are no longer listed, so that a successor with the same ID is not
// affected by them.
func (d *Dispatcher) setListed(targetsByID map[string]*target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetsByID = targetsByID
	for id := range d.leaving {
		if _, listed := targetsByID[id]; !listed {
			delete(d.leaving, id)
		}
	}
}

// Leaving returns the leaving targets and the time when each was first seen
// leaving.
func (d *Dispatcher) Leaving() map[string]time.Time {
	d.start()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]time.Time, len(d.leaving))
	for id, seen := range d.leaving {
		if time.Since(seen) > leavingExpiry {
			delete(d.leaving, id)
			continue
		}
		all[id] = seen
	}
	return all
}

// Runners returns the state of all runners as of the last update.
func (d *Dispatcher) Runners() []route.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.runners)
}

func (s *scheduler) setRunners(vms []vmlist.VM) {
	previous := s.byID
	s.byID = make(map[string]*target)
	s.targets = nil
	groups := make(map[string]string)
	for _, vm := range vms {
		t, ok := previous[vm.ID]
		if !ok || t.vm.Address != vm.Address {
			t = s.newTarget(vm)
		}
		t.vm = vm
		t.state.ID, t.state.Service = vm.ID, vm.Service
		t.state.DataCentre, t.state.Region = vm.DataCentre, vm.Region
		s.byID[vm.ID] = t
		s.targets = append(s.targets, t)
		groups[vm.ID] = vm.Service + "/" + vm.DataCentre
	}
	s.d.setListed(s.byID)
	for _, vm := range vms {
		if vm.Leaving {
			s.d.addLeaving(vm.ID, time.Now())
		}
	}
	for id, t := range previous {
		if s.byID[id] != t {
			t.client.Close()
		}
	}
	sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].vm.ID < s.targets[j].vm.ID })
	s.health.SetRunners(groups)
	s.refreshLeaving()
	s.applyCordons()
	s.divideNewServices()
	s.setLimits()
	s.publishRunners()
}

func (s *scheduler) newTarget(vm vmlist.VM) *target {
	c := &runner.Client{Address: vm.Address, Meter: s.d.Meter, OnEvent: s.d.deliver, LocalAddr: s.d.LocalAddr}
	c.OnLeaving = func() { s.d.MarkLeaving(vm.ID, time.Now()) }
	return &target{client: c}
}

func (s *scheduler) refreshLeaving() {
	leaving := s.d.Leaving()
	for _, t := range s.targets {
		_, t.state.Leaving = leaving[t.vm.ID]
	}
}

// setLimits sets how many connections and slots of each runner this VM may use.
func (s *scheduler) setLimits() {
	local, foreign := s.memberVMs()
	slots := make(map[string]float64)
	for _, t := range s.targets {
		if t.vm.DataCentre == s.d.DataCentre {
			t.client.SetLimit(route.LocalConnections(t.vm.Connections, len(local)))
			t.state.Limit = s.division(t.vm.Service).Owned(t.vm.ID, t.vm.Slots)
		} else {
			t.client.SetLimit(route.ForeignConnections)
			t.state.Limit = s.foreignLimit(t, foreign)
		}
		if !t.state.Leaving && !t.state.Ejected && !t.state.Cordoned {
			slots[t.vm.Service] += float64(t.state.Limit)
		}
	}
	doc := s.d.Config().Document
	values := doc.Effective(config.Scope{DataCentre: s.d.DataCentre}, time.Now())
	for service, q := range s.queues {
		q.Slots = slots[service]
		q.Limit = values.QueueLimit
		q.AgeingLimit = values.AgeingLimit.Duration
		q.Weights = s.division(service).Weights()
	}
}

// applyCordons stops new work at the runners that the configuration cordons, and
// logs each change.
func (s *scheduler) applyCordons() {
	doc := s.d.Config().Document
	for _, t := range s.targets {
		values := doc.Effective(config.Scope{DataCentre: t.vm.DataCentre, Target: t.vm.ID}, time.Now())
		if values.Cordon != t.state.Cordoned {
			t.state.Cordoned = values.Cordon
			s.d.Log.Info("runner cordon", "runner", t.vm.ID, "cordoned", values.Cordon)
		}
	}
}

// foreignLimit returns the maximum number of requests that this VM may have in
// flight at a runner of another data centre. It is zero while requests for the
// runner's service wait in that data centre.
func (s *scheduler) foreignLimit(t *target, foreign []string) int {
	if s.waitingByDataCentre[t.vm.DataCentre+"/"+t.vm.Service] >= 1 {
		return 0
	}
	// The VMs that may connect are chosen among all entry VMs outside the
	// runner's data centre.
	if !route.MayConnectForeign(t.vm.ID, t.vm.Connections, s.d.VM, s.entryVMsOutside(t.vm.DataCentre, foreign)) {
		return 0
	}
	return route.ForeignConnections
}

// entryVMsOutside returns the IDs of the entry VMs outside a data centre,
// including the given unlisted ones.
func (s *scheduler) entryVMsOutside(dataCentre string, unlisted []string) []string {
	all := slices.Clone(unlisted)
	for _, vm := range s.entries {
		if vm.DataCentre != dataCentre {
			all = append(all, vm.ID)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// memberVMs returns the IDs of the VMs in the local data centre, listed or live,
// and those of live VMs in other data centres that are not listed.
func (s *scheduler) memberVMs() (local, foreign []string) {
	local = []string{s.d.VM}
	listed := make(map[string]bool)
	for _, vm := range s.entries {
		listed[vm.ID] = true
		if vm.DataCentre == s.d.DataCentre {
			local = append(local, vm.ID)
		}
	}
	for _, p := range s.peers {
		switch {
		case p.DataCentre == s.d.DataCentre:
			local = append(local, p.VM)
		case !listed[p.VM]:
			foreign = append(foreign, p.VM)
		}
	}
	slices.Sort(local)
	return slices.Compact(local), foreign
}

// states returns the runners of a service as input for route.Pick, and their
// targets in the same order.
func (s *scheduler) states(service string, now time.Time) ([]route.Runner, []*target) {
	var states []route.Runner
	var targets []*target
	for _, t := range s.targets {
		if t.vm.Service != service {
			continue
		}
		h := s.health.State(t.vm.ID, now)
		t.state.Ejected, t.state.Probe, t.state.Suspect = h.Ejected, h.Probe, h.Suspect
		state := t.state
		if now.Before(t.pausedUntil) {
			state.Limit = min(state.Limit, state.InUse)
		}
		states = append(states, state)
		targets = append(targets, t)
	}
	return states, targets
}

// localWait returns the expected time until the waiting requests of a service
// have left the queue for a runner in the local data centre.
func (s *scheduler) localWait(q *queue.Queue, states []route.Runner) time.Duration {
	slots := 0
	for _, r := range states {
		if r.DataCentre == s.d.DataCentre && !r.Leaving && !r.Ejected && !r.Cordoned {
			slots += r.Limit
		}
	}
	if slots == 0 {
		return math.MaxInt64
	}
	return q.TotalCost() / time.Duration(slots)
}

// publishRunners updates the state that Runners returns.
func (s *scheduler) publishRunners() {
	all := make([]route.Runner, 0, len(s.targets))
	for _, t := range s.targets {
		all = append(all, t.state)
	}
	sort.Slice(all, func(i, j int) bool { return strings.Compare(all[i].ID, all[j].ID) < 0 })
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.runners = all
}
