package cause_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
)

// script is a sequence of calls of a ledger, with the expected time by cause in
// milliseconds.
type script struct {
	Why   string
	Calls []struct {
		// At is in milliseconds.
		At int64
		// Do is begin, switch, begin_run, lose_run or close.
		Do string
		// To is a cause.
		To   string
		Kept bool
	}
	Spent map[string]int64
}

func causeOf(t *testing.T, name string) cause.Cause {
	for _, c := range cause.All() {
		if c.String() == name {
			return c
		}
	}
	t.Fatalf("no cause is named %q", name)
	return 0
}

func (s *script) run(t *testing.T) cause.Spent {
	epoch := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	var l cause.Ledger
	for _, c := range s.Calls {
		now := epoch.Add(time.Duration(c.At) * time.Millisecond)
		switch c.Do {
		case "begin":
			l.Begin(causeOf(t, c.To), now)
		case "switch":
			l.Switch(causeOf(t, c.To), now)
		case "begin_run":
			l.BeginRun(now)
		case "lose_run":
			l.LoseRun(causeOf(t, c.To), c.Kept, now)
		case "close":
			l.Close(now)
		default:
			t.Fatalf("no call is named %q", c.Do)
		}
	}
	return l.Spent()
}

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
			spent := s.run(t)
			got := make(map[string]int64)
			for _, c := range cause.All() {
				if spent[c] != 0 {
					got[c.String()] = spent[c].Milliseconds()
				}
			}
			is.Equal(got, s.Spent)
		})
	}
}

func TestNamesAreDistinct(t *testing.T) {
	seen := make(map[string]bool)
	for _, c := range cause.All() {
		if c.String() == "" || seen[c.String()] {
			t.Errorf("the name %q of cause %d is empty or taken", c, c)
		}
		seen[c.String()] = true
	}
}

// TestStoredNumbers guards against a cause that a record can't hold or that two versions
// number differently.
func TestStoredNumbers(t *testing.T) {
	is := is.New(t)
	seen := make(map[int64]bool)
	for _, c := range cause.All() {
		var s cause.Spent
		s[c] = time.Second
		pairs := s.Encode()
		is.Equal(len(pairs), 2) // c has a number
		is.True(!seen[pairs[0]])
		seen[pairs[0]] = true
		is.Equal(cause.Decode(append(pairs, 9999, 5)), s)
	}
	is.Equal(cause.Decode([]int64{7, 1500, 16, -3, 16}), cause.Decode([]int64{7, 1500}))
	s := cause.Decode([]int64{7, 3000, 16, 1000})
	s.Fill(cause.EarlierTerm, 2*time.Second)
	is.Equal(s.Total(), 2*time.Second) // a clock that jumped does not break the sum
	is.Equal(s[cause.NoCapacity], 1500*time.Millisecond)
}
