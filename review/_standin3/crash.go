package main

import (
	"fmt"
	"time"
)

// crash cuts off the runner of a task that lasts now and then; it crashes behind the cut. It checks that the job is not
// shown as failed, and that its task runs again.
func crash(s *sim) bool {
	const (
		runners = 7
		down    = 4 * time.Second
		gap     = 12 * time.Second
	)
	s.crashes = true
	zones := []string{"north-a", "north-b"}
	var all []*runner
	for i := range runners {
		all = append(all, s.newRunner("i-new"+string(rune('a'+i)), "service-old", zones[i%2], fmt.Sprintf("r1-%d", i+1), shape{64000, 262144, 8}))
	}
	s.configure(7, "service-old")
	s.startDaemons(3, 0, zones)
	time.Sleep(3 * time.Second)
	j := &job{id: jobID(1), shape: shape{8000, 32768, 1}, tasks: 1, lasts: true}
	s.submit(0, lastingPath, j)
	time.Sleep(5 * time.Second)
	for range 5 {
		if !s.trouble {
			break
		}
		for _, r := range all {
			r.mu.Lock()
			busy := len(r.running) > 0
			r.mu.Unlock()
			if busy {
				r.cutAndCrash(down)
			}
		}
		time.Sleep(gap)
		status, state := s.state(1, lastingPath, j)
		s.note("client: GET %s -> %d %s", j.id, status, state)
	}
	time.Sleep(10 * time.Second)
	status, state := s.state(2, lastingPath, j)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked("client: GET %s -> %d %s; its runs: %v; running: %d", j.id, status, state, j.runs, j.active)
	if state == "failed" || state == "cancelled" {
		s.noteLocked("BROKEN: LOST: the job is shown as %s, and no run of it has ended as failed", state)
		return false
	}
	return j.active == 1
}
