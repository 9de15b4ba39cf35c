package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// mixedPrefix begins the ids of the jobs of runMixedCaller.
const mixedPrefix = "e"

// runMixedCaller submits jobs of the kinds that may hold up others: long-running tasks,
// large gangs, tasks with data in one rack, gangs for one rack and jobs that can't be done. It
// returns the long-running ones.
func (f *fleet) runMixedCaller(ctx context.Context, rng *rand.Rand) (lasting []callerJob) {
	c := f.newCaller(mainKey)
	for i := 0; ctx.Err() == nil; i++ {
		j := randomJob(rng, fmt.Sprintf("%s%015x", mixedPrefix, i))
		switch rng.IntN(6) {
		case 0:
			if len(lasting) < maxLasting {
				j.step.LongRunning, j.step.Gang, j.runtime = true, false, time.Hour
			}
		case 1:
			j.step.Gang, j.step.Tasks = true, 1+rng.IntN(workers*2/3)
		case 2:
			j.step.Gang, j.step.SameRack = true, true
		case 3:
			j.fails = true
		}
		if rng.IntN(3) == 0 {
			j.step.Rack = fmt.Sprintf("r%d", rng.IntN(workers/4))
		}
		c.submit(ctx, rng, j)
		if j.step.LongRunning {
			lasting = append(lasting, j)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(300+rng.IntN(1500)) * time.Millisecond):
		}
	}
	return lasting
}

// maxLasting bounds the long-running jobs of a seed.
const maxLasting = 5

// cancelAll cancels jobs, each at one VM.
func (f *fleet) cancelAll(jobs []callerJob) {
	c := f.newCaller(mainKey)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, j := range jobs {
		c.cancel(context.Background(), rng, j)
	}
}

// judgeProgress checks that no accepted job waits beside free workers from calmSince, when
// all faults were healed, until done is closed.
func (f *fleet) judgeProgress(calmSince time.Time, done <-chan struct{}) {
	var p world.Progress
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		var live []string
		for id := range f.check.unfinished() {
			if !f.world.State(id).Terminal() {
				live = append(live, id)
			}
		}
		p.Observe(f.world, live, calmSince, time.Now())
	}
}
