package main

import (
	"fmt"
	"time"
)

// playLease: a runner crashes while a wide job starts there, comes up again under the same id and
// address, and is then cut off and runs on. No task may run on it and elsewhere at the same time.
func playLease(h *harness) (verdict, error) {
	type machine struct {
		id, address string
		p           *proxy
	}
	all := make(map[string]*machine)
	for i := range 7 {
		address, err := freePort(fmt.Sprintf("%s.%d", h.net, 101+i))
		if err != nil {
			return cantPlay, err
		}
		p, err := newProxy(fmt.Sprintf("%s.%d", h.net, 121+i), address)
		if err != nil {
			return cantPlay, err
		}
		m := &machine{fmt.Sprintf("i-%d", i), address, p}
		if err := h.startRunner(m.id, m.address, p.address, "--rack", fmt.Sprintf("r%d", i/4)); err != nil {
			return cantPlay, err
		}
		all[m.id] = m
	}
	if err := h.cluster(3); err != nil {
		return cantPlay, err
	}
	// A start that is sent to the next life of a runner has a deadline by the clock of the life
	// before. Whether one is sent depends on what is tried first after the crash, a start or a
	// renewal; so there are up to three crashes.
	twice := 0
	for n := 0; n < 3 && twice == 0; n++ {
		time.Sleep(12 * time.Second)
		id := jobID()
		var crash func(string)
		if h.trouble {
			crash = func(runner string) { h.crash(runner, all[runner].p) }
		}
		runner, err := h.handIn(id, job(14_000, wide, 0, 14_000, nil), crash)
		if err != nil {
			return cantPlay, err
		}
		if h.trouble {
			target := all[runner]
			started, err := h.restartDuringStarts(id, target.id, target.address, target.p)
			if err != nil {
				return cantPlay, err
			}
			if started {
				h.log("runner %s is cut off", target.id)
				target.p.cut()
				time.Sleep(5500 * time.Millisecond)
				target.p.heal()
				h.log("runner %s is back", target.id)
			}
		}
		time.Sleep(5 * time.Second)
		twice = h.twice()
		h.log("%d tasks were started while they ran elsewhere", twice)
		h.call(h.daemons[0], "DELETE", "/batch/"+id, nil, 3*time.Second)
		if !h.trouble {
			break
		}
	}
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}

// restartDuringStarts starts a runner that has crashed again after 1.1 s. It reports whether a task
// of a job starts there within 0.1 s.
func (h *harness) restartDuringStarts(id, runner, address string, p *proxy) (started bool, err error) {
	crashed := time.Now()
	<-h.process(runner).done
	time.Sleep(time.Until(crashed.Add(1100 * time.Millisecond)))
	before := len(h.eventsOf("START", id))
	if err := h.startRunner(runner, address, p.address, "--rack", "r0"); err != nil {
		return false, err
	}
	time.Sleep(50 * time.Millisecond)
	if err := p.up(); err != nil {
		return false, err
	}
	h.log("runner %s is up again", runner)
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end) && !started; time.Sleep(100 * time.Microsecond) {
		started = len(h.eventsOf("START", id)) > before
	}
	time.Sleep(5 * time.Millisecond)
	return started, nil
}

// twice returns how many starts there were of tasks that ran elsewhere at that time, on a runner
// that was up.
func (h *harness) twice() int {
	h.mu.Lock()
	events := append([]event(nil), h.events...)
	h.mu.Unlock()
	sortEvents(events)
	type place struct {
		runner string
		born   int64
	}
	life := make(map[string]int64)
	running := make(map[string]map[place]int64)
	n := 0
	for _, e := range events {
		here := place{e.runner, e.born}
		switch e.what {
		case "UP":
			life[e.runner] = e.born
		case "START":
			for o, run := range running[e.task] {
				if life[o.runner] == o.born {
					n++
					h.log("task %s: run %d starts on %s while run %d is on %s", e.task, e.run, e.runner, run, o.runner)
				}
			}
			if running[e.task] == nil {
				running[e.task] = make(map[place]int64)
			}
			running[e.task][here] = e.run
		case "END":
			delete(running[e.task], here)
		}
	}
	return n
}
