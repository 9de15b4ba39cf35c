// Package report prints the measures of a benchmark with their baselines and
// bounds.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// Measure is one figure of a benchmark.
type Measure struct {
	Area string `json:"area"`
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Value is the figure that this run measured.
	Value float64 `json:"value"`
	// Baseline is the figure that the same run measured for the alternative
	// that Value is compared with; nil if there is none.
	Baseline *float64 `json:"baseline,omitempty"`
	// AtMost and AtLeast bound the value, or its ratio to the baseline if Ratio
	// is set; nil means no bound. They follow from the stated requirement.
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
	Ratio   bool     `json:"ratio,omitempty"`
	// Note says what the figure does not include, or how it is measured.
	Note string `json:"note,omitempty"`
}

// Float returns a pointer to v for the optional fields of a Measure.
func Float(v float64) *float64 { return &v }

// OK reports whether the measure is within its bounds. A ratio without a baseline,
// or to a baseline of 0, is never within them.
func (m Measure) OK() bool {
	v := m.Value
	if m.Ratio {
		if m.Baseline == nil || *m.Baseline == 0 {
			return false
		}
		v /= *m.Baseline
	}
	if m.AtMost != nil && !(v <= *m.AtMost) {
		return false
	}
	return m.AtLeast == nil || v >= *m.AtLeast
}

func (m Measure) bound() string {
	unit := ""
	if m.Ratio {
		unit = " x baseline"
	}
	s := ""
	if m.AtMost != nil {
		s = fmt.Sprintf("<= %.4g%s", *m.AtMost, unit)
	}
	if m.AtLeast != nil {
		s += fmt.Sprintf(">= %.4g%s", *m.AtLeast, unit)
	}
	return s
}

func (m Measure) verdict() string {
	switch {
	case m.AtMost == nil && m.AtLeast == nil:
		return "reported"
	case m.OK():
		return "ok"
	}
	return "FAIL"
}

// JSONVariable is the environment variable that selects JSON output.
const JSONVariable = "DOGWOODWORKS_BENCH_JSON"

// Print prints measures to standard output, as JSON if JSONVariable is set and as
// a table otherwise, and returns the names of those that are out of their bounds.
func Print(measures []Measure) []string {
	if os.Getenv(JSONVariable) != "" {
		printJSON(os.Stdout, measures)
	} else {
		printTable(os.Stdout, measures)
	}
	var failed []string
	for _, m := range measures {
		if m.verdict() == "FAIL" {
			failed = append(failed, m.Area+"/"+m.Name)
		}
	}
	return failed
}

func printJSON(w io.Writer, measures []Measure) {
	e := json.NewEncoder(w)
	for _, m := range measures {
		_ = e.Encode(m)
	}
}

func printTable(w io.Writer, measures []Measure) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "AREA\tMEASURE\tVALUE\tUNIT\tBASELINE\tBOUND\tVERDICT\tNOTE")
	for _, m := range measures {
		baseline := "-"
		if m.Baseline != nil {
			baseline = fmt.Sprintf("%.4g", *m.Baseline)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g\t%s\t%s\t%s\t%s\t%s\n",
			m.Area, m.Name, m.Value, m.Unit, baseline, m.bound(), m.verdict(), m.Note)
	}
	_ = t.Flush()
}
