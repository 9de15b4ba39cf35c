package root_test

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/dogwoodd"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/factory"
	"github.com/dogwoodworks/dogwoodworks/internal/cli/root"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
)

func TestMain(m *testing.M) {
	if fleet.IsDaemonProcess() {
		fleet.Main(m)
	}
	testscript.Main(m, map[string]func(){
		"dogwood": func() { os.Exit(root.Run(context.Background(), factory.OS(false), os.Args[1:])) },
		"dogwoodd": func() {
			os.Exit(dogwoodd.Run(context.Background(), os.Stdout, os.Stderr, os.Args[1:]))
		},
	})
}

const configuration = `
[[kinds]]
name = "clash_check"
class = "urgent"
idempotent = true
service = "rota"
[[kinds]]
name = "reprint"
class = "urgent"
service = "rota"
[[kinds]]
name = "season_solve"
class = "normal"
idempotent = true
[[accounts]]
id = "st-anne"
guarantee = { slots = 4, workers = 2, accelerators = 8 }
`

// TestScripts runs each script against a separate fleet: the daemons a and b, the
// runner r1 and the workers w1 and w2.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			testscript.Run(t, testscript.Params{Files: []string{file}, Setup: setup(t), Cmds: commands})
		})
	}
}

func setup(t *testing.T) func(env *testscript.Env) error {
	f := fleet.Start(t, fleet.Spec{
		VMs: []fleet.VM{
			{ID: "a", DataCentre: "uppland-1", Region: "uppland"}, {ID: "b", DataCentre: "uppland-1", Region: "uppland"},
		},
		Runners: []vmlist.VM{{ID: "r1", DataCentre: "uppland-1", Region: "uppland", Service: "rota", Slots: 8, Connections: 64}},
		Workers: []vmlist.VM{
			{ID: "w1", DataCentre: "uppland-1", Region: "uppland", Rack: "rack-1", Accelerators: 8},
			{ID: "w2", DataCentre: "uppland-1", Region: "uppland", Rack: "rack-1", Accelerators: 8},
		},
		Config: configuration,
	})
	return func(env *testscript.Env) error {
		a := f.Daemons["a"]
		env.Setenv("DOGWOOD_ADDRESS", a.CallerAddress)
		env.Setenv("DOGWOOD_OPERATOR_ADDRESS", a.OperatorAddress)
		env.Setenv("DOGWOOD_TOKEN_FILE", filepath.Join(env.WorkDir, "token"))
		env.Setenv("USER", "eva")
		return os.WriteFile(filepath.Join(env.WorkDir, "token"), []byte(a.OperatorClient().Token+"\n"), 0o600)
	}
}

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"exits":  expectExitCode,
	"keep":   saveOutput,
	"repeat": repeatUntilOutput,
}

// expectExitCode implements the script command "exits CODE COMMAND...", which runs
// a command and fails unless its exit code is CODE.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, not %s: %s", code, args[0], ts.ReadFile("stderr"))
	}
}

// saveOutput implements the script command "keep NAME", which saves the last
// standard output in an environment variable.
func saveOutput(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile("stdout")))
}

// repeatUntilOutput implements the script command "repeat TEXT COMMAND...", which
// repeats a command for up to 20 s until it succeeds and its standard output
// contains TEXT.
func repeatUntilOutput(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ts.Exec(args[1], args[2:]...) == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
	}
	ts.Fatalf("no %q in %s", args[0], ts.ReadFile("stdout"))
}
