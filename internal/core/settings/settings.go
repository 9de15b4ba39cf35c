// Package settings reads and checks the settings file of the daemon.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Settings are the settings of one daemon. Values that apply to the whole fleet
// belong to the configuration instead.
type Settings struct {
	// VMID is unique in the fleet.
	VMID string `toml:"vm_id"`
	// DataCentre is the data centre in which the VM runs.
	DataCentre string `toml:"data_centre"`
	// Region is the region of the data centre.
	Region    string    `toml:"region"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Peers     Peers     `toml:"peers"`
	Operators Operators `toml:"operators"`
	Log       Log       `toml:"log"`
	Limits    Limits    `toml:"limits"`
}

// Listen holds the addresses that the daemon listens on. All are IP addresses
// with a port, and no two are equal.
type Listen struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
	// AdvertisePeers is the address at which peers call the daemon; Peers if
	// empty.
	AdvertisePeers string `toml:"advertise_peers"`
}

// AdvertisedPeers returns the address at which peers call the daemon.
func (l Listen) AdvertisedPeers() string {
	if l.AdvertisePeers != "" {
		return l.AdvertisePeers
	}
	return l.Peers
}

// Platform holds the address of the platform's service.
type Platform struct {
	Address string `toml:"address"`
}

// Peers holds the addresses of the peers to query before the platform's list is
// available.
type Peers struct {
	Seeds []string `toml:"seeds"`
}

// Operators holds the settings for the authentication of operators.
type Operators struct {
	// TokenFile is the path of the file with the operators' token.
	TokenFile string `toml:"token_file"`
}

// Log holds the level and the format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
}

// Limits bound the requests that the listeners accept and a planned stop.
type Limits struct {
	// MaxBodyBytes is the size of the largest accepted request body of a caller
	// or operator.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeaderBytes is the size of the largest accepted request header.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxConcurrent is the number of requests that one listener serves at once.
	MaxConcurrent int `toml:"max_concurrent"`
	// ReadTimeout bounds the time to read one request.
	ReadTimeout Duration `toml:"read_timeout"`
	// IdleTimeout bounds the time that a connection waits for a request.
	IdleTimeout Duration `toml:"idle_timeout"`
	// Memory is the memory of the process in bytes, of which clients may hold a part.
	Memory int64 `toml:"memory"`
	// DrainTimeout bounds the duration of a planned stop.
	DrainTimeout Duration `toml:"drain_timeout"`
}

// Duration is a time.Duration written with its unit, such as "10s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("accepted are durations with a unit, such as \"10s\" or \"500ms\"")
	}
	d.Duration = v
	return nil
}

// MarshalText writes a duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Default values of settings.
const (
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxConcurrent  = 4096
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 120 * time.Second
	DefaultDrainTimeout   = 120 * time.Second
	DefaultMemory         = 2 << 30
)

// Problem is an error in a settings file.
type Problem struct {
	File string
	// Line is 0 if the problem has no line, for example for a missing field.
	Line    int
	Field   string
	Message string
	// Accepted describes the accepted values; empty if they are not listed.
	Accepted string
}

// String returns the problem in the form FILE:LINE: FIELD: MESSAGE; accepted: VALUES.
func (p Problem) String() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d", p.Line)
	}
	s += ": " + p.Field + ": " + p.Message
	if p.Accepted != "" {
		s += "; accepted: " + p.Accepted
	}
	return s
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		Log: Log{Level: "info", Format: "text"},
		Limits: Limits{
			MaxBodyBytes: DefaultMaxBodyBytes, MaxHeaderBytes: DefaultMaxHeaderBytes,
			MaxConcurrent: DefaultMaxConcurrent, Memory: DefaultMemory,
			ReadTimeout:  Duration{DefaultReadTimeout},
			IdleTimeout:  Duration{DefaultIdleTimeout},
			DrainTimeout: Duration{DefaultDrainTimeout},
		},
	}
}

// Parse decodes a settings file over the default settings. It does not check the
// values.
func Parse(file string, b []byte) (Settings, []Problem) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, DecodeProblems(file, err, Names())
	}
	return s, nil
}

// DecodeProblems returns the problems that an error of decoding a TOML file
// describes; accepted lists the known keys.
func DecodeProblems(file string, err error, accepted []string) []Problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var ps []Problem
		for _, e := range strict.Errors {
			line, _ := e.Position()
			ps = append(ps, Problem{
				File: file, Line: line, Field: strings.Join(e.Key(), "."),
				Message: "is not a known key", Accepted: strings.Join(accepted, ", "),
			})
		}
		return ps
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ := de.Position()
		return []Problem{{File: file, Line: line, Field: strings.Join(de.Key(), "."), Message: strings.TrimPrefix(de.Error(), "toml: ")}}
	}
	return []Problem{{File: file, Field: "file", Message: err.Error()}}
}

// Error returns problems as one error of kind BadSettings, or nil if there are
// none.
func Error(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return fault.New(fault.BadSettings, "%s", strings.Join(lines, "\n"))
}

// SlogLevel returns the level of the log for package slog.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level))
	return level
}
