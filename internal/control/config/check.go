package config

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/settings"
)

// MinLease is twice the time after which an unresponsive peer is considered
// failed: a lease must outlast the loss of a planner and the start of the next
// one.
const MinLease = 6 * time.Second

// Parse reads a configuration file and performs the checks that do not depend on
// the time or the fleet. The error has kind BadConfig and lists every problem with
// its line and the accepted values.
func Parse(file string, b []byte) (Document, error) {
	return ParseAt(file, b, time.Time{}, nil)
}

// ParseAt is Parse with the additional checks that depend on the time and on the
// known workers. Exceptions that have expired at now are not checked for overlaps.
// The capacity of a data centre without known workers is not checked.
func ParseAt(file string, b []byte, now time.Time, workers []Worker) (Document, error) {
	doc := DefaultDocument()
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&doc); err != nil {
		return Document{}, problemsError(settings.DecodeProblems(file, err, Names()))
	}
	c := checker{now: now}
	c.document(&doc, workers)
	if len(c.problems) == 0 {
		return doc, nil
	}
	lines := settings.FindLines(b)
	for i := range c.problems {
		c.problems[i].File = file
		c.problems[i].Line = lines.Of(c.problems[i].Field)
	}
	return Document{}, problemsError(c.problems)
}

func problemsError(problems []settings.Problem) error {
	text := make([]string, len(problems))
	for i, p := range problems {
		text[i] = p.String()
	}
	return fault.New(fault.BadConfig, "%s", strings.Join(text, "\n"))
}

// Names returns the keys of a configuration file, sorted.
func Names() []string {
	return []string{
		"accounts", "accounts.guarantee", "accounts.guarantee.accelerators", "accounts.guarantee.slots",
		"accounts.guarantee.workers", "accounts.home", "accounts.id",
		"defaults.ageing_limit", "defaults.checkpoint_grace", "defaults.claim_retention",
		"defaults.completion_time_weight", "defaults.fragmentation_weight", "defaults.lease",
		"defaults.queue_limit", "defaults.request_timeout", "defaults.retry_horizon",
		"defaults.retry_share", "defaults.start_window",
		"exceptions.expires", "exceptions.reason",
		"exceptions.scope.account", "exceptions.scope.data_centre", "exceptions.scope.kind", "exceptions.scope.target",
		"exceptions.set.ageing_limit", "exceptions.set.checkpoint_grace", "exceptions.set.cordon",
		"exceptions.set.queue_limit", "exceptions.set.request_timeout", "exceptions.set.retry_share",
		"kinds.class", "kinds.expected", "kinds.idempotent", "kinds.name", "kinds.service",
	}
}

// Worker is the part of a worker that the capacity check needs.
type Worker struct {
	DataCentre   string
	Accelerators int
}

// checker collects the problems of a document.
type checker struct {
	now      time.Time
	problems []settings.Problem
}

func (c *checker) add(field, accepted, format string, args ...any) {
	c.problems = append(c.problems, settings.Problem{
		Field: field, Message: fmt.Sprintf(format, args...), Accepted: accepted,
	})
}

func (c *checker) document(d *Document, workers []Worker) {
	c.defaults(&d.Defaults)
	c.kinds(d.Kinds)
	c.accounts(d.Accounts)
	for i := range d.Exceptions {
		c.exception(d, i)
	}
	c.overlaps(d.Exceptions)
	c.capacity(d.Accounts, workers)
}

func (c *checker) defaults(d *Defaults) {
	c.atLeast("defaults.queue_limit", int64(d.QueueLimit), 1)
	c.share("defaults.retry_share", d.RetryShare)
	durations := []struct {
		field string
		v     settings.Duration
	}{
		{"defaults.ageing_limit", d.AgeingLimit},
		{"defaults.request_timeout", d.RequestTimeout},
		{"defaults.start_window", d.StartWindow},
		{"defaults.checkpoint_grace", d.CheckpointGrace},
		{"defaults.claim_retention", d.ClaimRetention},
		{"defaults.retry_horizon", d.RetryHorizon},
	}
	for _, f := range durations {
		c.positive(f.field, f.v)
	}
	if d.Lease.Duration <= MinLease {
		c.add("defaults.lease", "a duration over "+MinLease.String(), "%v does not outlast the loss of a planner", d.Lease)
	}
	if d.StartWindow.Duration >= d.Lease.Duration {
		c.add("defaults.start_window", "a duration under defaults.lease", "%v is not shorter than the lease of %v", d.StartWindow, d.Lease)
	}
	if !(d.CompletionTimeWeight >= 0 && d.FragmentationWeight >= 0 && d.CompletionTimeWeight+d.FragmentationWeight > 0) {
		c.add("defaults.completion_time_weight", "two weights that are not negative, with a positive sum",
			"%v and fragmentation_weight %v are not weights", d.CompletionTimeWeight, d.FragmentationWeight)
	}
}

func (c *checker) atLeast(field string, v, low int64) {
	if v < low {
		c.add(field, fmt.Sprintf("a whole number of at least %d", low), "%d is too small", v)
	}
}

func (c *checker) share(field string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.add(field, "a number from 0 to 1", "%v is not a share", v)
	}
}

func (c *checker) positive(field string, v settings.Duration) {
	if v.Duration <= 0 {
		c.add(field, "a duration over 0s with its unit, such as \"10s\"", "%v is not positive", v)
	}
}

// identity checks that a name is non-empty and unique.
func (c *checker) identity(field, v string, seen map[string]bool) {
	switch {
	case strings.TrimSpace(v) == "":
		c.add(field, "a non-empty string", "is missing")
	case seen[v]:
		c.add(field, "a unique name", "%q is used twice", v)
	}
	seen[v] = true
}

func (c *checker) kinds(kinds []Kind) {
	seen := make(map[string]bool)
	for i, k := range kinds {
		field := fmt.Sprintf("kinds[%d]", i)
		c.identity(field+".name", k.Name, seen)
		if k.Class != Urgent && k.Class != Normal && k.Class != Batch {
			c.add(field+".class", "urgent, normal, batch", "%q is not a class", k.Class)
		}
		if k.Expected.Duration < 0 {
			c.add(field+".expected", "a duration of at least 0s", "%v is negative", k.Expected)
		}
	}
}

func (c *checker) accounts(accounts []Account) {
	seen := make(map[string]bool)
	for i, a := range accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		c.identity(field+".id", a.ID, seen)
		g := a.Guarantee
		c.atLeast(field+".guarantee.slots", int64(g.Slots), 0)
		c.atLeast(field+".guarantee.workers", int64(g.Workers), 0)
		c.atLeast(field+".guarantee.accelerators", int64(g.Accelerators), 0)
		if (g.Workers == 0) != (g.Accelerators == 0) {
			c.add(field+".guarantee", "workers and accelerators, both zero or both positive", "%d workers with %d accelerators is not a shape", g.Workers, g.Accelerators)
		}
	}
}

func (c *checker) exception(d *Document, i int) {
	e := d.Exceptions[i]
	field := fmt.Sprintf("exceptions[%d]", i)
	if strings.TrimSpace(e.Reason) == "" {
		c.add(field+".reason", "a non-empty string", "is missing")
	}
	if e.Scope == (Scope{}) {
		c.add(field+".scope", "at least one of data_centre, account, target, kind", "is empty")
	}
	if _, ok := d.AccountNamed(e.Scope.Account); e.Scope.Account != "" && !ok {
		c.add(field+".scope.account", "the id of an account in this file", "%q is not an account", e.Scope.Account)
	}
	if _, ok := d.KindNamed(e.Scope.Kind); e.Scope.Kind != "" && !ok {
		c.add(field+".scope.kind", "the name of a kind in this file", "%q is not a kind", e.Scope.Kind)
	}
	c.overrides(field+".set", e)
}

func (c *checker) overrides(field string, e Exception) {
	if e.Set == (Overrides{}) {
		c.add(field, strings.Join(overrideKeys(), ", "), "sets nothing")
	}
	if v := e.Set.QueueLimit; v != nil {
		c.atLeast(field+".queue_limit", int64(*v), 1)
	}
	if v := e.Set.RetryShare; v != nil {
		c.share(field+".retry_share", *v)
	}
	durations := []struct {
		key string
		v   *settings.Duration
	}{
		{"ageing_limit", e.Set.AgeingLimit}, {"request_timeout", e.Set.RequestTimeout}, {"checkpoint_grace", e.Set.CheckpointGrace},
	}
	for _, f := range durations {
		if f.v != nil {
			c.positive(field+"."+f.key, *f.v)
		}
	}
	if e.Set.Cordon != nil && e.Scope.Target == "" && e.Scope.DataCentre == "" {
		c.add(field+".cordon", "a scope with a target or a data_centre", "the scope names no target")
	}
}

func overrideKeys() []string {
	keys := make([]string, len(overrides))
	for i, o := range overrides {
		keys[i] = o.key
	}
	return keys
}

// overlaps reports active exceptions that set the same key for the same scope.
func (c *checker) overlaps(exceptions []Exception) {
	type slot struct {
		scope Scope
		key   string
	}
	first := make(map[slot]int)
	for i := range exceptions {
		e := &exceptions[i]
		if !e.Active(c.now) {
			continue
		}
		for _, o := range overrides {
			s := slot{e.Scope, o.key}
			j, taken := first[s]
			if !o.set(&e.Set) {
				continue
			}
			if taken {
				c.add(fmt.Sprintf("exceptions[%d].set.%s", i, o.key), "one exception for each scope and key",
					"overlaps with exceptions[%d], which sets it for %s too", j, e.Scope)
				continue
			}
			first[s] = i
		}
	}
}

// capacity reports guarantees that exceed the known workers of a data centre.
func (c *checker) capacity(accounts []Account, workers []Worker) {
	byDataCentre := make(map[string][]int)
	for _, w := range workers {
		byDataCentre[w.DataCentre] = append(byDataCentre[w.DataCentre], w.Accelerators)
	}
	names := make([]string, 0, len(byDataCentre))
	for name := range byDataCentre {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c.capacityOf(name, byDataCentre[name], accounts)
	}
}

func (c *checker) capacityOf(dataCentre string, sizes []int, accounts []Account) {
	total, guaranteed := 0, 0
	for _, n := range sizes {
		total += n
	}
	for i, a := range accounts {
		g := a.Guarantee
		field := fmt.Sprintf("accounts[%d].guarantee", i)
		large := 0
		for _, n := range sizes {
			if n >= g.Accelerators {
				large++
			}
		}
		if g.Workers > large {
			c.add(field, fmt.Sprintf("at most %d workers", large), "data centre %s has %d workers with %d accelerators", dataCentre, large, g.Accelerators)
			continue
		}
		guaranteed += g.Workers * g.Accelerators
		if guaranteed > total {
			c.add(field, fmt.Sprintf("guarantees of at most %d accelerators together", total),
				"with it, %d accelerators of data centre %s are guaranteed", guaranteed, dataCentre)
			return
		}
	}
}
