package settings

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Source describes where the value of a setting comes from.
type Source string

// Sources maps the names of settings that do not come from the file to their
// sources.
type Sources map[string]Source

// field is a setting that can be set by a flag or by the environment.
type field struct {
	name string
	// target returns a pointer to the value: a *string, *int, *int64, *Duration
	// or *[]string.
	target func(s *Settings) any
}

var fields = []field{
	{"vm_id", func(s *Settings) any { return &s.VMID }},
	{"data_centre", func(s *Settings) any { return &s.DataCentre }},
	{"region", func(s *Settings) any { return &s.Region }},
	{"listen.callers", func(s *Settings) any { return &s.Listen.Callers }},
	{"listen.operators", func(s *Settings) any { return &s.Listen.Operators }},
	{"listen.peers", func(s *Settings) any { return &s.Listen.Peers }},
	{"listen.advertise_peers", func(s *Settings) any { return &s.Listen.AdvertisePeers }},
	{"platform.address", func(s *Settings) any { return &s.Platform.Address }},
	{"peers.seeds", func(s *Settings) any { return &s.Peers.Seeds }},
	{"operators.token_file", func(s *Settings) any { return &s.Operators.TokenFile }},
	{"log.level", func(s *Settings) any { return &s.Log.Level }},
	{"log.format", func(s *Settings) any { return &s.Log.Format }},
	{"limits.max_body_bytes", func(s *Settings) any { return &s.Limits.MaxBodyBytes }},
	{"limits.max_header_bytes", func(s *Settings) any { return &s.Limits.MaxHeaderBytes }},
	{"limits.max_concurrent", func(s *Settings) any { return &s.Limits.MaxConcurrent }},
	{"limits.memory", func(s *Settings) any { return &s.Limits.Memory }},
	{"limits.read_timeout", func(s *Settings) any { return &s.Limits.ReadTimeout }},
	{"limits.idle_timeout", func(s *Settings) any { return &s.Limits.IdleTimeout }},
	{"limits.drain_timeout", func(s *Settings) any { return &s.Limits.DrainTimeout }},
}

// Names returns the names of all settings, sorted.
func Names() []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	sort.Strings(names)
	return names
}

// FlagName returns the name of the flag of a setting.
func FlagName(name string) string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(name)
}

// Set sets a setting from the text of a flag or of the environment. The
// elements of a list are separated by commas.
func (s *Settings) Set(name, text string) error {
	for _, f := range fields {
		if f.name == name {
			return set(f.target(s), text)
		}
	}
	return fmt.Errorf("%s is not a setting", name)
}

func set(target any, text string) error {
	switch t := target.(type) {
	case *string:
		*t = text
	case *[]string:
		*t = strings.Split(text, ",")
	case *Duration:
		return t.UnmarshalText([]byte(text))
	case *int:
		n, err := strconv.Atoi(text)
		*t = n
		return numberError(err)
	case *int64:
		n, err := strconv.ParseInt(text, 10, 64)
		*t = n
		return numberError(err)
	}
	return nil
}

func numberError(err error) error {
	if err != nil {
		return fmt.Errorf("accepted are whole numbers")
	}
	return nil
}

// Text returns the value of a setting as TOML, or the empty string for an unknown
// name.
func (s *Settings) Text(name string) string {
	for _, f := range fields {
		if f.name == name {
			return textOf(f.target(s))
		}
	}
	return ""
}

func textOf(target any) string {
	switch t := target.(type) {
	case *int:
		return strconv.Itoa(*t)
	case *int64:
		return strconv.FormatInt(*t, 10)
	case *Duration:
		return strconv.Quote(t.String())
	case *[]string:
		quoted := make([]string, len(*t))
		for i, e := range *t {
			quoted[i] = strconv.Quote(e)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	case *string:
		return strconv.Quote(*t)
	}
	return ""
}
