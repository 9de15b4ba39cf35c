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

// checker samples the stand-ins and measures for how long gangs are partial.
type checker struct {
	workers map[string]*standin.Worker
	limit   time.Duration

	mu    sync.Mutex
	since map[worker.Part]time.Time
	worst time.Duration
	found string
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

// faulted says that a fault begins or ends: the time that a gang may be partial
// begins anew.
func (c *checker) faulted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = make(map[worker.Part]time.Time)
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
			delete(c.since, part)
			continue
		}
		if _, ok := c.since[part]; !ok {
			c.since[part] = now
		}
		d := now.Sub(c.since[part])
		c.worst = max(c.worst, d)
		if d > c.limit {
			c.found = fmt.Sprintf("%d of %d tasks of %s ran alone for %v", g.running, g.total, part.JobID, d)
		}
	}
	for part := range c.since {
		if gangs[part].running == 0 {
			delete(c.since, part)
		}
	}
}
