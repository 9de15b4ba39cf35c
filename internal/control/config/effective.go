package config

import (
	"fmt"
	"time"
)

// Effective contains the values in force for a scope at one time.
type Effective struct {
	Defaults
	// Cordon reports that the scope's targets get no new work.
	Cordon bool `json:"cordon"`
	// Sources lists the origin of the value of every key that an exception can set.
	Sources []Source `json:"sources"`
}

// Source describes the origin of the value of a key.
type Source struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Reason is the exception's reason; empty for a default.
	Reason string `json:"reason,omitempty"`
	// Scope is the exception's scope; the zero scope for a default.
	Scope Scope `json:"scope,omitzero"`
}

// Matches reports whether an exception with this scope applies to scope q.
func (s Scope) Matches(q Scope) bool {
	return matches(s.DataCentre, q.DataCentre) && matches(s.Account, q.Account) &&
		matches(s.Target, q.Target) && matches(s.Kind, q.Kind)
}

func matches(want, got string) bool { return want == "" || want == got }

// rank orders scopes by precedence, lowest first: data centre, kind, account,
// target. A scope that sets a field of higher precedence outranks any combination
// of the lower ones.
func (s Scope) rank() int {
	r := 0
	for i, field := range []string{s.DataCentre, s.Kind, s.Account, s.Target} {
		if field != "" {
			r |= 1 << i
		}
	}
	return r
}

// String returns the scope's fields in a fixed order.
func (s Scope) String() string {
	text := ""
	for _, f := range []struct{ name, v string }{
		{"data_centre", s.DataCentre}, {"account", s.Account}, {"target", s.Target}, {"kind", s.Kind},
	} {
		if f.v != "" {
			text += " " + f.name + "=" + f.v
		}
	}
	if text == "" {
		return "everywhere"
	}
	return text[1:]
}

// Active reports whether the exception has not expired at a time.
func (e *Exception) Active(now time.Time) bool {
	return e.Expires.IsZero() || now.Before(e.Expires)
}

// override is one key that exceptions can set.
type override struct {
	key string
	// set reports whether an exception sets the key.
	set func(o *Overrides) bool
	// apply copies the exception's value, which must be set.
	apply func(e *Effective, o *Overrides)
	// current returns the value in force.
	current func(e *Effective) string
}

var overrides = []override{
	{
		"queue_limit", func(o *Overrides) bool { return o.QueueLimit != nil },
		func(e *Effective, o *Overrides) { e.QueueLimit = *o.QueueLimit },
		func(e *Effective) string { return fmt.Sprint(e.QueueLimit) },
	},
	{
		"retry_share", func(o *Overrides) bool { return o.RetryShare != nil },
		func(e *Effective, o *Overrides) { e.RetryShare = *o.RetryShare },
		func(e *Effective) string { return fmt.Sprint(e.RetryShare) },
	},
	{
		"ageing_limit", func(o *Overrides) bool { return o.AgeingLimit != nil },
		func(e *Effective, o *Overrides) { e.AgeingLimit = *o.AgeingLimit },
		func(e *Effective) string { return fmt.Sprint(e.AgeingLimit) },
	},
	{
		"request_timeout", func(o *Overrides) bool { return o.RequestTimeout != nil },
		func(e *Effective, o *Overrides) { e.RequestTimeout = *o.RequestTimeout },
		func(e *Effective) string { return fmt.Sprint(e.RequestTimeout) },
	},
	{
		"checkpoint_grace", func(o *Overrides) bool { return o.CheckpointGrace != nil },
		func(e *Effective, o *Overrides) { e.CheckpointGrace = *o.CheckpointGrace },
		func(e *Effective) string { return fmt.Sprint(e.CheckpointGrace) },
	},
	{
		"cordon", func(o *Overrides) bool { return o.Cordon != nil },
		func(e *Effective, o *Overrides) { e.Cordon = *o.Cordon },
		func(e *Effective) string { return fmt.Sprint(e.Cordon) },
	},
}

// Effective returns the values in force for a scope at a time. An exception
// applies when it has not expired and every field that its scope sets equals that
// of q. For each key, the exception with the highest-ranking scope takes effect.
func (d *Document) Effective(q Scope, now time.Time) Effective {
	e := Effective{Defaults: d.Defaults}
	for _, o := range overrides {
		winningException := d.winningException(o, q, now)
		s := Source{Key: o.key}
		if winningException != nil {
			o.apply(&e, &winningException.Set)
			s.Reason, s.Scope = winningException.Reason, winningException.Scope
		}
		s.Value = o.current(&e)
		e.Sources = append(e.Sources, s)
	}
	return e
}

// winningException returns the exception that sets a key for scope q, or nil.
func (d *Document) winningException(o override, q Scope, now time.Time) *Exception {
	var best *Exception
	for i := range d.Exceptions {
		x := &d.Exceptions[i]
		if !o.set(&x.Set) || !x.Active(now) || !x.Scope.Matches(q) {
			continue
		}
		if best == nil || x.Scope.rank() > best.Scope.rank() {
			best = x
		}
	}
	return best
}
