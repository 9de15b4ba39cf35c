// Package losses reads the logs of a play on the users' bench and says where time and
// work were lost: by queue, by window and by cause.
package losses

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
)

// Job is a job that ended, as the planner logged it.
type Job struct {
	ID, Queue, State string
	Priority         int
	// AcceptedAt is in seconds from the start of the traffic.
	AcceptedAt float64
	// Age and Objective are in seconds. The objective follows from measured run times, or
	// from the caller's estimates in logs of versions that did not measure them.
	Age, Objective float64
	// Seconds and CoreSeconds have the time and the lost work by cause.
	Seconds, CoreSeconds map[string]float64
}

// outcome is how a job ended for its caller.
type outcome int

const (
	inTime outcome = iota
	late
	worthless
	failed
	cancelled
	outcomeCount
)

// worthlessFactor times the objective is the age from which a completion has no value.
const worthlessFactor = 3

func (j *Job) outcome() outcome {
	switch {
	case j.State == "cancelled":
		return cancelled
	case j.State == "failed":
		return failed
	case j.Age <= j.Objective:
		return inTime
	case j.Age <= worthlessFactor*j.Objective:
		return late
	}
	return worthless
}

const (
	milliseconds = 1000
	secondSuffix = "_ms"
	workSuffix   = "_core_s"
	endMessage   = "job ended"
)

// ReadLog reads the ends of jobs from the log of a play, in which each line has a time in
// seconds, the name of a VM and a JSON record. A job whose end was logged twice counts
// once. Its errors are of kind Internal.
func ReadLog(r io.Reader) ([]Job, error) {
	seen := make(map[string]bool)
	var jobs []Job
	lines := bufio.NewScanner(r)
	const maxLine = 1 << 20
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		fields := strings.SplitN(strings.TrimSpace(lines.Text()), " ", 3)
		if len(fields) < 3 || !strings.Contains(fields[2], endMessage) {
			continue
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		var record map[string]any
		if err != nil || json.Unmarshal([]byte(fields[2]), &record) != nil || record["msg"] != endMessage {
			continue
		}
		if j := jobOf(at, record); !seen[j.ID] {
			seen[j.ID] = true
			jobs = append(jobs, j)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "read the log of a play")
	}
	return jobs, nil
}

func jobOf(at float64, record map[string]any) Job {
	text := func(key string) string { s, _ := record[key].(string); return s }
	number := func(key string) float64 { n, _ := record[key].(float64); return n }
	j := Job{
		ID: text("job"), Queue: text("queue"), State: text("state"), Priority: int(number("priority")),
		Age: number("age_ms") / milliseconds, Objective: number("objective_ms") / milliseconds,
		Seconds: make(map[string]float64), CoreSeconds: make(map[string]float64),
	}
	if measured := number("measured_objective_ms"); measured > 0 {
		j.Objective = measured / milliseconds
	}
	j.AcceptedAt = at - j.Age
	for _, c := range cause.All() {
		if n := number(c.String() + secondSuffix); n > 0 {
			j.Seconds[c.String()] = n / milliseconds
		}
		if n := number(c.String() + workSuffix); n > 0 {
			j.CoreSeconds[c.String()] = n
		}
	}
	return j
}

// group accounts for the jobs of a queue or a window.
type group struct {
	name     string
	order    float64
	outcomes [outcomeCount]int
	// missed is the time by cause of the jobs that were not in time, in seconds, and lost
	// the lost work of all jobs by cause, in core-seconds.
	missed, lost map[string]float64
}

func (g *group) add(j *Job) {
	o := j.outcome()
	g.outcomes[o]++
	for c, s := range j.CoreSeconds {
		g.lost[c] += s
	}
	if o == inTime || o == cancelled {
		return
	}
	for c, s := range j.Seconds {
		g.missed[c] += s
	}
}

func (g *group) missedJobs() int {
	return g.outcomes[late] + g.outcomes[worthless] + g.outcomes[failed]
}

// windowSeconds is the length of a window; the bench judges windows of this length.
const windowSeconds = 2

// WriteTables writes a table by queue and one by window of acceptance. Causes are listed
// with their mean time, in seconds, per job that was not in time.
func WriteTables(w io.Writer, jobs []Job) error {
	queues, windows := make(map[string]*group), make(map[string]*group)
	at := func(groups map[string]*group, name string, order float64) *group {
		if groups[name] == nil {
			groups[name] = &group{name: name, order: order, missed: make(map[string]float64), lost: make(map[string]float64)}
		}
		return groups[name]
	}
	for i := range jobs {
		j := &jobs[i]
		at(queues, fmt.Sprintf("priority %d, %s", j.Priority, j.Queue), float64(j.Priority)).add(j)
		window := int(j.AcceptedAt/windowSeconds) * windowSeconds
		at(windows, fmt.Sprintf("%d s", window), float64(window)).add(j)
	}
	var b strings.Builder
	writeTable(&b, "queue", queues)
	b.WriteString("\n")
	writeTable(&b, "from", windows)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fault.Wrap(fault.Internal, err, "write the tables")
	}
	return nil
}

func writeTable(b *strings.Builder, title string, groups map[string]*group) {
	var sorted []*group
	for _, g := range groups {
		sorted = append(sorted, g)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].order != sorted[j].order {
			return sorted[i].order < sorted[j].order
		}
		return sorted[i].name < sorted[j].name
	})
	fmt.Fprintf(b, "| %s | in time | late | worthless | failed | cancelled | seconds a missed job, by cause | core-seconds lost, by cause |\n|---|---|---|---|---|---|---|---|\n", title)
	for _, g := range sorted {
		fmt.Fprintf(b, "| %s |", g.name)
		for _, n := range g.outcomes {
			fmt.Fprintf(b, " %d |", n)
		}
		fmt.Fprintf(b, " %s | %s |\n", largest(g.missed, float64(max(g.missedJobs(), 1)), "%.2f"), largest(g.lost, 1, "%.0f"))
	}
}

// maxCauses bounds the causes in a cell.
const maxCauses = 6

// largest lists the largest entries of m, divided by n.
func largest(m map[string]float64, n float64, format string) string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if m[keys[i]] != m[keys[j]] {
			return m[keys[i]] > m[keys[j]]
		}
		return keys[i] < keys[j]
	})
	var cells []string
	for _, k := range keys[:min(len(keys), maxCauses)] {
		cells = append(cells, k+" "+fmt.Sprintf(format, m[k]/n))
	}
	return strings.Join(cells, ", ")
}
