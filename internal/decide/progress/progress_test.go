package progress

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

// TestScripts reads runs from testdata/runs.toml: the readings of a worker and
// the expected assessment of the run after each reading.
func TestScripts(t *testing.T) {
	var file struct {
		Runs []struct {
			Name     string
			Siblings float64
			Estimate string
			Saved    bool
			// Readings are pairs of seconds on the worker's clock and percents.
			Readings [][2]float64
			// States has a letter for each reading: u (unknown), k (healthy), s
			// (slow) or S (slow and faster elsewhere).
			States string
		}
	}
	b, err := os.ReadFile(filepath.Join("testdata", "runs.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(b, &file); err != nil {
		t.Fatal(err)
	}
	for _, r := range file.Runs {
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			u := Reference{SiblingRate: r.Siblings}
			if r.Estimate != "" {
				u.Estimate, err = time.ParseDuration(r.Estimate)
				is.NoErr(err)
			}
			var g Tracker
			got := ""
			for _, x := range r.Readings {
				at := time.Duration(x[0] * float64(time.Second))
				g.Observe(x[1], at, u)
				letter := string("uks"[g.State])
				if g.FasterElsewhere(u.SiblingRate, r.Saved, at) {
					letter = "S"
				}
				got += letter
			}
			is.Equal(got, r.States)
		})
	}
}
