package rounds_test

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/rounds"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

func TestReadReport(t *testing.T) {
	is := is.New(t)
	r, err := rounds.ReadReport("testdata/report.json")
	is.NoErr(err)
	is.Equal(r.Broken, []string{"TWICE"})
	for figure, want := range map[string]float64{
		"worth": 0.75, "worst windows": 0.5, "prices": 0.06, "core-seconds lost": 1200, "runs stopped": 12, "in time, check": 0.8,
	} {
		if got := r.Figures[figure]; math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", figure, got, want)
		}
	}
	if _, ok := r.Figures["in time, render"]; ok {
		t.Error("a kind of which nothing was owed has a share in time")
	}
}

func TestReadReportRefusesOtherFiles(t *testing.T) {
	if _, err := rounds.ReadReport("rounds_test.go"); !fault.Is(err, fault.Internal) {
		t.Errorf("got %v, want an error of kind Internal", err)
	}
}

func pair(before, after float64) rounds.Pair {
	return rounds.Pair{
		Day: "day", Seed: 1, Before: &rounds.Result{Figures: rounds.Figures{"worth": before, "only before": 1}},
		After: &rounds.Result{Figures: rounds.Figures{"worth": after}},
	}
}

func TestCompare(t *testing.T) {
	is := is.New(t)
	differences := rounds.Compare([]rounds.Pair{pair(1, 2), pair(2, 4), pair(3, 6)})
	is.Equal(len(differences), 1) // figures that a play lacks are left out
	d := differences[0]
	is.Equal(d.Before, 2.0)
	is.Equal(d.After, 4.0)
	is.Equal(d.Mean, 2.0)
	// The differences 1, 2 and 3 have a standard deviation of 1.
	is.True(math.Abs(d.StandardError-1/math.Sqrt(3)) < 1e-9)
}

func TestWriteTable(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	broken := pair(0.5, 0.7)
	broken.After.Broken = []string{"LOST", "TWICE"}
	is.NoErr(rounds.WriteTable(&b, []rounds.Pair{pair(0.5, 0.6), broken}))
	is.True(strings.Contains(b.String(), "| worth | 0.500 | 0.650 | +0.150* | 0.050 |"))
	is.True(strings.Contains(b.String(), "day 1: worth 0.500 0.700; broken after: LOST TWICE"))
}

// TestRunPairs plays pairs on a stand-in of the bench.
func TestRunPairs(t *testing.T) {
	is := is.New(t)
	bench, err := filepath.Abs("testdata/bench")
	is.NoErr(err)
	report, err := filepath.Abs("testdata/report.json")
	is.NoErr(err)
	t.Setenv("REPORT", report)
	r := &rounds.Runner{Bench: bench, Site: "site.toml", Reports: t.TempDir(), Jobs: 2, Why: "a test"}
	a, b := rounds.Build{Name: "a", Repository: t.TempDir()}, rounds.Build{Name: "b", Repository: t.TempDir()}
	for range 2 {
		pairs, err := r.RunPairs(context.Background(), a, b, []string{"one", "two"}, []int{1, 2, 3})
		is.NoErr(err)
		is.Equal(len(pairs), 6)
		is.Equal(pairs[3].Day, "two")
		is.Equal(pairs[3].Seed, 1)
	}
	for _, build := range []rounds.Build{a, b} {
		plays, err := os.ReadFile(filepath.Join(build.Repository, "plays"))
		is.NoErr(err)
		is.Equal(strings.Count(string(plays), "\n"), 6) // the second time the reports are reused
	}
	r.Bench = filepath.Join(t.TempDir(), "missing")
	_, err = r.RunPairs(context.Background(), a, b, []string{"three"}, []int{1})
	is.True(fault.Is(err, fault.Internal))
}
