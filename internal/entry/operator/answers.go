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

// VMStatus is what one VM says of itself or of a peer.
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

// FleetAnswer is the answer to a read of the fleet's status. The counts are
// those of the data centre whose planner answers.
type FleetAnswer struct {
	VMs []VMStatus `json:"vms"`
	// Accelerators and Free count accelerators; Waiting and Running count jobs.
	Accelerators int `json:"accelerators"`
	Free         int `json:"free"`
	Waiting      int `json:"waiting"`
	Running      int `json:"running"`
	// Fragmentation is between 0 and 1.
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
	// Service is that of a runner, Rack that of a worker.
	Service string `json:"service,omitempty"`
	Rack    string `json:"rack,omitempty"`
	// InUse and Limit count the requests that the answering VM has and may
	// have at a runner.
	InUse int `json:"in_use,omitempty"`
	Limit int `json:"limit,omitempty"`
	// Accelerators is the number of accelerators of a worker.
	Accelerators int  `json:"accelerators,omitempty"`
	Leaving      bool `json:"leaving"`
	// Ejected runners get no work but probes.
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
	// Home is the data centre that claims the account's keys; empty for none.
	Home      string           `json:"home"`
	Guarantee config.Guarantee `json:"guarantee"`
	// Use is nil when the answering VM does not plan for its data centre.
	Use *Use `json:"use,omitempty"`
	// Exceptions are those whose scope names the account, expired ones included.
	Exceptions []config.Exception `json:"exceptions,omitempty"`
}

// Use counts accelerators of one data centre.
type Use struct {
	Guaranteed  int `json:"guaranteed"`
	InUse       int `json:"in_use"`
	Borrowed    int `json:"borrowed"`
	Reclaimable int `json:"reclaimable"`
	Shortfall   int `json:"shortfall"`
}

// accounts joins the configuration with what the planner knows.
func (s *Server) accounts() AccountsAnswer {
	use := make(map[string]*Use)
	for _, u := range s.View.Accounts() {
		use[u.ID] = newUse(u)
	}
	doc := s.Config.Current().Document
	a := AccountsAnswer{Accounts: []Account{}}
	for _, account := range doc.Accounts {
		row := Account{ID: account.ID, Home: account.Home, Guarantee: account.Guarantee, Use: use[account.ID]}
		for _, e := range doc.Exceptions {
			if e.Scope.Account == account.ID {
				row.Exceptions = append(row.Exceptions, e)
			}
		}
		a.Accounts = append(a.Accounts, row)
	}
	return a
}

func newUse(u gang.AccountStatus) *Use {
	return &Use{
		Guaranteed: u.Guaranteed, InUse: u.InUse, Borrowed: u.Borrowed,
		Reclaimable: u.Reclaimable, Shortfall: u.Shortfall,
	}
}

// Spread tells how far a version of the configuration has spread.
type Spread struct {
	Version uint64 `json:"version"`
	// InForce and Behind name the VMs that can be reached.
	InForce []string `json:"in_force"`
	Behind  []string `json:"behind"`
	// Unreachable names the listed VMs that were not heard of lately.
	Unreachable []string `json:"unreachable"`
}

// Add adds a reachable VM that reports a version.
func (s *Spread) Add(vm string, version uint64) {
	if version >= s.Version {
		s.InForce = append(s.InForce, vm)
		return
	}
	s.Behind = append(s.Behind, vm)
}

// Status is what a VM says of itself.
type Status struct {
	VMID          string `json:"vm_id"`
	DataCentre    string `json:"data_centre"`
	Region        string `json:"region"`
	Incarnation   string `json:"incarnation"`
	StartedUnixMS int64  `json:"started_unix_ms"`
	Ready         bool   `json:"ready"`
	// Lacking says why the VM is not ready; empty when nothing is known.
	Lacking       string `json:"lacking,omitempty"`
	Draining      bool   `json:"draining"`
	Planner       bool   `json:"planner"`
	ConfigVersion uint64 `json:"config_version"`
	// Peers is the number of live peers.
	Peers int `json:"peers"`
	// Alarms are the alarm counters that are not zero, by name.
	Alarms []Counter `json:"alarms"`
}

// Counter is the value of one counter.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Alarms returns the alarm counters that are not zero, sorted by name.
func Alarms(counters map[string]int64) []Counter {
	var alarms []Counter
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if strings.HasPrefix(name, "alarm_") && counters[name] != 0 {
			alarms = append(alarms, Counter{name, counters[name]})
		}
	}
	return alarms
}

// CheckBody is the body of a check of a configuration.
type CheckBody struct {
	// File names the document in messages; empty for none.
	File string `json:"file,omitempty"`
	TOML string `json:"toml"`
}

// Log is the answer to a read of the log of changes, the newest first.
type Log struct {
	Changes []config.Change `json:"changes"`
}
