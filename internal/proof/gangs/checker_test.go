package gangs

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/job"
	standin "github.com/dogwoodworks/dogwoodworks/internal/standin/worker"
	"github.com/dogwoodworks/dogwoodworks/internal/target/worker"
)

const sampleInterval = 5 * time.Millisecond

// checker samples the worker stand-ins and measures for how long gangs run
// partially, that is with only some of their members.
type checker struct {
	workers map[string]*standin.Worker
	limit   time.Duration

	mu             sync.Mutex
	partialSince   map[worker.Part]time.Time
	longestPartial time.Duration
	violation      string
}

// watch samples until done is closed.
func (c *checker) watch(done <-chan struct{}) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			c.sample(time.Now())
		}
	}
}

// resetPartial restarts the measurement of how long gangs run partially. It is
// called when a fault begins or ends.
func (c *checker) resetPartial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partialSince = make(map[worker.Part]time.Time)
}

// gangCount counts the tasks of one attempt.
type gangCount struct{ running, done, total int }

func (c *checker) sample(now time.Time) {
	gangs := make(map[worker.Part]gangCount)
	for _, w := range c.workers {
		for _, ps := range w.Parts() {
			g := gangs[ps.Part]
			var r job.Record
			if json.Unmarshal(ps.Job, &r) == nil {
				g.total = r.Tasks
			}
			switch ps.State {
			case worker.Running:
				g.running += len(ps.Tasks)
			case worker.Done:
				g.done += len(ps.Tasks)
			}
			gangs[ps.Part] = g
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for part, g := range gangs {
		if g.running == 0 || g.running+g.done >= g.total {
			delete(c.partialSince, part)
			continue
		}
		if _, ok := c.partialSince[part]; !ok {
			c.partialSince[part] = now
		}
		d := now.Sub(c.partialSince[part])
		c.longestPartial = max(c.longestPartial, d)
		if d > c.limit {
			c.violation = fmt.Sprintf("%d of %d tasks of %s ran without the others for %v", g.running, g.total, part.JobID, d)
		}
	}
	for part := range c.partialSince {
		if gangs[part].running == 0 {
			delete(c.partialSince, part)
		}
	}
}
