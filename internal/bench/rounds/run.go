package rounds

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/variants"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
)

// Build is a checkout of the product in which the bench plays.
type Build struct {
	// Name identifies the build among the stored reports.
	Name string
	// Repository is the checkout.
	Repository string
}

// Runner plays days on the users' bench. Its fields are set before use.
type Runner struct {
	// Bench is the path of the bench program and Site that of the site file.
	Bench, Site string
	// Reports is the directory of the reports. A play whose report is there already is
	// not played again.
	Reports string
	// Jobs is the number of days that are played at a time, at least 1.
	Jobs int
	// Why is the line for the journal of the bench.
	Why string
}

// play is one day with one seed and one build.
type play struct {
	build Build
	day   string
	seed  int
}

func (r *Runner) reportPath(p play) string {
	site := strings.TrimSuffix(filepath.Base(r.Site), ".toml")
	return filepath.Join(r.Reports, fmt.Sprintf("%s.%s.%s.%d.json", p.build.Name, site, p.day, p.seed))
}

// RunPairs plays all days and seeds with both builds and returns the pairs. Its errors
// are of kind Internal.
func (r *Runner) RunPairs(ctx context.Context, before, after Build, days []string, seeds []int) ([]Pair, error) {
	first, err := r.runAll(ctx, plays(before, days, seeds))
	if err != nil {
		return nil, err
	}
	second, err := r.runAll(ctx, plays(after, days, seeds))
	if err != nil {
		return nil, err
	}
	pairs := make([]Pair, 0, len(first))
	for i, p := range plays(before, days, seeds) {
		pairs = append(pairs, Pair{Day: p.day, Seed: p.seed, Before: first[i], After: second[i]})
	}
	return pairs, nil
}

// plays returns the plays of a build, by day and then by seed.
func plays(b Build, days []string, seeds []int) []play {
	var all []play
	for _, day := range days {
		for _, seed := range seeds {
			all = append(all, play{b, day, seed})
		}
	}
	return all
}

// runAll makes plays, Jobs at a time, and returns their results in the same order.
func (r *Runner) runAll(ctx context.Context, plays []play) ([]*Result, error) {
	results, errs := make([]*Result, len(plays)), make([]error, len(plays))
	slots := make(chan struct{}, max(r.Jobs, 1))
	var wg sync.WaitGroup
	for i, p := range plays {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = r.run(ctx, p)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

func (r *Runner) run(ctx context.Context, p play) (*Result, error) {
	path := r.reportPath(p)
	if _, err := os.Stat(path); err == nil {
		return ReadReport(path)
	}
	args := []string{"run", r.Site, p.day, "--seed", fmt.Sprint(p.seed), "--report", path}
	if r.Why != "" {
		args = append(args, "--why", r.Why)
	}
	cmd := exec.CommandContext(ctx, r.Bench, args...)
	cmd.Dir = p.build.Repository
	if b, err := cmd.CombinedOutput(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "play %s with seed %d: %s", p.day, p.seed, variants.LastLine(b))
	}
	return ReadReport(path)
}
