package losses_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/losses"
)

func TestReadLog(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("testdata/play.log")
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(f.Close()) })
	jobs, err := losses.ReadLog(f)
	is.NoErr(err)
	is.Equal(len(jobs), 5) // the end that was logged twice counts once
	j := jobs[0]
	is.Equal(j.ID, "aa")
	is.Equal(j.AcceptedAt, 1.5)
	is.Equal(j.Seconds["freeing"], 0.8)
	is.Equal(j.CoreSeconds["preempted"], 40.0)
}

func TestWriteTables(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("testdata/play.log")
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(f.Close()) })
	jobs, err := losses.ReadLog(f)
	is.NoErr(err)
	var b strings.Builder
	is.NoErr(losses.WriteTables(&b, jobs))
	want, err := os.ReadFile("testdata/tables.md")
	is.NoErr(err)
	is.Equal(b.String(), string(want))
}

// TestMeasuredObjective guards against jobs that count as late since their caller's estimate
// was too short, and against old logs, without a measured objective, that are not read.
func TestMeasuredObjective(t *testing.T) {
	is := is.New(t)
	line := `4.0 vm-1 {"msg":"job ended","job":"aa","state":"completed","queue":"q0","priority":0,"age_ms":2500,"objective_ms":2000%s}` + "\n"
	for extra, want := range map[string]string{`,"measured_objective_ms":2600`: "| 1 | 0 | 0 | 0 | 0 |", ``: "| 0 | 1 | 0 | 0 | 0 |"} {
		jobs, err := losses.ReadLog(strings.NewReader(fmt.Sprintf(line, extra)))
		is.NoErr(err)
		var b strings.Builder
		is.NoErr(losses.WriteTables(&b, jobs))
		is.True(strings.Contains(b.String(), "| priority 0, q0 "+want))
	}
}
