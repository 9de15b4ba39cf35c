package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

// Check returns all problems of the settings. lines has the lines of the file's
// keys, sources the sources of settings that do not come from the file.
func (s *Settings) Check(file string, lines Lines, sources Sources) []Problem {
	var c checker
	c.nonEmpty("vm_id", s.VMID)
	c.nonEmpty("data_centre", s.DataCentre)
	c.nonEmpty("region", s.Region)
	c.address("listen.advertise_peers", s.Listen.AdvertisedPeers())
	for i, seed := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.distinct([]listener{
		{"listen.callers", c.address("listen.callers", s.Listen.Callers)},
		{"listen.operators", c.address("listen.operators", s.Listen.Operators)},
		{"listen.peers", c.address("listen.peers", s.Listen.Peers)},
		{"platform.address", c.address("platform.address", s.Platform.Address)},
	})
	c.nonEmpty("operators.token_file", s.Operators.TokenFile)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	c.positive("limits.max_body_bytes", s.Limits.MaxBodyBytes)
	c.positive("limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes))
	c.positive("limits.max_concurrent", int64(s.Limits.MaxConcurrent))
	c.positive("limits.memory", s.Limits.Memory)
	c.duration("limits.read_timeout", s.Limits.ReadTimeout)
	c.duration("limits.idle_timeout", s.Limits.IdleTimeout)
	c.duration("limits.drain_timeout", s.Limits.DrainTimeout)
	for i := range c.problems {
		p := &c.problems[i]
		p.File, p.Line = file, lines.Of(p.Field)
		if source, ok := sources[p.Field]; ok {
			p.File, p.Line = string(source), 0
		}
	}
	return c.problems
}

type checker struct {
	problems []Problem
}

func (c *checker) add(field, message, accepted string) {
	c.problems = append(c.problems, Problem{Field: field, Message: message, Accepted: accepted})
}

func (c *checker) nonEmpty(field, v string) {
	if strings.TrimSpace(v) == "" {
		c.add(field, "is missing", "a non-empty string")
	}
}

// address returns the parsed address, or the zero value if it is invalid.
func (c *checker) address(field, v string) netip.AddrPort {
	ap, err := netip.ParseAddrPort(v)
	switch {
	case v == "":
		c.add(field, "is missing", "an IP address with a port, such as 127.0.0.1:7001")
	case err != nil || ap.Port() == 0:
		c.add(field, fmt.Sprintf("%q is not an address", v), "an IP address with a port, such as 127.0.0.1:7001")
		return netip.AddrPort{}
	}
	return ap
}

// listener is an address setting that must not conflict with the others.
type listener struct {
	field   string
	address netip.AddrPort
}

func (c *checker) distinct(all []listener) {
	for i, a := range all {
		for _, b := range all[:i] {
			if conflict(a.address, b.address) {
				c.add(a.field, fmt.Sprintf("%v clashes with %s, %v", a.address, b.field, b.address), "an address of its own")
			}
		}
	}
}

// conflict reports whether two addresses cannot both be listened on.
func conflict(a, b netip.AddrPort) bool {
	if !a.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) oneOf(field, v string, accepted ...string) {
	for _, a := range accepted {
		if v == a {
			return
		}
	}
	c.add(field, fmt.Sprintf("%q is not known", v), strings.Join(accepted, ", "))
}

func (c *checker) positive(field string, v int64) {
	if v <= 0 {
		c.add(field, fmt.Sprintf("%d is not positive", v), "a whole number over 0")
	}
}

func (c *checker) duration(field string, v Duration) {
	if v.Duration <= 0 {
		c.add(field, fmt.Sprintf("%v is not positive", v), "a duration over 0s with its unit, such as \"10s\"")
	}
}
