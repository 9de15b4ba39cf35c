package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/fleet/lock"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// TestSoakOfThinVMs runs the seeds of the flags on fleets in which most VMs have a thin
// link and little processor time. They lose the store by turns while callers ask for the
// states of all jobs.
func TestSoakOfThinVMs(t *testing.T) {
	slots := make(chan struct{}, *parallelFleets)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runThinSeed(t, seed)
		})
	}
}

const (
	thinFleet = 8
	// largeVMs is the number of VMs of a thin fleet that keep the store, a whole link and
	// the whole processor.
	largeVMs = 2
	thinCPU  = 0.19
	// thinPeriod is the time in which a thin VM runs for its share.
	thinPeriod = 26 * time.Millisecond
	// maxStop is the longest stop after which a VM still counts as running.
	maxStop = 250 * time.Millisecond
	// trafficTime is how long jobs are submitted, and calmTime the time from then until
	// they are asked for.
	trafficTime = 10 * time.Second
	calmTime    = 4 * time.Second
	// askRounds is how often each job is asked for.
	askRounds = 5
	askPause  = 100 * time.Millisecond
)

// thinLinks are the bandwidths of thin VMs in bytes per second: 10 Mbit/s, and a tenth of it
// for a fleet with a tenth of the VMs and jobs.
var thinLinks = []int{1_250_000, 125_000}

// runThinSeed runs one seed on a thin fleet.
func runThinSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 200))
	f := startFleet(t, seed, thinFleet, largeVMs)
	link := thinLinks[rng.IntN(len(thinLinks))]
	f.logEvent("thin fleet", "bytes_per_second", link)
	var throttled sync.WaitGroup
	throttle, stopThrottle := context.WithCancel(t.Context())
	defer throttled.Wait()
	defer stopThrottle()
	for _, v := range f.vms[largeVMs:] {
		v.store.SetBandwidth(link)
		throttled.Go(func() { f.throttle(throttle, v) })
	}

	ctx, stopCallers := context.WithCancel(t.Context())
	defer stopCallers()
	var background sync.WaitGroup
	for i := range 2 * callers {
		r := rand.New(rand.NewPCG(seed, uint64(202+i)))
		background.Go(func() { f.runCaller(ctx, i, r) })
	}
	mixedRand := rand.New(rand.NewPCG(seed, 201))
	var lasting []callerJob
	background.Go(func() { lasting = f.runMixedCaller(ctx, mixedRand) })
	var balancer sync.WaitGroup
	balance, stopBalancer := context.WithCancel(t.Context())
	defer stopBalancer()
	balancer.Go(func() { f.balance(balance) })
	time.Sleep(trafficTime)
	stopCallers()
	background.Wait()
	time.Sleep(calmTime)

	var turns sync.WaitGroup
	trouble, endTrouble := context.WithCancel(t.Context())
	defer endTrouble()
	for i, v := range f.vms[largeVMs:] {
		r := rand.New(rand.NewPCG(seed, uint64(300+i)))
		turns.Go(func() { f.loseStoreByTurns(trouble, v, r) })
	}
	plannerRand := rand.New(rand.NewPCG(seed, 400))
	turns.Go(func() { f.stopPlanners(trouble, plannerRand) })
	for range askRounds {
		f.askForAll(rng)
	}
	endTrouble()
	turns.Wait()
	f.heal()
	time.Sleep(settleTime)
	f.cancelAll(lasting)
	f.awaitTerminal()
	stopBalancer()
	balancer.Wait()
	f.judgeUnanswered()
	for _, v := range f.world.Violations() {
		f.check.addViolation("%s", v)
	}
	if found := f.check.violations(); len(found) > 0 {
		t.Errorf("seed %d: %s", seed, strings.Join(found, "\n\t"))
	}
	t.Logf("seed %d: %s", seed, f.check.summary())
}

// throttle stops a VM again and again until ctx is done, so that it runs for its share of
// the processor.
func (f *fleet) throttle(ctx context.Context, v *vm) {
	run := time.Duration(v.cpuShare * float64(thinPeriod))
	for ctx.Err() == nil {
		v.signals.Lock()
		f.signal(v, syscall.SIGSTOP)
		stopped := time.Now()
		time.Sleep(thinPeriod - run)
		f.signal(v, syscall.SIGCONT)
		if d := time.Since(stopped); d > maxStop {
			v.addStop(stopped)
			f.logEvent("stopped for too long", "vm", v.name, "ms", d.Milliseconds())
		}
		v.signals.Unlock()
		time.Sleep(run)
	}
}

// freeze stops a VM for d.
func (f *fleet) freeze(v *vm, d time.Duration) {
	began := time.Now()
	f.pause(v, d)
	v.addStop(began)
}

// addStop records that the process has not run since from.
func (v *vm) addStop(from time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stops = append(v.stops, span{from, time.Now()})
}

// addStalls records the times in which the process did not run according to its own log.
func (v *vm) addStalls() error {
	b, err := os.ReadFile(v.log.Name())
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, line := range bytes.Split(b, []byte("\n")) {
		var l struct {
			Time    time.Time
			Msg     string
			Stalled int64 `json:"stalled_ms"`
		}
		if json.Unmarshal(line, &l) == nil && l.Msg == "the process did not run" {
			v.stops = append(v.stops, span{l.Time.Add(-time.Duration(l.Stalled) * time.Millisecond), l.Time})
		}
	}
	return nil
}

// ran reports whether a VM ran throughout a time.
func (v *vm) ran(s span) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !slices.ContainsFunc(v.stops, func(stop span) bool { return stop.from.Before(s.to) && s.from.Before(stop.to) })
}

// loseStoreByTurns cuts a VM off from the store again and again until ctx is done: in
// silence, turned away, or with the VM itself frozen.
func (f *fleet) loseStoreByTurns(ctx context.Context, v *vm, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
		d := time.Duration(1300+rng.IntN(3000)) * time.Millisecond
		kind := rng.IntN(5)
		f.logEvent("turn", "vm", v.name, "kind", kind, "ms", d.Milliseconds())
		switch kind {
		case 0:
			f.freeze(v, d)
		case 1:
			f.cutLink(v.store, relay.Refuse, d)
		default:
			v.store.SetAll(relay.Blackhole)
			time.Sleep(d)
			// What was held up is lost with its connection.
			f.cutLink(v.store, relay.Refuse, 0)
		}
	}
}

// stopPlanners freezes the VM that plans again and again until ctx is done.
func (f *fleet) stopPlanners(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
		d := time.Duration(1000+rng.IntN(4000)) * time.Millisecond
		name := f.plannerName()
		f.logEvent("planner stops", "vm", name, "ms", d.Milliseconds())
		if i := slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == name }); i >= 0 {
			f.freeze(f.vms[i], d)
		}
	}
}

// plannerName returns the name of the VM that plans; empty for none.
func (f *fleet) plannerName() string {
	resp, err := http.Get("http://" + f.wire.StoreAddress + "/v1/kv-key?key=" + url.QueryEscape(store.LockKey))
	if err != nil {
		f.t.Error(err)
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Error(err)
	}
	var item struct{ Value []byte }
	var h lock.Holder
	if resp.StatusCode != http.StatusOK || json.Unmarshal(b, &item) != nil || json.Unmarshal(item.Value, &h) != nil {
		return ""
	}
	return h.VMID
}

// askForAll asks for the states of all accepted jobs within callTimeout, each by a caller of
// its own.
func (f *fleet) askForAll(rng *rand.Rand) {
	c := f.newCaller(mainKey)
	var asks sync.WaitGroup
	for id, path := range f.check.accepted() {
		r := rand.New(rand.NewPCG(rng.Uint64(), 1))
		asks.Go(func() {
			time.Sleep(time.Duration(r.Int64N(int64(callTimeout))))
			c.ask(r, id, path)
		})
	}
	asks.Wait()
}

// ask asks for a job's state for callTimeout at VMs in rotation, until one answers. An answer
// is 200 with a state, or 410, which the checker judges.
func (c *caller) ask(rng *rand.Rand, id, path string) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(callTimeout))
	defer cancel()
	var asked []*vm
	for ctx.Err() == nil {
		v := c.randomVM(rng)
		if slices.Contains(asked, v) && len(asked) < len(c.fleet.inRotation()) {
			continue
		}
		asked = append(asked, v)
		sent := time.Now()
		a := c.send(ctx, v, http.MethodGet, path, c.key, nil)
		c.fleet.check.recordState(id, a.status, stateOf(a), sent)
		if a.status == http.StatusGone || a.status == http.StatusOK && stateOf(a) != "" {
			c.fleet.check.recordAnswer(time.Since(began))
			return
		}
		c.fleet.logEvent("no answer", "job", id, "vm", v.name, "status", a.status, "body", a.body, "ms", time.Since(sent).Milliseconds())
		time.Sleep(askPause)
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.unanswered = append(c.fleet.unanswered, unanswered{id, span{began, time.Now()}, asked})
}

// unanswered is a job whose state a caller did not learn in time.
type unanswered struct {
	id    string
	span  span
	asked []*vm
}

// judgeUnanswered records the jobs whose state was not learned. An answer is due if all VMs
// that were asked had run for stable_window_ms, so that they are in touch but for their link
// to the store, and if a large VM, through which they reach the store, ran all the while.
func (f *fleet) judgeUnanswered() {
	for _, v := range f.vms {
		if err := v.addStalls(); err != nil {
			f.t.Error(err)
		}
	}
	for _, u := range f.unanswered {
		var asked, stopped []string
		for _, v := range u.asked {
			asked = append(asked, v.name)
			if !v.ran(span{u.span.from.Add(-world.StableWindow), u.span.to}) {
				stopped = append(stopped, v.name)
			}
		}
		relayed := slices.ContainsFunc(f.vms[:largeVMs], func(v *vm) bool { return v.ran(u.span) })
		f.check.recordUnanswered(u.id, asked, len(stopped) == 0 && relayed)
		f.logEvent("no answer in time", "job", u.id, "from", u.span.from, "to", u.span.to, "asked", asked, "stopped", stopped, "relayed", relayed)
	}
}
