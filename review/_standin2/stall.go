package main

import (
	"fmt"
	"syscall"
	"time"
)

// playStall: the runner of a task that lasts crashes three times and starts again, and the fourth
// time it is lost for good. Nine runners are idle, so the task has to run again in time.
func playStall(h *harness) (verdict, error) {
	// 6 s after its last run the task must not wait for 3 s; 4 s more allow for the calm before.
	const limit = 13 * time.Second
	addresses, racks := make(map[string]string), make(map[string]string)
	for i := range 10 {
		id := fmt.Sprintf("i-%d", i)
		address, err := freePort(fmt.Sprintf("%s.%d", h.net, 100+i))
		if err != nil {
			return cantPlay, err
		}
		addresses[id], racks[id] = address, fmt.Sprintf("r%d", i/5)
		if err := h.startRunner(id, address, "", "--rack", racks[id]); err != nil {
			return cantPlay, err
		}
	}
	if err := h.cluster(3); err != nil {
		return cantPlay, err
	}
	time.Sleep(3 * time.Second)
	id := jobID()
	if !h.submit(h.daemons[0], "/normal/", id, job(300_000, 1, 8, 300_000, object{"long_running": true})) || !h.starts(id) {
		return cantPlay, fmt.Errorf("the job did not start")
	}
	var lostAt time.Time
	for n := 1; h.trouble && n <= 4; n++ {
		if !waitUntil(20*time.Second, func() bool { return len(h.eventsOf("START", id)) >= n }) {
			return cantPlay, fmt.Errorf("the task did not start again after crash %d", n-1)
		}
		time.Sleep(3 * time.Second)
		runner := h.eventsOf("START", id)[n-1].runner
		h.process(runner).signal(syscall.SIGKILL)
		lostAt = time.Now()
		<-h.process(runner).done
		if n == 4 {
			h.log("runner %s is lost for good", runner)
			time.AfterFunc(4500*time.Millisecond, func() { h.store.erase("servers/" + runner) })
			break
		}
		h.log("runner %s crashes", runner)
		time.Sleep(1500 * time.Millisecond)
		h.log("runner %s starts again", runner)
		if err := h.startRunner(runner, addresses[runner], "", "--rack", racks[runner]); err != nil {
			return cantPlay, err
		}
	}
	if !h.trouble {
		time.Sleep(20 * time.Second)
		if ends := len(h.eventsOf("END", id)); ends > 0 {
			return cantPlay, fmt.Errorf("the task ended %d times", ends)
		}
		return held, nil
	}
	again := waitUntil(50*time.Second, func() bool { return len(h.eventsOf("START", id)) > 4 })
	a := h.call(h.daemons[1], "GET", "/normal/"+id, nil, 3*time.Second)
	waited := time.Since(lostAt)
	h.log("started again: %v, %.1f s after its last run, beside 9 idle runners; shown as %q", again, waited.Seconds(), a.state())
	if waited > limit {
		return broken, nil
	}
	return held, nil
}

// starts waits until a task of a job starts, and reports whether one does.
func (h *harness) starts(id string) bool {
	return waitUntil(10*time.Second, func() bool { return len(h.eventsOf("START", id)) > 0 })
}
