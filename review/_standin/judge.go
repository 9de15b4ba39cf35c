package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// history is what the runners saw of one run.
type history struct {
	task   string
	number int64
	runner string
	began  time.Time
	// endedAt and how are zero while the run lasts; notedAt is when its end was taken note of.
	endedAt, notedAt time.Time
	how              string
	// lapsed says that the runner's lease lapsed before the end was taken note of.
	lapsed bool
}

// judge collects what the runners see.
type judge struct {
	log *record
	// verbose logs each start and end.
	verbose bool

	mu       sync.Mutex
	runs     map[string]*history
	byTask   map[string][]*history
	refusals map[string]int
}

func newJudge(log *record) *judge {
	return &judge{log: log, verbose: true, runs: make(map[string]*history), byTask: make(map[string][]*history), refusals: make(map[string]int)}
}

func (j *judge) started(task string, n int64, runner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := &history{task: task, number: n, runner: runner, began: time.Now()}
	j.runs[runName(task, n)] = h
	j.byTask[task] = append(j.byTask[task], h)
	if j.verbose {
		j.log.printf("%s starts %s run %d", runner, task, n)
	}
}

func (j *judge) ended(task string, n int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.runs[runName(task, n)]
	h.endedAt, h.how = time.Now(), how
	if j.verbose {
		j.log.printf("%s: end of %s run %d: %s", h.runner, task, n, how)
	}
}

func (j *judge) noted(task string, n int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[runName(task, n)].notedAt = time.Now()
}

func (j *judge) lapsed(task string, n int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[runName(task, n)].lapsed = true
}

func (j *judge) refused(task string, n int64, runner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusals[task]++
	j.log.printf("%s answers 503 to the start of %s run %d", runner, task, n)
}

// twice returns the tasks that were started after an end `done` that was taken note of while
// the lease held, or that ran twice at the same time.
func (j *judge) twice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []string
	for task, all := range j.byTask {
		for _, a := range all {
			for _, b := range all {
				if a == b || b.began.Before(a.began) {
					continue
				}
				switch {
				case a.how == "done" && !a.notedAt.IsZero() && !a.lapsed && b.began.After(a.endedAt):
					found = append(found, fmt.Sprintf("%s: run %d on %s ended done at %.3f, was taken note of at %.3f, and run %d began on %s at %.3f", task,
						a.number, a.runner, a.endedAt.Sub(j.log.began).Seconds(), a.notedAt.Sub(j.log.began).Seconds(), b.number, b.runner, b.began.Sub(j.log.began).Seconds()))
				case a.endedAt.IsZero() || b.began.Before(a.endedAt):
					found = append(found, fmt.Sprintf("%s: runs %d and %d at the same time", task, a.number, b.number))
				}
			}
		}
	}
	return found
}

// count returns how many runs of a job began, and how many ended in each way.
func (j *judge) count(job string) (began int, ends map[string]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ends = make(map[string]int)
	for _, h := range j.runs {
		if len(h.task) > len(job) && h.task[:len(job)] == job {
			began++
			if h.how != "" {
				ends[h.how]++
			}
		}
	}
	return began, ends
}
