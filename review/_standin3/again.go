package main

import (
	"sync"
	"time"
)

// again lets jobs end and their records be removed, and lets the store discard its history from
// time to time meanwhile. It checks that no task starts again after it was done.
func again(s *sim) bool {
	const (
		rate    = 40 * time.Millisecond
		traffic = 95 * time.Second
		gap     = 2500 * time.Millisecond
	)
	s.statusTime = 30 * time.Second
	// The daemons are in another region than the store.
	s.store.oneWay, s.store.answerTime = 20*time.Millisecond, 4*time.Millisecond
	zones := []string{"north-a", "north-b"}
	for i, id := range []string{"i-new1", "i-new2", "i-new3", "i-new4"} {
		s.newRunner(id, "service-new", zones[i%2], "r1-2", shape{64000, 262144, 8})
	}
	s.configure(7, "service-new")
	s.startDaemons(3, 0, zones)

	var clients sync.WaitGroup
	began := time.Now()
	next := began.Add(2*s.statusTime + 8*time.Second)
	for i := 0; time.Since(began) < traffic; i++ {
		j := &job{id: jobID(i), shape: shape{1000, 1024, 1}, work: 300 * time.Millisecond}
		clients.Go(func() { s.submit(i, queuePath, j) })
		if s.trouble && time.Now().After(next) {
			next = next.Add(gap)
			s.store.discard()
			s.note("the store discards its history and cuts the watches")
		}
		time.Sleep(rate)
	}
	clients.Wait()
	s.note("the traffic ends")
	time.Sleep(8 * time.Second)

	s.mu.Lock()
	accepted, done, starts := 0, 0, 0
	for _, j := range s.order {
		if j.accepted {
			accepted++
		}
		if j.done {
			done++
		}
		starts += j.again
	}
	s.mu.Unlock()
	s.note("%d jobs accepted, %d done, %d starts of tasks that were done", accepted, done, starts)
	if done < accepted*9/10 || done == 0 {
		check(errNothingShown)
	}
	return starts == 0
}
