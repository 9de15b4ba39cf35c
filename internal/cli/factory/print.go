package factory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// JSON is the value of the flag --json. The zero value is a flag not given.
type JSON struct {
	On bool
	// Fields are the fields to print; empty for all.
	Fields []string
}

// String returns the flag's value.
func (j *JSON) String() string { return strings.Join(j.Fields, ",") }

// IsBoolFlag says that the flag needs no value.
func (j *JSON) IsBoolFlag() bool { return true }

// Set takes the flag's value: true, false or the names of fields.
func (j *JSON) Set(v string) error {
	switch v {
	case "true", "false":
		j.On, j.Fields = v == "true", nil
	default:
		j.On, j.Fields = true, strings.Split(v, ",")
	}
	return nil
}

// Table is a result in rows.
type Table struct {
	// Header names the columns; it is printed on a terminal only.
	Header []string
	Rows   [][]string
}

// PrintJSON prints a value, or some fields of it, as indented JSON. Fields are
// those of the value, or of the elements of the list that is its only field.
func (f *Factory) PrintJSON(j JSON, v any) error {
	if len(j.Fields) > 0 {
		var err error
		if v, err = choose(v, j.Fields); err != nil {
			return err
		}
	}
	e := json.NewEncoder(f.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// choose returns the JSON form of v with just the named fields.
func choose(v any, fields []string) (any, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var whole map[string]any
	if err := d.Decode(&whole); err != nil {
		return nil, err
	}
	for _, only := range whole {
		if list, ok := only.([]any); ok && len(whole) == 1 {
			return chooseEach(list, fields)
		}
	}
	return chooseOf(whole, fields)
}

func chooseEach(list []any, fields []string) (any, error) {
	chosen := make([]any, len(list))
	for i, e := range list {
		object, _ := e.(map[string]any)
		var err error
		if chosen[i], err = chooseOf(object, fields); err != nil {
			return nil, err
		}
	}
	return chosen, nil
}

// chooseOf takes the named fields of an object; one that the object leaves out
// is null, but at least one must be there.
func chooseOf(object map[string]any, fields []string) (any, error) {
	chosen, found := make(map[string]any), false
	for _, name := range fields {
		value, ok := object[name]
		chosen[name], found = value, found || ok
	}
	if !found {
		return nil, fault.WithField(fault.BadRequest, "--json", "none of %s is a field", strings.Join(fields, ", "))
	}
	return chosen, nil
}

// printTable prints rows under a header on a terminal, and tab-separated
// without a header elsewhere.
func (f *Factory) printTable(t Table) error {
	if !f.Terminal {
		for _, row := range t.Rows {
			if _, err := fmt.Fprintln(f.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(f.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Header, "\t")))
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
