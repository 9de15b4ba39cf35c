package operator

import (
	"maps"
	"slices"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// VMStatus is what one VM reports of itself or of a peer.
type VMStatus struct {
	VMID          string `json:"vm_id"`
	DataCentre    string `json:"data_centre"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
	Planner       bool   `json:"planner"`
	ConfigVersion uint64 `json:"config_version"`
}

// Fleet is the status of the fleet as one VM sees it.
type Fleet struct {
	VMs      []VMStatus    `json:"vms"`
	Measures gang.Measures `json:"measures"`
}

// Targets are the targets as one VM sees them.
type Targets struct {
	Runners []route.Runner
	Workers []vmlist.VM
}

// FleetAnswer is the answer to a read of the fleet's status. The counts cover
// the data centre whose planner answers.
type FleetAnswer struct {
	VMs []VMStatus `json:"vms"`
	// Accelerators and Free count accelerators; Waiting and Running count jobs.
	Accelerators int `json:"accelerators"`
	Free         int `json:"free"`
	Waiting      int `json:"waiting"`
	Running      int `json:"running"`
	// Fragmentation is the fragmentation of free accelerators, between 0 and 1.
	Fragmentation float64 `json:"fragmentation"`
}

func newFleetAnswer(f Fleet) FleetAnswer {
	return FleetAnswer{
		VMs: f.VMs, Accelerators: f.Measures.Accelerators, Free: f.Measures.Free,
		Waiting: f.Measures.Waiting, Running: f.Measures.Running, Fragmentation: f.Measures.Fragmentation,
	}
}

// TargetsAnswer is the answer to a list of targets.
type TargetsAnswer struct {
	Targets []Target `json:"targets"`
}

// Target is a runner or a worker.
type Target struct {
	ID         string      `json:"id"`
	Role       vmlist.Role `json:"role"`
	DataCentre string      `json:"data_centre"`
	Region     string      `json:"region"`
	// Service is set only for a runner and Rack only for a worker.
	Service string `json:"service,omitempty"`
	Rack    string `json:"rack,omitempty"`
	// InUse is the number of requests that the answering VM has in progress at
	// a runner, Limit the number that it may have.
	InUse int `json:"in_use,omitempty"`
	Limit int `json:"limit,omitempty"`
	// Accelerators is the number of accelerators of a worker.
	Accelerators int  `json:"accelerators,omitempty"`
	Leaving      bool `json:"leaving"`
	// Ejected reports that a runner receives only probes.
	Ejected bool `json:"ejected"`
}

func newTargetsAnswer(t Targets) TargetsAnswer {
	a := TargetsAnswer{Targets: []Target{}}
	for _, r := range t.Runners {
		a.Targets = append(a.Targets, Target{
			ID: r.ID, Role: vmlist.Runner, DataCentre: r.DataCentre, Region: r.Region, Service: r.Service,
			InUse: r.InUse, Limit: r.Limit, Leaving: r.Leaving, Ejected: r.Ejected,
		})
	}
	for _, w := range t.Workers {
		a.Targets = append(a.Targets, Target{
			ID: w.ID, Role: vmlist.Worker, DataCentre: w.DataCentre, Region: w.Region, Rack: w.Rack,
			Accelerators: w.Accelerators, Leaving: w.Leaving,
		})
	}
	return a
}

// AccountsAnswer is the answer to a list of client accounts.
type AccountsAnswer struct {
	Accounts []Account `json:"accounts"`
}

// Account is a client account with its guarantee and its use.
type Account struct {
	ID string `json:"id"`
	// Home is the data centre that claims the account's idempotency keys; empty
	// for none.
	Home      string           `json:"home"`
	Guarantee config.Guarantee `json:"guarantee"`
	// Usage is nil when the answering VM is not the planner of its data centre.
	Usage *Usage `json:"use,omitempty"`
	// Exceptions are those whose scope names the account, including expired ones.
	Exceptions []config.Exception `json:"exceptions,omitempty"`
}

// Usage counts an account's accelerators in one data centre.
type Usage struct {
	Guaranteed  int `json:"guaranteed"`
	InUse       int `json:"in_use"`
	Borrowed    int `json:"borrowed"`
	Reclaimable int `json:"reclaimable"`
	Shortfall   int `json:"shortfall"`
}

// accounts combines the configured accounts with the planner's account status.
func (s *Server) accounts() AccountsAnswer {
	use := make(map[string]*Usage)
	for _, u := range s.View.Accounts() {
		use[u.ID] = newUsage(u)
	}
	doc := s.Config.Current().Document
	a := AccountsAnswer{Accounts: []Account{}}
	for _, account := range doc.Accounts {
		row := Account{ID: account.ID, Home: account.Home, Guarantee: account.Guarantee, Usage: use[account.ID]}
		for _, e := range doc.Exceptions {
			if e.Scope.Account == account.ID {
				row.Exceptions = append(row.Exceptions, e)
			}
		}
		a.Accounts = append(a.Accounts, row)
	}
	return a
}

func newUsage(u gang.AccountStatus) *Usage {
	return &Usage{
		Guaranteed: u.Guaranteed, InUse: u.InUse, Borrowed: u.Borrowed,
		Reclaimable: u.Reclaimable, Shortfall: u.Shortfall,
	}
}

// Spread lists which VMs have applied a version of the configuration.
type Spread struct {
	Version uint64 `json:"version"`
	// InForce lists the reachable VMs with this version or a later one.
	InForce []string `json:"in_force"`
	// Outdated lists the reachable VMs with an earlier version.
	Outdated []string `json:"behind"`
	// Unreachable lists the VMs on the platform's list that are not known to be
	// alive.
	Unreachable []string `json:"unreachable"`
}

// Add adds a reachable VM with the version that it reports.
func (s *Spread) Add(vm string, version uint64) {
	if version >= s.Version {
		s.InForce = append(s.InForce, vm)
		return
	}
	s.Outdated = append(s.Outdated, vm)
}

// Status is what a VM reports of itself.
type Status struct {
	VMID          string `json:"vm_id"`
	DataCentre    string `json:"data_centre"`
	Region        string `json:"region"`
	Incarnation   string `json:"incarnation"`
	StartedUnixMS int64  `json:"started_unix_ms"`
	Ready         bool   `json:"ready"`
	// NotReadyReason is the reason why the VM is not ready; empty if none is known.
	NotReadyReason string `json:"lacking,omitempty"`
	Draining       bool   `json:"draining"`
	Planner        bool   `json:"planner"`
	ConfigVersion  uint64 `json:"config_version"`
	// Peers is the number of live peers.
	Peers int `json:"peers"`
	// Alarms are the non-zero alarm counters, sorted by name.
	Alarms []Counter `json:"alarms"`
}

// Counter is the value of one counter.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Alarms returns the non-zero alarm counters, sorted by name.
func Alarms(counters map[string]int64) []Counter {
	var alarms []Counter
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if strings.HasPrefix(name, "alarm_") && counters[name] != 0 {
			alarms = append(alarms, Counter{name, counters[name]})
		}
	}
	return alarms
}

// CheckBody is the body of a call that checks a configuration.
type CheckBody struct {
	// File is the file name that messages show; empty for none.
	File string `json:"file,omitempty"`
	TOML string `json:"toml"`
}

// Log is the answer to a read of the change log, newest change first.
type Log struct {
	Changes []config.Change `json:"changes"`
}
