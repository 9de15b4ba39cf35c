package main

import (
	"net/http"
	"sync"
	"time"
)

// The queues of this case: the first has a job that lasts, the second is moved.
const (
	lastingPath = "/lasting/"
	queuePath   = "/queue/"
)

// configure writes a configuration that sends the second queue to a service.
func (s *sim) configure(version int, service string) time.Time {
	services := []object{}
	for _, name := range []string{"service-old", "service-new"} {
		services = append(services, object{
			"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "standby": false,
		})
	}
	route := func(name, prefix string, priority int, service string) object {
		return object{
			"name": name, "host": queueHost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000,
			"priority": priority, "service": service, "max_attempts": 3, "stretch": 3.0, "public": false,
		}
	}
	s.store.put("op/config", object{
		"version":  version,
		"routes":   []object{route("r-1", lastingPath, 0, "service-old"), route("r-2", queuePath, 1, service)},
		"services": services,
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "tenant", "api_keys": []string{queueKey}, "priority": 1, "guaranteed": object{"gpu": 0}}},
	})
	s.note("operator: configuration %d sends %s to %s; acknowledged", version, queuePath, service)
	return time.Now()
}

// route moves a queue from a service whose runners are full to one whose runners are idle. It
// checks that each accepted job of the queue runs.
func route(s *sim) bool {
	zones := []string{"north-a", "north-b"}
	for i, id := range []string{"i-old1", "i-old2"} {
		s.newRunner(id, "service-old", zones[i%2], "r1-1", shape{64000, 262144, 8})
	}
	for i, id := range []string{"i-new1", "i-new2", "i-new3", "i-new4"} {
		s.newRunner(id, "service-new", zones[i%2], "r1-2", shape{64000, 262144, 8})
	}
	first, moved := "service-old", time.Time{}
	if !s.trouble {
		first = "service-new"
	}
	s.configure(7, first)
	s.startDaemons(4, 3, zones)
	lasting := &job{id: jobID(1 << 20), shape: shape{8000, 32768, 1}, tasks: 16, lasts: true}
	s.submit(0, lastingPath, lasting)
	time.Sleep(3 * time.Second)

	var clients sync.WaitGroup
	var all []*job
	began := time.Now()
	for i := 0; time.Since(began) < 10*time.Second; i++ {
		j := &job{id: jobID(i), shape: shape{1000, 1024, 1}, work: 300 * time.Millisecond}
		all = append(all, j)
		clients.Go(func() { s.submit(i, queuePath, j) })
		if s.trouble && moved.IsZero() && time.Since(began) > 5*time.Second {
			moved = s.configure(12, "service-new")
		}
		time.Sleep(40 * time.Millisecond)
	}
	clients.Wait()
	s.note("the traffic ends")
	time.Sleep(finishTime)

	// Since the end of the traffic the runners of the queue's service were idle but for what
	// the queue had left.
	accepted, broken := 0, 0
	for i, j := range all {
		if !j.accepted {
			continue
		}
		accepted++
		status, state := s.state(i, queuePath, j)
		s.mu.Lock()
		after := "before the traffic"
		if s.trouble {
			after = j.acceptedAt.Sub(moved).Round(time.Millisecond).String() + " after configuration 12"
		}
		switch {
		case !j.done && j.active == 0:
			broken++
			s.noteLocked("BROKEN: LOST: job %s, accepted at %s %s, has nothing running %v after the end of the traffic, and all runners of service-new are idle; GET -> %d %s; its runs: %v",
				j.id, j.daemon, after, finishTime, status, state, j.runs)
		case status != http.StatusOK || state != "completed":
			broken++
			s.noteLocked("BROKEN: LOST: job %s is done, GET -> %d %s", j.id, status, state)
		}
		s.mu.Unlock()
	}
	s.note("%d jobs accepted, %d of them without a run", accepted, broken)
	if accepted == 0 || !lasting.accepted || lasting.active != lasting.tasks {
		check(errNothingShown)
	}
	return broken == 0
}
