package main

import (
	"net/http"
	"time"
)

// pending lets one runner of ten leave its calls without an answer for a time, while jobs come
// that fit nowhere else, and then fills it with a more urgent job. It checks that the number of
// pending jobs counts those that no runner has begun.
func pending(s *sim) bool {
	const (
		runners  = 10
		hangTime = 5500 * time.Millisecond
		visible  = 5 * time.Second // visible_ms and the 2 s that the value may be old
	)
	zones := []string{"north-a", "north-b"}
	var all []*runner
	for i := range runners {
		id := "i-new" + string(rune('a'+i))
		all = append(all, s.newRunner(id, "service-old", zones[i%2], "r1-2", shape{64000, 262144, 8}))
	}
	s.configure(7, "service-old")
	s.startDaemons(3, 0, zones)
	time.Sleep(3 * time.Second)

	// Each runner has worked before: its connections are open.
	for i := range 8 * runners {
		j := &job{id: jobID(2000 + i), shape: shape{8000, 32768, 1}, work: time.Second}
		s.submit(i, queuePath, j)
	}
	time.Sleep(3 * time.Second)
	// Jobs of the urgent queue fill nine runners.
	urgent := func(i int) *job {
		j := &job{id: jobID(1000 + i), shape: shape{32000, 131072, 8}, work: 70 * time.Second}
		s.submit(i, lastingPath, j)
		return j
	}
	for i := range runners - 1 {
		urgent(i)
	}
	time.Sleep(4 * time.Second)
	var idle *runner
	for _, r := range all {
		r.mu.Lock()
		if len(r.running) == 0 {
			idle = r
		}
		r.mu.Unlock()
	}
	if idle == nil {
		check(errNothingShown)
	}
	if s.trouble {
		idle.hang(hangTime)
	}
	var jobs []*job
	for i := range 3 {
		j := &job{id: jobID(i), shape: shape{1000, 1024, 1}, work: time.Second}
		jobs = append(jobs, j)
		s.submit(i, queuePath, j)
	}
	time.Sleep(4 * time.Second)
	urgent(runners)
	time.Sleep(hangTime + stableWindow)

	// All is calm now.
	broken := 0
	for i := range 30 {
		d := s.daemons[i%len(s.daemons)]
		waiting := 0
		s.mu.Lock()
		for _, j := range jobs {
			if j.accepted && len(j.runs) == 0 && time.Since(j.acceptedAt) > visible {
				waiting++
			}
		}
		s.mu.Unlock()
		status, out := s.call(d, http.MethodGet, queuePath, nil)
		n, _ := out["pending"].(float64)
		s.note("client: GET %s at %s -> %d %v; accepted over %v before and not begun: %d", queuePath, d.name, status, out, visible, waiting)
		if status == http.StatusOK && 2*int(n) < waiting {
			broken++
			s.note("BROKEN: MIXED: %s says %v pending, %d jobs were accepted over %v before and no runner has begun them", d.name, n, waiting, visible)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return broken == 0
}
