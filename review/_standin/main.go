// Command review-standin plays the cases of the review: it starts the project's daemons as
// processes on loopback addresses, and stands in for the platform's store, the runners and the
// clients, as the users' pages describe them.
//
// Usage: review-standin CASE RECORD. The exit status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. TROUBLE=0 plays the case without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusUnrun  = 2
	// maxTime bounds a case.
	maxTime = 115 * time.Second
)

var cases = map[string]func(f *fleet, trouble bool) int{
	"many-ends": manyEnds, "guarantee": guarantee, "full-rack": fullRack, "large-record": largeRecord, "crashing-runners": crashingRunners,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(statusUnrun)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusUnrun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, disruption: %v", os.Args[1], trouble)
	f, err := startFleet(log)
	exit := func(status int) {
		f.stop()
		log.printf("exit status %d", status)
		os.Exit(status)
	}
	if err != nil {
		log.printf("the case could not run: %v", err)
		exit(statusUnrun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			log.printf("interrupted")
		case <-time.After(maxTime):
			log.printf("out of time")
		}
		exit(statusUnrun)
	}()
	status := cases[os.Args[1]](f, trouble)
	if f.exits > 0 {
		log.printf("%d daemons ended by themselves", f.exits)
	}
	exit(status)
}
