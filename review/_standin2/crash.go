package main

import (
	"fmt"
	"syscall"
	"time"
)

// playCrash: of ten runners nine are busy, and the tenth crashes and starts again five times
// while a job runs there; first a job that lasts, then one that ends. No run of either ends
// `failed`, so neither may be shown as `failed`.
func playCrash(h *harness) (verdict, error) {
	const target = "i-x"
	address, err := freePort(h.net + ".101")
	if err != nil {
		return cantPlay, err
	}
	for i := range 9 {
		if err := h.startRunner(fmt.Sprintf("i-%d", i), h.net+".100:0", "", "--rack", fmt.Sprintf("r%d", i/5)); err != nil {
			return cantPlay, err
		}
	}
	if err := h.cluster(3); err != nil {
		return cantPlay, err
	}
	for range 9 {
		id := jobID()
		if !h.submit(h.daemons[0], "/normal/", id, job(115_000, 1, 8, 115_000, nil)) || !h.starts(id) {
			return cantPlay, fmt.Errorf("a job did not start")
		}
	}
	if err := h.startRunner(target, address, "", "--rack", "r1"); err != nil {
		return cantPlay, err
	}
	lasting, err := h.playCrashes(target, address, job(300_000, 1, 8, 300_000, object{"long_running": true}), "running", 10*time.Second)
	if err != nil {
		return cantPlay, err
	}
	ending, err := h.playCrashes(target, address, job(8_000, 1, 8, 8_000, nil), "completed", 25*time.Second)
	if err != nil {
		return cantPlay, err
	}
	return max(lasting, ending), nil
}

// playCrashes hands a job in, crashes its runner five times, and waits until the job is shown in
// a state in which a task runs or has run, or as failed.
func (h *harness) playCrashes(target, address string, j object, want string, limit time.Duration) (verdict, error) {
	id := jobID()
	if !h.submit(h.daemons[0], "/normal/", id, j) || !h.starts(id) {
		return cantPlay, fmt.Errorf("the job did not start")
	}
	for n := 0; h.trouble && n < 5; n++ {
		time.Sleep(3500 * time.Millisecond)
		p := h.process(target)
		p.signal(syscall.SIGKILL)
		h.log("runner %s crashes", target)
		<-p.done
		time.Sleep(1500 * time.Millisecond)
		h.log("runner %s starts again", target)
		if err := h.startRunner(target, address, "", "--rack", "r1"); err != nil {
			return cantPlay, err
		}
	}
	begun := time.Now()
	state := ""
	done := func() bool {
		if a := h.call(h.daemons[1], "GET", "/normal/"+id, nil, 3*time.Second); a.status == 200 {
			state = a.state()
		}
		time.Sleep(400 * time.Millisecond)
		return state == "failed" || state == want && (want != "running" || time.Since(begun) > limit/2)
	}
	waitUntil(limit, done)
	failed := 0
	for _, e := range h.eventsOf("END", id) {
		if e.more == "failed" {
			failed++
		}
	}
	h.log("job %s is shown as %q; %d starts, %d runs ended failed", id, state, len(h.eventsOf("START", id)), failed)
	h.call(h.daemons[0], "DELETE", "/normal/"+id, nil, 3*time.Second)
	time.Sleep(2 * time.Second)
	switch {
	case state == "failed" && failed == 0:
		return broken, nil
	case state == want:
		return held, nil
	}
	return cantPlay, fmt.Errorf("the job has no end")
}

// starts waits until a task of a job starts, and reports whether one does.
func (h *harness) starts(id string) bool {
	return waitUntil(10*time.Second, func() bool { return len(h.eventsOf("START", id)) > 0 })
}
