package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Parse reads and checks a configuration file. The error is of kind BadConfig
// and names the line and what is accepted.
func Parse(file string, b []byte) (Document, error) {
	doc := DefaultDocument()
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&doc); err != nil {
		return Document{}, decodeError(file, err)
	}
	if err := doc.Check(); err != nil {
		return Document{}, fault.New(fault.BadConfig, "%s: %v", file, err)
	}
	return doc, nil
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, _ := e.Position()
		return fault.New(fault.BadConfig, "%s:%d: %s is not a known key", file, line, strings.Join(e.Key(), "."))
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ := de.Position()
		return fault.New(fault.BadConfig, "%s:%d: %s: %v", file, line, strings.Join(de.Key(), "."), de)
	}
	return fault.New(fault.BadConfig, "%s: %v", file, err)
}

// Check returns the first problem of the configuration.
func (d *Document) Check() error {
	for i, e := range d.Exceptions {
		if strings.TrimSpace(e.Reason) == "" {
			return fmt.Errorf("exceptions[%d].reason is empty; accepted: a non-empty string", i)
		}
		if e.Scope == (Scope{}) {
			return fmt.Errorf("exceptions[%d].scope is empty; accepted: data_centre, account, target, kind", i)
		}
	}
	seen := make(map[string]bool)
	for i, a := range d.Accounts {
		if a.ID == "" || seen[a.ID] {
			return fmt.Errorf("accounts[%d].id %q is empty or stands twice; accepted: unique ids", i, a.ID)
		}
		seen[a.ID] = true
	}
	for i, k := range d.Kinds {
		if k.Class != Urgent && k.Class != Normal && k.Class != Batch {
			return fmt.Errorf("kinds[%d].class %q is not known; accepted: urgent, normal, batch", i, k.Class)
		}
	}
	return nil
}
