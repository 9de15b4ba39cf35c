package main

import (
	"fmt"
	"syscall"
	"time"
)

// wide is the number of tasks of the widest job of the small deployments.
const wide = 72

// handIn hands a job in and returns the runner that begins its first task, after it has called
// crash with it if that isn't nil.
func (h *harness) handIn(id string, j object, crash func(runner string)) (runner string, err error) {
	begun := make(chan string, 1)
	h.mu.Lock()
	h.onStartJob, h.onStart = id, func(runner string) {
		if crash != nil {
			crash(runner)
		}
		begun <- runner
	}
	h.mu.Unlock()
	if !h.submit(h.daemons[0], "/batch/", id, j) {
		return "", fmt.Errorf("the job was not accepted")
	}
	select {
	case runner := <-begun:
		return runner, nil
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("the job did not start")
	}
}

// playKind: a runner crashes while a wide job starts there, and comes up as another kind under the
// same id and address. The tasks need the first kind: none of them may start on the other one.
func playKind(h *harness) (verdict, error) {
	const target = "i-a"
	address, err := freePort(h.net + ".201")
	if err != nil {
		return cantPlay, err
	}
	for i := range 9 {
		if err := h.startRunner(fmt.Sprintf("i-%d", i), h.net+".200:0", "", "--rack", fmt.Sprintf("r%d", i/5), "--kind", "b"); err != nil {
			return cantPlay, err
		}
	}
	p, err := newProxy(h.net+".202", address)
	if err != nil {
		return cantPlay, err
	}
	if err := h.startRunner(target, address, p.address, "--rack", "r1", "--kind", "a"); err != nil {
		return cantPlay, err
	}
	if err := h.cluster(3); err != nil {
		return cantPlay, err
	}
	// Whether a start is sent to the runner's next life depends on what is tried first after the
	// crash, a start or a renewal; so there are up to five crashes.
	wrong, right := 0, 0
	for n := 0; n < 5 && wrong == 0; n++ {
		time.Sleep(5 * time.Second)
		id := jobID()
		var crash func(string)
		if h.trouble {
			crash = func(string) { h.crash(target, p) }
		}
		if _, err := h.handIn(id, job(9500, wide, 0, 9500, object{"requirements": "a"}), crash); err != nil {
			return cantPlay, err
		}
		if h.trouble {
			if err := h.restartAs("b", target, address, p); err != nil {
				return cantPlay, err
			}
		}
		time.Sleep(3 * time.Second)
		h.call(h.daemons[0], "DELETE", "/batch/"+id, nil, 3*time.Second)
		for _, e := range h.eventsOf("START", id) {
			if e.more == "a" {
				right++
			} else {
				wrong++
			}
		}
		h.log("tasks that need kind a: %d started on kind a, %d on kind b", right, wrong)
		if !h.trouble {
			break
		}
		h.crash(target, p)
		if err := h.restartAs("a", target, address, p); err != nil {
			return cantPlay, err
		}
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// crash ends a runner's process and refuses connections to it.
func (h *harness) crash(runner string, p *proxy) {
	p.down()
	h.process(runner).signal(syscall.SIGKILL)
	h.log("runner %s crashes", runner)
}

// restartAs starts a runner that has crashed again after half a second, as a kind.
func (h *harness) restartAs(kind, runner, address string, p *proxy) error {
	<-h.process(runner).done
	time.Sleep(500 * time.Millisecond)
	if err := h.startRunner(runner, address, p.address, "--rack", "r1", "--kind", kind); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	h.log("runner %s starts again as kind %s", runner, kind)
	return p.up()
}
