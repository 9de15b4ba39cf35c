package demand_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/demand"
)

// script is a sequence of readings with the expected largest rise after each. Times are
// in milliseconds.
type script struct {
	Why            string
	Within, Window int64
	// Readings have a time, a demand and the expected rise.
	Readings [][3]float64
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			is := is.New(t)
			b, err := os.ReadFile(file)
			is.NoErr(err)
			var s script
			is.NoErr(toml.Unmarshal(b, &s))
			var d demand.Tracker
			epoch := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
			for _, r := range s.Readings {
				d.Observe(r[1], epoch.Add(milliseconds(int64(r[0]))), milliseconds(s.Within), milliseconds(s.Window))
				if d.Rise() != r[2] {
					t.Errorf("at %v ms: rise %v, want %v", r[0], d.Rise(), r[2])
				}
			}
		})
	}
}
