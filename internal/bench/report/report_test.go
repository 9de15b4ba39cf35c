package report_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
)

func TestMeasureOK(t *testing.T) {
	is := is.New(t)
	f := report.Float
	is.True(report.Measure{Value: 2, AtMost: f(2)}.OK())
	is.True(!report.Measure{Value: 2, AtLeast: f(3)}.OK())
	is.True(report.Measure{Value: 2, Baseline: f(4), Ratio: true, AtMost: f(0.5)}.OK())
	is.True(!report.Measure{Value: 3, Baseline: f(4), Ratio: true, AtMost: f(0.5)}.OK())
	is.True(!report.Measure{Value: 0, Baseline: f(0), Ratio: true, AtMost: f(1)}.OK())
	is.True(!report.Measure{Value: math.NaN(), AtMost: f(1)}.OK())
}
