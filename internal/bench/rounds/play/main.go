// Play plays the same days with the same seeds with two builds on the users' bench and
// prints a table of the differences.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/rounds"
)

func main() {
	r := &rounds.Runner{}
	var before, after rounds.Build
	flag.StringVar(&r.Bench, "bench", "", "path of the users' bench `program`")
	flag.StringVar(&r.Site, "site", "", "site `file`")
	flag.StringVar(&r.Reports, "reports", "", "`directory` of the reports; plays whose report is there are not repeated")
	flag.IntVar(&r.Jobs, "jobs", 4, "days played at a time")
	flag.StringVar(&r.Why, "why", "", "`line` for the journal")
	flag.StringVar(&before.Repository, "before", "", "`checkout` of the first build")
	flag.StringVar(&after.Repository, "after", "", "`checkout` of the second build")
	flag.StringVar(&before.Name, "before-name", "before", "`name` of the first build in the file names of its reports")
	flag.StringVar(&after.Name, "after-name", "after", "`name` of the second build in the file names of its reports")
	days := flag.String("days", "trouble-1,scale-1,trouble-2,scale-2,trouble-3", "comma-separated days")
	seeds := flag.Int("seeds", 3, "number of seeds")
	first := flag.Int("first-seed", 1, "first seed")
	flag.Parse()
	if err := run(r, before, after, strings.Split(*days, ","), *first, *seeds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(r *rounds.Runner, before, after rounds.Build, days []string, first, count int) error {
	if err := os.MkdirAll(r.Reports, 0o755); err != nil {
		return err
	}
	var seeds []int
	for i := range count {
		seeds = append(seeds, first+i)
	}
	pairs, err := r.RunPairs(context.Background(), before, after, days, seeds)
	if err != nil {
		return err
	}
	return rounds.WriteTable(os.Stdout, pairs)
}
