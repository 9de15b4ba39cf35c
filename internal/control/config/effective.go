package config

import (
	"fmt"
	"time"
)

// Effective holds the values that are in force within a scope at one time.
type Effective struct {
	Defaults
	// Cordon says that the scope's targets get no new work.
	Cordon bool `json:"cordon"`
	// Sources tells, for every key that an exception may set, what set it.
	Sources []Source `json:"sources"`
}

// Source tells where the value of a key comes from.
type Source struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Reason is the exception's reason; empty for a default.
	Reason string `json:"reason,omitempty"`
	// Scope is the exception's scope; the zero scope for a default.
	Scope Scope `json:"scope,omitzero"`
}

// Matches reports whether an exception with this scope holds for work of
// scope q.
func (s Scope) Matches(q Scope) bool {
	return matches(s.DataCentre, q.DataCentre) && matches(s.Account, q.Account) &&
		matches(s.Target, q.Target) && matches(s.Kind, q.Kind)
}

func matches(want, got string) bool { return want == "" || want == got }

// rank orders scopes: an exception of a higher rank goes before one of a lower
// rank. A target goes before an account, an account before a kind, and a kind
// before a data centre.
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

// Active reports whether an exception holds at a time.
func (e *Exception) Active(now time.Time) bool {
	return e.Expires.IsZero() || now.Before(e.Expires)
}

// override is one key that exceptions may set.
type override struct {
	key string
	// set reports whether an exception sets the key.
	set func(o *Overrides) bool
	// apply copies the exception's value, which is set.
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

// Effective returns the values in force within a scope at a time. An exception
// takes part when every field that its scope sets equals that of q and it has
// not expired. For one key, the exception with the highest-ranking scope wins.
func (d *Document) Effective(q Scope, now time.Time) Effective {
	e := Effective{Defaults: d.Defaults}
	for _, o := range overrides {
		winner := d.winner(o, q, now)
		s := Source{Key: o.key}
		if winner != nil {
			o.apply(&e, &winner.Set)
			s.Reason, s.Scope = winner.Reason, winner.Scope
		}
		s.Value = o.current(&e)
		e.Sources = append(e.Sources, s)
	}
	return e
}

func (d *Document) winner(o override, q Scope, now time.Time) *Exception {
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
