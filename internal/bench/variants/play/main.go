// Play runs the variants of a site file on the users' bench and prints a table.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/variants"
)

func main() {
	p := &variants.BenchRunner{Out: os.Stdout}
	list := flag.String("list", "testdata/variants.toml", "list of variants")
	flag.StringVar(&p.Bench, "bench", "", "path of the users' bench program")
	flag.StringVar(&p.Site, "site", "", "site file")
	flag.StringVar(&p.Repository, "repository", ".", "directory in which the bench runs")
	flag.StringVar(&p.Scratch, "scratch", "", "directory for changed site files")
	flag.Parse()
	if err := run(p, *list); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(p *variants.BenchRunner, list string) error {
	l, err := variants.Read(list)
	if err != nil {
		return err
	}
	broken, err := p.RunAll(context.Background(), l)
	if err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d runs broke a rule", broken)
	}
	return nil
}
