// Program standin2 plays the cases of the second review: stand-ins for the platform's store, the
// operator, the clients and the runners, and the daemons as processes.
package main

import (
	"fmt"
	"os"
)

// verdict is the outcome of a play.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	cantPlay verdict = 2
)

var cases = map[string]struct {
	site string
	play func(h *harness) (verdict, error)
}{
	"lease":   {"brunnsrota-dw", playLease},
	"stall":   {"brunnsrota-dw-grown", playStall},
	"cancel":  {"umw-reprints", playCancel},
	"kind":    {"brunnsrota-dw", playKind},
	"pending": {"umw-reprints", playPending},
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		exitOn(runnerMain(os.Args[2:]))
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	h, err := newHarness(os.Args[2], c.site, os.Getenv("TROUBLE") != "0")
	exitOn(err)
	v, err := c.play(h)
	if err != nil {
		v = cantPlay
		h.log("the case could not run: %v", err)
	}
	h.log("verdict: %d", v)
	h.close()
	fmt.Println([]string{"the rule held", "the rule was broken", "the case could not run"}[v])
	os.Exit(int(v))
}
