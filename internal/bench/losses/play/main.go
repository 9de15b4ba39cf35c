// Play reads the logs of a play on the users' bench from a file or the standard input and
// prints where time and work were lost.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/losses"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	path := "/dev/stdin"
	if len(args) > 0 {
		path = args[0]
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	jobs, err := losses.ReadLog(bytes.NewReader(b))
	if err != nil {
		return err
	}
	return losses.WriteTables(os.Stdout, jobs)
}
