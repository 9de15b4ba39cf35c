package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// playPending: a runner is cut off just before jobs are placed on it, so that none of their tasks
// begins. When it returns, more urgent work takes its room. The jobs that have not begun must be
// counted as pending.
func playPending(h *harness) (verdict, error) {
	const countedAfter = 5 * time.Second // visible_ms + 2 s
	for i := range 5 {
		if err := h.startRunner(fmt.Sprintf("i-%d", i), h.net+".200:0", "", "--rack", "r0"); err != nil {
			return cantPlay, err
		}
	}
	if err := h.cluster(3); err != nil {
		return cantPlay, err
	}
	d := h.daemons[0]
	for range 5 {
		id := jobID()
		if !h.submit(d, "/urgent/", id, job(100_000, 1, 8, 100_000, nil)) || !waitUntil(10*time.Second, func() bool { return len(h.eventsOf("START", id)) > 0 }) {
			return cantPlay, fmt.Errorf("a job did not start")
		}
	}
	address, err := freePort(h.net + ".201")
	if err != nil {
		return cantPlay, err
	}
	p, err := newProxy(h.net+".202", address)
	if err != nil {
		return cantPlay, err
	}
	if err := h.startRunner("i-x", address, p.address, "--rack", "r0"); err != nil {
		return cantPlay, err
	}
	time.Sleep(4 * time.Second)
	if h.trouble {
		h.log("runner i-x is cut off")
		p.cut()
	}
	began := time.Now()
	accepted := make(map[string]time.Time)
	for range 3 {
		id := jobID()
		if !h.submit(d, "/normal/", id, job(20_000, 1, 2, 20_000, nil)) {
			return cantPlay, fmt.Errorf("a job was not accepted")
		}
		accepted[id] = time.Now()
	}
	time.Sleep(time.Until(began.Add(2 * time.Second)))
	urgent := jobID()
	if !h.submit(d, "/urgent/", urgent, job(30_000, 1, 8, 30_000, nil)) {
		return cantPlay, fmt.Errorf("a job was not accepted")
	}
	if h.trouble {
		time.Sleep(time.Until(began.Add(5500 * time.Millisecond)))
		p.heal()
		h.log("runner i-x is back")
	}
	wrong, calls := 0, 0
	for end := began.Add(20 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, d := range h.daemons {
			sent := time.Now()
			a := h.call(d, "GET", "/normal/", nil, 3*time.Second)
			var b struct{ Pending int }
			if a.status != 200 || json.Unmarshal([]byte(a.body), &b) != nil {
				continue
			}
			waiting := 0
			for id, at := range accepted {
				if sent.Sub(at) > countedAfter && len(h.eventsOf("START", id)) == 0 {
					waiting++
				}
			}
			calls++
			if 2*b.Pending < waiting {
				wrong++
			}
		}
	}
	for id := range accepted {
		h.log("job %s: %d starts", id, len(h.eventsOf("START", id)))
		h.call(d, "GET", "/normal/"+id, nil, 3*time.Second)
	}
	h.log("%d of %d answers gave under half of the jobs that had not begun", wrong, calls)
	if calls == 0 {
		return cantPlay, fmt.Errorf("no answer")
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
