// Package soak runs random series of faults against daemons on the users'
// platform. The daemons are separate processes, the platform runs in the test's
// process, and faults are injected from outside the daemons only. A checker
// compares what callers observe with what the workers ran.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/cli/dogwoodd"
)

const daemonVariable = "DOGWOODWORKS_SOAK_DAEMON"

// TestMain runs the daemon in a child process.
func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	code := dogwoodd.Run(ctx, os.Stdout, os.Stderr, os.Args[1:])
	stop()
	os.Exit(code)
}

var (
	firstSeed      = flag.Uint64("seed", 1, "first seed")
	seeds          = flag.Int("seeds", 2, "number of seeds")
	parallelFleets = flag.Int("beside", 2, "number of fleets that run at the same time")
	logDir         = flag.String("logs", "", "directory in which the logs of failed seeds are kept")
)

// regressions returns the seeds that failed once; testdata/regressions.txt names
// the cause of each.
func regressions(t *testing.T) []uint64 {
	b, err := os.ReadFile(filepath.Join("testdata", "regressions.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var all []uint64
	for _, line := range strings.Split(string(b), "\n") {
		text, _, _ := strings.Cut(line, " ")
		if text == "" || text == "#" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, seed)
	}
	return all
}

// TestSoak runs the regression seeds and the seeds of the flags. A seed determines
// the faults and their order, not the timing of the processes.
func TestSoak(t *testing.T) {
	all := regressions(t)
	for i := range *seeds {
		all = append(all, *firstSeed+uint64(i))
	}
	slots := make(chan struct{}, *parallelFleets)
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, seed)
		})
	}
}

const (
	vms     = 4
	workers = 12
	// faultsPerSeed is the number of faults that a seed injects.
	faultsPerSeed = 14
	// settleTime lets the VMs and workers reconnect; the platform's
	// stable_window_ms is 4 s.
	settleTime = 5 * time.Second
	// idleTime is how long no new jobs arrive before the long-running ones are cancelled.
	idleTime = 10 * time.Second
	// finishTime bounds the time until all jobs are in a terminal state after the
	// callers have stopped; the queued work of the whole fleet takes less.
	finishTime = 60 * time.Second
)

// runSeed runs one seed.
func runSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := startFleet(t, seed, vms, vms)
	c := f.check
	ctx, stopCallers := context.WithCancel(t.Context())
	defer stopCallers()
	var background sync.WaitGroup
	for i := range callers {
		r := rand.New(rand.NewPCG(seed, uint64(2+i)))
		background.Go(func() { f.runCaller(ctx, i, r) })
	}
	mixedRand := rand.New(rand.NewPCG(seed, 50))
	var lasting []callerJob
	background.Go(func() { lasting = f.runMixedCaller(ctx, mixedRand) })
	probeRand := rand.New(rand.NewPCG(seed, 100))
	background.Go(func() { f.probe(ctx, probeRand) })
	background.Go(func() { f.balance(ctx) })

	operatorRand := rand.New(rand.NewPCG(seed, 60))
	operatorCtx, stopOperator := context.WithCancel(ctx)
	defer stopOperator()
	var operator sync.WaitGroup
	operator.Go(func() { f.evacuateRandomly(operatorCtx, operatorRand) })

	var faults sync.WaitGroup
	for range faultsPerSeed {
		name, fault := f.randomFault(rng)
		f.logEvent("fault", "kind", name)
		faults.Go(fault)
		time.Sleep(time.Duration(300+rng.IntN(2200)) * time.Millisecond)
	}
	faults.Wait()
	stopOperator()
	operator.Wait()
	f.heal()
	ended := make(chan struct{})
	var judge sync.WaitGroup
	judge.Go(func() { f.judgeProgress(time.Now(), ended) })
	time.Sleep(settleTime)
	f.logEvent("all faults healed")
	c.setFaultFree(true)
	timedOut := f.world.GangTimeouts()
	f.configure()
	f.checkReclaim(ctx)
	f.configure()
	f.checkReclaim(ctx)
	if n := f.world.GangTimeouts() - timedOut; n > 0 {
		c.addViolation("GANG: %d members timed out waiting for the others although no fault was active", n)
	}
	stopCallers()
	background.Wait()
	// Long-running tasks are judged a while without new jobs.
	time.Sleep(idleTime)
	f.cancelAll(lasting)
	f.awaitTerminal()
	close(ended)
	judge.Wait()
	for _, v := range f.world.Violations() {
		c.addViolation("%s", v)
	}
	f.logEvent("end", "violations", len(c.violations()))
	if found := c.violations(); len(found) > 0 {
		t.Errorf("seed %d: %s", seed, strings.Join(found, "\n\t"))
	}
	t.Logf("seed %d: %s", seed, c.summary())
}
