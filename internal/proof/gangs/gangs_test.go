// Package gangs proves the gang protocol against the worker stand-in over real
// sockets, from scripts in testdata. The first line of a script describes its
// fleet; the checks at its end are that no gang was partial for longer than one
// lease, that every job ended and that no non-idempotent job started twice.
package gangs

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
)

func TestMain(m *testing.M) { fleet.Main(m) }

var only = flag.String("script", "*", "pattern of the scripts to run")

func TestScripts(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", *only+".txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts: %v, %v", files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			run(t, file)
		})
	}
}

// run runs one script on a fleet of its own.
func run(t *testing.T, file string) {
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	first, _, _ := strings.Cut(string(b), "\n")
	s := newScene(t, options(strings.Fields(first)))
	testscript.Run(t, testscript.Params{
		Files: []string{file},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"planner": s.planner, "choose": s.choose, "die": s.die, "drain": s.drain, "revive": s.revive, "signal": s.signal,
			"submit": s.submit, "cancel": s.cancel, "job": s.job, "fault": s.fault, "cut": s.cut, "store": s.store,
			"restart": s.restart, "hold": s.hold, "arrived": s.arrived, "pass": s.pass, "started": s.started, "counter": s.counter, "counted": s.counted, "refused": s.refused, "sleep": s.sleep,
			"starts": s.starts, "empty": s.empty, "forgot": s.forgot, "gone": s.gone, "calls": s.calls, "kept": s.kept, "chaos": s.chaos, "end": s.end,
		},
	})
}

// options reads "name=value" words.
func options(words []string) map[string]string {
	m := make(map[string]string)
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		m[name] = value
	}
	return m
}

func duration(t testing.TB, m map[string]string, name string, otherwise time.Duration) time.Duration {
	if m[name] == "" {
		return otherwise
	}
	d, err := time.ParseDuration(m[name])
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return d
}

func number(m map[string]string, name string, otherwise int) int {
	n := otherwise
	_, _ = fmt.Sscan(m[name], &n)
	return n
}

const dataCentre = "uppland-1"

func spec(t testing.TB, o map[string]string) fleet.Spec {
	s := fleet.Spec{}
	for i := range number(o, "workers", 2) {
		s.Workers = append(s.Workers, vmlist.VM{ID: fmt.Sprintf("w%d", i+1), DataCentre: dataCentre, Region: "uppland", Rack: "k1", Accelerators: 8})
	}
	for i := range number(o, "daemons", 0) {
		s.VMs = append(s.VMs, fleet.VM{ID: fmt.Sprintf("d%d", i+1), DataCentre: dataCentre, Region: "uppland"})
		s.Config = configuration(t, o)
	}
	return s
}

const base = `
[[kinds]]
name = "solve"
class = "normal"
idempotent = true
[[kinds]]
name = "certificate"
class = "normal"
idempotent = false
[[accounts]]
id = "st-anne"
`

// document returns the configuration of a script. The planners of a script
// without daemons are told when another is lost, so that their leases may be
// shorter than operators may set them.
func document(t testing.TB, o map[string]string) config.Document {
	doc, err := config.Parse("test", []byte(base))
	if err != nil {
		t.Fatal(err)
	}
	doc.Defaults.Lease.Duration = duration(t, o, "lease", 1500*time.Millisecond)
	doc.Defaults.StartWindow.Duration = duration(t, o, "window", 600*time.Millisecond)
	doc.Defaults.CheckpointGrace.Duration = duration(t, o, "grace", 200*time.Millisecond)
	return doc
}

// configuration returns the configuration of a script's daemons.
func configuration(t testing.TB, o map[string]string) string {
	d := document(t, o).Defaults
	return fmt.Sprintf("[defaults]\nlease = %q\nstart_window = %q\ncheckpoint_grace = %q\n", d.Lease, d.StartWindow, d.CheckpointGrace) + base
}
