// Package policy names the mechanisms of scheduling that can be switched off for
// experiments.
package policy

import (
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Mechanism is a mechanism of scheduling.
type Mechanism string

// The mechanisms. The rules of the run protocol are not among them, since without them
// work may run twice or in part.
const (
	// Preemption stops running units for urgent ones.
	Preemption Mechanism = "preemption"
	// LeastLoss stops the units whose stop discards the least work, instead of those
	// that are listed first.
	LeastLoss Mechanism = "least_loss"
	// StopLimit bounds how often a unit is stopped for urgent ones that are not guaranteed,
	// and stops units that were stopped often last.
	StopLimit Mechanism = "stop_limit"
	// Nomination keeps the workers that are being cleared for an urgent unit.
	Nomination Mechanism = "nomination"
	// Reservations reserve workers for blocked gangs.
	Reservations Mechanism = "reservations"
	// Backfill lets units that end in time start on reserved workers.
	Backfill Mechanism = "backfill"
	// GatherUrgent places urgent units on workers and racks where urgent units run.
	GatherUrgent Mechanism = "gather_urgent"
	// UrgentRoom keeps room for urgent units.
	UrgentRoom Mechanism = "urgent_room"
	// LeaveRack lets a guaranteed gang start on several racks when its time is short.
	LeaveRack Mechanism = "leave_rack"
	// OrderTimeliness serves units that can meet their objective before others.
	OrderTimeliness Mechanism = "order_timeliness"
	// OrderSlack serves units of equal priority by their slack, instead of their age.
	OrderSlack Mechanism = "order_slack"
	// AccountOrder serves the account that holds the least capacity first while units of
	// several accounts of a priority wait for capacity.
	AccountOrder Mechanism = "account_order"
	// ProgressEstimates estimates the end of a run from its progress, instead of from the
	// caller's estimate alone.
	ProgressEstimates Mechanism = "progress_estimates"
	// Checkpoints resumes stopped tasks from their checkpoints.
	Checkpoints Mechanism = "checkpoints"
	// SlowWorkers closes workers whose tasks do not progress, and moves urgent units.
	SlowWorkers Mechanism = "slow_workers"
	// Quarantine closes workers on which several jobs fail or that refuse starts.
	Quarantine Mechanism = "quarantine"
	// AvoidFailed keeps a unit off a worker on which it failed.
	AvoidFailed Mechanism = "avoid_failed"
	// WarmUp waits for the responses of most workers at the start of a term.
	WarmUp Mechanism = "warm_up"
	// Notices tells the planner of accepted jobs by a call, besides the store's watch.
	Notices Mechanism = "notices"
	// WaitingRenewals lets workers delay their response to a renewal until a run ends.
	WaitingRenewals Mechanism = "waiting_renewals"
	// RefuseUnfit refuses jobs that fit on no worker.
	RefuseUnfit Mechanism = "refuse_unfit"
	// PreferWarm prefers workers that are not slow after their start.
	PreferWarm Mechanism = "prefer_warm"
	// Interference learns which kinds of tasks slow each other and keeps them apart.
	Interference Mechanism = "interference"
	// WorkerSpeed learns the speeds of workers and places units by them.
	WorkerSpeed Mechanism = "worker_speed"
	// KindEstimates corrects callers' estimates by what is learnt of their queue.
	KindEstimates Mechanism = "kind_estimates"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Preemption, LeastLoss, StopLimit, Nomination, Reservations, Backfill, GatherUrgent, UrgentRoom, LeaveRack, OrderTimeliness, OrderSlack, AccountOrder, ProgressEstimates,
		Checkpoints, SlowWorkers, Quarantine, AvoidFailed, WarmUp, Notices, WaitingRenewals, RefuseUnfit, PreferWarm, Interference,
		WorkerSpeed, KindEstimates,
	}
}

// OptIn returns the mechanisms that are off unless a deployment enables them. On none of the
// measured deployments did they serve callers better, and on one, which is nearly full of
// work that yields, fewer jobs were in time with them; see docs/POLICY.md.
func OptIn() []Mechanism { return []Mechanism{StopLimit, AccountOrder, WorkerSpeed, KindEstimates} }

// Select returns the mechanisms that are off: those in the list disable, and those of OptIn
// that are not in the list enable. Its errors are those of ParseDisabled.
func Select(disable, enable string) (Disabled, error) {
	disabled, err := ParseDisabled(disable)
	if err != nil {
		return nil, err
	}
	enabled, err := ParseDisabled(enable)
	if err != nil {
		return nil, err
	}
	if disabled == nil {
		disabled = make(Disabled)
	}
	for _, m := range OptIn() {
		if !enabled[m] {
			disabled[m] = true
		}
	}
	return disabled, nil
}

// Disabled is a set of mechanisms that are switched off. A nil set is empty.
type Disabled map[Mechanism]bool

// ParseDisabled parses a comma-separated list of mechanisms. Its errors are of kind
// BadSettings and list what is accepted.
func ParseDisabled(list string) (Disabled, error) {
	if list == "" {
		return nil, nil
	}
	known := make(Disabled)
	var accepted []string
	for _, m := range Mechanisms() {
		known[m] = true
		accepted = append(accepted, string(m))
	}
	disabled := make(Disabled)
	for _, name := range strings.Split(list, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !known[m] {
			return nil, fault.WithField(fault.BadSettings, "experiments.disable", "%q; accepted: %s", name, strings.Join(accepted, ", "))
		}
		disabled[m] = true
	}
	return disabled, nil
}
