package gang

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// script runs the commands of a data file against a state.
type script struct {
	s        State
	accounts []Account
	now      time.Time
}

// run runs one command and returns its output, line by line.
func (c *script) run(f []string) []string {
	num := func(i int) int {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			panic(err)
		}
		return n
	}
	switch f[0] {
	case "workers":
		for i := range num(1) {
			c.s.SetWorker(Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/num(2)), Accelerators: 8})
		}
	case "close":
		c.s.SetWorker(Worker{ID: f[1], Rack: f[2], Accelerators: 8, Unschedulable: true})
	case "account":
		c.accounts = append(c.accounts, Account{ID: f[1], Workers: num(2), Accelerators: num(3)})
		c.s.SetAccounts(c.accounts)
	case "weights":
		c.s.SetWeights(Weights{CompletionTime: float64(num(1)), Fragmentation: float64(num(2))})
	case "submit":
		return c.submit(f[1], f[2], num(3), num(4), num(5), strings.Join(f[6:], " "))
	case "plan":
		c.now = c.now.Add(time.Duration(num(1)) * time.Second)
		return orderLines(c.s.Plan(c.now))
	case "end":
		c.s.Ended(f[1], c.now)
	case "cancel":
		c.s.Cancelled(f[1], c.now)
	case "requeue":
		c.s.Requeue(f[1], time.Hour, c.now, "put back")
	case "fail":
		c.s.StartFailed(f[1], f[2], c.now)
		c.s.Requeue(f[1], time.Hour, c.now, "a start failed")
	case "explain":
		x, _ := c.s.Explain(f[1])
		return []string{strings.TrimSpace(fmt.Sprintf("%s: %s; at %s; held by %s", x.State, x.Reason, strings.Join(x.Workers, " "), strings.Join(x.Occupants, " ")))}
	case "accounts":
		var lines []string
		for _, a := range c.s.Accounts() {
			lines = append(lines, fmt.Sprintf("%s guaranteed %d in use %d borrowed %d reclaimable %d short %d", a.ID, a.Guaranteed, a.InUse, a.Borrowed, a.Reclaimable, a.Shortfall))
		}
		return lines
	default:
		panic("unknown command " + f[0])
	}
	return nil
}

func (c *script) submit(id, account string, rank, tasks, accelerators int, options string) []string {
	err := c.s.Submit(Job{
		ID: id, Account: account, Rank: rank, Tasks: tasks, Accelerators: accelerators, Submitted: c.now, DeclaredRunTime: time.Hour,
		Adjacent: strings.Contains(options, "adjacent"), Idempotent: !strings.Contains(options, "once"),
	})
	if err != nil {
		return []string{err.Error()}
	}
	return nil
}

func orderLines(orders []Order) []string {
	var lines []string
	for _, o := range orders {
		line := string(o.Kind) + " " + o.JobID
		if o.Kind == Start {
			for _, sl := range o.Slots {
				line += fmt.Sprintf(" %s:%d-%d", sl.Worker, sl.Accelerators[0], sl.Accelerators[len(sl.Accelerators)-1])
			}
			if o.Borrowed {
				line += " borrowed"
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// TestScripts runs the data files. A line that begins with ">" is expected
// output of the command above it.
func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no data files")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			b, err := os.ReadFile(file)
			is.NoErr(err)
			var c script
			var want, got []string
			for line := range strings.Lines(string(b)) {
				line = strings.TrimSpace(line)
				if output, ok := strings.CutPrefix(line, "> "); ok {
					want = append(want, output)
					continue
				}
				is.Equal(got, want)
				if line == "" || line[0] == '#' {
					got, want = nil, nil
					continue
				}
				want, got = nil, c.run(strings.Fields(line))
			}
			is.Equal(got, want)
		})
	}
}
