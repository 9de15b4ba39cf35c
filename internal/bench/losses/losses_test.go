package losses_test

import (
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
