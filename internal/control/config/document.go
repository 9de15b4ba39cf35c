// Package config manages the operators' configuration: one set of defaults for
// the fleet and a list of exceptions, each with a reason.
package config

import (
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

// Document is the complete configuration.
type Document struct {
	Defaults   Defaults    `toml:"defaults" json:"defaults"`
	Kinds      []Kind      `toml:"kinds" json:"kinds"`
	Accounts   []Account   `toml:"accounts" json:"accounts"`
	Exceptions []Exception `toml:"exceptions" json:"exceptions"`
}

// Defaults are the values that apply to the whole fleet unless an exception
// overrides them.
type Defaults struct {
	// QueueLimit is the maximum number of requests that wait at one VM.
	QueueLimit int `toml:"queue_limit" json:"queue_limit"`
	// RetryShare is the maximum ratio of retries to successful requests of an
	// account, from 0 to 1.
	RetryShare float64 `toml:"retry_share" json:"retry_share"`
	// AgeingLimit is the time after which a waiting request takes precedence over
	// later requests of a higher-priority class.
	AgeingLimit settings.Duration `toml:"ageing_limit" json:"ageing_limit"`
	// RequestTimeout is the time until the deadline of a request without one.
	RequestTimeout settings.Duration `toml:"request_timeout" json:"request_timeout"`
	// Lease is the time after which a part of a gang stops when its lease is not
	// renewed.
	Lease settings.Duration `toml:"lease" json:"lease"`
	// StartWindow is the time within which all tasks of a gang must start.
	StartWindow settings.Duration `toml:"start_window" json:"start_window"`
	// CheckpointGrace is the time that a pre-empted job gets to save a checkpoint.
	CheckpointGrace settings.Duration `toml:"checkpoint_grace" json:"checkpoint_grace"`
	// ClaimRetention is the time for which claims and results are retained.
	ClaimRetention settings.Duration `toml:"claim_retention" json:"claim_retention"`
	// RetryHorizon is the time for which keys are refused after all members of a
	// roster were lost.
	RetryHorizon settings.Duration `toml:"retry_horizon" json:"retry_horizon"`
	// CompletionTimeWeight and FragmentationWeight weigh the two objectives of
	// placement. Neither is negative and their sum is positive.
	CompletionTimeWeight float64 `toml:"completion_time_weight" json:"completion_time_weight"`
	FragmentationWeight  float64 `toml:"fragmentation_weight" json:"fragmentation_weight"`
}

// Class is the priority class of requests and jobs.
type Class string

// The classes, highest priority first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Rank returns the position of the class in priority order, 0 for the highest.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 0
	case Normal:
		return 1
	}
	return 2
}

// Kind is a kind of request or job.
type Kind struct {
	Name  string `toml:"name" json:"name"`
	Class Class  `toml:"class" json:"class"`
	// Idempotent reports that running a request more than once is harmless.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Service is the service of the runners that serve the kind; empty for
	// kinds that run as jobs.
	Service string `toml:"service" json:"service"`
	// Expected is the typical service time.
	Expected settings.Duration `toml:"expected" json:"expected"`
}

// Account is a client account.
type Account struct {
	ID string `toml:"id" json:"id"`
	// Home is the data centre that claims the account's idempotency keys; empty
	// for none.
	Home      string    `toml:"home" json:"home"`
	Guarantee Guarantee `toml:"guarantee" json:"guarantee"`
}

// Guarantee is the capacity that an account can always reclaim.
type Guarantee struct {
	// Slots is the account's share of the runners' slots.
	Slots int `toml:"slots" json:"slots"`
	// Workers and Accelerators are the guaranteed shape in each data centre:
	// Workers workers with Accelerators adjacent accelerators each.
	Workers      int `toml:"workers" json:"workers"`
	Accelerators int `toml:"accelerators" json:"accelerators"`
}

// Scope limits where an exception applies. An empty field matches everything; at
// least one field is set.
type Scope struct {
	DataCentre string `toml:"data_centre,omitempty" json:"data_centre,omitempty"`
	Account    string `toml:"account,omitempty" json:"account,omitempty"`
	Target     string `toml:"target,omitempty" json:"target,omitempty"`
	Kind       string `toml:"kind,omitempty" json:"kind,omitempty"`
}

// Exception overrides defaults within a scope.
type Exception struct {
	// Reason is required.
	Reason string `toml:"reason" json:"reason"`
	Scope  Scope  `toml:"scope" json:"scope"`
	// Expires is the end of the exception; the zero time means never.
	Expires time.Time `toml:"expires,omitzero" json:"expires,omitzero"`
	Set     Overrides `toml:"set" json:"set"`
}

// Overrides are the values that an exception sets; nil fields are not overridden.
type Overrides struct {
	QueueLimit      *int               `toml:"queue_limit" json:"queue_limit,omitempty"`
	RetryShare      *float64           `toml:"retry_share" json:"retry_share,omitempty"`
	AgeingLimit     *settings.Duration `toml:"ageing_limit" json:"ageing_limit,omitempty"`
	RequestTimeout  *settings.Duration `toml:"request_timeout" json:"request_timeout,omitempty"`
	CheckpointGrace *settings.Duration `toml:"checkpoint_grace" json:"checkpoint_grace,omitempty"`
	// Cordon stops new work at the targets of the scope.
	Cordon *bool `toml:"cordon" json:"cordon,omitempty"`
}

// DefaultDocument returns the configuration of a fleet before its first edit.
func DefaultDocument() Document {
	return Document{Defaults: Defaults{
		QueueLimit:           4000,
		RetryShare:           0.1,
		AgeingLimit:          settings.Duration{Duration: 60 * time.Second},
		RequestTimeout:       settings.Duration{Duration: 30 * time.Second},
		Lease:                settings.Duration{Duration: 10 * time.Second},
		StartWindow:          settings.Duration{Duration: 2 * time.Second},
		CheckpointGrace:      settings.Duration{Duration: 500 * time.Millisecond},
		ClaimRetention:       settings.Duration{Duration: 24 * time.Hour},
		RetryHorizon:         settings.Duration{Duration: 15 * time.Minute},
		CompletionTimeWeight: 1,
		FragmentationWeight:  1,
	}}
}

// KindNamed returns the kind with a name, and whether it exists.
func (d *Document) KindNamed(name string) (Kind, bool) {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// AccountNamed returns the account with an ID, and whether it exists.
func (d *Document) AccountNamed(id string) (Account, bool) {
	for _, a := range d.Accounts {
		if a.ID == id {
			return a, true
		}
	}
	return Account{}, false
}
