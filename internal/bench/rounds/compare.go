package rounds

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Pair is the outcome of one day and seed with both builds.
type Pair struct {
	Day           string
	Seed          int
	Before, After *Result
}

// Difference is the change of a figure over a set of pairs.
type Difference struct {
	Figure string
	// Before and After are the means of the figure.
	Before, After float64
	// Mean is the mean of the pairs' differences and StandardError its standard error;
	// the latter is NaN for a single pair.
	Mean, StandardError float64
	Pairs               int
}

// Compare returns the change of each figure that all pairs have, sorted by the order of
// figureOrder and then by name.
func Compare(pairs []Pair) []Difference {
	var all []Difference
	for _, figure := range sharedFigures(pairs) {
		all = append(all, compareFigure(figure, pairs))
	}
	return all
}

func compareFigure(figure string, pairs []Pair) Difference {
	d := Difference{Figure: figure, Pairs: len(pairs)}
	n := float64(len(pairs))
	for _, p := range pairs {
		d.Before += p.Before.Figures[figure] / n
		d.After += p.After.Figures[figure] / n
	}
	d.Mean = d.After - d.Before
	squares := 0.0
	for _, p := range pairs {
		deviation := p.After.Figures[figure] - p.Before.Figures[figure] - d.Mean
		squares += deviation * deviation
	}
	d.StandardError = math.Sqrt(squares / (n - 1) / n)
	return d
}

// figureOrder are the figures that are printed first.
var figureOrder = []string{worthFigure, wholeDayFigure, windowsFigure, classFigure, tenantsFigure, pricesFigure, discardedFigure, stoppedFigure}

func sharedFigures(pairs []Pair) []string {
	if len(pairs) == 0 {
		return nil
	}
	var figures []string
	for f := range pairs[0].Before.Figures {
		if hasFigure(pairs, f) {
			figures = append(figures, f)
		}
	}
	rank := func(f string) int {
		for i, x := range figureOrder {
			if x == f {
				return i
			}
		}
		return len(figureOrder)
	}
	sort.Slice(figures, func(a, b int) bool {
		if x, y := rank(figures[a]), rank(figures[b]); x != y {
			return x < y
		}
		return figures[a] < figures[b]
	})
	return figures
}

func hasFigure(pairs []Pair, figure string) bool {
	for _, p := range pairs {
		_, before := p.Before.Figures[figure]
		_, after := p.After.Figures[figure]
		if !before || !after {
			return false
		}
	}
	return true
}

// minSignificance is the number of standard errors from which a difference is marked.
const minSignificance = 2

// mark returns a mark for a difference that noise does not explain.
func (d *Difference) mark() string {
	if math.Abs(d.Mean) > minSignificance*d.StandardError {
		return "*"
	}
	return ""
}

// WriteTable writes a Markdown table of the differences, and a line for each pair.
func WriteTable(w io.Writer, pairs []Pair) error {
	var b strings.Builder
	b.WriteString("| figure | before | after | difference | standard error |\n|---|---|---|---|---|\n")
	differences := Compare(pairs)
	for i := range differences {
		d := &differences[i]
		fmt.Fprintf(&b, "| %s | %s | %s | %s%s | %s |\n", d.Figure, number(d.Before), number(d.After), signed(d.Mean), d.mark(), number(d.StandardError))
	}
	b.WriteString("\n")
	for _, p := range pairs {
		fmt.Fprintf(&b, "%s %d: worth %.3f %.3f%s\n", p.Day, p.Seed, p.Before.Figures[worthFigure], p.After.Figures[worthFigure], brokenRules(p))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fault.Wrap(fault.Internal, err, "write the table")
	}
	return nil
}

func brokenRules(p Pair) string {
	text := ""
	if len(p.Before.Broken) > 0 {
		text += "; broken before: " + strings.Join(p.Before.Broken, " ")
	}
	if len(p.After.Broken) > 0 {
		text += "; broken after: " + strings.Join(p.After.Broken, " ")
	}
	return text
}

// largeFigure is the size from which figures are printed without decimals.
const largeFigure = 10

func number(x float64) string {
	if math.Abs(x) >= largeFigure {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

func signed(x float64) string {
	if x >= 0 {
		return "+" + number(x)
	}
	return number(x)
}
