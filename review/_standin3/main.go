package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(s *sim) bool{"again": again, "crash": crash, "pending": pending, "route": route}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD, in the repository root")
		os.Exit(2)
	}
	s := newSim(os.Args[2])
	held := cases[os.Args[1]](s)
	s.close()
	if !held {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// errNothingShown says that a case could not show anything.
var errNothingShown = errors.New("the clients' jobs were not accepted, or the lasting job does not run")
