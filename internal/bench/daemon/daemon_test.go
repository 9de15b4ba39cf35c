// Package daemon measures the processor time and memory that whole daemon processes
// spend on control, at several sizes.
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/report"
	"github.com/dogwoodworks/dogwoodworks/internal/bench/slope"
	"github.com/dogwoodworks/dogwoodworks/internal/entry/caller"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/fleet"
)

func TestMain(m *testing.M) { fleet.Main(m) }

const (
	// workersPerDataCentre is a data centre's share of the 1,300 workers that the
	// requirements state.
	workersPerDataCentre = 163
	tasksPerWorker       = 5
	settleTime           = 4 * time.Second
	measuringTime        = 6 * time.Second
	budgetMemoryBytes    = 256e6
	// clockTicksPerSecond is the unit of processor time in /proc.
	clockTicksPerSecond = 100
)

const configuration = `
[defaults]
lease = "30s"
[[kinds]]
name = "solve"
class = "normal"
idempotent = true
[[accounts]]
id = "st-anne"
`

// usage is the processor time and memory that one process has used.
type usage struct {
	cpuSeconds float64
	// residentBytes is the resident memory.
	residentBytes float64
}

func TestBenchDaemon(t *testing.T) {
	var cpu, memory []slope.Point
	for _, n := range []int{8, 48, 96} {
		before, after := measureUsage(t, n)
		cores := (after.cpuSeconds - before.cpuSeconds) / measuringTime.Seconds()
		cpu = append(cpu, slope.Point{Size: float64(n), Value: 100 * cores})
		memory = append(memory, slope.Point{Size: float64(n), Value: after.residentBytes})
	}
	cpuLine, memoryLine := slope.Fit(cpu), slope.Fit(memory)
	failed := report.Print([]report.Measure{
		{
			Area: "daemon", Name: "planner's VM, processor at a data centre's share", Unit: "% of a core",
			Value: cpuLine.At(workersPerDataCentre), Note: "wall time: reported only; the letter allows 3.4",
		},
		{Area: "daemon", Name: "planner's VM, processor for each worker", Unit: "% of a core", Value: cpuLine.PerUnit},
		{
			Area: "daemon", Name: "planner's VM, memory at a data centre's share", Unit: "B",
			Value: memoryLine.At(workersPerDataCentre), AtMost: report.Float(budgetMemoryBytes), Note: "resident, whole process",
		},
	})
	if len(failed) > 0 {
		t.Fatalf("out of bounds: %v", failed)
	}
}

// measureUsage starts a data centre of one VM and n workers, fills the workers
// with running jobs, and returns the daemon's usage before and after measuringTime.
func measureUsage(t *testing.T, n int) (before, after usage) {
	t.Helper()
	spec := fleet.Spec{VMs: []fleet.VM{{ID: "a", DataCentre: "uppland-1", Region: "uppland"}}, Config: configuration}
	for i := range n {
		spec.Workers = append(spec.Workers, vmlist.VM{
			ID: fmt.Sprintf("w%03d", i), DataCentre: "uppland-1", Region: "uppland",
			Rack: fmt.Sprintf("rack-%02d", i/8), Accelerators: 8,
		})
	}
	f := fleet.Start(t, spec)
	d := f.Daemons["a"]
	submit := func() error {
		in := caller.JobBody{Account: "st-anne", Kind: "solve", Tasks: 8, Accelerators: 1, DeclaredMS: 3600000}
		return d.CallerClient().Call(context.Background(), http.MethodPost, "/v1/jobs", in, nil)
	}
	for range n * tasksPerWorker / 8 {
		f.Until(settleTime, "job admitted", func() bool { return submit() == nil })
	}
	time.Sleep(settleTime)
	before = readUsage(t, d.PID())
	time.Sleep(measuringTime)
	after = readUsage(t, d.PID())
	d.Kill()
	return before, after
}

// readUsage reads a process's usage from /proc.
func readUsage(t *testing.T, pid int) usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// Field 2, the command name, may contain spaces. What follows starts at field 3.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	number := func(i int) float64 {
		v, err := strconv.ParseFloat(fields[i-3], 64)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	const userTime, systemTime, residentPages = 14, 15, 24
	return usage{
		cpuSeconds:    (number(userTime) + number(systemTime)) / clockTicksPerSecond,
		residentBytes: number(residentPages) * float64(os.Getpagesize()),
	}
}
