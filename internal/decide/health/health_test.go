package health_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/health"
)

// TestScripts runs the scripts of testdata: lines of
//
//	runners N | at TIME | fail RUNNER CONNECTION fresh|reused|answered | ok RUNNER
//	probing RUNNER | want RUNNER sound|suspect|ejected|probe | ejected N
func TestScripts(t *testing.T) {
	b, err := os.ReadFile("testdata/ejection.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range strings.Split(string(b), "\n# ")[1:] {
		name, body, _ := strings.Cut(script, "\n")
		t.Run(name, func(t *testing.T) { runScript(t, body) })
	}
}

func runScript(t *testing.T, body string) {
	is := is.New(t)
	var tracker health.Tracker
	start := time.UnixMilli(0)
	now := start
	groups := make(map[string]string)
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		f := strings.Fields(line)
		n := 0
		_, _ = fmt.Sscan(f[len(f)-1], &n)
		switch f[0] {
		case "runners":
			groups = make(map[string]string)
			for i := range n {
				groups[fmt.Sprintf("r%d", i+1)] = "rota"
			}
			tracker.SetRunners(groups)
		case "at":
			d, err := time.ParseDuration(f[1])
			is.NoErr(err)
			now = start.Add(d)
		case "fail":
			var connection uint64
			_, _ = fmt.Sscan(f[2], &connection)
			tracker.RecordFailure(f[1], health.Failure{Connection: connection, FirstUse: f[3] == "fresh", RunnerAnswered: f[3] == "answered", At: now})
		case "ok":
			tracker.RecordSuccess(f[1])
		case "probing":
			tracker.ProbeStarted(f[1], now)
		case "want":
			is.Equal(describe(tracker.State(f[1], now)), f[2])
		case "ejected":
			count := 0
			for id := range groups {
				if tracker.State(id, now).Ejected {
					count++
				}
			}
			is.Equal(count, n)
		}
	}
}

func describe(s health.State) string {
	switch {
	case s.Probe:
		return "probe"
	case s.Ejected:
		return "ejected"
	case s.Suspect:
		return "suspect"
	}
	return "sound"
}
