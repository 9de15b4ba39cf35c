package placement_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/placement"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/policy"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// script is one call of Plan with the expected decision. A shape lists
// accelerators, cores and GB of memory.
type script struct {
	Why     string
	Workers []struct {
		ID, Rack string
		Labels   []string
		// Closed workers are not schedulable.
		Closed bool
		// Evacuated workers are neither reachable nor schedulable.
		Evacuated, Cold bool
	}
	Running []struct {
		On                                  []string
		Shape                               [3]int64
		Urgent, Guaranteed, Stopping, Fixed bool
		// Lasting units have no end.
		Lasting      bool
		Loss, EndsIn float64
	}
	Waiting []struct {
		Tasks                        int
		Shape                        [3]int64
		SameRack, Urgent, Guaranteed bool
		Rack, Label                  string
		PerWorker                    int
		Runtime                      float64
		Claim, Avoid                 []string
		// Failed are the workers on which the unit failed.
		Failed           []string
		Overdue, Lasting bool
	}
	Reservations int
	// UrgentRoom is the number of workers that are kept for urgent units.
	UrgentRoom float64
	// Disabled are the mechanisms that are switched off.
	Disabled string
	// Reasons has why each waiting unit waits; empty for a unit that starts. They are
	// asked for only if the list is not empty.
	Reasons []string
	// Starts and Claims (the nominations) are in the form that script.names
	// returns. Stops are indices of Running.
	Starts, Claims []string
	Stops          []int
	// Overdue are the units that start since they are overdue.
	Overdue []int
	// Stalled are the overdue units that wait beside free capacity.
	Stalled []int
}

func shape(s [3]int64) model.Shape {
	return model.Shape{Accelerators: s[0], MilliCPU: 1000 * s[1], MemoryMB: 1024 * s[2]}
}

var whole = [3]int64{8, 64, 256}

func (s *script) input() placement.Input {
	in := placement.Input{Reservations: s.Reservations}
	if s.UrgentRoom > 0 {
		in.UrgentRoom = map[string]float64{"": s.UrgentRoom}
	}
	for i := range s.Reasons {
		in.Explain = append(in.Explain, i)
	}
	index := make(map[string]int)
	for i, w := range s.Workers {
		index[w.ID] = i
		in.Workers = append(in.Workers, placement.Worker{ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: shape(whole), Free: shape(whole), Reachable: !w.Evacuated, Schedulable: !w.Closed && !w.Evacuated, Evacuated: w.Evacuated, Cold: w.Cold})
	}
	at := func(ids []string) (all []int) {
		for _, id := range ids {
			all = append(all, index[id])
		}
		return all
	}
	for _, r := range s.Running {
		x := placement.Running{
			Shape: shape(r.Shape), Workers: at(r.On), Urgent: r.Urgent, Guaranteed: r.Guaranteed, Stopping: r.Stopping, NotPreemptible: r.Fixed,
			DiscardedWork: r.Loss, EndsIn: r.EndsIn,
		}
		if r.Lasting {
			x.EndsIn = math.Inf(1)
		}
		for _, w := range x.Workers {
			in.Workers[w].Free = in.Workers[w].Free.Minus(x.Shape)
		}
		in.Running = append(in.Running, x)
	}
	stepTasks := make(map[int]int)
	for _, u := range s.Waiting {
		x := placement.Unit{
			Tasks: max(u.Tasks, 1), Shape: shape(u.Shape), SameRack: u.SameRack, Rack: u.Rack, Label: u.Label, PerWorker: u.PerWorker,
			Urgent: u.Urgent || u.Guaranteed, Guaranteed: u.Guaranteed, Runtime: u.Runtime, Nominated: at(u.Claim), StepTasks: stepTasks,
			Overdue: u.Overdue, LongRunning: u.Lasting,
		}
		for _, w := range at(u.Avoid) {
			x.Avoid = map[int]bool{w: true}
		}
		for _, w := range at(u.Failed) {
			x.AvoidFailed = map[int]bool{w: true}
		}
		in.Waiting = append(in.Waiting, x)
	}
	return in
}

// names returns assignments in the form "UNIT on WORKER...", with the workers sorted.
func (s *script) names(assignments []placement.Assignment) (all []string) {
	for _, x := range assignments {
		var on []string
		for _, w := range x.Workers {
			on = append(on, s.Workers[w].ID)
		}
		slices.Sort(on)
		all = append(all, fmt.Sprintf("%d on %s", x.Unit, strings.Join(on, " ")))
	}
	return all
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
			in := s.input()
			in.Disabled, err = policy.ParseDisabled(s.Disabled)
			is.NoErr(err)
			d := placement.Plan(in)
			for i, want := range s.Reasons {
				got := ""
				if c, ok := d.Reasons[i]; ok {
					got = c.String()
				}
				is.Equal(got, want)
			}
			slices.Sort(d.Stops)
			is.Equal(s.names(d.Starts), s.Starts)
			is.Equal(s.names(d.Nominations), s.Claims)
			is.Equal(d.Stops, s.Stops)
			is.Equal(d.Overdue, s.Overdue)
			is.Equal(d.Stalled, s.Stalled)
		})
	}
}
