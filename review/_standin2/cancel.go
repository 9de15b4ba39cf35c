package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playCancel: clients hand jobs in at a machine that stands still, leave early, and cancel their
// jobs at another machine. Once a cancellation is acknowledged, no task of the job may start
// later than cancel_ms after that.
func playCancel(h *harness) (verdict, error) {
	const cancelTime = 3 * time.Second
	for i := range 4 {
		if err := h.startRunner(fmt.Sprintf("i-%d", i), h.net+".200:0", "", "--rack", "r0"); err != nil {
			return cantPlay, err
		}
	}
	if err := h.cluster(7); err != nil {
		return cantPlay, err
	}
	// The machine that comes last doesn't lead.
	time.Sleep(3 * time.Second)
	if err := h.cluster1(8); err != nil {
		return cantPlay, err
	}
	still, other := h.daemons[7], h.daemons[1]
	warm := jobID()
	if !h.submit(still, "/normal/", warm, job(500, 1, 1, 500, nil)) || !waitUntil(10*time.Second, func() bool { return len(h.eventsOf("END", warm)) > 0 }) {
		return cantPlay, fmt.Errorf("a job did not run")
	}
	time.Sleep(2 * time.Second)
	if h.trouble {
		h.log("machine %s stands still", still.name)
		still.signal(syscall.SIGSTOP)
	}
	began := time.Now()
	type client struct {
		id        string
		handed    answer
		cancelled answer
	}
	clients := make([]client, 10)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			c := &clients[i]
			c.id = jobID()
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			c.handed = h.call(still, "POST", "/normal/"+c.id, job(6000, 1, 1, 6000, nil), 900*time.Millisecond)
			for range 5 {
				c.cancelled = h.call(other, "DELETE", "/normal/"+c.id, nil, 3*time.Second)
				if s := c.cancelled.status; s == 200 || s == 410 {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	// The other clients, six in ten, hand their jobs in elsewhere and stay.
	for i := range 15 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			h.submit(h.daemons[i%7], "/normal/", jobID(), job(1000, 1, 1, 1000, nil))
		})
	}
	wg.Wait()
	if h.trouble {
		time.Sleep(time.Until(began.Add(5 * time.Second)))
		h.log("machine %s goes on", still.name)
		still.signal(syscall.SIGCONT)
	}
	time.Sleep(8 * time.Second)
	late := 0
	for _, c := range clients {
		if s := c.cancelled.status; s != 200 && s != 410 {
			return cantPlay, fmt.Errorf("a cancellation was not acknowledged")
		}
		for _, e := range h.eventsOf("START", c.id) {
			after := e.at.Sub(c.cancelled.at)
			h.log("job %s: handed in -> %d, cancelled -> %d, started %.3f s after that", c.id, c.handed.status, c.cancelled.status, after.Seconds())
			if after > cancelTime {
				late++
			}
		}
		h.call(other, "GET", "/normal/"+c.id, nil, 3*time.Second)
	}
	h.log("%d of %d jobs started later than cancel_ms after their cancellation was acknowledged", late, len(clients))
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// cluster1 starts one more daemon and waits until it is ready.
func (h *harness) cluster1(n int) error {
	if err := h.startDaemon(n); err != nil {
		return err
	}
	if !h.ready() {
		return fmt.Errorf("a daemon is not ready")
	}
	return nil
}
