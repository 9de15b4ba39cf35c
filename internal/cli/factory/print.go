package factory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// JSON is the value of the flag --json. The zero value means that the flag is
// not given.
type JSON struct {
	On bool
	// Fields are the fields to print; empty for all.
	Fields []string
}

// String returns the flag's value.
func (j *JSON) String() string { return strings.Join(j.Fields, ",") }

// IsBoolFlag reports that the flag can be given without a value.
func (j *JSON) IsBoolFlag() bool { return true }

// Set parses the flag's value: true, false or the names of fields, separated by
// commas.
func (j *JSON) Set(v string) error {
	switch v {
	case "true", "false":
		j.On, j.Fields = v == "true", nil
	default:
		j.On, j.Fields = true, strings.Split(v, ",")
	}
	return nil
}

// Table is a result that is printed in rows.
type Table struct {
	// Header names the columns; it is printed on a terminal only.
	Header []string
	Rows   [][]string
}

// PrintJSON prints v, or the fields of it that j names, as indented JSON. If v has
// a single field and that is a list, j names fields of the list's elements.
func (f *Factory) PrintJSON(j JSON, v any) error {
	if len(j.Fields) > 0 {
		var err error
		if v, err = selectFields(v, j.Fields); err != nil {
			return err
		}
	}
	e := json.NewEncoder(f.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// selectFields returns the JSON form of v with only the named fields.
func selectFields(v any, fields []string) (any, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var object map[string]any
	if err := d.Decode(&object); err != nil {
		return nil, err
	}
	for _, value := range object {
		if list, ok := value.([]any); ok && len(object) == 1 {
			return selectFieldsOfEach(list, fields)
		}
	}
	return selectFieldsOfObject(object, fields)
}

func selectFieldsOfEach(list []any, fields []string) (any, error) {
	selected := make([]any, len(list))
	for i, e := range list {
		object, _ := e.(map[string]any)
		var err error
		if selected[i], err = selectFieldsOfObject(object, fields); err != nil {
			return nil, err
		}
	}
	return selected, nil
}

// selectFieldsOfObject returns the named fields of an object. A field that the
// object lacks is null. It returns a BadRequest error if the object has none of
// them.
func selectFieldsOfObject(object map[string]any, fields []string) (any, error) {
	selected, found := make(map[string]any), false
	for _, name := range fields {
		value, ok := object[name]
		selected[name], found = value, found || ok
	}
	if !found {
		return nil, fault.WithField(fault.BadRequest, "--json", "none of %s is a field", strings.Join(fields, ", "))
	}
	return selected, nil
}

// printTable prints aligned rows under a header on a terminal, and tab-separated
// rows without a header elsewhere.
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
