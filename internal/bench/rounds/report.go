// Package rounds compares two builds, or one build with and without a mechanism, on
// the users' bench: it plays the same days with the same seeds for both and reports the
// mean of the differences with its standard error.
package rounds

import (
	"encoding/json"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Figures are the figures of one play by name.
type Figures map[string]float64

// Result is the outcome of one play.
type Result struct {
	Figures Figures
	// Broken are the rules that were broken, sorted; empty for none.
	Broken []string
}

// The names of the figures that every play has. Besides them there is one for the share
// in time of each kind of request, which begins with inTimePrefix.
const (
	worthFigure     = "worth"
	wholeDayFigure  = "whole day"
	windowsFigure   = "worst windows"
	classFigure     = "worst class"
	tenantsFigure   = "worst tenants"
	pricesFigure    = "prices"
	discardedFigure = "core-seconds lost"
	stoppedFigure   = "runs stopped"
	inTimePrefix    = "in time, "
)

// report is the part of the bench's report that is read.
type report struct {
	Worth  float64                    `json:"G"`
	Breaks map[string]json.RawMessage `json:"breaks"`
	Fault  *string                    `json:"fault"`
	// Parts has rows of a name, a weight and a value.
	Parts [][]any `json:"parts"`
	// Prices has rows of a name, an amount and a price.
	Prices  [][]any `json:"prices"`
	Classes []class `json:"classes"`
	// Hints are sentences; the first counts the runs.
	Hints []string `json:"hints"`
}

// class counts the requests of one kind.
type class struct {
	Name   string `json:"name"`
	Asked  int    `json:"n"`
	InTime int    `json:"in_aim"`
	// NotOwed counts the requests that nobody had to serve.
	NotOwed int `json:"not_owed"`
}

var stoppedPattern = regexp.MustCompile(`(\d+) stopped`)

// discardedPrice is the bench's name of the price of work that was discarded.
const discardedPrice = "core-seconds of work thrown away"

// ReadReport reads a report of the bench. Its errors are of kind Internal.
func ReadReport(path string) (*Result, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "read a report of the bench")
	}
	var r report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decode %s", path)
	}
	return r.result(), nil
}

func (r *report) result() *Result {
	res := &Result{Figures: Figures{worthFigure: r.Worth}}
	for _, row := range r.Parts {
		if name, _, value, ok := cells(row); ok {
			res.Figures[name] = value
		}
	}
	for _, row := range r.Prices {
		name, amount, price, ok := cells(row)
		if !ok {
			continue
		}
		res.Figures[pricesFigure] += price
		if name == discardedPrice {
			res.Figures[discardedFigure] = amount
		}
	}
	for _, c := range r.Classes {
		if owed := c.Asked - c.NotOwed; owed > 0 {
			res.Figures[inTimePrefix+c.Name] = float64(c.InTime) / float64(owed)
		}
	}
	for _, hint := range r.Hints {
		if m := stoppedPattern.FindStringSubmatch(hint); m != nil && strings.Contains(hint, " runs: ") {
			n, err := strconv.Atoi(m[1])
			if err == nil {
				res.Figures[stoppedFigure] = float64(n)
			}
		}
	}
	for rule := range r.Breaks {
		res.Broken = append(res.Broken, rule)
	}
	if r.Fault != nil {
		res.Broken = append(res.Broken, "fault: "+*r.Fault)
	}
	sort.Strings(res.Broken)
	return res
}

// cells returns the cells of a row with a name and two numbers.
func cells(row []any) (name string, a, b float64, ok bool) {
	if len(row) < 3 {
		return "", 0, 0, false
	}
	name, isName := row[0].(string)
	a, isA := row[1].(float64)
	b, isB := row[2].(float64)
	return name, a, b, isName && isA && isB
}
